#include "burdockhold/waiting_room.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace burdockhold {

namespace {

/// After a request could not be placed, requests of its shape are tried only if they are smaller by
/// this factor. It bounds the attempts of one serve() to the logarithm of the range of sizes.
constexpr double RetriedSizeShare = 0.75;

double weightOf(const waiting_request &request)
{
    return std::isfinite(request.weight) && request.weight > 0.0 ? request.weight : 1.0;
}

} // namespace

waiting_room::waiting_room(waiting_room_options options)
    : m_options(options)
{
}

double waiting_room::costOf(const waiting_request &request)
{
    return std::max(1.0, static_cast<double>(request.tokens));
}

waiting_room::time_and_id waiting_room::timelyKey(const waiting_request &request)
{
    return { request.targetAt - request.expectedFirst, request.id };
}

waiting_room::time_and_id waiting_room::lateKey(const waiting_request &request)
{
    return { request.deadlineAt - request.expectedRun, request.id };
}

waiting_room::time_and_id waiting_room::overdueKey(const waiting_request &request) const
{
    const double target = toSeconds(request.targetAt - request.arrivedAt);
    return { request.arrivedAt + fromSeconds(m_options.starvationTargets * std::max(target, 0.0)),
             request.id };
}

bool waiting_room::add(const waiting_request &request, time_point now)
{
    advance(now);
    m_lastRefusal = waiting_refusal::None;
    if (m_items.count(request.id) > 0)
        m_lastRefusal = waiting_refusal::DuplicateId;
    else if (!canMeetDeadline(request, now))
        m_lastRefusal = waiting_refusal::TooLate;
    else if (m_items.size() >= m_options.maxWaiting
             && !makeRoom(request, !canMeetTarget(request, now)))
        m_lastRefusal = waiting_refusal::Full;
    if (m_lastRefusal != waiting_refusal::None)
        return false;
    insert({ request, !canMeetTarget(request, now), false });
    return true;
}

void waiting_room::insert(const item &added)
{
    const waiting_request &request = added.request;
    priority_queue &queue = m_priorities[request.priority];
    account_queue &account = queue.accounts[request.account];
    const double startTag = account.isEmpty() ? std::max(account.startTag, queue.virtualTime)
                                              : account.startTag;
    clearOrder(queue, request.account);
    if (added.isLate) {
        account.late.insert(lateKey(request));
    } else {
        account.timely.insert(timelyKey(request));
        m_targets.insert(timelyKey(request));
    }
    setOrder(queue, request.account, startTag);
    account.waitingTokens += costOf(request);
    queue.waitingTokens += costOf(request);
    m_deadlines.insert(lateKey(request));
    m_dueTimes.insert(overdueKey(request));
    m_shapes[request.shape].insert(request.tokens);
    m_items.emplace(request.id, added);
}

/// Gives the account its place among the others of its priority.
void waiting_room::setOrder(priority_queue &queue, std::uint32_t account, double startTag)
{
    account_queue &changed = queue.accounts[account];
    changed.startTag = startTag;
    if (!changed.timely.empty())
        queue.timelyOrder.emplace(startTag, account);
    if (!changed.late.empty())
        queue.lateOrder.emplace(startTag, account);
    if (changed.isEmpty())
        queue.idleOrder.emplace(startTag, account);
}

void waiting_room::clearOrder(priority_queue &queue, std::uint32_t account)
{
    const std::pair<double, std::uint32_t> place(queue.accounts[account].startTag, account);
    queue.timelyOrder.erase(place);
    queue.lateOrder.erase(place);
    queue.idleOrder.erase(place);
}

void waiting_room::remove(std::uint64_t id)
{
    erase(id);
    m_evicted.erase(std::remove_if(m_evicted.begin(), m_evicted.end(),
                                   [id](const waiting_request &other) { return other.id == id; }),
                    m_evicted.end());
}

void waiting_room::erase(std::uint64_t id)
{
    const auto found = m_items.find(id);
    if (found == m_items.end())
        return;
    const waiting_request request = found->second.request;
    m_items.erase(found);
    priority_queue &queue = m_priorities[request.priority];
    account_queue &account = queue.accounts[request.account];
    clearOrder(queue, request.account);
    account.timely.erase(timelyKey(request));
    account.late.erase(lateKey(request));
    setOrder(queue, request.account, account.startTag);
    account.waitingTokens -= costOf(request);
    queue.waitingTokens -= costOf(request);
    m_targets.erase(timelyKey(request));
    m_deadlines.erase(lateKey(request));
    m_dueTimes.erase(overdueKey(request));
    m_overdue.erase(overdueKey(request));
    const auto shape = m_shapes.find(request.shape);
    shape->second.erase(shape->second.find(request.tokens));
    if (shape->second.empty())
        m_shapes.erase(shape);
    if (account.isEmpty() && account.startTag <= queue.virtualTime) {
        clearOrder(queue, request.account);
        queue.accounts.erase(request.account);
    }
    if (!queue.isEmpty())
        return;
    // With nothing waiting, all accounts start afresh: what an account was served while others did
    // not want it is not held against it.
    queue.accounts.clear();
    queue.idleOrder.clear();
    queue.virtualTime = 0.0;
    queue.waitingTokens = 0.0;
}

