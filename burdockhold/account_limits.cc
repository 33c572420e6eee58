#include "burdockhold/account_limits.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace burdockhold {

namespace {

constexpr duration DemandHalfLife = std::chrono::milliseconds(500);

/// Sums of floating-point tokens may miss a request's need by rounding; this much is let through
/// to the exact check of each source, never added.
constexpr double SmallestGrant = 1.0;

/// A lost grant_return is not repeated, so a loan is remembered only for late answers and for the
/// requests that still hold its tokens.
constexpr duration LateAnswerTime = std::chrono::seconds(2);

double halvings(duration elapsed)
{
    return std::exp2(-toSeconds(elapsed) / toSeconds(DemandHalfLife));
}

} // namespace

bool account_limits::served_key::operator<(const served_key &other) const
{
    return std::tie(borrower, incarnation, requestId)
           < std::tie(other.borrower, other.incarnation, other.requestId);
}

account_limits::account_state::account_state(const token_bucket_options &options,
                                             const account_share &share, time_point now)
    : limits(share)
    , bucket(options, now)
    , demandAt(now)
{
}

account_limits::account_limits(const account_limits_options &options)
    : m_options(options)
{
}

double account_limits::capacityOf(const account_share &share) const
{
    const double whole = share.burst - share.rate * toSeconds(m_options.grantLifetime);
    return share.share * std::max(0.0, whole);
}

void account_limits::setAccount(const std::string &account, const account_share &share,
                                time_point now)
{
    const double rate = share.rate * share.share;
    const double capacity = capacityOf(share);
    const auto found = m_accounts.find(account);
    if (found == m_accounts.end()) {
        token_bucket_options options;
        options.rate = rate;
        options.capacity = capacity;
        m_accounts.emplace(std::piecewise_construct, std::forward_as_tuple(account),
                           std::forward_as_tuple(options, share, now));
        return;
    }
    found->second.limits = share;
    if (found->second.bucket.rate() != rate || found->second.bucket.capacity() != capacity)
        found->second.bucket.setLimits(rate, capacity, now);
}

void account_limits::removeAccount(const std::string &account)
{
    const auto found = m_accounts.find(account);
    if (found == m_accounts.end())
        return;
    for (const auto &request : found->second.waiting)
        refuse(request, std::chrono::seconds(1));
    m_accounts.erase(found);
    // A later bucket of the same account numbers its reservations anew.
    for (auto held = m_held.begin(); held != m_held.end();)
        held = held->second.account == account ? m_held.erase(held) : std::next(held);
}

double account_limits::ownLevel(account_state &state, time_point now) const
{
    return isFresh(now) ? state.bucket.level(now) : 0.0;
}

bool account_limits::isUsable(const loan &l, time_point now) const
{
    return l.answered && now < l.firstSent + m_options.grantLifetime;
}

double account_limits::loanedTokens(const account_state &state, time_point now) const
{
    double tokens = 0.0;
    for (const auto &entry : state.loans) {
        if (isUsable(entry.second, now))
            tokens += entry.second.unspent;
    }
    return tokens;
}

void account_limits::noteDemand(account_state &state, double tokens, time_point now) const
{
    state.demand = demandNow(state, now);
    state.demand += tokens * std::log(2.0) / toSeconds(DemandHalfLife);
    state.demandAt = std::max(state.demandAt, now);
}

double account_limits::demandNow(const account_state &state, time_point now) const
{
    return now <= state.demandAt ? state.demand : state.demand * halvings(now - state.demandAt);
}

admission account_limits::admit(const std::string &account, double reserveTokens, time_point now)
{
    const auto found = m_accounts.find(account);
    admission decision{ admission_outcome::Refused, ++m_lastTicket, std::chrono::seconds(1) };
    if (found == m_accounts.end() || !(reserveTokens >= 0.0)) {
        ++m_statistics.refused;
        return decision;
    }
    account_state &state = found->second;
    noteDemand(state, reserveTokens, now);
    if (state.waiting.empty() && trySpend(account, state, decision.ticket, reserveTokens, now)) {
        ++m_statistics.admitted;
        decision.outcome = admission_outcome::Admitted;
        decision.retryAfter = duration::zero();
    } else if (state.waiting.size() < m_options.maxWaiting) {
        state.waiting.push_back({ decision.ticket, reserveTokens, now + m_options.maxWait });
        decision.outcome = admission_outcome::Wait;
    } else {
        ++m_statistics.refused;
    }
    borrow(account, state, now);
    return decision;
}

