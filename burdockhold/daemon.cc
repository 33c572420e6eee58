#include "burdockhold/daemon.h"

#include "burdockhold/admin_server.h"
#include "burdockhold/blackboard.h"
#include "burdockhold/config_follower.h"
#include "burdockhold/free_port.h"
#include "burdockhold/front_server.h"
#include "burdockhold/load_controller.h"
#include "burdockhold/logging.h"
#include "burdockhold/random_id.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <thread>
#include <utility>

namespace burdockhold {

namespace {

constexpr std::chrono::milliseconds DrainPollInterval(20);

log_client_options logOptions(const daemon_settings &settings)
{
    log_client_options options;
    options.url = settings.logUrl;
    options.appendTimeout = settings.logTimeout;
    options.readTimeout = settings.logTimeout;
    return options;
}

config_follower_options followerOptions(const daemon_settings &settings)
{
    config_follower_options options;
    options.follow.log = logOptions(settings);
    options.follow.wait = settings.logPollWait;
    options.follow.seed = std::random_device{}();
    options.retention = std::chrono::duration_cast<std::chrono::milliseconds>(
            settings.logRetention);
    return options;
}

front_options frontOptions(const daemon_settings &settings, const std::string &address)
{
    front_options options;
    options.address = address;
    options.bodyLimitBytes = static_cast<std::size_t>(settings.bodyLimitBytes);
    options.maxViewAge = settings.maxViewAge;
    options.resume.maxAttempts = static_cast<int>(settings.maxAttempts);
    options.upstream.firstToken = settings.firstTokenTimeout;
    options.upstream.betweenTokens = settings.interTokenTimeout;
    return options;
}

placement_router_options routingOptions(const daemon_settings &settings)
{
    placement_router_options options;
    options.retries.share = settings.retryPercent / 100.0;
    options.retries.minimum = settings.retryMinimum;
    // Queues change within the age of a load report, so that small excesses say nothing.
    options.health.minLatencyExcess = std::chrono::seconds(1);
    return options;
}

load_controller_options loadOptions(const daemon_settings &settings)
{
    load_controller_options options;
    options.interval = settings.loadInterval;
    options.seed = std::random_device{}();
    return options;
}

basic_error<daemon_error> cannotListen(const std::string &text, const std::string &address)
{
    return { daemon_error::CannotListen, text, address };
}

} // namespace

class router_daemon::impl
{
public:
    explicit impl(daemon_settings settings)
        : m_settings(std::move(settings))
        , m_chooser(routingOptions(m_settings))
    {
    }

    result<success, daemon_error> start()
    {
        result<success, daemon_error> addresses = chooseAddresses();
        if (!isOk(addresses))
            return addresses;
        m_config = std::make_unique<config_follower>(followerOptions(m_settings), m_board);
        m_loads = std::make_unique<load_controller>(
                loadOptions(m_settings), m_board,
                [this](const std::string &endpoint, const poll_result &answer) {
                    onPoll(endpoint, answer);
                });
        m_front = std::make_unique<front_server>(frontOptions(m_settings, m_url), m_board,
                                                 m_chooser);
        const result<success, front_error> front = m_front->start();
        if (!isOk(front))
            return cannotListen(errorOf(front).text, m_url);
        m_admin = std::make_unique<admin_server>(m_adminUrl, pages());
        const result<success, admin_error> admin = m_admin->start();
        if (!isOk(admin))
            return cannotListen(errorOf(admin).text, m_adminUrl);
        logEvent(log_level::Info, "daemon", "started",
                 { { "vm", m_settings.name }, { "url", m_url }, { "admin", m_adminUrl } });
        return success{};
    }

