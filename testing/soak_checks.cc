#include "testing/soak_checks.h"

#include "testing/soak_caller.h"
#include "testing/soak_engine.h"

#include <algorithm>
#include <cstdlib>
#include <iterator>
#include <optional>
#include <set>
#include <tuple>

namespace burdockhold::testing {

namespace {

using process_id = std::pair<int, int>; // Router and number of its start.

bool startsWith(const std::string &text, const char *start)
{
    return text.rfind(start, 0) == 0;
}

bool runsAtMostOnce(const std::string &path)
{
    return startsWith(path, "/pay/") || startsWith(path, "/once/");
}

bool overlaps(const std::vector<soak_span> &spans, soak_time from, soak_time to)
{
    return std::any_of(spans.begin(), spans.end(), [from, to](const soak_span &span) {
        return span.from <= to && span.to >= from;
    });
}

/// Version of the deployment that the account's name states, or nothing for the metered account.
std::optional<int> versionOf(const std::string &account)
{
    if (account.size() < 2 || account[0] != 'v')
        return std::nullopt;
    return std::atoi(account.c_str() + 1);
}

/// First tries that were sent in a span of time.
struct first_tries
{
    int sent = 0;
    int served = 0;
};

class soak_judge
{
public:
    soak_judge(const soak_history &history, const soak_bounds &bounds)
        : m_history(history)
        , m_bounds(bounds)
        , m_violations(history.findings)
    {
        for (const soak_call &call : history.calls)
            m_calls.emplace(call.attemptId, &call);
        for (const soak_arrival &arrival : history.arrivals)
            m_arrivals[arrival.attemptId].push_back(&arrival);
    }

    std::vector<std::string> judge()
    {
        for (const soak_call &call : m_history.calls) {
            checkAnswer(call);
            checkStream(call);
            checkRuns(call);
            checkEngines(call);
            checkKey(call);
            checkLost(call);
            checkGone(call);
            checkTime(call);
        }
        for (const soak_arrival &arrival : m_history.arrivals)
            checkArrival(arrival);
        checkVersions();
        checkLimit();
        checkRepeats();
        checkOrders();
        checkPauses();
        checkLeavingAnswers();
        for (const soak_cut &cut : m_history.endpointCuts)
            checkRecovery(cut);
        return m_violations;
    }

private:
    void add(const char *check, const soak_call &call, const std::string &text)
    {
        m_violations.push_back(std::string(check) + ": " + call.attemptId + " " + call.path
                               + " at router " + std::to_string(call.router) + "."
                               + std::to_string(call.process) + ", sent at "
                               + std::to_string(since(call.sentAt)) + " ms: " + text);
    }

    long since(soak_time time) const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time - m_history.startedAt)
                .count();
    }

    const std::vector<const soak_arrival *> &arrivalsOf(const soak_call &call) const
    {
        static const std::vector<const soak_arrival *> noArrivals;
        const auto found = m_arrivals.find(call.attemptId);
        return found == m_arrivals.end() ? noArrivals : found->second;
    }

    std::size_t runsOf(const soak_call &call) const
    {
        const auto &arrivals = arrivalsOf(call);
        return static_cast<std::size_t>(
                std::count_if(arrivals.begin(), arrivals.end(),
                              [](const soak_arrival *arrival) { return !arrival->refused; }));
    }

    /// Returns true if the router, the log and the soak were undisturbed in the span.
    bool inTouch(int router, soak_time from, soak_time to) const
    {
        return calm(router, from - m_bounds.contact, to)
               && !overlaps(m_history.logFaults, from - m_bounds.contact, to);
    }

    /// Returns true if the router was neither stopped nor cut off, and the soak was not late.
    bool calm(int router, soak_time from, soak_time to) const
    {
        const auto faults = m_history.routerFaults.find(router);
        return (faults == m_history.routerFaults.end() || !overlaps(faults->second, from, to))
               && !overlaps(m_history.delays, from, to);
    }

    bool wasKilled(const soak_call &call) const
    {
        const auto killed = m_history.killed.find({ call.router, call.process });
        return killed != m_history.killed.end() && killed->second <= call.endedAt;
    }

