#include "burdockhold/log_client.h"

#include <cerrno>

namespace burdockhold {

namespace {

namespace http = web::http;

/// A response with its whole body.
struct full_response
{
    http::status_code status = 0;
    std::string body;
};

using response_result = result<full_response, log_error>;

/// The library reports every failure to connect as host_unreachable or connection_refused.
bool isConnectFailure(const std::error_code &code)
{
    return code == std::errc::host_unreachable || code == std::errc::connection_refused;
}

/// Runs a function that may throw what the HTTP library throws, and returns its result or the
/// error. A task that ended with an exception which nobody observes would end the process.
template <typename Answer, typename Function>
Answer convertErrors(const std::string &url, Function function)
{
    try {
        return function();
    } catch (const http::http_exception &error) {
        if (error.error_code().value() == ECANCELED)
            return basic_error<log_error>{ log_error::Cancelled, error.what(), url };
        const bool unconnected = isConnectFailure(error.error_code());
        return basic_error<log_error>{ unconnected ? log_error::NotApplied : log_error::Unknown,
                                       error.what(), url };
    } catch (const pplx::task_canceled &) {
        return basic_error<log_error>{ log_error::Cancelled, "the call was cancelled", url };
    } catch (const std::exception &error) {
        return basic_error<log_error>{ log_error::Unknown, error.what(), url };
    } catch (...) {
        return basic_error<log_error>{ log_error::Unknown, "an exception of an unknown type", url };
    }
}

/// Sends one request and reads the whole response.
pplx::task<response_result> send(const std::string &url, const http::http_request &request,
                                 duration timeout, const pplx::cancellation_token &cancelled)
{
    http::client::http_client_config config;
    config.set_timeout(std::chrono::duration_cast<std::chrono::microseconds>(timeout));
    std::shared_ptr<http::client::http_client> client;
    try {
        client = std::make_shared<http::client::http_client>(url, config);
    } catch (const std::exception &error) {
        return pplx::task_from_result<response_result>(
                basic_error<log_error>{ log_error::NotApplied, error.what(), url });
    }
    return client->request(request, cancelled)
            .then([](const http::http_response &response) {
                return response.extract_utf8string(true).then([response](const std::string &body) {
                    return full_response{ response.status_code(), body };
                });
            })
            .then([url, client](const pplx::task<full_response> &done) {
                return convertErrors<response_result>(
                        url, [&]() -> response_result { return done.get(); });
            });
}

std::string recordsPath(const std::string &stream)
{
    return "/streams/" + web::uri::encode_data_string(stream) + "/records";
}

/// Returns the error for a status that is no success.
basic_error<log_error> statusError(const std::string &url, http::status_code status)
{
    const bool refused = status >= 400 && status < 500
                         && status != http::status_codes::RequestTimeout;
    return { refused ? log_error::NotApplied : log_error::Unknown,
             "the log answered with status " + std::to_string(status), url };
}

template <typename T>
result<T, log_error> withContext(result<T, log_error> answer, const std::string &url)
{
    if (auto *error = std::get_if<1>(&answer))
        error->context = url;
    return answer;
}

result<append_answer, log_error> appendAnswer(const std::string &url,
                                              const response_result &response, std::size_t count)
{
    if (!isOk(response))
        return errorOf(response);
    const full_response &full = valueOf(response);
    if (full.status != http::status_codes::OK && full.status != http::status_codes::Created)
        return statusError(url, full.status);
    return withContext(parseAppendAnswer(full.body, count), url);
}

result<log_page, log_error> pageOf(const std::string &url, const response_result &response)
{
    if (!isOk(response))
        return errorOf(response);
    const full_response &full = valueOf(response);
    if (full.status == http::status_codes::Gone)
        return withContext(parseExpired(full.body), url);
    if (full.status != http::status_codes::OK)
        return statusError(url, full.status);
    return withContext(parsePage(full.body), url);
}

} // namespace

log_client::log_client(log_client_options options)
    : m_options(std::move(options))
{
}

pplx::task<result<append_answer, log_error>> log_client::append(
        const std::string &stream, const std::vector<std::string> &records) const
{
    using answer = result<append_answer, log_error>;
    http::http_request request(http::methods::POST);
    request.set_request_uri(recordsPath(stream));
    request.set_body(formatAppend(records), "application/json");
    const std::string url = m_options.url;
    const std::size_t count = records.size();
    return send(url, request, m_options.appendTimeout, pplx::cancellation_token::none())
            .then([url, count](const response_result &response) {
                return convertErrors<answer>(url,
                                             [&]() { return appendAnswer(url, response, count); });
            });
}

pplx::task<result<log_page, log_error>> log_client::read(
        const std::string &stream, log_offset from, std::size_t limit, duration wait,
        const pplx::cancellation_token &cancelled) const
{
    using answer = result<log_page, log_error>;
    const auto waitMs = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    web::uri_builder uri(recordsPath(stream));
    uri.append_query("from", std::to_string(from));
    uri.append_query("limit", std::to_string(limit));
    uri.append_query("wait_ms", std::to_string(waitMs));
    http::http_request request(http::methods::GET);
    request.set_request_uri(uri.to_uri());
    const std::string url = m_options.url;
    return send(url, request, wait + m_options.readTimeout, cancelled)
            .then([url](const response_result &response) {
                return convertErrors<answer>(url, [&]() { return pageOf(url, response); });
            });
}

} // namespace burdockhold
