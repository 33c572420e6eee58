#include "burdockhold/fair_queue.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace burdockhold {

namespace {

basic_error<queue_error> refusal(queue_error code, std::string text, const std::string &account)
{
    return { code, std::move(text), account };
}

time_point expiryOf(const queued_request &request, time_point now)
{
    return request.maxWait < time_point::max() - now ? now + request.maxWait : time_point::max();
}

double costOf(const queued_request &request)
{
    return std::isfinite(request.costTokens) ? std::max(request.costTokens, 1.0) : 1.0;
}

} // namespace

fair_queue::fair_queue(fair_queue_options options)
    : m_options(options)
{
}

result<success, queue_error> fair_queue::push(const queued_request &request, time_point now)
{
    if (!std::isfinite(request.weight) || request.weight <= 0.0)
        return refusal(queue_error::BadWeight, "weight must be above 0", request.account);
    if (m_items.count(request.id) > 0)
        return refusal(queue_error::DuplicateId, "request waits already", request.account);
    if (m_items.size() >= m_options.maxWaiting)
        return refusal(queue_error::Full, "too many requests wait", request.account);
    class_queue &queue = m_classes[request.priority];
    account_queue &account = queue.accounts[request.account];
    if (account.waiting.size() >= m_options.maxWaitingPerAccount)
        return refusal(queue_error::AccountFull, "too many requests of the account wait",
                       request.account);
    if (account.waiting.empty()) {
        account.startTag = std::max(account.startTag, queue.virtualTime);
        queue.order.emplace(account.startTag, request.account);
    }
    account.weight = request.weight;
    account.waiting.insert(request.id);
    const time_point expiresAt = expiryOf(request, now);
    m_expiries.emplace(expiresAt, request.id);
    m_items.emplace(request.id, item{ request, expiresAt });
    return success{};
}

fair_queue::class_map::iterator fair_queue::nextClass()
{
    auto chosen = m_classes.end();
    for (auto it = m_classes.begin(); it != m_classes.end(); ++it) {
        if (it->second.order.empty())
            continue;
        if (chosen == m_classes.end()) {
            chosen = it;
            continue;
        }
        const bool due = it->second.passes >= m_options.maxPasses;
        if (due && it->second.passes > chosen->second.passes)
            chosen = it;
    }
    return chosen;
}

std::optional<queued_request> fair_queue::pop()
{
    const auto chosen = nextClass();
    if (chosen == m_classes.end())
        return std::nullopt;
    for (auto &[priority, other] : m_classes) {
        if (!other.order.empty())
            ++other.passes;
    }
    class_queue &queue = chosen->second;
    queue.passes = 0;
    const auto [startTag, name] = *queue.order.begin();
    account_queue &account = queue.accounts.at(name);
    const auto it = m_items.find(*account.waiting.begin());
    queued_request request = it->second.request;
    const double cost = costOf(request);
    queue.virtualTime = startTag;
    queue.order.erase(queue.order.begin());
    account.startTag = startTag + cost / account.weight;
    account.servedTokens += cost;
    queue.order.emplace(account.startTag, name);
    remove(it);
    return request;
}

void fair_queue::remove(std::map<std::uint64_t, item>::iterator it)
{
    const queued_request &request = it->second.request;
    class_queue &queue = m_classes.at(request.priority);
    account_queue &account = queue.accounts.at(request.account);
    account.waiting.erase(request.id);
    if (account.waiting.empty()) {
        account.waitedAllPeriod = false;
        queue.order.erase({ account.startTag, request.account });
    }
    m_expiries.erase({ it->second.expiresAt, it->first });
    m_items.erase(it);
    forgetIdleAccounts(queue);
}

void fair_queue::forgetIdleAccounts(class_queue &queue)
{
    if (!queue.order.empty())
        return;
    // With nothing waiting, all accounts start afresh: service taken while others did not want it
    // is not held against an account.
    queue.accounts.clear();
    queue.virtualTime = 0.0;
    queue.passes = 0;
}

bool fair_queue::cancel(std::uint64_t id)
{
    const auto it = m_items.find(id);
    if (it == m_items.end())
        return false;
    remove(it);
    return true;
}

std::vector<queued_request> fair_queue::takeExpired(time_point now)
{
    std::vector<queued_request> expired;
    while (!m_expiries.empty() && m_expiries.begin()->first <= now) {
        const auto it = m_items.find(m_expiries.begin()->second);
        expired.push_back(it->second.request);
        remove(it);
    }
    return expired;
}

std::optional<account_share> fair_queue::worstServed() const
{
    std::optional<account_share> worst;
    for (const auto &[priority, queue] : m_classes) {
        double served = 0.0;
        double weights = 0.0;
        for (const auto &[name, account] : queue.accounts) {
            if (account.waitedAllPeriod) {
                served += account.servedTokens;
                weights += account.weight;
            }
        }
        if (served <= 0.0)
            continue;
        for (const auto &[name, account] : queue.accounts) {
            const double share = account.servedTokens / account.weight * weights / served;
            if (account.waitedAllPeriod && (!worst || share < worst->share))
                worst = account_share{ name, priority, share };
        }
    }
    return worst;
}

void fair_queue::startPeriod()
{
    for (auto &[priority, queue] : m_classes) {
        for (auto it = queue.accounts.begin(); it != queue.accounts.end();) {
            account_queue &account = it->second;
            account.servedTokens = 0.0;
            account.waitedAllPeriod = !account.waiting.empty();
            const bool idle = account.waiting.empty() && account.startTag <= queue.virtualTime;
            it = idle ? queue.accounts.erase(it) : std::next(it);
        }
    }
}

} // namespace burdockhold