    /// Whole answers, in order, and never another request's.
    void checkAnswer(const soak_call &call)
    {
        if (!call.problem.empty())
            add("answer", call, call.problem);
    }

    /// Events in order, none missing, none twice, no foreign bytes, and all of them at a last
    /// chunk.
    void checkStream(const soak_call &call)
    {
        const int count = soakEventCount(call.attemptId);
        const int received = static_cast<int>(call.events.size());
        int next = 1;
        for (const std::string &event : call.events) {
            if (event != soakEvent(call.attemptId, next))
                return add("stream", call, problemOfEvent(call.attemptId, next, event));
            ++next;
        }
        const std::string text = soakEvent(call.attemptId, next) + "\n\n";
        const bool foreign = call.streamEnded ? !call.streamRest.empty()
                                              : !startsWith(text, call.streamRest.c_str());
        if (foreign || received > count)
            add("stream", call,
                "foreign bytes after event " + std::to_string(received) + ": " + call.streamRest);
        if (call.streamEnded && received != count)
            add("stream", call,
                "looks complete after " + std::to_string(received) + " of " + std::to_string(count)
                        + " events");
    }

    static std::string problemOfEvent(const std::string &attemptId, int expected,
                                      const std::string &event)
    {
        const std::string place = " after event " + std::to_string(expected - 1);
        for (int number = 1; number <= soakEventCount(attemptId); ++number) {
            if (event == soakEvent(attemptId, number))
                return "event " + std::to_string(number)
                       + (number < expected ? " twice," : " without those before it,") + place;
        }
        return "foreign bytes" + place + ": " + event;
    }

    /// At most once, and true refusals.
    void checkRuns(const soak_call &call)
    {
        const std::size_t runs = runsOf(call);
        if (runsAtMostOnce(call.path) && runs > 1)
            add("at most once", call, "ran " + std::to_string(runs) + " times");
        if (call.outcome == soak_outcome::Refused && runs > 0)
            add("refusal", call, "status " + std::to_string(call.status) + ", but it ran");
    }

    /// Runs on at most as many engines as the route allows, besides those that crashed meanwhile.
    void checkEngines(const soak_call &call)
    {
        std::set<int> engines;
        for (const soak_arrival *arrival : arrivalsOf(call)) {
            const auto faults = m_history.engineFaults.find(arrival->engine);
            const bool crashed = faults != m_history.engineFaults.end()
                                 && overlaps(faults->second, call.sentAt, call.endedAt);
            if (!arrival->refused && !crashed)
                engines.insert(arrival->engine);
        }
        if (engines.size() > SoakMaxAttempts)
            add("engines", call, "ran on " + std::to_string(engines.size()) + " engines");
    }

    void checkKey(const soak_call &call)
    {
        const bool lasting = call.key == soakKey(0) || call.key == MeteredKey;
        if (lasting && (call.status == 401 || call.status == 403 || call.status == 404))
            add("denied", call, "status " + std::to_string(call.status));
        const auto withdrawn = m_history.withdrawnKeys.find(call.key);
        if (withdrawn != m_history.withdrawnKeys.end() && runsOf(call) > 0
            && call.sentAt > withdrawn->second + m_bounds.revocation
            && !startedOnCopy(call, withdrawn->second))
            add("key", call,
                "ran with " + call.key + ", withdrawn at "
                        + std::to_string(since(withdrawn->second)) + " ms");
    }

    /// Returns true if the process started on a copy of the log that lacks the withdrawal, and the
    /// bound has not passed since the operator wrote it again.
    bool startedOnCopy(const soak_call &call, soak_time withdrawnAt) const
    {
        const auto start = m_history.starts.find({ call.router, call.process });
        return start != m_history.starts.end()
               && std::any_of(m_history.restores.begin(), m_history.restores.end(),
                              [&](const soak_restore &restore) {
                                  return restore.copiedAt < withdrawnAt
                                         && withdrawnAt < restore.restoredAt
                                         && restore.restoredAt <= start->second
                                         && start->second <= restore.writtenAgainAt
                                         && call.sentAt - m_bounds.revocation
                                                    <= restore.writtenAgainAt;
                              });
    }

