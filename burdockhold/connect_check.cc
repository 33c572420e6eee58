#include "burdockhold/connect_check.h"

#include "burdockhold/http_client_connection.h"
#include "burdockhold/relay_request.h"
#include "burdockhold/socket_options.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace burdockhold {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

/// A connection attempt with a time limit.
struct connect_attempt
{
    connect_attempt(boost::asio::io_context &context, duration timeout)
        : socket(context)
        , timer(context, timeout)
    {
    }

    tcp::socket socket;
    boost::asio::steady_timer timer;
};

/// Closing the socket at the end of the time completes what runs on it with an error.
std::shared_ptr<connect_attempt> startAttempt(boost::asio::io_context &context,
                                              const connect_check_options &options)
{
    auto attempt = std::make_shared<connect_attempt>(context, options.timeout);
    // Without a socket, the connect fails and is inconclusive.
    openFrom(attempt->socket, options.localAddress);
    attempt->timer.async_wait([attempt](error_code error) {
        error_code ignored; // The socket is closed in any case.
        if (!error)
            attempt->socket.close(ignored);
    });
    return attempt;
}

connect_outcome outcomeOf(std::optional<relay_answer> answer)
{
    if (answer == relay_answer::Connected)
        return connect_outcome::Accepted;
    return answer == relay_answer::EndpointRefused ? connect_outcome::Refused
                                                   : connect_outcome::Inconclusive;
}

} // namespace

void checkConnect(boost::asio::io_context &context, const std::string &address,
                  const connect_check_options &options,
                  const std::function<void(connect_outcome)> &done)
{
    const auto server = parseAddress(address);
    if (!server) {
        boost::asio::post(context, [done] { done(connect_outcome::Inconclusive); });
        return;
    }
    const auto attempt = startAttempt(context, options);
    attempt->socket.async_connect(*server, [attempt, done](error_code error) {
        attempt->timer.cancel();
        const bool refused = error == boost::asio::error::connection_refused
                             || error == boost::asio::error::connection_reset;
        done(!error    ? connect_outcome::Accepted
             : refused ? connect_outcome::Refused
                       : connect_outcome::Inconclusive);
    });
}

void checkRelayedConnect(boost::asio::io_context &context, const tcp::endpoint &relay,
                         const std::string &address, const connect_check_options &options,
                         const std::function<void(connect_outcome)> &done)
{
    const auto attempt = startAttempt(context, options);
    attempt->socket.async_connect(relay, [attempt, address, done](error_code error) {
        if (error) {
            attempt->timer.cancel();
            done(connect_outcome::Inconclusive);
            return;
        }
        requestRelay(attempt->socket, address,
                     [attempt, done](std::optional<relay_answer> answer, const std::string &) {
                         attempt->timer.cancel();
                         done(outcomeOf(answer));
                     });
    });
}

} // namespace burdockhold
