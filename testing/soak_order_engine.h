#ifndef BURDOCKHOLD_SOAK_ORDER_ENGINE_H
#define BURDOCKHOLD_SOAK_ORDER_ENGINE_H

// An engine of a soak that serves no requests: it takes the orders of duty holders to load named
// weights, and records them. One answer in five is lost. One order in six is carried out only 1 to
// 3 s after it was read, checked at that point, and gets no answer.

#include "testing/soak_history.h"
#include "testing/soak_log.h"
#include "testing/support_platform.h"

#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace burdockhold::testing {

inline constexpr char OrderPool[] = "gpu";
inline constexpr char OrderModel[] = "m";

class soak_order_engine
{
public:
    soak_order_engine(int index, bool checksFences, soak_history &history, soak_log &log);

    /// Drops all packets from these addresses; see fake_server.
    void cutOff(const std::set<std::string> &addresses, bool openToo)
    {
        m_server.cutOff(addresses, openToo);
    }

private:
    /// An order that has been read and is not carried out yet.
    struct waiting_order
    {
        std::size_t index = 0; ///< In the history.
        std::int64_t expected = 0;
        soak_time dueAt;
    };

    bool serve(const recorded_request &request, response_socket &socket);
    std::optional<int> receive(const recorded_request &request);
    int execute(const waiting_order &order);
    void executeDue();
    int statusOf(const soak_order &order, bool stated) const;
    void finishLoad();
    void announce();
    std::string id() const { return "o" + std::to_string(m_index); }
    std::string models() const;

    int m_index;
    bool m_checksFences;
    soak_history &m_history;
    soak_log &m_log;
    std::mutex m_mutex; // Guards the fields below.
    int m_version = 1;
    int m_loading = 0; // Version that is being loaded, or 0.
    int m_accepted = 0;
    int m_answers = 0;
    int m_received = 0;
    std::vector<waiting_order> m_waiting; // In order of arrival.
    std::int64_t m_highestToken = 0;
    soak_time m_loadedAt;
    fake_server m_server;
};

} // namespace burdockhold::testing

#endif
