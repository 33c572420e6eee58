#include "burdockhold/connection_pool.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <utility>

namespace burdockhold {

using boost::system::error_code;

namespace {

constexpr std::size_t MaxIdlePerAddress = 8;

} // namespace

void checkConnect(boost::asio::io_context &context, const std::string &address, duration timeout,
                  const std::function<void(connect_outcome)> &done)
{
    const auto server = parseAddress(address);
    if (!server) {
        boost::asio::post(context, [done] { done(connect_outcome::NoAnswer); });
        return;
    }
    const auto socket = std::make_shared<boost::asio::ip::tcp::socket>(context);
    const auto timer = std::make_shared<boost::asio::steady_timer>(context, timeout);
    timer->async_wait([socket](error_code error) {
        error_code ignored; // The connect reports the end of a socket closed here.
        if (!error)
            socket->close(ignored);
    });
    socket->async_connect(*server, [socket, timer, done](error_code error) {
        timer->cancel();
        const bool refused = error == boost::asio::error::connection_refused
                             || error == boost::asio::error::connection_reset;
        done(!error    ? connect_outcome::Accepted
             : refused ? connect_outcome::Refused
                       : connect_outcome::NoAnswer);
    });
}

std::shared_ptr<http_client_connection> connection_pool::take(const std::string &address,
                                                              bool mayReuse)
{
    const auto idle = m_idle.find(address);
    while (mayReuse && idle != m_idle.end() && !idle->second.empty()) {
        std::shared_ptr<http_client_connection> link = std::move(idle->second.back());
        idle->second.pop_back();
        if (link->isReusable())
            return link;
        link->close();
    }
    const auto server = parseAddress(address);
    return server ? std::make_shared<http_client_connection>(m_context, *server) : nullptr;
}

void connection_pool::giveBack(const std::string &address,
                               std::shared_ptr<http_client_connection> link)
{
    auto &idle = m_idle[address];
    if (!link->isReusable() || idle.size() >= MaxIdlePerAddress) {
        link->close();
        return;
    }
    idle.push_back(std::move(link));
}

void connection_pool::sweep()
{
    for (auto row = m_idle.begin(); row != m_idle.end();) {
        auto &links = row->second;
        const auto dead = std::remove_if(links.begin(), links.end(), [](const auto &link) {
            if (link->isReusable())
                return false;
            link->close();
            return true;
        });
        links.erase(dead, links.end());
        row = links.empty() ? m_idle.erase(row) : std::next(row);
    }
}

} // namespace burdockhold
