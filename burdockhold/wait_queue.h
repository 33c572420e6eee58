#ifndef BURDOCKHOLD_WAIT_QUEUE_H
#define BURDOCKHOLD_WAIT_QUEUE_H

// Requests that wait at the router for an endpoint.

#include <cstddef>
#include <memory>
#include <vector>

namespace burdockhold {

class routed_request;

/// Requests that wait until an endpoint of their pool can take them, the most urgent first: in
/// ascending order of priority number, then of arrival.
class wait_queue
{
public:
    void add(std::shared_ptr<routed_request> waiting);
    void remove(const routed_request *waiting);

    /// Tries to place each waiting request, in order.
    void retry();

    std::size_t size() const { return m_waiting.size(); }

private:
    std::vector<std::shared_ptr<routed_request>> m_waiting;
};

} // namespace burdockhold

#endif
