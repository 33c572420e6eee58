#ifndef BURDOCKHOLD_HTTP_LISTENER_H
#define BURDOCKHOLD_HTTP_LISTENER_H

// The daemon's HTTP/1.1 listener, on an event loop with one thread. Handlers run on a few threads
// of their own and may take some time, but must not wait for other requests.
//
// Promises:
// - A handler gets a request once its head is complete. It asks for the body with the limit of the
//   route; a body over the limit ends as soon as the limit is passed.
// - A request whose framing is ambiguous or malformed (request_parser.h) never runs: the handler
//   gets it with the status for the refusal if its head could be read, and the connection closes.
// - While a request runs, its connection is read, so that a client that disconnects is noticed.
// - Heads, times, connections and memory are bounded by the options. At a limit the answer is 431,
//   413, 408 or 503 with "X-Burdockhold-Run: not-run" where it can still be sent, otherwise the
//   connection closes. listener_clients.h says which connection is closed if room is needed.
// - A client that leaves more than MaxUnreadBytes of a stream unread, or takes nothing of a
//   response for the idle time, is cut off.
// Failure: without descriptors, accepting pauses (connection_acceptor.h). An exception of a handler
// ends its step only.

#include "burdockhold/clock.h"
#include "burdockhold/completion.h"
#include "burdockhold/listener_clients.h"
#include "burdockhold/result.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace burdockhold {

/// What a client may have unread of a stream when the next part comes; one part more is kept. The
/// upstream client cannot pause an endpoint, so the connection closes at this bound. It is what the
/// router's callers may leave unread, and over a thousand events of a token each.
inline constexpr std::size_t MaxUnreadBytes = std::size_t(256) * 1024;

struct listener_options
{
    std::string name;    ///< Component in the log.
    std::string address; ///< "http://IP:PORT" with a port other than 0.
    std::size_t headBytes = std::size_t(16) * 1024;
    duration headTime = std::chrono::seconds(3);  ///< From its first byte to its end.
    duration idleTime = std::chrono::seconds(15); ///< Without any progress.
    /// Of connections and running requests; a request needs one for its call.
    std::size_t descriptors = 1000;
    std::size_t memoryBytes = std::size_t(512) * 1024 * 1024; ///< Of the process.
    listener_clients::limit_callback onLimit;                 ///< Counts; may be empty.
};

/// How reading a body ended.
enum class body_end {
    Complete,
    TooLarge,
    Incomplete, ///< The client left, or the body is malformed.
    NoMemory,   ///< It does not fit into the memory for clients.
    TooSlow,    ///< It did not go on arriving.
    Stopped,    ///< The listener stops.
};

struct received_body
{
    body_end end = body_end::Incomplete;
    std::string text; ///< Only of a complete body.
};

struct request_head
{
    boost::beast::http::request_header<> fields;
    std::string method;
    std::string target;         ///< Path and query, as sent.
    std::string path;           ///< Without the query.
    std::size_t bodyLength = 0; ///< As stated; 0 if it is not.
    int refusalStatus = 0;      ///< Status if the framing or the target is wrong, else 0.

    /// Returns the values of all fields of this name, joined with commas, or an empty string.
    std::string find(const std::string &name) const;
};

/// One request and its response. All functions may be called from any thread, and do nothing once
/// the client has left or the response has ended.
class http_call
{
public:
    using body_callback = std::function<void(received_body)>;
    using closed_callback = std::function<void(bool)>;

    http_call() = default;
    http_call(const http_call &) = delete;
    http_call &operator=(const http_call &) = delete;
    virtual ~http_call() = default;

    virtual const request_head &head() const = 0;

    /// Sets what is called once: with true when the response has been written, with false when the
    /// client has left or was cut off before.
    virtual void setClosed(closed_callback closed) = 0;

    /// Reads the body. At most once; the callback is always called, even if the client has left.
    virtual void readBody(std::size_t limit, body_callback done) = 0;

    /// Sends a whole response. `closes` closes the connection behind it.
    virtual void respond(int status, std::vector<header> fields, std::string body, bool closes) = 0;

    /// Sends the head of a stream, its parts, and its end.
    virtual void beginStream(int status, std::vector<header> fields) = 0;
    virtual void sendPart(std::string bytes) = 0;
    virtual void endStream() = 0;
};

enum class listener_error { CannotListen };

class http_listener
{
public:
    using handler = std::function<void(const std::shared_ptr<http_call> &)>;

    http_listener(listener_options options, handler onCall);
    ~http_listener();
    http_listener(const http_listener &) = delete;
    http_listener &operator=(const http_listener &) = delete;

    /// Listens. Returns once the socket is open.
    result<success, listener_error> start();

    /// Ends the bodies that are being read with body_end::Stopped, for a process that ends.
    void stopReading();

    /// Closes the listener and all connections. Blocks until no handler runs.
    void stop();

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace burdockhold

#endif
