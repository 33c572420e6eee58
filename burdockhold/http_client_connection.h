#ifndef BURDOCKHOLD_HTTP_CLIENT_CONNECTION_H
#define BURDOCKHOLD_HTTP_CLIENT_CONNECTION_H

// An HTTP client connection to an endpoint or to the platform's log, on the event loop.
//
// Promises:
// - A request is written once and never sent again by this layer. Through a relay it is written
// only
//   after the relay has connected to the server, so until then no byte of it can have arrived.
// - After close(), no handler is called.
// - A response counts as complete only if its framing says so: its length, its last chunk, or an
//   orderly close if it has neither. One with a transfer coding other than "chunked" is malformed.
//   Unless the server has acknowledged the whole request, no close counts as orderly, nor does
//   that of a relayed connection.
// - A response whose status is not in 100..599 is malformed, before its owner gets its head.
// - Bytes of a chunk are passed on once the chunk is complete; see chunk_holdback.h for large ones.
// - A connection is reused only after a complete response, with the request fully written, no byte
//   beyond the response, and the server's consent.
// - Bytes that do not form a response end the call once they exceed a bound. So do responses that
//   do not answer it: interim ones, and those that the owner skips. Memory is limited by that
//   bound and by what the owner keeps of the body. An idle connection keeps nothing of the last
//   request.
// Not thread-safe: all functions run on the event loop's thread.

#include "burdockhold/chunk_holdback.h"
#include "burdockhold/clock.h"
#include "burdockhold/enum_names.h"
#include "burdockhold/relay_message.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace burdockhold {

using response_message = boost::beast::http::response<boost::beast::http::string_body>;

/// How a call on a connection ended.
enum class http_outcome {
    Complete,
    NotConnected, ///< No byte of the request was written.
    Broken,       ///< Reset, closed or failed after bytes may have been written.
    Malformed,    ///< The bytes received are not valid HTTP.
};

template <>
struct enum_names<http_outcome>
{
    static constexpr std::array<enum_name<http_outcome>, 4> Table{ {
            { http_outcome::Complete, "complete" },
            { http_outcome::NotConnected, "not_connected" },
            { http_outcome::Broken, "broken" },
            { http_outcome::Malformed, "malformed" },
    } };
};

/// Callbacks to the owner of a call. A handler may close the connection.
struct http_handlers
{
    /// The head has arrived. Returning false skips this response, which belongs to another request,
    /// and reads the next one.
    std::function<bool(const response_message &)> onHead;
    std::function<void(std::string_view)> onBody;
    std::function<void(http_outcome)> onEnd;
};

struct http_client_options
{
    duration connectTimeout = std::chrono::milliseconds(400); ///< Far above any path's round trip.
    /// Time without acknowledgement of bytes or keep-alive probes after which the kernel closes the
    /// connection: connections may go silent for good.
    duration silenceTimeout = std::chrono::seconds(3);
    /// Local address of the connection; without one, the system chooses.
    std::optional<boost::asio::ip::address_v4> localAddress = std::nullopt;
    /// VM that relays the connection (relay_message.h); without one, the server is connected to.
    std::optional<boost::asio::ip::tcp::endpoint> relay = std::nullopt;
    /// Called once, with whether the connection to the server could be made, and the relay's
    /// answer.
    std::function<void(bool connected, std::optional<relay_answer>)> connectEnded = nullptr;
};

/// Parses "IP:PORT" with an IPv4 address and a port from 1 to 65535. Returns nullopt if the text
/// has another form.
std::optional<boost::asio::ip::tcp::endpoint> parseAddress(std::string_view text);

/// Returns the address as "IP:PORT".
std::string formatAddress(const boost::asio::ip::tcp::endpoint &address);

class http_client_connection : public std::enable_shared_from_this<http_client_connection>
{
public:
    http_client_connection(boost::asio::io_context &context, boost::asio::ip::tcp::endpoint server,
                           http_client_options options = {});

    /// Connects if needed, writes the request, and reads one response.
    void call(std::string request, http_handlers handlers);

    /// Closes the connection and ends the current call without calling its handlers.
    void close();

    /// Returns whether another call may be made on this connection now.
    bool isReusable();

    /// Returns the time at which the last call ended.
    time_point idleSince() const { return m_idleSince; }
    /// Returns whether the current call is the first one on this connection.
    bool isFirstCall() const { return m_callCount <= 1; }
    bool isConnected() const { return m_connected; }
    bool isRelayed() const { return m_options.relay.has_value(); }
    /// Returns what the relay has answered, or nothing without an answer of a relay.
    std::optional<relay_answer> relayAnswer() const { return m_relayAnswer; }
    /// Returns whether the last call ended when the server closed the connection. A response
    /// without length and chunks then counts as complete, also if the server's process has
    /// terminated.
    bool endedByClose() const { return m_endedByClose; }
    /// Returns the response of the last call as far as it has arrived; at the end of the call, with
    /// the fields of its trailer. Only after onHead.
    const response_message &response() const { return m_parser->get(); }
    /// Returns the bytes of the last response's body that belong to an incomplete chunk and have
    /// not been passed on. They need not be the server's: its framing may stand among them.
    const std::string &heldBody() const { return m_holdback.held(); }

    /// Pauses and resumes reading: backpressure while the owner has too many bytes to deliver.
    void pauseReading();
    void resumeReading();

private:
    using parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void connect();
    void connected();
    void askRelay();
    void writeRequest();
    void startRead();
    void bytesReceived(std::size_t bytes);
    void parseInput();
    bool parseOnce();
    bool feedParser(std::size_t &consumed);
    void deliverBody();
    void serverClosed();
    void finish(http_outcome end);
    void discardRequest();
    void resetParser();
    bool skipResponse(std::size_t bytes);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_connectTimer;
    boost::asio::ip::tcp::endpoint m_server;
    http_client_options m_options;
    http_handlers m_handlers;
    std::string m_request;
    std::optional<parser> m_parser;
    chunk_holdback m_holdback;
    /// The parser keeps a reference to it.
    std::function<void(std::uint64_t, boost::beast::string_view, boost::system::error_code &)>
            m_chunkBegun;
    std::array<char, 4096> m_readBuffer;
    std::string m_input;
    std::optional<relay_answer> m_relayAnswer;
    bool m_connected = false;
    bool m_writing = false;
    bool m_writeFailed = false; // The connection is not used again.
    bool m_reading = false;
    bool m_paused = false;
    bool m_headDelivered = false;
    bool m_active = false;
    bool m_keepAlive = false;
    bool m_closed = false;
    bool m_endedByClose = false;
    int m_callCount = 0;
    std::size_t m_skippedBytes = 0; ///< Of responses before the one to the current call.
    time_point m_idleSince;
    duration m_maxIdle = std::chrono::seconds(2);
};

} // namespace burdockhold

#endif