    /// Returns true if the engine wrote to a router that was cut off from it, and crashed before
    /// the call ended: bytes that the router has not acknowledged are lost with the engine.
    bool lostInCut(const soak_arrival &arrival, const soak_call &call) const
    {
        const auto crashes = m_history.engineFaults.find(arrival.engine);
        return crashes != m_history.engineFaults.end()
               && overlaps(crashes->second, arrival.endedAt, call.endedAt)
               && std::any_of(m_history.endpointCuts.begin(), m_history.endpointCuts.end(),
                              [&](const soak_cut &cut) {
                                  return cut.routers.count(call.router) > 0
                                         && overlaps({ cut.span }, arrival.at, arrival.endedAt);
                              });
    }

    /// A process that was not killed answers what it has read; it does not break off a sound run.
    void checkLost(const soak_call &call)
    {
        if ((call.outcome != soak_outcome::NoAnswer && call.outcome != soak_outcome::Broken)
            || wasKilled(call) || call.endedAt - call.sentAt >= m_bounds.answer)
            return;
        const auto &arrivals = arrivalsOf(call);
        const bool broken = std::any_of(arrivals.begin(), arrivals.end(), [&](const auto *arrival) {
            return arrival->broken || lostInCut(*arrival, call);
        });
        const bool late = call.endedAt - call.sentAt > m_bounds.crossing;
        if (overlaps(m_history.delays, call.sentAt, call.endedAt))
            return;
        if (!broken && runsOf(call) > 0)
            add("lost", call, "cut off although its engine was sound");
        else if (arrivals.empty() && late && calm(call.router, call.sentAt, call.endedAt))
            add("lost", call, "closed without an answer");
    }

    /// The work for a caller that left ends.
    void checkGone(const soak_call &call)
    {
        if (call.outcome != soak_outcome::Abandoned)
            return;
        const soak_time limit = call.endedAt + m_bounds.gone;
        for (const soak_arrival *arrival : arrivalsOf(call)) {
            if (arrival->refused || arrival->broken || !calm(call.router, call.sentAt, limit))
                continue;
            if (arrival->at > limit)
                add("gone", call, "reached an engine after its caller had left");
            else if (arrival->wouldEndAt > limit && arrival->endedAt > limit)
                add("gone", call, "its engine works on after its caller has left");
        }
    }

    void checkTime(const soak_call &call)
    {
        if (call.outcome == soak_outcome::TimedOut && calm(call.router, call.sentAt, call.endedAt))
            add("time", call, "no answer long after the time limit");
    }

    void checkArrival(const soak_arrival &arrival)
    {
        const auto found = m_calls.find(arrival.attemptId);
        if (found == m_calls.end()) {
            m_violations.push_back("unasked: " + arrival.attemptId + " was sent by no caller");
            return;
        }
        const soak_call &call = *found->second;
        if (arrival.path != call.path || arrival.credentialPassed)
            add("unasked", call, "path " + arrival.path + " or key passed on to the engine");
        if ((call.key == MeteredKey) != (arrival.account == "metered")
            || (call.key != MeteredKey && !versionOf(arrival.account)))
            add("unasked", call, "account " + arrival.account);
        checkLeavingEngine(arrival, call);
    }

    /// An engine that the log says leaves gets nothing after the bound.
    void checkLeavingEngine(const soak_arrival &arrival, const soak_call &call)
    {
        const auto leaving = m_history.leavingEngines.find({ arrival.engine, arrival.incarnation });
        if (leaving == m_history.leavingEngines.end() || arrival.refused
            || call.sentAt <= leaving->second + m_bounds.leaving)
            return;
        if (inTouch(call.router, leaving->second, arrival.at))
            add("leaving", call, "reached engine " + std::to_string(arrival.engine));
    }

