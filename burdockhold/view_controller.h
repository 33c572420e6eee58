#ifndef BURDOCKHOLD_VIEW_CONTROLLER_H
#define BURDOCKHOLD_VIEW_CONTROLLER_H

// Maintains this VM's view of the platform's log: the operator's records and the endpoints'
// records. Reads the log, or requests the view from another VM of the group that reads it
// (view_source.h), and serves view requests of other VMs.
//
// Guarantees:
// - A time that is passed on as confirmed is the time of a read of the log, or earlier.
// - A request gets its response at once if something has changed, otherwise after the wait that the
//   request states.
// - A response contains of the deployment only what has changed since the requester's version,
//   whichever VM that version is from.
// - A transfer that progresses is not cut off, however long it takes.
// - A malformed request or an undecodable response affects only its own connection.
//
// Requests use HTTP over the event loop's own client. Datagrams were rejected because a deployment
// with many routes does not fit into one, and nng request sockets because they resend a request
// without a response and need their own threads.

#include "burdockhold/client_queue.h"
#include "burdockhold/connection_acceptor.h"
#include "burdockhold/deployment_history.h"
#include "burdockhold/entry_silence.h"
#include "burdockhold/router_board.h"
#include "burdockhold/topic_follower.h"
#include "burdockhold/view_log.h"
#include "burdockhold/view_message.h"
#include "burdockhold/view_order.h"
#include "burdockhold/view_source.h"
#include "burdockhold/view_timing.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace burdockhold {

/// Callbacks for the contents of the log.
struct view_handlers
{
    /// Called with the operator's records other than the deployment.
    std::function<void(const platform::keyed_record &)> operatorRecord;
    /// Called with the keys of all the operator's records that exist.
    std::function<void(const std::set<std::string> &keys)> operatorListed =
            [](const std::set<std::string> &) {};
    /// Called when the view of the operator's records is known to be that of the log at this time
    /// of the boot-time clock.
    std::function<void(duration at)> operatorConfirmed = [](duration) {};
    /// Called with a deployment of a higher version than the one before, and the name of the VM
    /// that it is from, or "log".
    std::function<void(const std::shared_ptr<const deployment_index> &, std::string_view from)>
            deploymentChanged;
    /// Called with the reason if a deployment in the log cannot be decoded; the one before holds.
    std::function<void(const std::string &reason)> deploymentRefused;
    std::function<void(const endpoint_report &)> endpointReported;
    std::function<void(const std::string &id)> endpointRemoved;
    /// Called with the id of a record that names no endpoint to use, also if the endpoint was known
    /// before, and the reason.
    std::function<void(const std::string &id, const std::string &reason)> endpointRecordRejected;
    /// Called with the ids of all endpoints that have a record.
    std::function<void(const std::set<std::string> &ids)> endpointsListed;
    /// Takes over a connection on which another VM has asked for a relayed connection to the
    /// endpoint at this address, with the bytes that have arrived after it.
    std::function<void(boost::asio::ip::tcp::socket, const std::string &address, std::string input)>
            relayRequested = [](const boost::asio::ip::tcp::socket &, const std::string &,
                                const std::string &) {};
    /// Called with the HTTP status of a completed call to the log; 0 means no response.
    std::function<void(std::string_view topic, int status)> logCallCompleted;
};

/// A connection on which another VM sends view requests.
class view_session;

class view_controller
{
public:
    view_controller(boost::asio::io_context &context, router_board &board, view_handlers handlers);
    ~view_controller();

    /// Binds the port for view requests. Returns an error text, or an empty string.
    std::string open();

    /// Starts to read the log or to send requests. Before this call the VM does neither, since it
    /// does not know the other VMs yet.
    void begin();

    /// Called on every tick.
    void step(time_point now);

private:
    friend class view_session;

    /// A topic that this VM reads from the log itself.
    struct read_topic
    {
        std::shared_ptr<topic_follower> follower;
        topic_changelog changelog;
        bool loaded = false;
        std::int64_t loadedEra = 0;              // Of the last load, which the changelog contains.
        duration confirmedAt = duration::zero(); // By bootTimeNow(), which includes suspend time.
        /// Place in the log's topic of the view that this VM uses, whoever has read it.
        topic_position used;
    };

    void startReading();
    void stopReading();
    follower_options operatorOptions();
    follower_options endpointOptions();
    follower_handlers operatorHandlers();
    follower_handlers endpointHandlers();
    void operatorChanged(const platform::keyed_record &record);
    void deploymentRead(std::string_view body);
    void endpointChanged(const platform::keyed_record &record);
    void markSilentEntries(duration at);
    void loadEnded(read_topic &topic, const topic_load &load, std::string_view name);
    void recordConfirmation(read_topic &topic, duration at, std::string_view name);
    duration retryPause() const;
    std::size_t operatorResponseBytes() const;

    void sendRequest(time_point now);
    void responseReceived(const group_vm &from, duration sentAt, const log_response &response);
    /// Returns true if this VM then has the reader's deployment.
    bool applyDeploymentUpdate(const std::string &encoded, const group_vm &from);
    bool isOlder(const topic_view &view, const read_topic &own, duration confirmedAt,
                 duration ownConfirmedAt) const;
    void applyOperator(const topic_view &view);
    void applyEndpoints(const topic_view &view);
    view_timing timing() const;
    bool isFresh(duration operatorConfirmedAt, duration endpointsConfirmedAt) const;
    void updateFreshness(time_point now);
    void abandonRequest(time_point now);
    duration requestInterval(bool needsAnyView) const;

    void acceptConnections();
    void startSession(boost::asio::ip::tcp::socket socket);
    bool closeSilentSession();
    /// Responds to the waiting requests for which there are changes.
    void notifySessions();
    bool hasChangesFor(const view_request &request) const;
    view_response responseTo(const view_request &request, duration receivedAt) const;
    std::shared_ptr<const std::string> deploymentUpdateFor(const view_request &request);
    topic_view viewOf(const read_topic &topic, std::uint64_t knownSequenceNumber,
                      duration receivedAt) const;

    boost::asio::io_context &m_context;
    router_board &m_board;
    view_handlers m_handlers;
    view_source m_source;
    std::uint64_t m_incarnation;
    bool m_reading = false;
    read_topic m_operator;
    read_topic m_endpoints;
    entry_silence m_silence; // Of the entries that this VM has read itself.
    deployment_history m_deployments;
    /// Encoded updates to m_deployments.version(), by the version since which they are.
    std::map<std::optional<std::uint64_t>, std::shared_ptr<const std::string>> m_encodedUpdates;

    view_log m_log;

    // State of this VM's own requests.
    std::string m_connectionAddress; // Peer address of m_connection.
    std::string m_requestedFrom;     // Name of the VM of the last request; empty if none is due.
    std::shared_ptr<log_connection> m_connection;
    view_request m_nextRequest;
    bool m_requestInFlight = false;
    bool m_viewWasFresh = false;                // At the last step.
    duration m_transferTime = duration::zero(); // Of the last response.
    time_point m_nextRequestAt;

    std::size_t m_maxSessions;
    client_queue<view_session> m_silentSessions; ///< They have sent no request yet.
    connection_acceptor m_acceptor;
    std::set<std::shared_ptr<view_session>> m_sessions;
};

} // namespace burdockhold

#endif
