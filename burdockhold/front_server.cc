#include "burdockhold/front_server.h"

#include "burdockhold/exchange.h"
#include "burdockhold/task_guard.h"

#include <openssl/rand.h>

#include <array>
#include <atomic>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

namespace burdockhold {

namespace {

/// Returns 128 random bits as hexadecimal digits. Ids are never taken from callers, because a
/// response is matched to its request by the id.
std::string newRequestId()
{
    std::array<unsigned char, 16> raw{};
    RAND_bytes(raw.data(), static_cast<int>(raw.size()));
    static constexpr std::string_view Digits = "0123456789abcdef";
    std::string id;
    for (const unsigned char byte : raw) {
        id.push_back(Digits[byte >> 4]);
        id.push_back(Digits[byte & 0x0f]);
    }
    return id;
}

/// The requests that are running. Shared with their callbacks.
class open_requests
{
public:
    void add(const std::shared_ptr<exchange> &request)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_requests[request->requestId()] = request;
    }

    void remove(const std::string &id)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_requests.erase(id);
    }

    std::size_t count() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_requests.size();
    }

    std::vector<std::shared_ptr<exchange>> list() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::vector<std::shared_ptr<exchange>> all;
        for (const auto &item : m_requests)
            all.push_back(item.second);
        return all;
    }

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<exchange>> m_requests;
};

constexpr std::chrono::milliseconds StopPollInterval(5);

} // namespace

class front_server::impl
{
public:
    impl(front_options options, const blackboard &board, front_services services)
        : m_options(std::move(options))
        , m_services(services)
        , m_clients(m_options.upstream)
        , m_responseBytes(m_options.allResponsesLimitBytes)
        , m_context{ m_options, board, m_services, m_clients, m_accepting, m_responseBytes }
    {
    }

    result<success, front_error> start()
    {
        const auto started = m_listener.start();
        if (!isOk(started))
            return basic_error<front_error>{ front_error::CannotListen, errorOf(started).text,
                                             m_options.address };
        m_listening = true;
        return success{};
    }

    void stopAccepting() { m_accepting = false; }

    std::size_t openRequests() const { return m_open->count(); }

    void cancelKey(const std::string &digest)
    {
        for (const auto &request : m_open->list()) {
            if (request->keyDigest() == digest)
                request->cancel();
        }
    }

    void cancelKeyedCompletions()
    {
        for (const auto &request : m_open->list()) {
            if (request->isKeyedCompletion())
                request->cancel();
        }
    }

    void stop()
    {
        m_accepting = false;
        if (!m_listening)
            return;
        m_listening = false;
        // Their replies are written before the listener closes their connections.
        while (m_open->count() > 0) {
            m_listener.stopReading();
            for (const auto &request : m_open->list())
                request->cancel();
            std::this_thread::sleep_for(StopPollInterval);
        }
        m_listener.stop();
    }

private:
    void handle(const std::shared_ptr<http_call> &call)
    {
        const std::string id = newRequestId();
        if (runStep("front_server", id, [&] { accept(call, id); }))
            return;
        m_open->remove(id);
        caller_reply reply(call, id);
        reply.sendError({ 503, error_type::NotRun, "exception", "the request was not run", "" });
    }

    void accept(const std::shared_ptr<http_call> &call, const std::string &requestId)
    {
        auto request = std::make_shared<exchange>(m_context, call, requestId);
        m_open->add(request);
        auto closed = [open = m_open, id = request->requestId()] { open->remove(id); };
        if (m_accepting)
            request->run(closed);
        else
            request->refuseStopping(closed);
    }

    static listener_options listenerOptions(const front_options &options,
                                            const front_services &services)
    {
        listener_options chosen = options.listener;
        chosen.name = "front_server";
        chosen.address = options.address;
        if (services.measures != nullptr)
            chosen.onLimit = [measures = services.measures](listener_limit limit) {
                measures->addListenerLimit(limit);
            };
        return chosen;
    }

    front_options m_options;
    front_services m_services;
    upstream_clients m_clients;
    byte_budget m_responseBytes;
    std::atomic<bool> m_accepting{ true };
    exchange_context m_context;
    std::shared_ptr<open_requests> m_open = std::make_shared<open_requests>();
    bool m_listening = false;
    http_listener m_listener{ listenerOptions(m_options, m_services),
                              [this](const std::shared_ptr<http_call> &call) { handle(call); } };
};

front_server::front_server(front_options options, const blackboard &board, front_services services)
    : m_impl(std::make_unique<impl>(std::move(options), board, services))
{
}

front_server::~front_server()
{
    m_impl->stop();
}

result<success, front_error> front_server::start()
{
    return m_impl->start();
}

void front_server::stopAccepting()
{
    m_impl->stopAccepting();
}

std::size_t front_server::openRequests() const
{
    return m_impl->openRequests();
}

void front_server::cancelKey(const std::string &digest)
{
    m_impl->cancelKey(digest);
}

void front_server::cancelKeyedCompletions()
{
    m_impl->cancelKeyedCompletions();
}

void front_server::stop()
{
    m_impl->stop();
}

} // namespace burdockhold
