#include "testing/support_slow_link.h"

#include "burdockhold/clock.h"
#include "burdockhold/http_client_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <numeric>
#include <utility>

namespace burdockhold::testing {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t PieceBytes = 4096;
constexpr int SmallBuffer = 8192; // Large socket buffers would hide the rate from the server.

/// One direction of a relayed connection.
struct link_direction
{
    tcp::socket &from;
    tcp::socket &to;
    bool isLimited = false;
    std::array<char, PieceBytes> bytes{};
};

} // namespace

class slow_link_session : public std::enable_shared_from_this<slow_link_session>
{
public:
    slow_link_session(tcp::socket caller, slow_link &owner)
        : m_caller(std::move(caller))
        , m_server(owner.m_io)
        , m_timer(owner.m_io)
        , m_owner(owner)
        , m_number(owner.m_nextSession++)
    {
    }

    void start()
    {
        m_server.open(tcp::v4());
        m_server.set_option(boost::asio::socket_base::receive_buffer_size(SmallBuffer));
        m_server.async_connect(m_owner.m_server, [self = shared_from_this()](error_code error) {
            if (error)
                return;
            self->pass(self->m_requests);
            self->pass(self->m_responses);
        });
    }

private:
    void pass(link_direction &direction)
    {
        direction.from.async_read_some(
                boost::asio::buffer(direction.bytes),
                [self = shared_from_this(), &direction](error_code error, std::size_t bytes) {
                    if (error)
                        self->close();
                    else
                        self->write(direction, bytes);
                });
    }

    void write(link_direction &direction, std::size_t bytes)
    {
        if (!direction.isLimited)
            m_lastRequest.assign(direction.bytes.data(), bytes);
        if (isSilent()) {
            pass(direction);
            return;
        }
        boost::asio::async_write(
                direction.to, boost::asio::buffer(direction.bytes, bytes),
                [self = shared_from_this(), &direction](error_code error, std::size_t written) {
                    if (error)
                        self->close();
                    else if (direction.isLimited)
                        self->passAfterPause(direction, written);
                    else
                        self->pass(direction);
                });
    }

    bool isSilent()
    {
        const std::string &text = m_owner.m_silentText;
        m_isSilent = m_isSilent || m_number < m_owner.m_silentSessions
                     || (!text.empty() && m_lastRequest.find(text) != std::string::npos);
        return m_isSilent;
    }

    void passAfterPause(link_direction &direction, std::size_t bytes)
    {
        m_owner.m_bytesPassed += bytes;
        const std::size_t rate = m_owner.m_bytesPerSecond;
        m_timer.expires_after(fromSeconds(static_cast<double>(bytes) / static_cast<double>(rate)));
        m_timer.async_wait([self = shared_from_this(), &direction](error_code error) {
            if (!error)
                self->pass(direction);
        });
    }

    void close()
    {
        error_code ignored; // Both sockets are closed in any case.
        m_caller.close(ignored);
        m_server.close(ignored);
        m_timer.cancel();
    }

    tcp::socket m_caller;
    tcp::socket m_server;
    boost::asio::steady_timer m_timer;
    slow_link &m_owner;
    int m_number;
    bool m_isSilent = false;
    std::string m_lastRequest;
    link_direction m_requests{ m_caller, m_server };
    link_direction m_responses{ m_server, m_caller, true };
};

slow_link::slow_link(const std::string &serverAddress, std::size_t bytesPerSecond)
    : m_acceptor(m_io, { boost::asio::ip::make_address("127.0.0.1"), 0 })
    , m_server(parseAddress(serverAddress).value())
    , m_port(m_acceptor.local_endpoint().port())
    , m_bytesPerSecond(bytesPerSecond)
{
    accept();
    m_thread = std::thread([this] { m_io.run(); });
}

slow_link::~slow_link()
{
    m_io.stop();
    m_thread.join();
}

void slow_link::silenceOpen()
{
    boost::asio::post(m_io, [this] { m_silentSessions = m_nextSession; });
}

void slow_link::silenceRequestsWith(const std::string &text)
{
    boost::asio::post(m_io, [this, text] { m_silentText = text; });
}

void slow_link::accept()
{
    m_acceptor.async_accept([this](error_code error, tcp::socket caller) {
        if (error)
            return;
        std::make_shared<slow_link_session>(std::move(caller), *this)->start();
        accept();
    });
}

std::vector<std::size_t> linksByTraffic(const std::vector<std::unique_ptr<slow_link>> &links,
                                        const std::function<void()> &pause)
{
    std::vector<std::size_t> before;
    before.reserve(links.size());
    for (const auto &link : links)
        before.push_back(link->bytesPassed());
    pause();
    std::vector<std::size_t> passed;
    passed.reserve(links.size());
    for (std::size_t index = 0; index < links.size(); ++index)
        passed.push_back(links[index]->bytesPassed() - before[index]);
    std::vector<std::size_t> order(links.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(order.begin(), order.end(),
                     [&](std::size_t a, std::size_t b) { return passed[a] > passed[b]; });
    return order;
}

} // namespace burdockhold::testing