    /// A process does not return to an older deployment, and in touch applies a new one in time.
    void checkVersions()
    {
        struct seen_version
        {
            int version;
            soak_time at;
        };
        std::map<process_id, std::vector<seen_version>> seen;
        for (const soak_arrival &arrival : m_history.arrivals) {
            const auto found = m_calls.find(arrival.attemptId);
            const auto version = versionOf(arrival.account);
            if (found == m_calls.end() || !version)
                continue;
            const soak_call &call = *found->second;
            auto &newest = seen[{ call.router, call.process }];
            for (const seen_version &older : newest) {
                if (older.version > *version && call.sentAt > older.at)
                    add("older deployment", call,
                        std::to_string(*version) + " after " + std::to_string(older.version));
            }
            if (newest.empty() || newest.back().version < *version)
                newest.push_back({ *version, arrival.at });
            checkConfigBound(call, arrival, *version);
        }
    }

    void checkConfigBound(const soak_call &call, const soak_arrival &arrival, int version)
    {
        const auto next = m_history.deployments.upper_bound(version);
        if (next == m_history.deployments.end() || call.sentAt <= next->second + m_bounds.config)
            return;
        if (inTouch(call.router, next->second, arrival.at))
            add("deployment", call,
                "under " + std::to_string(version) + ", though " + std::to_string(next->first)
                        + " was there at " + std::to_string(since(next->second)) + " ms");
    }

    /// The account's limit over all routers.
    void checkLimit()
    {
        std::vector<std::pair<soak_time, soak_time>> runs; // Sent and arrived.
        for (const soak_arrival &arrival : m_history.arrivals) {
            const auto found = m_calls.find(arrival.attemptId);
            if (found != m_calls.end() && !arrival.refused && arrival.account == "metered")
                runs.emplace_back(found->second->sentAt, arrival.at);
        }
        std::sort(runs.begin(), runs.end());
        double most = 0.0;
        for (std::size_t first = 0; first < runs.size(); ++first) {
            const soak_time end = runs[first].first + m_bounds.window;
            double tokens = 0.0;
            for (std::size_t at = first; at < runs.size() && runs[at].first <= end; ++at)
                tokens += runs[at].second <= end ? MeteredCost : 0.0;
            most = std::max(most, tokens);
        }
        if (most > m_bounds.windowTokens)
            m_violations.push_back("limit: " + std::to_string(most)
                                   + " tokens of the metered account ran in one window, allowed "
                                   + std::to_string(m_bounds.windowTokens));
    }

    static double countIn(const std::vector<soak_time> &times, soak_time from, soak_time to)
    {
        return static_cast<double>(std::upper_bound(times.begin(), times.end(), to)
                                   - std::upper_bound(times.begin(), times.end(), from));
    }

    /// Arrivals of each request beyond its first, but those that the soak may have read late.
    std::vector<soak_time> repeatTimes() const
    {
        std::vector<soak_time> repeats;
        for (const auto &[attemptId, arrivals] : m_arrivals) {
            std::vector<soak_time> times;
            for (const soak_arrival *arrival : arrivals)
                times.push_back(arrival->at);
            std::sort(times.begin(), times.end());
            std::copy_if(
                    std::next(times.begin()), times.end(), std::back_inserter(repeats),
                    [this](soak_time time) { return !overlaps(m_history.delays, time, time); });
        }
        std::sort(repeats.begin(), repeats.end());
        return repeats;
    }

    /// The budget for repeats over all routers. The requests of a window, of the one before it or
    /// of the one half a window earlier count, whichever are most.
    void checkRepeats()
    {
        std::vector<soak_time> sent;
        for (const soak_call &call : m_history.calls)
            sent.push_back(call.sentAt);
        std::sort(sent.begin(), sent.end());
        const std::vector<soak_time> repeats = repeatTimes();
        const auto window = m_bounds.repeatWindow;
        for (const soak_time end : repeats) {
            const double requests = std::max(
                    { countIn(sent, end - window, end),
                      countIn(sent, end - 2 * window, end - window),
                      countIn(sent, end - window * 3 / 2, end - window / 2) });
            const double used = countIn(repeats, end - window, end);
            if (used > RepeatRatio * requests + RepeatSlack) {
                m_violations.push_back("repeats: " + std::to_string(used)
                                       + " in the window that ends at " + std::to_string(since(end))
                                       + " ms, with " + std::to_string(requests) + " requests");
                return;
            }
        }
    }

