#ifndef BURDOCKHOLD_LISTENER_CONNECTION_H
#define BURDOCKHOLD_LISTENER_CONNECTION_H

// One connection of an http_listener, which states the promises. Everything here runs on the
// listener's event loop, except the functions of http_call, which post to it.
//
// Requests on one connection run one after the other. Input that arrives meanwhile is read up to
// MaxReadAhead bytes. Half-closed connections count as closed: the client has left.

#include "burdockhold/http_listener.h"
#include "burdockhold/request_parser.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace burdockhold {

/// What the connections of a listener share. Calls keep it alive, so that what they post after the
/// listener has stopped is harmless.
struct listener_core
{
    listener_core(listener_options chosen, http_listener::handler handler, std::size_t threads)
        : options(std::move(chosen))
        , onCall(std::move(handler))
        , clients(options.name, { options.memoryBytes }, options.descriptors, options.onLimit)
        , workers(threads)
    {
    }

    listener_options options;
    http_listener::handler onCall;
    boost::asio::io_context io{ 1 };
    listener_clients clients;
    boost::asio::thread_pool workers;
};

class connection_call;

class listener_connection : public std::enable_shared_from_this<listener_connection>
{
public:
    listener_connection(boost::asio::ip::tcp::socket socket, std::shared_ptr<listener_core> core);

    /// Begins to read, or closes the connection if there is no room for it.
    void start();

    /// Ends what is not running, with 503 if that can be sent at once, to make room.
    void closeForRoom();

    /// Ends the body that is being read.
    void endBody(body_end end);

    void close();

    // For connection_call.
    void setClosed(const connection_call *call, http_call::closed_callback closed);
    void readBody(const connection_call *call, std::size_t limit, http_call::body_callback done);
    void respond(const connection_call *call, int status, const std::vector<header> &fields,
                 const std::string &body, bool closes);
    void beginStream(const connection_call *call, int status, const std::vector<header> &fields);
    void sendPart(const connection_call *call, const std::string &bytes);
    void endStream(const connection_call *call);

    const std::shared_ptr<listener_core> &core() const { return m_core; }

private:
    enum class state { Idle, Head, Call, Lingering };

    void startRead();
    void readAvailable();
    void parseInput();
    bool parseHead();
    void parseBody();
    void beginCall();
    void refuse(int status, listener_limit limit);
    void refuseMessage(int status, const std::string &code, const std::string &message);
    bool charge(std::size_t &charged, memory_part part, std::size_t held);
    void chargeInput();
    void chargeOutput();
    void updateQueue();
    void armTimer(duration time);
    void timerExpired();
    std::string formatHead(int status, std::vector<header> fields) const;
    void write(std::string bytes);
    void writeNext();
    void bytesWritten(boost::system::error_code error, std::size_t bytes);
    void responseEnded();
    void outputDrained();
    void nextRequest();
    void linger();
    void reset();
    void postClosed(bool delivered);

    boost::asio::ip::tcp::socket m_socket;
    std::shared_ptr<listener_core> m_core;
    boost::asio::steady_timer m_timer;
    listener_clients::queue::place m_place;
    listener_clients::queue::place m_unreadPlace;
    state m_state = state::Idle;
    std::optional<request_parser> m_parser;
    std::shared_ptr<connection_call> m_call;
    http_call::closed_callback m_onClosed;
    http_call::body_callback m_onBody; ///< While a body is read.
    std::string m_input;
    std::string m_sending; ///< Is being written; followed by m_output.
    std::string m_output;
    std::size_t m_sentBytes = 0; ///< Of m_sending.
    std::size_t m_headBytes = 0; ///< Of the request that is read, with empty lines before it.
    std::size_t m_bodyLimit = 0;
    std::size_t m_chargedInput = 0;   ///< Taken of the memory budget, as the next three.
    std::size_t m_chargedRequest = 0; ///< Until the response has been written, as the body.
    std::size_t m_chargedBody = 0;
    std::size_t m_chargedOutput = 0;
    bool m_countsCall = false;   ///< Takes a descriptor for its call.
    bool m_bodyRead = false;     ///< The request has been read to its end.
    bool m_discardsBody = false; ///< The body is short, and nobody wants it.
    bool m_keepAlive = true;
    bool m_isHeadRequest = false;
    bool m_acceptsChunks = true; ///< False for HTTP/1.0: a stream ends with its connection.
    bool m_streaming = false;
    bool m_responseEnded = false;
    bool m_reading = false;
    bool m_writing = false;
    bool m_closed = false;
};

} // namespace burdockhold

#endif
