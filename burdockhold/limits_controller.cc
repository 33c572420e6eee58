#include "burdockhold/limits_controller.h"

#include "burdockhold/task_guard.h"

#include <pplx/pplxtasks.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <utility>
#include <vector>

namespace burdockhold {

namespace {

/// account_limits asks to be stepped this often.
constexpr duration StepInterval = std::chrono::milliseconds(10);

constexpr std::string_view Component = "limits_controller";

bool isReplyTo(const addressed_grant_message &item, const std::string &sender,
               const grant_request &request)
{
    const auto *reply = std::get_if<grant_reply>(&item.message);
    return reply != nullptr && item.to == sender && reply->requestId == request.requestId
           && reply->borrowerIncarnation == request.borrowerIncarnation
           && reply->account == request.account;
}

peer_body toBody(const grant_message &message)
{
    return std::visit([](const auto &m) { return peer_body(m); }, message);
}

} // namespace

class limits_controller::impl
{
public:
    explicit impl(limits_options options)
        : m_options(std::move(options))
        , m_limits(m_options.limits)
    {
    }

    ~impl() { stop(); }

    void start(peer_link &link)
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_link = &link;
        }
        m_thread = std::thread([this] { run(); });
    }

    void stop()
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_stopped = true;
        }
        m_wakeUp.notify_all();
        if (m_thread.joinable())
            m_thread.join();
    }

    void applyShares(const catalogue &config, const share_view &shares)
    {
        const time_point now = steadyNow();
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (auto known = m_maxOpen.begin(); known != m_maxOpen.end();) {
            const bool gone = config.accounts.count(known->first) == 0;
            if (gone)
                m_limits.removeAccount(known->first);
            known = gone ? m_maxOpen.erase(known) : std::next(known);
        }
        for (const auto &[name, entry] : config.accounts) {
            account_share share;
            share.rate = entry.value.tokensPerSecond;
            share.burst = entry.value.burstTokens;
            if (shares.known)
                share.share = shares.epochs.usableShare(name, m_options.limits.self);
            share.minters = shares.known ? shares.epochs.minters(name) : shares.peers;
            m_limits.setAccount(name, share, now);
            m_maxOpen[name] = entry.value.maxOpenRequests;
        }
        flush();
    }

    void setFreshUntil(time_point until)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_limits.setFreshUntil(until);
    }

    peer_body serve(const peer_message &message)
    {
        const time_point now = steadyNow();
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (const auto *request = std::get_if<grant_request>(&message.body))
            return grant(message.sender, *request, now);
        if (const auto *returned = std::get_if<grant_return>(&message.body)) {
            m_limits.receive(message.sender, *returned, now);
            flush();
        }
        return message.body;
    }

    void admit(const std::string &account, double reserveTokens, verdict_function decided)
    {
        limit_verdict verdict;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            if (isFull(account)) {
                verdict.outcome = limit_outcome::TooManyOpen;
            } else {
                const admission first = m_limits.admit(account, reserveTokens, steadyNow());
                if (first.outcome != admission_outcome::Refused)
                    addOpen(first.ticket, account);
                if (first.outcome == admission_outcome::Wait)
                    m_waiting.emplace(first.ticket, std::exchange(decided, nullptr));
                else
                    verdict = toVerdict(first);
                flush();
            }
        }
        if (decided)
            decided(verdict);
    }

    void settle(std::uint64_t ticket, double usedTokens)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_limits.settle(ticket, usedTokens, steadyNow());
        removeOpen(ticket);
        flush();
    }

    account_limits_statistics statistics() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_limits.statistics();
    }

