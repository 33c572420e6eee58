#include "burdockhold/upstream.h"

#include "burdockhold/stream_reader.h"
#include "burdockhold/task_guard.h"

#include <boost/asio/steady_timer.hpp>
#include <cpprest/http_client.h>
#include <cpprest/producerconsumerstream.h>
#include <pplx/threadpool.h>

#include <map>
#include <mutex>
#include <utility>

namespace burdockhold {

namespace {

using web::http::http_request;
using web::http::http_response;
using web::http::client::http_client;
using web::http::client::http_client_config;
using byte_buffer = concurrency::streams::producer_consumer_buffer<std::uint8_t>;

// cpprest reports a failure to connect only by this text; its error codes also occur on
// established connections.
constexpr std::string_view ConnectFailurePrefix = "Failed to connect";

upstream_failure describe(const std::exception &error)
{
    const std::string text = error.what();
    const bool notConnected = text.compare(0, ConnectFailurePrefix.size(), ConnectFailurePrefix)
                              == 0;
    return { notConnected ? upstream_error::NotConnected : upstream_error::ConnectionLost, text,
             "" };
}

std::string findHeader(const std::vector<header> &headers, std::string_view name)
{
    web::http::http_headers lookup;
    for (const header &field : headers)
        lookup.add(field.name, field.value);
    const auto found = lookup.find(std::string(name));
    return found == lookup.end() ? "" : found->second;
}

class running_call : public upstream_call, public std::enable_shared_from_this<running_call>
{
public:
    running_call(std::shared_ptr<http_client> client, upstream_options options,
                 upstream_request request, std::shared_ptr<upstream_observer> observer)
        : m_client(std::move(client))
        , m_options(options)
        , m_request(std::move(request))
        , m_requestId(findHeader(m_request.headers, "X-Request-Id"))
        , m_observer(std::move(observer))
        , m_timer(crossplat::threadpool::shared_instance().service())
    {
    }

    void start()
    {
        if (!guard([this] { begin(); }))
            finish(failedStep());
    }

    void cancel() override { stop({ upstream_error::Cancelled, "the call was cancelled", "" }); }

private:
    /// Runs a step of the call. Returns false if it threw.
    template <typename Step>
    bool guard(const Step &step) const
    {
        return runStep("upstream", m_requestId, step);
    }

    /// The failure of a call whose step threw. Whether the request was written is unknown.
    static upstream_failure failedStep()
    {
        return { upstream_error::ConnectionLost, "a step of the call failed", "" };
    }

    void begin()
    {
        setDeadline(m_request.silence.value_or(m_options.firstToken));
        watch();
        if (m_client == nullptr) {
            finish(upstream_failure{ upstream_error::NotConnected, "the endpoint's URL is invalid",
                                     m_request.url });
            return;
        }
        try {
            send();
        } catch (const std::exception &error) {
            finish(upstream_failure{ upstream_error::NotConnected, error.what(), m_request.url });
        }
    }

    void send()
    {
        http_request message(m_request.method);
        message.set_request_uri(web::uri(m_request.path));
        if (!m_request.body.empty())
            message.set_body(m_request.body, std::string("application/octet-stream"));
        for (const header &field : m_request.headers) {
            message.headers().remove(field.name);
            message.headers().add(field.name, field.value);
        }
        message.set_response_stream(m_buffer.create_ostream());
        auto self = shared_from_this();
        m_client->request(message, m_cancellation.get_token())
                .then([self](const pplx::task<http_response> &task) {
                    if (self->guard([&] { self->onResponse(task); }))
                        return;
                    self->stop(failedStep());
                    self->finish(failedStep());
                });
    }

    void onResponse(const pplx::task<http_response> &task)
    {
        http_response message;
        try {
            message = task.get();
        } catch (const std::exception &error) {
            finish(describe(error));
            return;
        }
        upstream_response response;
        response.status = message.status_code();
        for (const auto &field : message.headers())
            response.headers.push_back({ field.first, field.second });
        m_observer->onHeaders(response);

        auto self = shared_from_this();
        message.content_ready().then([self](const pplx::task<http_response> &ready) {
            if (!self->guard([&] { self->onContentReady(ready); }))
                self->stop(failedStep());
        });
        readStream(m_buffer, { [self](std::string_view bytes) { return self->takePiece(bytes); },
                               [self] { self->onStreamEnd(); } });
    }

    bool takePiece(std::string_view bytes)
    {
        bool more = false;
        if (!guard([&] { more = onPiece(bytes); }))
            stop(failedStep());
        return more;
    }

    void onContentReady(const pplx::task<http_response> &ready)
    {
        try {
            ready.get();
        } catch (const std::exception &error) {
            upstream_failure failure{ upstream_error::ConnectionLost, error.what(), "" };
            const std::lock_guard<std::mutex> lock(m_mutex);
            if (!m_failure)
                m_failure = std::move(failure);
        }
        m_buffer.close(std::ios_base::out);
    }