    void addOrder(const soak_order &order, const std::string &text)
    {
        m_violations.push_back("orders: " + order.holder + " with token "
                               + std::to_string(order.token) + " at engine "
                               + std::to_string(order.engine) + " at "
                               + std::to_string(since(order.at)) + " ms: " + text);
    }

    static int routerOf(const soak_order &order) { return std::atoi(order.holder.c_str() + 3); }

    /// Orders count unless the sender was thawed or healed shortly before, or the soak was late.
    bool counts(const soak_order &order) const
    {
        if (overlaps(m_history.delays, order.at, order.at))
            return false;
        const auto faults = m_history.routerFaults.find(routerOf(order));
        return faults == m_history.routerFaults.end()
               || std::none_of(
                       faults->second.begin(), faults->second.end(), [&](const soak_span &span) {
                           return span.to <= order.at && order.at <= span.to + m_bounds.thaw;
                       });
    }

    bool wasCalm(const soak_order &order) const
    {
        return inTouch(routerOf(order), order.at, order.at);
    }

    /// One holder: a token is one router's, tokens do not go back, and holders do not take turns.
    void checkOrders()
    {
        std::map<std::int64_t, std::string> owners;
        std::map<int, std::vector<const soak_order *>> byEngine;
        for (const soak_order &order : m_history.orders) {
            if (!order.hasExpected)
                addOrder(order, "without the number of orders that it expects");
            if (order.version < 1 || order.version > m_history.namedWeights)
                addOrder(order, "names weights that the operator has not named");
            if (!counts(order))
                continue;
            const auto owner = owners.emplace(order.token, order.holder).first;
            if (owner->second != order.holder)
                addOrder(order, "the token was that of " + owner->second);
            byEngine[order.engine].push_back(&order);
        }
        for (const auto &[engine, orders] : byEngine)
            checkOrdersAt(orders);
    }

    void checkOrdersAt(const std::vector<const soak_order *> &orders)
    {
        std::int64_t highest = 0;
        for (std::size_t index = 0; index < orders.size(); ++index) {
            const soak_order &order = *orders[index];
            if (!m_history.enginesCheckFences && order.token < highest)
                addOrder(order, "after token " + std::to_string(highest));
            highest = std::max(highest, order.token);
            checkTurn(orders, index);
        }
    }

    /// Engines that check tokens bind holders in touch only. Where they do not, a holder also waits
    /// for the lease of the one before to pass.
    void checkTurn(const std::vector<const soak_order *> &orders, std::size_t index)
    {
        const soak_order &order = *orders[index];
        bool between = false;
        bool calm = wasCalm(order);
        for (std::size_t at = index; at-- > 0 && order.at - orders[at]->at < m_bounds.lease;) {
            const soak_order &earlier = *orders[at];
            calm = calm && wasCalm(earlier);
            if (earlier.holder != order.holder) {
                if (!m_history.enginesCheckFences && calm)
                    return addOrder(order, "within the lease of " + earlier.holder);
                between = true;
            } else if (between && (calm || !m_history.enginesCheckFences)) {
                return addOrder(order, "holders take turns within the lease");
            }
        }
    }

    /// First tries at routers that are cut off from all engines are served nearly as often as those
    /// at the others.
    void checkRecovery(const soak_cut &cut)
    {
        first_tries cutOff;
        first_tries others;
        for (const soak_call &call : m_history.calls) {
            if (!countsInCut(call, cut))
                continue;
            first_tries &tries = cut.routers.count(call.router) > 0 ? cutOff : others;
            ++tries.sent;
            tries.served += call.outcome == soak_outcome::Complete ? 1 : 0;
        }
        const double failed = cutOff.sent - cutOff.served;
        const double allowed = m_bounds.recoverFailures
                               + m_bounds.recoverShare * (cutOff.sent + others.sent);
        if (3.0 * cutOff.served * others.sent < 2.0 * others.served * cutOff.sent
            && failed > allowed)
            m_violations.push_back("recover: cut at " + std::to_string(since(cut.span.from))
                                   + " ms, " + std::to_string(cutOff.served) + " of "
                                   + std::to_string(cutOff.sent)
                                   + " first tries served at routers that were cut off, "
                                   + std::to_string(others.served) + " of "
                                   + std::to_string(others.sent) + " at the others");
    }