private:
    static limit_verdict toVerdict(const admission &decision)
    {
        const bool admitted = decision.outcome == admission_outcome::Admitted;
        return { admitted ? limit_outcome::Admitted : limit_outcome::OverRate, decision.ticket,
                 decision.retryAfter };
    }

    void run()
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        while (!m_stopped) {
            const bool whole = runStep(Component, "", [this] {
                m_limits.step(steadyNow());
                flush();
            });
            m_wakeUp.wait_for(lock, whole ? StepInterval : FailedRoundDelay,
                              [this] { return m_stopped; });
        }
    }

    bool isFull(const std::string &account) const
    {
        const auto most = m_maxOpen.find(account);
        const auto open = m_open.find(account);
        if (most != m_maxOpen.end() && open != m_open.end() && open->second >= most->second)
            return true;
        return m_options.maxOpenRequests > 0
               && std::int64_t(m_accounts.size()) >= m_options.maxOpenRequests;
    }

    void addOpen(std::uint64_t ticket, const std::string &account)
    {
        m_accounts.emplace(ticket, account);
        ++m_open[account];
    }

    void removeOpen(std::uint64_t ticket)
    {
        const auto found = m_accounts.find(ticket);
        if (found == m_accounts.end())
            return;
        const auto open = m_open.find(found->second);
        if (--open->second == 0)
            m_open.erase(open);
        m_accounts.erase(found);
    }

    /// Decides on a peer's request. Its reply is the answer to the message; all else is sent.
    peer_body grant(const std::string &sender, const grant_request &request, time_point now)
    {
        flush();
        m_limits.receive(sender, request, now);
        peer_body reply = request; // For an account that is not known here: no reply to the grant.
        for (const addressed_grant_message &item : m_limits.takeMessages()) {
            if (isReplyTo(item, sender, request))
                reply = toBody(item.message);
            else
                sendMessage(item);
        }
        return reply;
    }

    /// Sends messages and gives verdicts that m_limits has made.
    void flush()
    {
        for (const addressed_grant_message &item : m_limits.takeMessages())
            sendMessage(item);
        for (const admission &decision : m_limits.takeDecisions()) {
            const auto found = m_waiting.find(decision.ticket);
            if (found == m_waiting.end())
                continue;
            const limit_verdict verdict = toVerdict(decision);
            if (verdict.outcome != limit_outcome::Admitted)
                removeOpen(decision.ticket);
            pplx::create_task([decided = std::move(found->second), verdict] {
                runStep(Component, "", [&] { decided(verdict); });
            });
            m_waiting.erase(found);
        }
    }

    void sendMessage(const addressed_grant_message &item)
    {
        if (m_link == nullptr)
            return;
        const peer_message message{ m_options.limits.self, m_options.limits.incarnation,
                                    ++m_lastMessage, toBody(item.message) };
        m_link->send(item.to, message, [this, peer = item.to](const peer_reply &reply) {
            if (isOk(reply))
                takeReply(peer, valueOf(reply));
        });
    }

    void takeReply(const std::string &peer, const peer_message &reply)
    {
        const auto *granted = std::get_if<grant_reply>(&reply.body);
        if (granted == nullptr || reply.sender != peer)
            return;
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_limits.receive(peer, *granted, steadyNow());
        flush();
    }

    const limits_options m_options;

    mutable std::mutex m_mutex; ///< Guards the members below.
    account_limits m_limits;
    peer_link *m_link = nullptr;
    std::map<std::string, std::int64_t> m_maxOpen;   ///< By account; all that are known.
    std::map<std::string, std::int64_t> m_open;      ///< Admitted or waiting, by account.
    std::map<std::uint64_t, std::string> m_accounts; ///< Of the open requests, by ticket.
    std::map<std::uint64_t, verdict_function> m_waiting;
    std::uint64_t m_lastMessage = 0;
    bool m_stopped = false;
    std::condition_variable m_wakeUp;
    std::thread m_thread;
};

limits_controller::limits_controller(limits_options options)
    : m_impl(std::make_unique<impl>(std::move(options)))
{
}

limits_controller::~limits_controller() = default;

void limits_controller::start(peer_link &link)
{
    m_impl->start(link);
}

void limits_controller::stop()
{
    m_impl->stop();
}

void limits_controller::applyShares(const catalogue &config, const share_view &shares)
{
    m_impl->applyShares(config, shares);
}

void limits_controller::setFreshUntil(time_point until)
{
    m_impl->setFreshUntil(until);
}

peer_body limits_controller::serve(const peer_message &message)
{
    return m_impl->serve(message);
}

void limits_controller::admit(const std::string &account, double reserveTokens,
                              verdict_function decided)
{
    m_impl->admit(account, reserveTokens, std::move(decided));
}

void limits_controller::settle(std::uint64_t ticket, double usedTokens)
{
    m_impl->settle(ticket, usedTokens);
}

account_limits_statistics limits_controller::statistics() const
{
    return m_impl->statistics();
}

} // namespace burdockhold
