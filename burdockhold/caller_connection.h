#ifndef BURDOCKHOLD_CALLER_CONNECTION_H
#define BURDOCKHOLD_CALLER_CONNECTION_H

// One connection of a caller on the event loop: reads requests, has each served by an exchange, and
// writes the answers in order.
//
// Promises:
// - A request is passed on only when it has been read whole and its framing is unambiguous: two
//   lengths, a length with chunking, and lines that are not ended by CR LF are refused.
// - While a request is served the connection is read, so that a caller that leaves is noticed.
// - A header or body over the deployment's limits is refused before it is stored.
// - Bytes for a caller that does not read are bounded: the endpoint is not read meanwhile.

#include "burdockhold/routed_request.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace burdockhold {

class caller_connection;

/// True if the length of the body is stated more than once: readers may differ on which one holds.
bool statesLengthTwice(const boost::beast::http::fields &fields);

/// All open connections of callers.
using caller_set = std::set<std::shared_ptr<caller_connection>>;

class caller_connection : public std::enable_shared_from_this<caller_connection>
{
public:
    caller_connection(boost::asio::ip::tcp::socket socket, request_context context,
                      caller_set &open);

    void start();

    /// Closes the connection if no request has been begun on it, or waits to be read.
    void closeIfIdle();

    bool isServing() const { return m_exchange != nullptr; }

private:
    using parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void newParser();
    void readMore();
    void received(std::size_t bytes);
    void consume();
    void refuseMessage(boost::system::error_code error);
    void serve();
    void armIdleTimer();
    void armRequestTimer();
    void timedOut();
    response_writer responseWriter();

    void writeWhole(int status, const std::vector<http_field> &fields, const std::string &body);
    void beginStream(int status, const std::vector<http_field> &fields);
    void sendStreamBytes(const std::string &bytes);
    void endAnswer();
    void write(std::string bytes);
    void writeNext();
    void written(boost::system::error_code error, std::size_t bytes);
    void answered();
    void peerClosed();
    void close();
    std::string headText(int status, const std::vector<http_field> &fields) const;
    caller_limits limits() const;

    boost::asio::ip::tcp::socket m_socket;
    request_context m_context;
    caller_set &m_open;
    boost::asio::steady_timer m_timer;
    std::optional<parser> m_parser;
    std::array<char, 4096> m_chunk;
    std::string m_input;
    std::deque<std::string> m_output;
    std::size_t m_outputBytes = 0;
    std::shared_ptr<routed_request> m_exchange;
    bool m_reading = false;
    bool m_writing = false;
    bool m_requestBegun = false;
    bool m_keepAlive = true;
    bool m_headOnly = false;
    bool m_closing = false; ///< Close once everything is written.
    bool m_closed = false;
    bool m_paused = false;
};

} // namespace burdockhold

#endif
