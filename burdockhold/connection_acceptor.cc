#include "burdockhold/connection_acceptor.h"

#include "burdockhold/clock.h"

#include <utility>

namespace burdockhold {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr duration ExhaustedPause = std::chrono::milliseconds(20);

bool lacksDescriptors(error_code error)
{
    return error == boost::asio::error::no_descriptors || error == boost::asio::error::no_memory
           || error == boost::asio::error::no_buffer_space
           || error == boost::system::errc::too_many_files_open_in_system;
}

} // namespace

connection_acceptor::connection_acceptor(boost::asio::io_context &context)
    : m_context(context)
    , m_acceptor(context)
    , m_pause(context)
{
}

std::string connection_acceptor::listen(const tcp::endpoint &address)
{
    error_code error;
    m_acceptor.open(tcp::v4(), error);
    if (!error)
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        m_acceptor.bind(address, error);
    if (!error)
        m_acceptor.listen(tcp::acceptor::max_listen_connections, error);
    return error ? error.message() : std::string();
}

void connection_acceptor::start(acceptor_handlers handlers)
{
    m_handlers = std::move(handlers);
    accept();
}

void connection_acceptor::accept()
{
    m_acceptor.async_accept([this](error_code error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted)
            return;
        if (lacksDescriptors(error)) {
            pause();
            return;
        }
        // Any other error concerns a single connection. Accepts again before the handler, so that
        // an exception of it does not end that.
        accept();
        if (!error)
            m_handlers.accepted(std::move(socket));
    });
}

void connection_acceptor::pause()
{
    m_pause.expires_after(ExhaustedPause);
    m_pause.async_wait([this](error_code error) {
        if (!error)
            accept();
    });
    m_handlers.exhausted();
}

void connection_acceptor::acceptPending()
{
    error_code error;
    m_acceptor.non_blocking(true, error);
    while (!error) {
        tcp::socket socket(m_context);
        m_acceptor.accept(socket, error);
        if (!error)
            m_handlers.accepted(std::move(socket));
    }
}

void connection_acceptor::close()
{
    error_code ignored; // The listener is closed in any case.
    m_acceptor.close(ignored);
    m_pause.cancel();
}

} // namespace burdockhold
