#ifndef BURDOCKHOLD_CALLER_CONNECTION_H
#define BURDOCKHOLD_CALLER_CONNECTION_H

// A caller's connection on the event loop: reads requests, has each processed by a routed_request,
// and writes the responses in order.
//
// Promises:
// - A request is forwarded only once it has been read completely and its framing is unambiguous
//   (request_parser.h). After a refused request the connection closes, and none of its further
//   bytes is taken for a request.
// - The connection is read while a request is processed, so that a disconnecting caller is noticed.
// - A header or body over the deployment's limits is refused before it is stored.
// - The bodies of all requests are bounded by a part of the memory: the rest of a body is not read
//   until there is room for it, and the request is refused if that takes too long.
// - The bytes buffered for a caller that does not read are bounded: reading from the endpoint
//   stops. A caller that takes none of a response for the idle timeout is cut off. The next request
//   starts only once most of the responses before it have been read.
// - What the connection holds counts against the memory budget of the process. A request for which
//   there is no memory is refused with 503 before it runs; caller_registry.h says which connections
//   are closed. An idle connection holds no buffer and no parser.
// - A stream is chunked; to a caller with HTTP/1.0 it ends with its connection. One that is cut off
//   lacks its last chunk, or ends with a reset.
// - During a shutdown, a connection closes after a response that announces it, or when it is idle;
//   a request that has been read already is processed first. At the end of the grace period, it is
//   answered that its outcome is unknown, or that it has not run if that is certain.

#include "burdockhold/caller_registry.h"
#include "burdockhold/request_parser.h"
#include "burdockhold/routed_request.h"

#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <optional>
#include <string>

namespace burdockhold {

class caller_connection : public std::enable_shared_from_this<caller_connection>
{
public:
    caller_connection(boost::asio::ip::tcp::socket socket, request_context context,
                      caller_registry &registry);

    /// Begins to read, or closes the connection if there is no room for it.
    void start();

    /// Closes the connection since its memory or its descriptor is needed. A request that has not
    /// been read completely is refused with 503 if that can be sent at once.
    void closeForRoom();

    /// Closes the connection if no request has started on it and none is waiting to be read.
    void closeIfIdle();

    /// Ends the request that is processed, since the process ends: with an answer, unless its
    /// response has started.
    void endRequest();

    /// Resets the connection if a response has not been sent whole and only a reset can show it.
    void abortIfUnfinished();

private:
    void resetParser();
    void startRead();
    void readAvailable();
    void bytesReceived(std::size_t bytes);
    void scheduleParse();
    void updateQueue();
    bool charge(std::size_t &charged, memory_part part, std::size_t held);
    void chargeInput();
    void chargeOutput();
    bool beginRequest();
    void releaseRequest();
    void parseInput();
    void rejectMessage(int status);
    bool reserveBody();
    void bodyReserved(std::size_t bytes);
    void releaseBody(std::size_t kept);
    void refuseForMemory();
    void serve();
    void armIdleTimer();
    void armRequestTimer();
    void timerExpired();
    response_writer responseWriter();
    void abortResponse();
    void reset();

    void writeResponse(int status, const std::vector<http_field> &fields, const std::string &body);
    void writeStreamHead(int status, const std::vector<http_field> &fields);
    void writeStreamBytes(const std::string &bytes);
    void write(std::string bytes);
    void writeNext();
    void bytesWritten(boost::system::error_code error, std::size_t bytes);
    void responseFinished();
    void peerClosed();
    void close();
    void releaseAll();
    bool closesAfterResponse() const;
    std::string formatHead(int status, const std::vector<http_field> &fields) const;
    caller_limits limits() const;

    boost::asio::ip::tcp::socket m_socket;
    request_context m_context;
    caller_registry &m_registry;
    caller_registry::queue::place m_place;       ///< Unless a request runs.
    caller_registry::queue::place m_unreadPlace; ///< While output is not written.
    boost::asio::steady_timer m_timer;
    std::optional<request_parser> m_parser;
    std::string m_input;
    std::string m_sending; ///< Is being written; followed by m_output.
    std::string m_output;
    std::size_t m_outputBytes = 0;    ///< Of both that have not been written.
    std::size_t m_sentBytes = 0;      ///< Of m_sending.
    std::size_t m_pausedAbove = 0;    ///< Output bytes at which reading from the endpoint paused.
    std::size_t m_headBytes = 0;      ///< Of the request that is read.
    std::size_t m_chargedInput = 0;   ///< Taken of the memory budget.
    std::size_t m_chargedOutput = 0;  ///< Taken of the memory budget.
    std::size_t m_chargedRequest = 0; ///< Taken of the memory budget.
    time_point m_responseFinishedAt;  ///< Of the last response that kept the connection open.
    std::shared_ptr<routed_request> m_request;
    std::size_t m_reservedBytes = 0; ///< Of board.requestBodies.
    std::uint64_t m_reservation = 0; ///< That waits; 0 if none does.
    bool m_hasSmallBody = false;     ///< The body counts as a part of the request.
    bool m_countsCall = false;       ///< In the registry.
    bool m_dropsInput = false;       ///< No memory for what follows; closes after the response.
    bool m_reading = false;
    bool m_writing = false;
    bool m_requestStarted = false;
    bool m_keepAlive = true;
    bool m_isHeadRequest = false;
    bool m_acceptsChunks = true;    ///< False for HTTP/1.0: a stream ends with its connection.
    bool m_closeAnnounced = false;  ///< The current response says that the connection closes.
    bool m_closeAfterWrite = false; ///< Close once all output has been written.
    bool m_closed = false;
    bool m_paused = false;
};

} // namespace burdockhold

#endif