bool account_limits::trySpend(const std::string &account, account_state &state,
                              std::uint64_t ticket, double tokens, time_point now)
{
    const double own = ownLevel(state, now);
    const double loaned = loanedTokens(state, now);
    if (own + loaned < tokens)
        return false;
    held_tokens held{ account, 0, 0.0, {} };
    // Loans first, oldest first: they expire.
    double missing = tokens;
    for (auto &entry : state.loans) {
        loan &l = entry.second;
        const double part = isUsable(l, now) ? std::min(l.unspent, missing) : 0.0;
        if (part <= 0.0)
            continue;
        l.unspent -= part;
        ++l.users;
        missing -= part;
        held.loans.emplace_back(entry.first, part);
    }
    held.ownTokens = std::min(std::max(0.0, missing), own);
    if (held.ownTokens > 0.0)
        held.own = state.bucket.take(held.ownTokens, now).value_or(0);
    m_held.emplace(ticket, std::move(held));
    if (m_held.size() > m_options.maxReservations)
        forgetOldestHeld();
    return true;
}

void account_limits::forgetOldestHeld()
{
    const held_tokens &held = m_held.begin()->second;
    const auto account = m_accounts.find(held.account);
    if (account != m_accounts.end()) {
        account->second.bucket.close(held.own);
        for (const auto &part : held.loans) {
            const auto l = account->second.loans.find(part.first);
            if (l != account->second.loans.end())
                --l->second.users;
        }
    }
    m_held.erase(m_held.begin());
}

void account_limits::settle(std::uint64_t ticket, double usedTokens, time_point now)
{
    const auto found = m_held.find(ticket);
    if (found == m_held.end())
        return;
    const held_tokens held = std::move(found->second);
    m_held.erase(found);
    const auto account = m_accounts.find(held.account);
    if (account == m_accounts.end())
        return;
    account_state &state = account->second;
    double unused = held.ownTokens - std::max(0.0, usedTokens);
    for (const auto &part : held.loans)
        unused += part.second;
    if (held.own != 0) {
        const double part = std::clamp(unused, 0.0, held.ownTokens);
        m_statistics.restored += state.bucket.giveBack(held.own, part, now);
        state.bucket.close(held.own);
        unused -= part;
    }
    for (const auto &[requestId, tokens] : held.loans) {
        const double part = std::clamp(unused, 0.0, tokens);
        unused -= part;
        const auto l = state.loans.find(requestId);
        if (l == state.loans.end())
            continue;
        --l->second.users;
        if (isUsable(l->second, now))
            l->second.unspent += part;
        else
            returnTokens(held.account, requestId, l->second, part);
    }
    serveWaiting(held.account, state, now);
}

void account_limits::cancel(std::uint64_t ticket)
{
    for (auto &entry : m_accounts) {
        auto &waiting = entry.second.waiting;
        waiting.erase(std::remove_if(waiting.begin(), waiting.end(),
                                     [&](const auto &w) { return w.ticket == ticket; }),
                      waiting.end());
    }
}

void account_limits::refuse(const waiting_request &request, duration retryAfter)
{
    ++m_statistics.refused;
    m_decisions.push_back({ admission_outcome::Refused, request.ticket, retryAfter });
}

