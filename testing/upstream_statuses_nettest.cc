#define BOOST_TEST_MODULE upstream_statuses
#include "burdockhold/upstream.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <functional>
#include <future>
#include <string>
#include <thread>
#include <vector>

using namespace burdockhold;
using boost::asio::ip::tcp;

namespace {

/// Only ends a test that would hang.
constexpr std::chrono::seconds WaitLimit(30);

/// What an observer got of one call.
struct call_record
{
    std::vector<int> statuses;
    std::string body;
    bool failed = false;
};

class recording_observer : public upstream_observer
{
public:
    void onHeaders(const upstream_response &response) override
    {
        m_record.statuses.push_back(response.status);
    }
    bool onBytes(std::string_view bytes) override
    {
        m_record.body.append(bytes);
        return true;
    }
    void onEnd(const std::optional<upstream_failure> &failure) override
    {
        m_record.failed = failure.has_value();
        m_end.set_value();
    }

    call_record record()
    {
        BOOST_REQUIRE((m_end.get_future().wait_for(WaitLimit) == std::future_status::ready));
        return m_record;
    }

private:
    call_record m_record;
    std::promise<void> m_end;
};

/// Serves connections one after the other.
class scripted_server
{
public:
    using script = std::function<void(tcp::socket &)>;

    explicit scripted_server(script serve)
        : m_acceptor(m_context, { boost::asio::ip::address_v4::loopback(), 0 })
        , m_serve(std::move(serve))
        , m_thread([this] { run(); })
    {
    }

    ~scripted_server()
    {
        m_stopping = true;
        tcp::socket wakeUp(m_context);
        wakeUp.connect(m_acceptor.local_endpoint());
        m_thread.join();
    }

    std::string url() const
    {
        return "http://127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

private:
    void run()
    {
        while (true) {
            tcp::socket socket = m_acceptor.accept();
            if (m_stopping)
                return;
            m_serve(socket);
        }
    }

    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor;
    script m_serve;
    std::atomic<bool> m_stopping{ false };
    std::thread m_thread;
};

std::string readHead(tcp::socket &socket)
{
    boost::system::error_code error;
    std::string request;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", error);
    return request;
}

void send(tcp::socket &socket, const std::string &bytes)
{
    boost::system::error_code ignored; // The client may have closed.
    boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
}

call_record callOnce(upstream_clients &clients, const std::string &url,
                     const std::string &body = "")
{
    const auto observer = std::make_shared<recording_observer>();
    upstream_request request;
    request.url = url;
    request.path = "/";
    request.method = "POST";
    request.body = body;
    upstream_clients::startCall(clients.prepareCall(request, observer));
    return observer->record();
}

const std::vector<std::string> framings{
    "Connection: close\r\n\r\nbody", "Content-Length: 0\r\n\r\n", "Content-Length: 4\r\n\r\nbody",
    "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
};

} // namespace

// Guards against a status that is none, or an interim one, that a caller gets as the answer.
BOOST_AUTO_TEST_CASE(statusThatIsNoAnswerFailsTheCall)
{
    for (const char *status : { "000", "001", "099", "100", "103", "199", "600", "999", "20",
                                "2000", "+200", "-200", "65736", "2x0", "" }) {
        for (const std::string &framing : framings) {
            scripted_server server([&](tcp::socket &socket) {
                readHead(socket);
                send(socket, "HTTP/1.1 " + std::string(status) + " Text\r\n" + framing);
            });
            upstream_clients clients({});
            const call_record call = callOnce(clients, server.url());
            BOOST_TEST_CONTEXT("status '" << status << "', " << framing)
            {
                BOOST_TEST(call.failed);
                BOOST_TEST(call.statuses.empty());
                BOOST_TEST(call.body.empty());
            }
        }
    }
}

// Guards against a connection that is used again after such a response: the bytes behind it would
// be the answer to the next request.
BOOST_AUTO_TEST_CASE(connectionIsNotUsedAgainAfterSuchAStatus)
{
    for (const char *status : { "000", "100", "600" }) {
        std::atomic<int> connections{ 0 };
        scripted_server server([&](tcp::socket &socket) {
            ++connections;
            if (connections == 1) {
                readHead(socket);
                send(socket,
                     "HTTP/1.1 " + std::string(status) + " Text\r\nContent-Length: 0\r\n\r\n");
                std::this_thread::sleep_for(std::chrono::milliseconds(50));
                send(socket, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst");
                readHead(socket); // Until the client closes.
                return;
            }
            readHead(socket);
            send(socket, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond");
        });
        upstream_clients clients({});
        const call_record first = callOnce(clients, server.url());
        const call_record second = callOnce(clients, server.url());
        BOOST_TEST(first.failed, status);
        BOOST_TEST(second.body == "second", status);
    }
}

// Guards against a response without a length that looks complete although its connection was reset
// while the request was written.
BOOST_AUTO_TEST_CASE(resetWhileTheRequestIsWrittenDoesNotCompleteAResponse)
{
    for (const std::size_t bytes :
         { std::size_t(10), std::size_t(200) * 1024, std::size_t(32) * 1024 * 1024 }) {
        for (const bool separate : { false, true }) {
            scripted_server server([&](tcp::socket &socket) {
                readHead(socket);
                send(socket, std::string("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
                                     + (separate ? "" : "event"));
                std::this_thread::sleep_for(std::chrono::milliseconds(40));
                if (separate)
                    send(socket, "event");
                socket.set_option(boost::asio::socket_base::linger(true, 0));
            });
            upstream_clients clients({});
            BOOST_TEST(callOnce(clients, server.url(), std::string(bytes, 'x')).failed, bytes);
        }
    }
}