    /// Counts calls that nothing but the cut hinders: no limit, no withdrawn key, no other fault.
    bool countsInCut(const soak_call &call, const soak_cut &cut) const
    {
        const soak_time from = call.sentAt - m_bounds.aftermath;
        return call.key == soakKey(0) && call.outcome != soak_outcome::Abandoned
               && call.sentAt >= cut.span.from + m_bounds.contact && call.sentAt <= cut.span.to
               && inTouch(call.router, call.sentAt, call.endedAt)
               && !overlaps(m_history.engineDisturbances, from, call.endedAt);
    }

    using engine_at_process = std::tuple<int, int, int, int>; // Engine, start, router, start.

    std::map<engine_at_process, std::vector<const soak_arrival *>> arrivalsByProcess() const
    {
        std::map<engine_at_process, std::vector<const soak_arrival *>> sorted;
        for (const soak_arrival &arrival : m_history.arrivals) {
            const auto found = m_calls.find(arrival.attemptId);
            if (found != m_calls.end())
                sorted[{ arrival.engine, arrival.incarnation, found->second->router,
                         found->second->process }]
                        .push_back(&arrival);
        }
        return sorted;
    }

    void checkPauses()
    {
        for (const auto &[key, arrivals] : arrivalsByProcess()) {
            for (const soak_arrival *refusal : arrivals) {
                if (refusal->pause.count() > 0)
                    checkPause(std::get<2>(key), *refusal, arrivals);
            }
        }
    }

    void checkPause(int router, const soak_arrival &refusal,
                    const std::vector<const soak_arrival *> &arrivals)
    {
        const soak_time from = refusal.endedAt + m_bounds.pauseGrace;
        const soak_time to = refusal.endedAt + refusal.pause;
        const auto inPause = static_cast<std::size_t>(
                std::count_if(arrivals.begin(), arrivals.end(), [from, to](const auto *arrival) {
                    return arrival->at > from && arrival->at <= to;
                }));
        if (inPause > m_bounds.pauseArrivals && calm(router, refusal.at, to))
            m_violations.push_back("pause: " + std::to_string(inPause) + " requests of router "
                                   + std::to_string(router) + " reached engine "
                                   + std::to_string(refusal.engine) + " in its pause from "
                                   + std::to_string(since(refusal.endedAt)) + " ms on");
    }

    /// A router that has passed on that an engine leaves sends it nothing after the bound.
    void checkLeavingAnswers()
    {
        for (const auto &[key, arrivals] : arrivalsByProcess()) {
            std::optional<soak_time> passedOn;
            for (const soak_arrival *arrival : arrivals) {
                const soak_call &call = *m_calls.at(arrival->attemptId);
                if (passedOn && !arrival->refused && call.sentAt > *passedOn + m_bounds.leaving
                    && calm(call.router, *passedOn, arrival->at))
                    add("leaving", call,
                        "reached engine " + std::to_string(arrival->engine)
                                + ", which had told this router");
                const bool said = arrival->saidLeaving && call.outcome == soak_outcome::Complete
                                  && runsOf(call) == 1;
                if (said && !passedOn)
                    passedOn = call.endedAt;
            }
        }
    }

    const soak_history &m_history;
    const soak_bounds &m_bounds;
    std::map<std::string, const soak_call *> m_calls;
    std::map<std::string, std::vector<const soak_arrival *>> m_arrivals;
    std::vector<std::string> m_violations;
};

} // namespace

std::vector<std::string> findViolations(const soak_history &history, const soak_bounds &bounds)
{
    return soak_judge(history, bounds).judge();
}

} // namespace burdockhold::testing