/// Moves the requests that can no longer meet their target, or that have become overdue.
void waiting_room::advance(time_point now)
{
    observeDrain(now);
    while (!m_targets.empty() && m_targets.begin()->first < now)
        markLate(m_targets.begin()->second);
    while (!m_dueTimes.empty() && m_dueTimes.begin()->first <= now) {
        m_items.at(m_dueTimes.begin()->second).isOverdue = true;
        m_overdue.insert(*m_dueTimes.begin());
        m_dueTimes.erase(m_dueTimes.begin());
    }
}

/// Counts the time for the rates: that of a priority runs while such or a less urgent one waits.
void waiting_room::observeDrain(time_point now)
{
    bool isBusy = false;
    for (auto queue = m_priorities.rbegin(); queue != m_priorities.rend(); ++queue) {
        isBusy = isBusy || !queue->second.isEmpty();
        queue->second.drained.observe(isBusy, now);
    }
}

void waiting_room::markLate(std::uint64_t id)
{
    item &marked = m_items.at(id);
    const waiting_request &request = marked.request;
    marked.isLate = true;
    m_targets.erase(timelyKey(request));
    priority_queue &queue = m_priorities[request.priority];
    account_queue &account = queue.accounts[request.account];
    clearOrder(queue, request.account);
    account.timely.erase(timelyKey(request));
    account.late.insert(lateKey(request));
    setOrder(queue, request.account, account.startTag);
}

/// Evicts the request that is worst off. Returns false if that is the arrival.
bool waiting_room::makeRoom(const waiting_request &arrival, bool isLate)
{
    const auto last = std::find_if(m_priorities.rbegin(), m_priorities.rend(),
                                   [](const auto &queue) { return !queue.second.isEmpty(); });
    if (last == m_priorities.rend())
        return false;
    priority_queue &queue = last->second;
    const bool lateIsLast = !queue.lateOrder.empty();
    const std::pair<int, bool> lastClass(last->first, lateIsLast);
    const std::pair<int, bool> arrivalClass(arrival.priority, isLate);
    if (arrivalClass > lastClass)
        return false;
    const account_order &order = lateIsLast ? queue.lateOrder : queue.timelyOrder;
    std::uint32_t largest = 0;
    double most = -1.0;
    for (const auto &[tag, name] : order) {
        const bool isArrivals = arrivalClass == lastClass && name == arrival.account;
        const double tokens = queue.accounts.at(name).waitingTokens
                              + (isArrivals ? costOf(arrival) : 0.0);
        if (tokens > most) {
            most = tokens;
            largest = name;
        }
    }
    const account_queue &account = queue.accounts.at(largest);
    const time_and_id worst = lateIsLast ? *account.late.rbegin() : *account.timely.rbegin();
    const bool isArrivals = arrivalClass == lastClass && largest == arrival.account;
    if (isArrivals && (isLate ? lateKey(arrival) : timelyKey(arrival)) > worst)
        return false;
    m_evicted.push_back(m_items.at(worst.second).request);
    erase(worst.second);
    return true;
}

std::vector<waiting_request> waiting_room::takeExpired(time_point now)
{
    advance(now);
    std::vector<waiting_request> expired;
    expired.swap(m_evicted);
    while (!m_deadlines.empty() && m_deadlines.begin()->first < now) {
        const std::uint64_t id = m_deadlines.begin()->second;
        expired.push_back(m_items.at(id).request);
        erase(id);
    }
    return expired;
}

time_point waiting_room::nextExpiry() const
{
    if (!m_evicted.empty())
        return time_point::min();
    if (m_deadlines.empty())
        return time_point::max();
    return m_deadlines.begin()->first + duration(1);
}

void waiting_room::serve(time_point now, const place_function &tryPlace, int maxFailures)
{
    advance(now);
    failed_shapes failed;
    candidate next;
    int failures = 0;
    while (failures < maxFailures && canPlaceMore(failed) && nextCandidate(failed, next)) {
        const waiting_request request = m_items.at(next.id).request;
        if (tryPlace(request)) {
            countServed(request, next.asOverdue);
            erase(request.id);
            continue;
        }
        if (!contains(request.id))
            continue; // It has left otherwise, which says nothing about the others.
        ++failures;
        const auto known = failed.emplace(request.shape, request.tokens).first;
        known->second = std::min(known->second, request.tokens);
    }
}

/// Returns whether some waiting request differs enough from those that could not be placed.
bool waiting_room::canPlaceMore(const failed_shapes &failed) const
{
    return std::any_of(m_shapes.begin(), m_shapes.end(), [&failed](const auto &shape) {
        const auto known = failed.find(shape.first);
        return known == failed.end()
               || static_cast<double>(*shape.second.begin())
                          < RetriedSizeShare * static_cast<double>(known->second);
    });
}

