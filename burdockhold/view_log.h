#ifndef BURDOCKHOLD_VIEW_LOG_H
#define BURDOCKHOLD_VIEW_LOG_H

// Log lines on where this VM's view of the platform's log comes from: whether the VM reads the log,
// from which VM it requests the view, since when the view is not fresh any more, and which
// responses were late or older than the own view.
//
// Promise: a state is logged when it changes, not each time it is reported.

#include "burdockhold/router_board.h"
#include "burdockhold/topic_follower.h"
#include "burdockhold/view_message.h"
#include "burdockhold/view_source.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace burdockhold {

class view_log
{
public:
    explicit view_log(router_board &board)
        : m_board(board)
    {
    }

    /// Reports whether this VM reads the log and why, and the VM that it requests the view from:
    /// empty for none, "any" for several in turn.
    void report(bool readsLog, reading_cause cause, std::string_view requestedFrom);

    /// Reports whether the view is fresh, and from whom it was received last.
    void reportFreshness(bool fresh, std::string_view from);

    /// Logs a failed request, and a response long enough to delay what it contains.
    void transferEnded(std::string_view from, duration sentAt, const log_response &response,
                       bool isReadable);

    /// Logs that a read of the log without a response is sent once more.
    void readRepeated(std::string_view topic);

    /// Logs that this VM has loaded a topic of the log, and why.
    void topicLoaded(std::string_view topic, const topic_load &load);

    /// Logs a view that is older than the own one, which is at this place in the log.
    void olderViewReceived(std::string_view from, std::string_view topic, const topic_view &view,
                           const topic_position &own);

private:
    void write(log_event event, const nlohmann::ordered_json &fields);

    router_board &m_board;
    bool m_readsLog = false;
    std::string m_requestedFrom;
    bool m_fresh = false;
};

} // namespace burdockhold

#endif
