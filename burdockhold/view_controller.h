#ifndef BURDOCKHOLD_VIEW_CONTROLLER_H
#define BURDOCKHOLD_VIEW_CONTROLLER_H

// Keeps this VM's view of the platform's log: what the operator has written, and the endpoints'
// entries. Reads the log, or asks another VM of the group that does (view_source.h), and answers
// the VMs that ask this one.
//
// Promises:
// - Every time that is handed on as proven is that of a read of the log, or earlier.
// - A question is answered at once when something has changed, else after the wait that it names.
// - A malformed question, and an answer that cannot be read, end that connection and nothing else.
//
// Weighed: datagrams (a deployment of many routes does not fit one), nng request sockets (they send
// an unanswered question again, and need threads of their own), HTTP over the loop's own client.
// Chosen: the last.

#include "burdockhold/router_board.h"
#include "burdockhold/topic_follower.h"
#include "burdockhold/view_message.h"
#include "burdockhold/view_source.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <list>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace burdockhold {

/// Whom the keeper tells what the log says.
struct view_handlers
{
    std::function<void(const platform::keyed_record &)> operatorRecord;
    std::function<void(const endpoint_report &)> endpointReported;
    std::function<void(const std::string &id)> endpointRemoved;
    /// An endpoint's record that cannot be read, and why.
    std::function<void(const std::string &id, const std::string &reason)> endpointRefused;
    std::function<void(const std::set<std::string> &ids)> endpointsListed;
    /// How a call to the log ended, by its HTTP status; 0 means no answer.
    std::function<void(std::string_view topic, int status)> logAnswered;
};

/// One VM's connection on which it asks.
class view_session;

class view_controller
{
public:
    view_controller(boost::asio::io_context &context, router_board &board, view_handlers handlers);
    ~view_controller();

    /// Binds the port for questions. Returns an error text, or an empty string.
    std::string open();

    /// Looks for other readers from now on. Until then the VM neither reads nor asks, since it does
    /// not know the others yet.
    void begin();

    /// Called on every tick.
    void step(time_point now);

private:
    friend class view_session;

    /// A topic as this VM has read it from the log itself.
    struct read_topic
    {
        std::shared_ptr<topic_follower> follower;
        topic_changelog history;
        bool loaded = false;
        duration confirmedAt = duration::zero(); // Of the suspension-counting clock.
    };

    void startReading();
    void stopReading();
    follower_options operatorOptions();
    follower_options endpointOptions();
    follower_handlers operatorHandlers();
    follower_handlers endpointHandlers();
    void operatorChanged(const platform::keyed_record &record);
    void endpointChanged(const platform::keyed_record &record);
    void recordConfirmation(read_topic &topic, duration at, std::string_view name);
    duration retryPause() const;

    void ask(time_point now);
    void answerArrived(const group_vm &from, duration sentAt, const log_response &answer);
    void applyOperator(const topic_view &view);
    void applyEndpoints(const topic_view &view);
    bool isFresh() const;

    void acceptQuestions();
    /// Answers the waiting questions that there is something to tell of.
    void wakeSessions();
    bool hasNews(const view_request &question) const;
    view_response answerTo(const view_request &question, duration askedAt) const;
    topic_view viewOf(const read_topic &topic, std::uint64_t known, duration askedAt) const;

    boost::asio::io_context &m_context;
    router_board &m_board;
    view_handlers m_handlers;
    view_source m_source;
    std::uint64_t m_incarnation;
    bool m_reading = false;
    read_topic m_operator;
    read_topic m_endpoints;

    // The questions of this VM.
    std::string m_lanePeer; // Address that m_lane leads to.
    std::shared_ptr<log_connection> m_lane;
    view_request m_known;
    bool m_asking = false;
    time_point m_nextAsk;

    boost::asio::ip::tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<view_session>> m_sessions;
};

} // namespace burdockhold

#endif