    std::size_t drainAndStop()
    {
        m_draining = true;
        logEvent(log_level::Info, "daemon", "draining", { { "open", m_front->openRequests() } });
        std::this_thread::sleep_for(m_settings.drainDelay);
        m_front->stopAccepting();

        const time_point deadline = steadyNow() + m_settings.drainTimeout;
        while (m_front->openRequests() > 0 && steadyNow() < deadline)
            std::this_thread::sleep_for(DrainPollInterval);
        const std::size_t cutOff = m_front->openRequests();
        m_front->stop();
        m_admin->stop();
        m_loads->stop();
        m_config->stop();
        logEvent(cutOff == 0 ? log_level::Info : log_level::Warn, "daemon", "stopped",
                 { { "cut_off", cutOff } });
        return cutOff;
    }

    const std::string &url() const { return m_url; }
    const std::string &adminUrl() const { return m_adminUrl; }
    bool drainRequested() const { return m_drainRequested; }

private:
    result<success, daemon_error> chooseAddresses()
    {
        const result<std::string, port_error> front = withFreePort(m_settings.listen);
        if (!isOk(front))
            return cannotListen(errorOf(front).text, m_settings.listen);
        m_url = valueOf(front);
        const result<std::string, port_error> admin = withFreePort(m_settings.adminListen);
        if (!isOk(admin))
            return cannotListen(errorOf(admin).text, m_settings.adminListen);
        m_adminUrl = valueOf(admin);
        return success{};
    }

    void onPoll(const std::string &endpoint, const poll_result &answer)
    {
        if (answer.outcome == poll_outcome::Reported)
            m_chooser.loadReported(endpoint, answer.load, answer.sentAt, steadyNow());
        else
            m_chooser.loadMissed(endpoint, steadyNow());
    }

    std::vector<admin_page> pages()
    {
        return {
            { "GET", "/healthz", [this](const std::string &) { return health(); } },
            { "GET", "/status", [this](const std::string &) { return status(); } },
            { "POST", "/drain", [this](const std::string &) { return requestDrain(); } },
        };
    }

    admin_reply health() const
    {
        if (m_draining || m_drainRequested)
            return { 503, "text/plain", "draining\n" };
        if (!m_config->freshness().synced)
            return { 503, "text/plain", "starting\n" };
        return { 200, "text/plain", "ok\n" };
    }

    admin_reply status() const
    {
        const config_status config = m_config->status();
        const view_freshness freshness = m_config->freshness();
        nlohmann::json page;
        page["vm"] = m_settings.name;
        page["data_centre"] = m_settings.dataCentre;
        page["draining"] = m_draining.load();
        page["open_requests"] = m_front->openRequests();
        page["config_offset"] = config.offset;
        page["synced"] = freshness.synced;
        if (freshness.synced)
            page["view_age_seconds"] = toSeconds(steadyNow() - freshness.asOf);
        page["log_errors"] = config.errors;
        page["last_log_error"] = config.lastError;
        return { 200, "application/json", page.dump() };
    }

    admin_reply requestDrain()
    {
        m_drainRequested = true;
        return { 202, "text/plain", "draining\n" };
    }

    daemon_settings m_settings;
    std::string m_url;
    std::string m_adminUrl;
    std::atomic<bool> m_draining{ false };
    std::atomic<bool> m_drainRequested{ false };
    blackboard m_board;
    placement_router m_chooser;
    std::unique_ptr<config_follower> m_config;
    std::unique_ptr<load_controller> m_loads;
    std::unique_ptr<front_server> m_front;
    std::unique_ptr<admin_server> m_admin;
};

router_daemon::router_daemon(daemon_settings settings)
    : m_impl(std::make_unique<impl>(std::move(settings)))
{
}

router_daemon::~router_daemon() = default;

result<success, daemon_error> router_daemon::start()
{
    return m_impl->start();
}

const std::string &router_daemon::url() const
{
    return m_impl->url();
}

const std::string &router_daemon::adminUrl() const
{
    return m_impl->adminUrl();
}

bool router_daemon::drainRequested() const
{
    return m_impl->drainRequested();
}

std::size_t router_daemon::drainAndStop()
{
    return m_impl->drainAndStop();
}

} // namespace burdockhold