void account_limits::serveWaiting(const std::string &account, account_state &state, time_point now)
{
    double ahead = 0.0;
    while (!state.waiting.empty()) {
        const waiting_request request = state.waiting.front();
        ahead += request.tokens;
        if (trySpend(account, state, request.ticket, request.tokens, now)) {
            ++m_statistics.admitted;
            m_decisions.push_back({ admission_outcome::Admitted, request.ticket, {} });
        } else if (now >= request.deadline) {
            const double seconds = ahead / std::max(1.0, state.limits.rate);
            refuse(request, fromSeconds(std::clamp(seconds, 1.0, 60.0)));
        } else {
            return;
        }
        state.waiting.pop_front();
    }
}

void account_limits::borrow(const std::string &account, account_state &state, time_point now)
{
    const double demand = demandNow(state, now);
    double need = 0.0;
    for (const auto &request : state.waiting)
        need += request.tokens;
    // Demand beyond the own refill is borrowed in advance once the own level gets low.
    const double beyond = std::max(0.0, demand - state.bucket.rate());
    need += beyond * toSeconds(m_options.prefetch);
    need -= ownLevel(state, now) + loanedTokens(state, now);
    for (const auto &entry : state.loans) {
        if (!entry.second.answered && now < entry.second.firstSent + 2 * m_options.askTimeout)
            need -= entry.second.asked;
    }
    if (need < SmallestGrant)
        return;
    double known = 0.0;
    std::vector<std::pair<std::string, double>> minters;
    for (const auto &minter : state.limits.minters) {
        if (minter == m_options.self)
            continue;
        // The level is a hint that grows by the minter's refill.
        const minter_view &view = state.minters[minter];
        if (now < view.askAgain)
            continue;
        const double floor = state.limits.burst / 20.0 + 1.0;
        const double weight = view.level ? *view.level + floor / 10.0 : floor;
        minters.emplace_back(minter, weight);
        known += weight;
    }
    for (const auto &[minter, weight] : minters)
        ask(account, state, minter, std::ceil(need * weight / known), now);
}

void account_limits::ask(const std::string &account, account_state &state,
                         const std::string &minter, double tokens, time_point now)
{
    if (state.loans.size() >= m_options.maxLoans)
        return;
    const std::uint64_t id = ++m_lastRequest;
    loan l;
    l.minter = minter;
    l.firstSent = now;
    l.lastSent = now;
    l.asked = tokens;
    state.loans.emplace(id, l);
    m_messages.push_back({ minter, grant_request{ account, m_options.incarnation, id, tokens } });
}

void account_limits::returnTokens(const std::string &account, std::uint64_t requestId, loan &l,
                                  double tokens)
{
    if (!(tokens > 0.0))
        return;
    l.returnedTotal += tokens;
    m_messages.push_back({ l.minter, grant_return{ account, m_options.incarnation, requestId,
                                                   l.minterIncarnation, l.returnedTotal } });
}

void account_limits::endLoans(const std::string &account, account_state &state, time_point now)
{
    for (auto entry = state.loans.begin(); entry != state.loans.end();) {
        loan &l = entry->second;
        const bool expired = now >= l.firstSent + m_options.grantLifetime;
        if (expired && l.answered) {
            returnTokens(account, entry->first, l, l.unspent);
            l.unspent = 0.0;
        }
        const bool resend = !l.answered && now >= l.lastSent + m_options.askTimeout;
        if (resend && now < l.firstSent + m_options.grantLifetime / 2) {
            l.lastSent = now;
            m_messages.push_back({ l.minter, grant_request{ account, m_options.incarnation,
                                                            entry->first, l.asked } });
        }
        const bool late = now >= l.firstSent + m_options.grantLifetime + LateAnswerTime;
        const bool over = expired && l.users == 0 && (l.answered || late);
        entry = over ? state.loans.erase(entry) : std::next(entry);
    }
}

void account_limits::step(time_point now)
{
    for (auto &[account, state] : m_accounts) {
        endLoans(account, state, now);
        serveWaiting(account, state, now);
        borrow(account, state, now);
    }
}

void account_limits::receive(const std::string &from, const grant_message &message, time_point now)
{
    std::visit([&](const auto &m) { handle(from, m, now); }, message);
}

