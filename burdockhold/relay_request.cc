#include "burdockhold/relay_request.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <memory>
#include <utility>

namespace burdockhold {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

struct pending_request
{
    std::string message; ///< The request, then the answer.
    relay_request_handler done;
};

void readAnswer(tcp::socket &socket, const std::shared_ptr<pending_request> &request)
{
    request->message.clear();
    boost::asio::async_read_until(
            socket, boost::asio::dynamic_buffer(request->message, MaxRelayMessageBytes), "\r\n\r\n",
            [request](error_code error, std::size_t bytes) {
                if (error)
                    request->done(std::nullopt, {});
                else
                    request->done(decodeRelayAnswer(request->message),
                                  request->message.substr(bytes));
            });
}

} // namespace

void requestRelay(tcp::socket &socket, std::string_view endpointAddress, relay_request_handler done)
{
    const auto request = std::make_shared<pending_request>();
    request->message = encodeRelayRequest(endpointAddress);
    request->done = std::move(done);
    boost::asio::async_write(socket, boost::asio::buffer(request->message),
                             [&socket, request](error_code error, std::size_t) {
                                 if (error)
                                     request->done(std::nullopt, {});
                                 else
                                     readAnswer(socket, request);
                             });
}

} // namespace burdockhold
