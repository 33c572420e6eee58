#ifndef BURDOCKHOLD_UPSTREAM_H
#define BURDOCKHOLD_UPSTREAM_H

// Calls to endpoints, with the response delivered in pieces as it arrives. Watchdogs end a call
// that is silent before its first progress or between two of them.
//
// What cpprest does not promise:
// - On a kept-alive connection that the endpoint closes before it answers, cpprest sends the
//   request again by itself. A call over a pooled connection may therefore run twice although it
//   was started once; calls that may not be repeated use connection_use::Fresh.
// - It does not tell how many bytes were written. Only a failure to connect proves that no byte
//   reached the endpoint (upstream_error::NotConnected); all others count as "may have reached".
// - The response is buffered without a bound while the observer is slow. Observers must not block.

#include "burdockhold/clock.h"
#include "burdockhold/completion.h"
#include "burdockhold/result.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhold {

enum class upstream_error {
    NotConnected,      ///< No byte can have reached the endpoint.
    ConnectionLost,    ///< The connection failed or the response was malformed.
    FirstTokenTimeout, ///< No progress since the start of the call.
    Silent,            ///< No progress since the last one.
    Cancelled,         ///< By upstream_call::cancel().
};

using upstream_failure = basic_error<upstream_error>;

/// Returns whether the endpoint can have received any byte of a call that failed so.
bool mayHaveReached(upstream_error error);

/// Returns whether the failure means that the connection went silent.
bool isSilence(upstream_error error);

enum class connection_use {
    Pooled, ///< May reuse a kept-alive connection.
    Fresh,  ///< Uses a connection that never carried a request; nothing is sent twice.
};

struct upstream_request
{
    std::string url;  ///< "http://IP:PORT" of the endpoint.
    std::string path; ///< Path and query, encoded.
    std::string method;
    std::vector<header> headers;
    std::string body;
    connection_use connection = connection_use::Pooled;
    /// Silence allowed at any time, in place of the two limits of upstream_options. For answers
    /// that are not streamed, whose first byte comes only when all is done.
    std::optional<duration> silence;
};

struct upstream_options
{
    duration firstToken = std::chrono::seconds(10);
    duration betweenTokens = std::chrono::seconds(5);
    /// cpprest's own inactivity timeout. It only bounds a call whose watchdog failed.
    duration backstop = std::chrono::seconds(60);
};

struct upstream_response
{
    int status = 0;
    std::vector<header> headers;

    /// Returns the value of a header, or an empty string. Case is ignored in names.
    std::string find(std::string_view name) const;
};

/// Receives the course of one call. Calls come one at a time: onHeaders() at most once, onBytes()
/// any number of times, then onEnd() exactly once.
class upstream_observer
{
public:
    upstream_observer() = default;
    upstream_observer(const upstream_observer &) = delete;
    upstream_observer &operator=(const upstream_observer &) = delete;
    virtual ~upstream_observer() = default;

    virtual void onHeaders(const upstream_response &response) = 0;
    /// Returns true when the bytes were progress, which restarts the watchdog.
    virtual bool onBytes(std::string_view bytes) = 0;
    virtual void onEnd(const std::optional<upstream_failure> &failure) = 0;
};

/// A running call. It keeps itself alive until onEnd().
class upstream_call
{
public:
    upstream_call() = default;
    upstream_call(const upstream_call &) = delete;
    upstream_call &operator=(const upstream_call &) = delete;
    virtual ~upstream_call() = default;

    /// Closes the connection, which makes the endpoint stop its work. onEnd() follows.
    virtual void cancel() = 0;
};

/// The clients of all endpoints. All functions may be called from any thread.
class upstream_clients
{
public:
    explicit upstream_clients(upstream_options options);
    ~upstream_clients();
    upstream_clients(const upstream_clients &) = delete;
    upstream_clients &operator=(const upstream_clients &) = delete;

    /// Prepares a call. Nothing is sent before startCall(), so that the caller can keep the call
    /// where a cancel finds it.
    std::shared_ptr<upstream_call> prepareCall(const upstream_request &request,
                                               std::shared_ptr<upstream_observer> observer);

    /// Sends a prepared call. A call cancelled before it was started ends without sending.
    static void startCall(const std::shared_ptr<upstream_call> &call);

    /// Makes later calls to the endpoint use new connections. Running calls keep theirs.
    void replaceConnections(const std::string &url);

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace burdockhold

#endif