double account_limits::mintFor(account_state &state, served_grant &grant, double tokens,
                               time_point now) const
{
    // Keeps what the own callers are expected to need soon, but never more than half.
    const double level = ownLevel(state, now);
    const double own = demandNow(state, now) * toSeconds(m_options.prefetch);
    const double spare = level - std::min(level / 2.0, own);
    const double minted = std::floor(std::min(tokens, spare));
    if (minted < SmallestGrant || !state.waiting.empty())
        return 0.0;
    const auto reservation = state.bucket.take(minted, now);
    if (!reservation)
        return 0.0;
    grant.reservation = *reservation;
    grant.tokens = minted;
    return minted;
}

void account_limits::handle(const std::string &from, const grant_request &request, time_point now)
{
    const auto found = m_accounts.find(request.account);
    if (found == m_accounts.end() || !std::isfinite(request.tokens) || request.tokens <= 0.0)
        return;
    account_state &state = found->second;
    const served_key key{ from, request.borrowerIncarnation, request.requestId };
    auto grant = state.served.find(key);
    if (grant == state.served.end()) {
        grant = state.served.emplace(key, served_grant{}).first;
        state.servedOrder.push_back(key);
        m_statistics.granted += mintFor(state, grant->second, request.tokens, now);
    }
    grant_reply reply{ request.account,       request.borrowerIncarnation, request.requestId,
                       m_options.incarnation, grant->second.tokens,        ownLevel(state, now) };
    m_messages.push_back({ from, std::move(reply) });
    if (state.servedOrder.size() > m_options.maxServed) {
        const auto oldest = state.served.find(state.servedOrder.front());
        state.bucket.close(oldest->second.reservation);
        state.served.erase(oldest);
        state.servedOrder.pop_front();
    }
}

void account_limits::handle(const std::string &from, const grant_reply &reply, time_point now)
{
    const auto found = m_accounts.find(reply.account);
    if (found == m_accounts.end() || reply.borrowerIncarnation != m_options.incarnation
        || !std::isfinite(reply.tokens) || reply.tokens < 0.0)
        return;
    account_state &state = found->second;
    minter_view &view = state.minters[from];
    view.level = std::max(0.0, reply.remaining);
    const auto entry = state.loans.find(reply.requestId);
    if (entry == state.loans.end() || entry->second.answered || entry->second.minter != from)
        return;
    loan &l = entry->second;
    // A minter that is short is left alone for a while: under overload every VM would otherwise ask
    // every minter again in each step.
    if (reply.tokens + SmallestGrant <= l.asked)
        view.askAgain = now + m_options.shortageDelay;
    if (reply.tokens <= 0.0) {
        state.loans.erase(entry);
        return;
    }
    l.answered = true;
    l.minterIncarnation = reply.minterIncarnation;
    if (isUsable(l, now)) {
        l.unspent = reply.tokens;
        m_statistics.borrowed += reply.tokens;
        serveWaiting(reply.account, state, now);
    } else {
        returnTokens(reply.account, reply.requestId, l, reply.tokens);
    }
}

void account_limits::handle(const std::string &from, const grant_return &returned, time_point now)
{
    const auto found = m_accounts.find(returned.account);
    if (found == m_accounts.end() || returned.minterIncarnation != m_options.incarnation)
        return;
    account_state &state = found->second;
    const auto entry = state.served.find(
            { from, returned.borrowerIncarnation, returned.requestId });
    if (entry == state.served.end() || !(returned.returnedTotal > entry->second.returnedTotal))
        return;
    served_grant &grant = entry->second;
    const double total = std::min(returned.returnedTotal, grant.tokens);
    const double restored = state.bucket.giveBack(grant.reservation, total - grant.returnedTotal,
                                                  now);
    m_statistics.restored += restored;
    grant.returnedTotal = total;
    serveWaiting(returned.account, state, now);
}

std::vector<addressed_grant_message> account_limits::takeMessages()
{
    return std::exchange(m_messages, {});
}

std::vector<admission> account_limits::takeDecisions()
{
    return std::exchange(m_decisions, {});
}

} // namespace burdockhold
