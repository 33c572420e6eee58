#ifndef BURDOCKHOLD_TOPIC_FOLLOWER_H
#define BURDOCKHOLD_TOPIC_FOLLOWER_H

// The event loop's client of the platform's log: single calls, and followers of topics.
//
// A follower first loads a snapshot, the newest record of each key, and then reads the topic from
// the end offset in the snapshot's first page, so records that change during the load are read
// again. It retries through outages, and loads again if records were deleted before it read them.
// It confirms its view as of the time at which the load began, or at which the read that reached
// the topic's end was sent.
//
// Offsets are valid within one era of the log (store_era.h). When a later era is known, whichever
// call or VM has stated it, the follower gives up what it waits for and loads again. An answer of
// another era than that of its offset is never applied.
//
// A read without a response soon after its wait is sent once more on another connection, and the
// first response counts: something on the way may have lost track of the connection, or the log may
// be slow. A read is given up only after its whole timeout, so a slow log is read nevertheless.

#include "burdockhold/enum_names.h"
#include "burdockhold/http_client_connection.h"
#include "burdockhold/store_era.h"
#include "burdockhold/view_order.h"
#include "platform/log_codec.h"

#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhold {

/// Response to a call to the log. Status 0 means no response; the call may have been executed. A
/// response of an earlier era of the log counts as none.
struct log_response
{
    int status = 0;
    std::string body;
    std::size_t receivedBytes = 0;            ///< Of the body, also of one that was cut off.
    duration transferTime = duration::zero(); ///< From the first part of the body to the last.
    stated_era era;                           ///< Of the log.
};

/// Makes one call at a time over one connection. A response longer than the limit closes the
/// connection and counts as no response, since a faulty server may send an endless body. A body
/// that arrives at MinBytesPerSecond or more is never cut off for the time it takes.
class log_connection : public std::enable_shared_from_this<log_connection>
{
public:
    /// The longest of the usual responses are pages of 1 MB in base64.
    static constexpr std::size_t MaxResponseBytes = std::size_t(4) * 1024 * 1024;
    /// A hundredth of the slowest link.
    static constexpr std::size_t MinBytesPerSecond = std::size_t(16) * 1024;

    /// The era is told what the log's answers state, and outlives the connection. It is null if the
    /// server is not the log.
    log_connection(boost::asio::io_context &context, boost::asio::ip::tcp::endpoint server,
                   store_era *era, std::size_t maxResponseBytes = MaxResponseBytes);

    /// Without a response the call ends after the timeout. Once a body arrives, the timeout applies
    /// to each further piece of it.
    void call(const platform::log_call &call, duration timeout,
              std::function<void(log_response)> done);

    /// Cancels the call in progress without calling its handler.
    void close();

    /// Returns true while a call is in progress and a part of its response's body has arrived.
    bool isReceiving() const { return m_done && m_response.receivedBytes > 0; }

private:
    void headReceived(const response_message &message);
    void startTimer(duration timeout);
    void timerExpired(duration timeout);
    void bodyReceived(std::string_view bytes);
    void finishWithoutResponse();
    void finish(log_response response);

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::endpoint m_server;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<http_client_connection> m_httpConnection;
    std::function<void(log_response)> m_done;
    log_response m_response;
    store_era *m_era;
    std::size_t m_maxResponseBytes;
    std::size_t m_bytesAtTimerStart = 0; // Of the body.
    time_point m_firstBytesAt;
};

/// Why a follower loads its topic.
enum class load_cause { Started, RecordsDeleted, LaterEra };

template <>
struct enum_names<load_cause>
{
    static constexpr std::array<enum_name<load_cause>, 3> Table{ {
            { load_cause::Started, "started" },
            { load_cause::RecordsDeleted, "records_deleted" },
            { load_cause::LaterEra, "later_era" },
    } };
};

/// A load of a topic that has ended.
struct topic_load
{
    load_cause cause = load_cause::Started;
    topic_position end; ///< From which the follower reads on.
    std::size_t records = 0;
};

struct follower_options
{
    std::string topic;
    duration readWait = duration::zero(); ///< How long the log holds a read without new records.
    std::function<duration()> readPause;  ///< Returns the pause before the next read.
    std::function<duration()> retryPause; ///< Returns the pause after a failed call.
    duration callTimeout = std::chrono::milliseconds(1500); ///< In addition to readWait.
    /// Time after readWait at which a read without a response is sent once more.
    duration repeatAfter = std::chrono::milliseconds(300);
    std::size_t maxResponseBytes = log_connection::MaxResponseBytes;
};

/// Notifications of a follower.
struct follower_handlers
{
    /// Passes a snapshot: all keys and their newest values. Keys that are not listed are deleted.
    std::function<void(const std::vector<platform::keyed_record> &)> loaded;
    std::function<void(const platform::keyed_record &)> changed;
    /// A load has ended; called after `loaded`.
    std::function<void(const topic_load &)> loadEnded = [](const topic_load &) {};
    /// The view matched the log at this time of the boot-time clock.
    std::function<void(duration confirmedAt)> confirmed;
    /// A read is sent once more, since it has had no response.
    std::function<void()> repeated = [] {};
    /// A call failed with this HTTP status, or 0 without a response. The follower retries.
    std::function<void(int status)> failed;
};

class topic_follower : public std::enable_shared_from_this<topic_follower>
{
public:
    topic_follower(boost::asio::io_context &context, const boost::asio::ip::tcp::endpoint &server,
                   store_era &era, follower_options options, follower_handlers handlers);

    void start();

    /// Cancels the call in progress. No handler is called afterwards.
    void stop();

    /// Loads again if a later era of the log is known, or heard of, than when the last load began.
    /// Called often.
    void checkEra();

    /// Returns the place in the topic up to which records have been passed on.
    topic_position position() const { return m_position; }

private:
    /// One of the two connections for reads, and its read in progress.
    struct read_call
    {
        std::shared_ptr<log_connection> connection;
        duration sentAt = duration::zero();
        bool inFlight = false;
    };

    void load(load_cause cause);
    void loadPage(const std::string &after);
    void pageReceived(const log_response &response);
    void finishLoad();
    void cancelCalls();
    void read();
    void send(read_call &call);
    void startRepeatTimer();
    void readEnded(read_call &call, const log_response &response);
    void readReceived(duration sentAt, const log_response &response);
    void retryAfterPause(int status);
    void scheduleNext(duration pause);

    store_era &m_era;
    follower_options m_options;
    follower_handlers m_handlers;
    read_call m_call; // Its connection serves loads as well.
    read_call m_repeat;
    boost::asio::steady_timer m_timer;
    /// Counts what the timer was set and cancelled for: a handler that is already due still runs.
    std::uint64_t m_timerUses = 0;
    boost::asio::steady_timer m_repeatTimer;
    bool m_stopped = false;
    std::vector<platform::keyed_record> m_loadedRecords;
    std::optional<std::uint64_t> m_loadEndOffset;
    std::optional<std::uint64_t> m_nextOffset; // Not set during a load.
    topic_position m_position;
    load_cause m_loadCause = load_cause::Started;
    std::int64_t m_loadEra = 0;         // Of the first page of the load in progress.
    std::int64_t m_newestEraAtLoad = 0; // That was known or heard of when the load began.
    duration m_loadStartedAt = duration::zero();
};

} // namespace burdockhold

#endif
