#ifndef BURDOCKHOLD_TOPIC_FOLLOWER_H
#define BURDOCKHOLD_TOPIC_FOLLOWER_H

// The router's client of the platform's log, on the event loop: calls, and followers of topics.
//
// A follower first loads the newest record of each key, then reads on from the end that its first
// page named; what changed while it loaded is read again. It keeps trying through outages, starts
// anew when records were deleted before it read them, and gives every reader the time at which the
// read was sent that proved its view.

#include "burdockhold/http_client_connection.h"
#include "platform/log_codec.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhold {

/// What a call to the log came to. Status 0 means no answer: it may have been carried out.
struct log_response
{
    int status = 0;
    std::string body;
};

/// Makes one call at a time over one connection. An answer longer than MaxResponseBytes ends the
/// connection and counts as none: a server in trouble may send bytes without end.
class log_connection : public std::enable_shared_from_this<log_connection>
{
public:
    /// The longest answers are pages of 1 MB in base64, and views of 10,000 endpoints.
    static constexpr std::size_t MaxResponseBytes = std::size_t(4) * 1024 * 1024;

    log_connection(boost::asio::io_context &context, boost::asio::ip::tcp::endpoint server);

    void call(const platform::log_call &call, duration timeout,
              std::function<void(log_response)> done);

    /// Ends the call in progress without calling its handler.
    void close();

private:
    void bodyReceived(std::string_view bytes);
    void finish(log_response response);

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::endpoint m_server;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<http_client_connection> m_httpConnection;
    std::function<void(log_response)> m_done;
    log_response m_response;
};

struct follower_options
{
    std::string topic;
    duration readWait = duration::zero(); ///< How long a read waits at the log for a record.
    std::function<duration()> readPause;  ///< Between reads; asked before each.
    std::function<duration()> retryPause; ///< After a failed call; asked then.
    duration callTimeout = std::chrono::milliseconds(1500); ///< Beyond readWait.
};

/// What a follower tells its reader.
struct follower_handlers
{
    /// All keys and their newest values; the reader drops what is not listed.
    std::function<void(const std::vector<platform::keyed_record> &)> loaded;
    std::function<void(const platform::keyed_record &)> changed;
    /// The view was that of the log at this time, on the clock that counts suspensions.
    std::function<void(duration confirmedAt)> proven;
    std::function<void(int status)> failed;
};

class topic_follower : public std::enable_shared_from_this<topic_follower>
{
public:
    topic_follower(boost::asio::io_context &context, boost::asio::ip::tcp::endpoint server,
                   follower_options options, follower_handlers handlers);

    void start();

    /// Ends the call in progress. No handler is called afterwards.
    void stop();

private:
    void loadPage(const std::string &after);
    void pageReceived(const log_response &response);
    void read();
    void readReceived(const log_response &response);
    void retryAfterPause(int status);
    void scheduleNext(duration pause);

    follower_options m_options;
    follower_handlers m_handlers;
    std::shared_ptr<log_connection> m_logConnection;
    boost::asio::steady_timer m_timer;
    bool m_stopped = false;
    std::vector<platform::keyed_record> m_loadedRecords;
    std::optional<std::uint64_t> m_loadEndOffset;
    std::optional<std::uint64_t> m_nextOffset; // Offset to read from; nothing while loading.
    duration m_readSentAt = duration::zero();
    duration m_loadStartedAt = duration::zero();
};

} // namespace burdockhold

#endif