    bool onPiece(std::string_view bytes)
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            if (m_stopped)
                return false;
        }
        if (m_observer->onBytes(bytes))
            setDeadline(m_request.silence.value_or(m_options.betweenTokens));
        return true;
    }

    void onStreamEnd()
    {
        std::optional<upstream_failure> failure;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            failure = m_failure;
        }
        finish(failure);
    }

    /// Ends the call early. The first reason given is the one reported.
    void stop(upstream_failure reason)
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            if (m_ended || m_stopped)
                return;
            m_stopped = true;
            m_failure = std::move(reason);
        }
        m_cancellation.cancel();
        m_buffer.close(std::ios_base::out);
    }

    void finish(std::optional<upstream_failure> failure)
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            if (m_ended)
                return;
            m_ended = true;
            if (m_stopped)
                failure = m_failure;
            m_timer.cancel();
        }
        guard([&] { m_observer->onEnd(failure); });
        m_observer.reset();
    }

    void setDeadline(duration wait)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_progressed = m_deadline != time_point();
        m_deadline = steadyNow() + wait;
        // The gap between tokens is usually shorter than the wait for the first one.
        if (m_progressed && m_deadline < m_timer.expiry())
            m_timer.expires_at(m_deadline);
    }

    /// Sleeps until the deadline; when it moved meanwhile, sleeps again.
    void watch()
    {
        auto self = shared_from_this();
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_ended || m_stopped)
            return;
        m_timer.expires_at(m_deadline);
        m_timer.async_wait([self](const boost::system::error_code &) {
            // Without its watchdog a silent call would not end.
            if (!self->guard([&] { self->onTimer(); }))
                self->stop(failedStep());
        });
    }

    void onTimer()
    {
        upstream_error kind = upstream_error::Silent;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            if (m_ended)
                return;
            if (!m_progressed)
                kind = upstream_error::FirstTokenTimeout;
        }
        if (deadlinePassed())
            stop({ kind, "the endpoint is silent", m_request.url });
        else
            watch();
    }

    bool deadlinePassed()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return steadyNow() >= m_deadline;
    }

    std::shared_ptr<http_client> m_client;
    upstream_options m_options;
    upstream_request m_request;
    std::string m_requestId;
    std::shared_ptr<upstream_observer> m_observer;
    byte_buffer m_buffer;
    pplx::cancellation_token_source m_cancellation;

    std::mutex m_mutex;
    boost::asio::steady_timer m_timer;
    time_point m_deadline;
    bool m_progressed = false;
    bool m_stopped = false;
    bool m_ended = false;
    std::optional<upstream_failure> m_failure;
};

} // namespace

bool mayHaveReached(upstream_error error)
{
    return error != upstream_error::NotConnected;
}

bool isSilence(upstream_error error)
{
    return error == upstream_error::FirstTokenTimeout || error == upstream_error::Silent;
}

std::string upstream_response::find(std::string_view name) const
{
    return findHeader(headers, name);
}

class upstream_clients::impl
{
public:
    explicit impl(upstream_options options)
        : m_options(options)
    {
    }

    std::shared_ptr<http_client> clientFor(const upstream_request &request)
    {
        if (request.connection == connection_use::Fresh)
            return makeClient(request.url);
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::shared_ptr<http_client> &client = m_clients[request.url];
        if (client == nullptr)
            client = makeClient(request.url);
        return client;
    }

    void replace(const std::string &url)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_clients.erase(url);
    }

    const upstream_options &options() const { return m_options; }

private:
    std::shared_ptr<http_client> makeClient(const std::string &url) const
    {
        http_client_config config;
        config.set_timeout(
                std::chrono::duration_cast<std::chrono::milliseconds>(m_options.backstop));
        try {
            return std::make_shared<http_client>(web::uri(url), config);
        } catch (const std::exception &) {
            return nullptr;
        }
    }

    upstream_options m_options;
    std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<http_client>> m_clients;
};

upstream_clients::upstream_clients(upstream_options options)
    : m_impl(std::make_unique<impl>(options))
{
}

upstream_clients::~upstream_clients() = default;

std::shared_ptr<upstream_call> upstream_clients::prepareCall(
        const upstream_request &request, std::shared_ptr<upstream_observer> observer)
{
    return std::make_shared<running_call>(m_impl->clientFor(request), m_impl->options(), request,
                                          std::move(observer));
}

void upstream_clients::startCall(const std::shared_ptr<upstream_call> &call)
{
    std::static_pointer_cast<running_call>(call)->start();
}

void upstream_clients::replaceConnections(const std::string &url)
{
    m_impl->replace(url);
}

} // namespace burdockhold
