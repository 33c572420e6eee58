#include "burdockhold/admin_server.h"

#include "burdockhold/task_guard.h"

#include <cpprest/http_listener.h>

#include <map>
#include <utility>

namespace burdockhold {

namespace {

using web::http::http_request;
using web::http::experimental::listener::http_listener;

void send(const http_request &message, const admin_reply &reply)
{
    web::http::http_response response(static_cast<web::http::status_code>(reply.status));
    response.set_body(reply.body, reply.contentType);
    message.reply(response).then([](const pplx::task<void> &done) {
        try {
            done.get();
        } catch (...) {
            // The client left before the reply was written; nothing depends on it.
        }
    });
}

} // namespace

class admin_server::impl
{
public:
    impl(std::string address, const std::vector<admin_page> &pages)
        : m_address(std::move(address))
    {
        for (const admin_page &page : pages)
            m_pages[page.path][page.method] = page;
    }

    result<success, admin_error> start()
    {
        try {
            m_listener = http_listener(web::uri(m_address));
            m_listener.support([this](const http_request &message) { handle(message); });
            m_listener.open().wait();
        } catch (const std::exception &error) {
            return basic_error<admin_error>{ admin_error::CannotListen, error.what(), m_address };
        }
        m_listening = true;
        return success{};
    }

    void stop()
    {
        if (!m_listening)
            return;
        m_listening = false;
        m_listener.close().wait();
    }

private:
    void handle(const http_request &message)
    {
        const auto path = m_pages.find(message.relative_uri().path());
        if (path == m_pages.end()) {
            send(message, { 404, "text/plain", "no such page\n" });
            return;
        }
        const auto page = path->second.find(message.method());
        if (page == path->second.end()) {
            send(message, { 405, "text/plain", "method not allowed\n" });
            return;
        }
        answer(message, page->second);
    }

    static void answer(const http_request &message, const admin_page &page)
    {
        http_request request = message; // Shares the request; reading its body needs a mutable one.
        request.extract_utf8string(true).then([message, page](const pplx::task<std::string> &body) {
            runStep("admin_server", "", [&] { answerRead(message, page, body); });
        });
    }

    static void answerRead(const http_request &message, const admin_page &page,
                           const pplx::task<std::string> &body)
    {
        try {
            if (page.handler)
                send(message, page.handler(body.get()));
            else
                page.slowHandler(body.get(),
                                 [message](const admin_reply &reply) { send(message, reply); });
        } catch (const std::exception &error) {
            send(message, { 400, "text/plain", std::string(error.what()) + "\n" });
        }
    }

    std::string m_address;
    std::map<std::string, std::map<std::string, admin_page>> m_pages;
    bool m_listening = false;
    http_listener m_listener;
};

admin_server::admin_server(std::string address, const std::vector<admin_page> &pages)
    : m_impl(std::make_unique<impl>(std::move(address), pages))
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
