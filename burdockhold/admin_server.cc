#include "burdockhold/admin_server.h"

#include "burdockhold/http_listener.h"
#include "burdockhold/task_guard.h"

#include <map>
#include <utility>

namespace burdockhold {

namespace {

constexpr std::string_view Component = "admin_server";
// Pages take the digest of a key at most.
constexpr std::size_t MaxBodyBytes = std::size_t(64) * 1024;

using call_pointer = std::shared_ptr<http_call>;

void send(const call_pointer &call, const admin_reply &reply)
{
    call->respond(reply.status, { { "Content-Type", reply.contentType } }, reply.body, false);
}

void refuseBody(const call_pointer &call, body_end end)
{
    if (end == body_end::TooLarge)
        send(call, { 413, "text/plain", "the body is too long\n" });
    else if (end == body_end::TooSlow)
        send(call, { 408, "text/plain", "the body did not arrive in time\n" });
    else if (end == body_end::NoMemory || end == body_end::Stopped)
        send(call, { 503, "text/plain", "no room for the request\n" });
    else
        send(call, { 400, "text/plain", "the body ended early\n" });
}

} // namespace

class admin_server::impl
{
public:
    impl(const std::string &address, const std::vector<admin_page> &pages,
         const listener_clients::limit_callback &onLimit)
        : m_address(address)
        , m_listener(listenerOptions(address, onLimit),
                     [this](const call_pointer &call) { handle(call); })
    {
        for (const admin_page &page : pages)
            m_pages[page.path][page.method] = page;
    }

    result<success, admin_error> start()
    {
        const auto started = m_listener.start();
        if (!isOk(started))
            return basic_error<admin_error>{ admin_error::CannotListen, errorOf(started).text,
                                             m_address };
        return success{};
    }

    void stop() { m_listener.stop(); }

private:
    static listener_options listenerOptions(const std::string &address,
                                            const listener_clients::limit_callback &onLimit)
    {
        listener_options options;
        options.name = std::string(Component);
        options.address = address;
        options.descriptors = AdminDescriptors;
        options.memoryBytes = AdminMemoryBytes;
        options.onLimit = onLimit;
        return options;
    }

    void handle(const call_pointer &call)
    {
        const request_head &head = call->head();
        if (head.refusalStatus != 0) {
            send(call, { head.refusalStatus, "text/plain", "the request is malformed\n" });
            return;
        }
        const auto path = m_pages.find(head.path);
        if (path == m_pages.end()) {
            send(call, { 404, "text/plain", "no such page\n" });
            return;
        }
        const auto page = path->second.find(head.method);
        if (page == path->second.end()) {
            send(call, { 405, "text/plain", "method not allowed\n" });
            return;
        }
        call->readBody(MaxBodyBytes, [call, page = page->second](const received_body &body) {
            if (body.end == body_end::Complete)
                answer(call, page, body.text);
            else
                refuseBody(call, body.end);
        });
    }

    static void answer(const call_pointer &call, const admin_page &page, const std::string &body)
    {
        runStep(Component, "", [&] { answerRead(call, page, body); });
    }

    static void answerRead(const call_pointer &call, const admin_page &page,
                           const std::string &body)
    {
        try {
            if (page.handler)
                send(call, page.handler(body));
            else
                page.slowHandler(body, [call](const admin_reply &reply) { send(call, reply); });
        } catch (const std::exception &error) {
            send(call, { 400, "text/plain", std::string(error.what()) + "\n" });
        }
    }

    std::string m_address;
    std::map<std::string, std::map<std::string, admin_page>> m_pages;
    http_listener m_listener;
};

admin_server::admin_server(const std::string &address, const std::vector<admin_page> &pages,
                           const listener_clients::limit_callback &onLimit)
    : m_impl(std::make_unique<impl>(address, pages, onLimit))
{
}

admin_server::~admin_server()
{
    m_impl->stop();
}

result<success, admin_error> admin_server::start()
{
    return m_impl->start();
}

void admin_server::stop()
{
    m_impl->stop();
}

} // namespace burdockhold
