#include "burdockhold/http_listener.h"

#include "burdockhold/connection_acceptor.h"
#include "burdockhold/listener_connection.h"
#include "burdockhold/task_guard.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include <future>
#include <thread>
#include <utility>

namespace burdockhold {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::string_view Component = "http_listener";
// Handlers compute little: the digest of a key, and parsing a body of up to some MB.
constexpr std::size_t Workers = 4;

/// Reads "http://IP:PORT". The error is set if the text is another one.
tcp::endpoint parseAddress(const std::string &address, error_code &error)
{
    constexpr std::string_view Scheme = "http://";
    const std::size_t colon = address.rfind(':');
    if (address.compare(0, Scheme.size(), Scheme) != 0 || colon < Scheme.size()) {
        error = boost::asio::error::invalid_argument;
        return {};
    }
    const auto ip = boost::asio::ip::make_address(
            address.substr(Scheme.size(), colon - Scheme.size()), error);
    const int port = std::atoi(address.c_str() + colon + 1);
    return { ip, static_cast<unsigned short>(port) };
}

} // namespace

class http_listener::impl
{
public:
    impl(listener_options options, handler onCall)
        : m_core(std::make_shared<listener_core>(std::move(options), std::move(onCall), Workers))
        , m_acceptor(m_core->io)
    {
    }

    result<success, listener_error> start()
    {
        const std::string &address = m_core->options.address;
        error_code error;
        const tcp::endpoint endpoint = parseAddress(address, error);
        const std::string failure = error ? error.message() : m_acceptor.listen(endpoint);
        if (!failure.empty())
            return basic_error<listener_error>{ listener_error::CannotListen, failure, address };
        m_acceptor.start({ [this](tcp::socket socket) { accepted(std::move(socket)); },
                           [this] {
                               m_core->clients.limitReached(listener_limit::Descriptors, "accept");
                               m_core->clients.freeDescriptor();
                           } });
        m_thread = std::thread([core = m_core] { run(*core); });
        return success{};
    }

    void stopReading()
    {
        boost::asio::post(m_core->io, [core = m_core] {
            for (const auto &connection : core->clients.open())
                connection->endBody(body_end::Stopped);
        });
    }

    void stop()
    {
        if (m_thread.joinable()) {
            std::promise<void> closed;
            boost::asio::post(m_core->io, [&] {
                m_acceptor.close();
                for (const auto &connection : m_core->clients.open())
                    connection->close();
                closed.set_value();
            });
            closed.get_future().wait();
            m_work.reset();
            m_core->io.stop();
            m_thread.join();
        }
        m_core->workers.join();
    }

private:
    void accepted(tcp::socket socket)
    {
        std::make_shared<listener_connection>(std::move(socket), m_core)->start();
    }

    static void run(listener_core &core)
    {
        while (!core.io.stopped())
            runStep(Component, "", [&core] { core.io.run(); });
    }

    std::shared_ptr<listener_core> m_core;
    connection_acceptor m_acceptor;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work{
        m_core->io.get_executor()
    };
    std::thread m_thread;
};

http_listener::http_listener(listener_options options, handler onCall)
    : m_impl(std::make_unique<impl>(std::move(options), std::move(onCall)))
{
}

http_listener::~http_listener()
{
    m_impl->stop();
}

result<success, listener_error> http_listener::start()
{
    return m_impl->start();
}

void http_listener::stopReading()
{
    m_impl->stopReading();
}

void http_listener::stop()
{
    m_impl->stop();
}

} // namespace burdockhold