bool waiting_room::isHopeless(const waiting_request &request, const failed_shapes &failed) const
{
    const auto known = failed.find(request.shape);
    return known != failed.end()
           && static_cast<double>(request.tokens)
                      >= RetriedSizeShare * static_cast<double>(known->second);
}

/// Finds the next request in order that may be placed.
bool waiting_room::nextCandidate(const failed_shapes &failed, candidate &found) const
{
    if (m_overdueCredit > 0.0) {
        for (const auto &[dueAt, id] : m_overdue) {
            if (!isHopeless(m_items.at(id).request, failed)) {
                found = { id, true };
                return true;
            }
        }
    }
    return std::any_of(m_priorities.begin(), m_priorities.end(), [&](const auto &entry) {
        const priority_queue &queue = entry.second;
        return firstOf(queue.timelyOrder, queue, false, failed, found)
               || firstOf(queue.lateOrder, queue, true, failed, found);
    });
}

bool waiting_room::firstOf(const account_order &order, const priority_queue &queue, bool late,
                           const failed_shapes &failed, candidate &found) const
{
    for (const auto &[tag, name] : order) {
        const account_queue &account = queue.accounts.at(name);
        for (const auto &[latestStart, id] : late ? account.late : account.timely) {
            if (!isHopeless(m_items.at(id).request, failed)) {
                found = { id, false };
                return true;
            }
        }
    }
    return false;
}

/// Adds the share of overdue requests in what others were served. It is kept for one request only,
/// since requests that cannot be placed for long must not collect it.
void waiting_room::addOverdueCredit(double servedTokens)
{
    const double share = m_options.starvationShare / (1.0 - m_options.starvationShare);
    const double most = m_overdue.empty() ? 0.0
                                          : costOf(m_items.at(m_overdue.begin()->second).request);
    m_overdueCredit = std::min(m_overdueCredit + servedTokens * share, most);
}

/// Charges a placed request to its account, and to the share of overdue requests.
void waiting_room::countServed(const waiting_request &request, bool asOverdue)
{
    const double cost = costOf(request);
    for (auto &[priority, queue] : m_priorities) {
        if (priority <= request.priority)
            queue.drained.placed(cost);
    }
    if (asOverdue)
        m_overdueCredit -= cost;
    else
        addOverdueCredit(cost);
    priority_queue &queue = m_priorities[request.priority];
    const auto found = queue.accounts.find(request.account);
    if (found == queue.accounts.end())
        return;
    clearOrder(queue, request.account);
    const double startTag = found->second.startTag;
    queue.virtualTime = std::max(queue.virtualTime, startTag);
    setOrder(queue, request.account, startTag + cost / weightOf(request));
    while (!queue.idleOrder.empty() && queue.idleOrder.begin()->first <= queue.virtualTime) {
        queue.accounts.erase(queue.idleOrder.begin()->second);
        queue.idleOrder.erase(queue.idleOrder.begin());
    }
}

double waiting_room::tokensPerSecond(int priority, time_point now, double moreTokens) const
{
    // A priority of which nothing has waited yet has the rate of the next less urgent one, or else
    // of all.
    bool isBusy = false;
    double rate = -1.0;
    for (auto queue = m_priorities.rbegin(); queue != m_priorities.rend(); ++queue) {
        isBusy = isBusy || !queue->second.isEmpty();
        const double observed = queue->second.drained.tokensPerSecond(isBusy, now, moreTokens);
        const bool isOwn = queue->first >= priority;
        if (observed >= 0.0 && (isOwn || rate < 0.0))
            rate = observed;
    }
    return rate;
}

/// Returns the tokens that are served before the request, by its place in the order.
double waiting_room::tokensAhead(const waiting_request &request) const
{
    double ahead = 0.0;
    for (const auto &[priority, queue] : m_priorities) {
        if (priority < request.priority)
            ahead += queue.waitingTokens;
    }
    const auto own = m_priorities.find(request.priority);
    if (own == m_priorities.end())
        return ahead;
    const auto &accounts = own->second.accounts;
    const auto account = accounts.find(request.account);
    const double before = account == accounts.end() ? 0.0 : account->second.waitingTokens;
    // Each account is served as much as this one until the request is placed.
    for (const auto &[name, other] : accounts)
        ahead += std::min(other.waitingTokens, before + costOf(request));
    return ahead;
}

duration waiting_room::expectedWait(const waiting_request &request, time_point now) const
{
    const double ahead = tokensAhead(request);
    // The next placement is assumed to be due: a short time without any is no evidence of none.
    const double rate = tokensPerSecond(request.priority, now, costOf(request));
    if (ahead <= 0.0 || rate <= 0.0)
        return duration::zero();
    constexpr double LongestSeconds = 1e6;
    return fromSeconds(std::min(ahead / rate, LongestSeconds));
}

} // namespace burdockhold
