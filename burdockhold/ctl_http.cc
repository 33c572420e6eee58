#include "burdockhold/ctl_http.h"

#include <cpprest/http_client.h>

#include <algorithm>
#include <memory>

namespace burdockhold {

namespace {

namespace http = web::http;

basic_error<http_call_error> noAnswer(const std::string &text, const std::string &url)
{
    return { http_call_error::NoAnswer, text, url };
}

pplx::task<http_call_result> startCall(const http_call &call, duration timeout)
{
    http::client::http_client_config config;
    config.set_timeout(std::chrono::duration_cast<std::chrono::microseconds>(timeout));
    const std::string url = call.url;
    std::shared_ptr<http::client::http_client> client;
    http::http_request request(call.method);
    try {
        client = std::make_shared<http::client::http_client>(url, config);
        if (!call.body.empty())
            request.set_body(call.body, "application/json");
    } catch (const std::exception &error) {
        return pplx::task_from_result<http_call_result>(noAnswer(error.what(), url));
    }
    return client->request(request)
            .then([](const http::http_response &response) {
                return response.extract_utf8string(true).then([response](const std::string &body) {
                    return http_answer{ static_cast<int>(response.status_code()), body };
                });
            })
            .then([url, client](const pplx::task<http_answer> &done) -> http_call_result {
                try {
                    return done.get();
                } catch (const std::exception &error) {
                    return noAnswer(error.what(), url);
                }
            });
}

} // namespace

std::vector<http_call_result> ctl_http::callAll(const std::vector<http_call> &calls)
{
    std::vector<http_call_result> results;
    results.reserve(calls.size());
    for (std::size_t first = 0; first < calls.size(); first += m_options.concurrent) {
        const std::size_t end = std::min(calls.size(), first + m_options.concurrent);
        std::vector<pplx::task<http_call_result>> running;
        for (std::size_t i = first; i < end; ++i)
            running.push_back(startCall(calls[i], m_options.timeout));
        for (auto &task : running)
            results.push_back(task.get());
    }
    return results;
}

} // namespace burdockhold
