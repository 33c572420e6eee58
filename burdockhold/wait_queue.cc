#include "burdockhold/wait_queue.h"

#include "burdockhold/routed_request.h"

#include <algorithm>
#include <utility>

namespace burdockhold {

void wait_queue::add(std::shared_ptr<routed_request> waiting)
{
    const auto position = std::upper_bound(m_waiting.begin(), m_waiting.end(), waiting,
                                           [](const auto &a, const auto &b) {
                                               return std::make_pair(a->priority(), a->arrival())
                                                      < std::make_pair(b->priority(), b->arrival());
                                           });
    m_waiting.insert(position, std::move(waiting));
}

void wait_queue::remove(const routed_request *waiting)
{
    m_waiting.erase(std::remove_if(m_waiting.begin(), m_waiting.end(),
                                   [waiting](const auto &other) { return other.get() == waiting; }),
                    m_waiting.end());
}

void wait_queue::retry()
{
    const auto requests = m_waiting;
    for (const auto &waiting : requests)
        waiting->place();
}

} // namespace burdockhold
