#include "burdockhold/readiness_server.h"

#include "burdockhold/text_memory.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace burdockhold {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t MaxRequestBytes = 4096;
// The load balancer probes each second.
constexpr duration SilenceTimeout = std::chrono::seconds(10);

} // namespace

class readiness_session : public std::enable_shared_from_this<readiness_session>
{
public:
    readiness_session(tcp::socket socket, readiness_server &server)
        : m_socket(std::move(socket))
        , m_timer(server.m_context)
        , m_server(&server)
    {
    }

    void readRequest()
    {
        m_server->m_silent.enter(*this, m_place, steadyNow());
        m_timer.expires_after(SilenceTimeout);
        m_timer.async_wait([self = shared_from_this()](error_code error) {
            if (!error)
                self->close();
        });
        boost::asio::async_read_until(
                m_socket, boost::asio::dynamic_buffer(m_request, MaxRequestBytes), "\r\n\r\n",
                [self = shared_from_this()](error_code error, std::size_t bytes) {
                    if (error || self->m_server == nullptr)
                        self->close();
                    else
                        self->respond(bytes);
                });
    }

    void close()
    {
        const auto self = shared_from_this();
        client_queue<readiness_session>::leave(m_place);
        m_timer.cancel();
        error_code ignored; // The socket is closed in any case.
        m_socket.close(ignored);
        if (m_server != nullptr)
            std::exchange(m_server, nullptr)->m_sessions.erase(self);
    }

private:
    /// The timer of the read also limits the time of the write.
    void respond(std::size_t requestBytes)
    {
        m_response = m_server->m_respond(std::string_view(m_request).substr(0, requestBytes));
        m_request.erase(0, requestBytes);
        boost::asio::async_write(m_socket, boost::asio::buffer(m_response),
                                 [self = shared_from_this()](error_code error, std::size_t) {
                                     freeText(self->m_response);
                                     if (error || self->m_server == nullptr)
                                         self->close();
                                     else
                                         self->readRequest();
                                 });
    }

    tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    readiness_server *m_server; ///< Null once the session is closed.
    client_queue<readiness_session>::place m_place;
    std::string m_request;
    std::string m_response;
};

readiness_server::readiness_server(boost::asio::io_context &context, std::size_t maxSessions,
                                   respond_function respond)
    : m_context(context)
    , m_maxSessions(maxSessions)
    , m_respond(std::move(respond))
{
}

readiness_server::~readiness_server()
{
    while (!m_sessions.empty())
        (*m_sessions.begin())->close();
}

void readiness_server::accepted(tcp::socket socket)
{
    if (m_sessions.size() >= m_maxSessions)
        closeOldest();
    const auto session = std::make_shared<readiness_session>(std::move(socket), *this);
    m_sessions.insert(session);
    session->readRequest();
}

void readiness_server::closeOldest()
{
    if (readiness_session *oldest = m_silent.oldest())
        oldest->close();
}

} // namespace burdockhold
