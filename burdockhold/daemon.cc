#include "burdockhold/daemon.h"

#include "burdockhold/admin_pages.h"
#include "burdockhold/admin_server.h"
#include "burdockhold/blackboard.h"
#include "burdockhold/claims_controller.h"
#include "burdockhold/config_follower.h"
#include "burdockhold/daemon_options.h"
#include "burdockhold/free_port.h"
#include "burdockhold/front_server.h"
#include "burdockhold/limits_controller.h"
#include "burdockhold/load_controller.h"
#include "burdockhold/logging.h"
#include "burdockhold/membership_controller.h"
#include "burdockhold/metrics.h"
#include "burdockhold/peer_link.h"
#include "burdockhold/random_id.h"
#include "burdockhold/task_guard.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <random>
#include <thread>
#include <utility>

namespace burdockhold {

namespace {

constexpr std::chrono::milliseconds DrainPollInterval(20);

/// Returns a number that differs between processes of the same VM.
std::uint64_t newIncarnation()
{
    std::random_device random;
    return (std::uint64_t(random()) << 32U) | random();
}

/// Returns whether a text is a SHA-256 digest in lower-case hexadecimal digits.
bool isDigest(const std::string &text)
{
    constexpr std::size_t Digits = 64;
    return text.size() == Digits && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

admin_reply withdrawalReply(const withdrawal_result &outcome)
{
    if (!outcome.held)
        return { 503, "application/json", R"({"error":"this VM holds too many withdrawals"})" };
    const nlohmann::json page{ { "accepted", outcome.accepted },
                               { "holders", outcome.holders },
                               { "vms", outcome.vms },
                               { "unconfirmed", outcome.unconfirmed } };
    return { outcome.accepted ? 200 : 202, "application/json", page.dump() };
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
        , m_incarnation(newIncarnation())
        , m_chooser(routingOptions(m_settings))
    {
    }

    ~impl()
    {
        // Ends the threads that call others before what they call.
        if (m_link)
            m_link->close();
        m_membership.stop();
        m_limits.stop();
    }

    result<success, daemon_error> start()
    {
        result<success, daemon_error> addresses = chooseAddresses();
        if (!isOk(addresses))
            return addresses;
        config_follower_options follow = followerOptions(m_settings);
        follow.listener = &m_membership;
        m_config = std::make_unique<config_follower>(follow, m_board);
        m_claims = std::make_unique<claims_controller>(claimsOptions(m_settings));
        m_loads = std::make_unique<load_controller>(
                loadOptions(m_settings), m_board,
                [this](const std::string &endpoint, const poll_result &answer) {
                    onPoll(endpoint, answer);
                });
        m_front = std::make_unique<front_server>(
                frontOptions(m_settings, m_url), m_board,
                front_services{ m_chooser, m_claims.get(), &m_limits, &m_metrics });
        result<success, daemon_error> linked = joinPeers();
        if (!isOk(linked))
            return linked;
        const result<success, front_error> front = m_front->start();
        if (!isOk(front))
            return cannotListen(errorOf(front).text, m_url);
        m_admin = std::make_unique<admin_server>(m_adminUrl, pages(), [this](listener_limit limit) {
            m_metrics.addListenerLimit(limit);
        });
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
        m_link->close();
        m_membership.stop();
        m_limits.stop();
        m_admin->stop();
        m_claims->stop();
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

    /// Starts what talks to other VMs.
    result<success, daemon_error> joinPeers()
    {
        m_membership.setHooks(membershipHooks());
        peer_link_options options;
        options.address = m_settings.peerListen;
        auto link = peer_link::open(options, [this](const peer_message &m) { return serve(m); });
        if (!isOk(link))
            return cannotListen(errorOf(link).text, m_settings.peerListen);
        m_link = std::move(valueOf(link));
        m_limits.start(*m_link);
        m_membership.start(*m_link);
        return success{};
    }

    membership_hooks membershipHooks()
    {
        membership_hooks hooks;
        hooks.logFreshness = [this] { return m_config->freshness(); };
        hooks.cancelKey = [this](const std::string &digest) { m_front->cancelKey(digest); };
        hooks.cancelKeyed = [this] { m_front->cancelKeyedCompletions(); };
        hooks.applyShares = [this](const catalogue &config, const share_view &shares) {
            m_limits.applyShares(config, shares);
        };
        hooks.setFreshUntil = [this](time_point until) { m_limits.setFreshUntil(until); };
        return hooks;
    }

    peer_message serve(const peer_message &request)
    {
        const bool grants = std::holds_alternative<grant_request>(request.body)
                            || std::holds_alternative<grant_return>(request.body);
        return { m_settings.name, m_incarnation, request.messageId,
                 grants ? m_limits.serve(request) : m_membership.serve(request) };
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
            { "GET", "/metrics", [this](const std::string &) { return metricsText(); } },
            { "GET", "/accounts", [this](const std::string &) { return accounts(); } },
            { "GET", "/endpoints", [this](const std::string &) { return endpoints(); } },
            { "POST", "/drain", [this](const std::string &) { return requestDrain(); } },
            { "POST", "/withdraw", nullptr,
              [this](const std::string &body, const admin_reply_function &reply) {
                  withdraw(body, reply);
              } },
        };
    }

    admin_reply health() const
    {
        if (m_draining || m_drainRequested)
            return { 503, "text/plain", "draining\n" };
        if (!m_config->freshness().synced || !m_claims->status().freshness.synced)
            return { 503, "text/plain", "starting\n" };
        // Without an epoch no VM mints tokens, and requests of accounts would be refused.
        const membership_status membership = m_membership.status();
        if (membership.epochKnown && membership.epoch == 0)
            return { 503, "text/plain", "waiting for the first epoch\n" };
        // A VM without a share borrows, for which it needs its peers' addresses.
        if (membership.vms == 0 && membership.listErrors == 0)
            return { 503, "text/plain", "reading the VM list\n" };
        return { 200, "text/plain", "ok\n" };
    }

    admin_reply status() const
    {
        const config_status config = m_config->status();
        const view_freshness freshness = *m_board.freshness.read();
        const membership_status membership = m_membership.status();
        nlohmann::json page;
        page["vm"] = m_settings.name;
        page["data_centre"] = m_settings.dataCentre;
        page["draining"] = m_draining.load();
        page["open_requests"] = m_front->openRequests();
        page["config_offset"] = config.offset;
        page["synced"] = freshness.synced;
        if (freshness.synced)
            page["view_age_seconds"] = toSeconds(steadyNow() - freshness.asOf);
        const claims_status claims = m_claims->status();
        page["claims_synced"] = claims.freshness.synced;
        page["claims_offset"] = claims.offset;
        page["claims_keys"] = claims.keys;
        page["claims_open"] = claims.open;
        page["claims_suspended"] = claims.suspended;
        page["epoch"] = membership.epoch;
        page["epoch_known"] = membership.epochKnown;
        page["epoch_unsettled"] = membership.unsettled;
        page["vms"] = membership.vms;
        page["vms_errors"] = membership.listErrors;
        page["pending_withdrawals"] = membership.pendingWithdrawals;
        const account_limits_statistics limits = m_limits.statistics();
        page["limits"] = { { "admitted", limits.admitted },
                           { "refused", limits.refused },
                           { "tokens_borrowed", limits.borrowed },
                           { "tokens_granted", limits.granted },
                           { "tokens_restored", limits.restored } };
        page["log_errors"] = config.errors;
        page["last_log_error"] = config.lastError;
        return { 200, "application/json", page.dump() };
    }

    admin_reply metricsText() const
    {
        metric_snapshot snapshot = m_metrics.snapshot();
        snapshot.counters[counter::CaughtExceptions][{}] = caughtExceptions();
        return { 200, "text/plain; version=0.0.4", formatMetrics(snapshot) };
    }

    admin_reply accounts() const
    {
        const double uptime = toSeconds(steadyNow() - m_started);
        return { 200, "application/json",
                 formatAccountsPage(*m_board.config.read(), m_metrics.snapshot(), uptime) };
    }

    admin_reply endpoints() const
    {
        return { 200, "application/json", formatEndpointsPage(*m_board.config.read()) };
    }

    void withdraw(const std::string &body, const admin_reply_function &reply)
    {
        const auto json = nlohmann::json::parse(body, nullptr, false);
        const bool named = json.is_object() && json.contains("digest")
                           && json["digest"].is_string();
        const std::string digest = named ? json["digest"].get<std::string>() : std::string();
        if (!isDigest(digest)) {
            reply({ 400, "application/json", R"({"error":"digest must be a key's SHA-256"})" });
            return;
        }
        m_membership.withdraw(digest, [reply](const withdrawal_result &outcome) {
            reply(withdrawalReply(outcome));
        });
    }

    admin_reply requestDrain()
    {
        m_drainRequested = true;
        return { 202, "text/plain", "draining\n" };
    }

    daemon_settings m_settings;
    const std::uint64_t m_incarnation;
    std::string m_url;
    std::string m_adminUrl;
    std::atomic<bool> m_draining{ false };
    std::atomic<bool> m_drainRequested{ false };
    const time_point m_started = steadyNow();
    metrics m_metrics;
    blackboard m_board;
    placement_router m_chooser;
    limits_controller m_limits{ limitsOptions(m_settings, m_incarnation) };
    membership_controller m_membership{ membershipOptions(m_settings, m_incarnation), m_board };
    std::unique_ptr<config_follower> m_config;
    std::unique_ptr<claims_controller> m_claims;
    std::unique_ptr<load_controller> m_loads;
    std::unique_ptr<front_server> m_front;
    std::unique_ptr<admin_server> m_admin;
    std::unique_ptr<peer_link> m_link;
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
