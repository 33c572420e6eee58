#ifndef BURDOCKHOLD_WAITING_ROOM_H
#define BURDOCKHOLD_WAITING_ROOM_H

// Requests that wait for capacity of one pool, at a VM or at a scheduler.
//
// Order of service: ascending priority number; within a priority, requests that can still meet
// their target before those that cannot; among these, accounts by weighted tokens served
// (start-time fair queueing); within an account, the earliest target first, or the earliest
// deadline once the target cannot be met.
//
// Promises:
// - Starvation: a request that has waited for starvationTargets times its latency target is
//   overdue. While overdue requests wait, a starvationShare of the tokens served goes to them, the
//   longest overdue first, whatever their priority. So an overdue request is passed over by at most
//   (its tokens and those of the requests overdue before it) / starvationShare tokens, plus one
//   request. A request that is evicted from a full room does not have this guarantee.
// - Fairness: while two accounts both have requests of one priority and state waiting, what each is
//   served, divided by its weight, differs by at most both accounts' largest request divided by
//   weight, as far as their requests can be placed. What is served as overdue comes on top.
// - Nothing waits in vain: takeExpired() returns each request that can no longer be answered before
//   its deadline, and each that was evicted.
// - Bounded: at most maxWaiting requests. When full, the request that is worst off goes: of the
//   last class in the order, one of the account with the most waiting tokens.
//
// Load pattern: demand above the capacity, for seconds or for good. First come, first served makes
// every request late, and lets one account take the share of the others.
//
// Time: logarithmic for add() and remove(), linear in what waits for each placement of serve() and
// in the accounts for expectedWait().

#include "burdockhold/clock.h"
#include "burdockhold/drain_rate.h"
#include "burdockhold/enum_names.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace burdockhold {

/// A request that waits. Tokens are the work that it costs; at least 1 counts.
struct waiting_request
{
    std::uint64_t id = 0; ///< Unique among those waiting.
    int priority = 0;     ///< 0 is the most urgent.
    std::uint32_t account = 0;
    std::int64_t tokens = 1;
    time_point arrivedAt;
    time_point targetAt;                       ///< When its response should begin.
    time_point deadlineAt;                     ///< When its caller no longer waits.
    duration expectedFirst = duration::zero(); ///< From its placement to the begin of its response.
    duration expectedRun = duration::zero();   ///< From its placement to the end of its response.
    double weight = 1.0;                       ///< Of the account; above 0.
    /// Requests of one shape can be placed at the same endpoints: if one cannot be placed, none
    /// that is as large can.
    std::uint64_t shape = 0;
};

/// Why a request was not added.
enum class waiting_refusal { None, Full, DuplicateId, TooLate };

template <>
struct enum_names<waiting_refusal>
{
    static constexpr std::array<enum_name<waiting_refusal>, 4> Table{ {
            { waiting_refusal::None, "none" },
            { waiting_refusal::Full, "full" },
            { waiting_refusal::DuplicateId, "duplicate_id" },
            { waiting_refusal::TooLate, "too_late" },
    } };
};

struct waiting_room_options
{
    std::size_t maxWaiting = 4096;
    double starvationTargets = 1.0; ///< Latency targets after which a request is overdue.
    /// Share of the tokens served that is for overdue requests. A larger one serves fewer requests
    /// in time, and not only of the urgent classes (docs/design/waiting.md).
    double starvationShare = 0.05;
};

/// Returns whether a request that is placed now can begin its response in time.
inline bool canMeetTarget(const waiting_request &request, time_point now)
{
    return now <= request.targetAt - request.expectedFirst;
}

/// Returns whether a request that is placed now can end its response before its deadline.
inline bool canMeetDeadline(const waiting_request &request, time_point now)
{
    return now <= request.deadlineAt - request.expectedRun;
}

class waiting_room
{
public:
    using place_function = std::function<bool(const waiting_request &)>;

    explicit waiting_room(waiting_room_options options = {});

    /// Adds a request. Returns false if it is refused; lastRefusal() says why. If another one is
    /// evicted in its place, takeExpired() returns that one.
    bool add(const waiting_request &request, time_point now);
    waiting_refusal lastRefusal() const { return m_lastRefusal; }

    /// Removes a request without counting it as served. Does nothing if it does not wait.
    void remove(std::uint64_t id);

    /// Calls tryPlace in order; true means placed, and the request leaves. Stops when nothing more
    /// can be placed, or after maxFailures failures. tryPlace may add and remove requests, also the
    /// one that it is called for.
    void serve(time_point now, const place_function &tryPlace,
               int maxFailures = std::numeric_limits<int>::max());

    /// Removes and returns the requests that cannot be answered before their deadline, and those
    /// that were evicted.
    std::vector<waiting_request> takeExpired(time_point now);

    /// Returns how long the request is expected to wait if it is added now, from the rate at which
    /// requests of its priority and of less urgent ones were placed while such waited. Zero if
    /// nothing is ahead of it or the rate is unknown.
    duration expectedWait(const waiting_request &request, time_point now) const;

    /// Returns when takeExpired() will next have a request to return; time_point::max() if never.
    time_point nextExpiry() const;

    bool contains(std::uint64_t id) const { return m_items.count(id) > 0; }
    std::size_t size() const { return m_items.size(); }
    bool isEmpty() const { return m_items.empty(); }

    /// Returns the rate of placement of requests of this priority and less urgent ones, in tokens
    /// per second, as if this many tokens more had been placed; negative while it is unknown.
    double tokensPerSecond(int priority, time_point now, double moreTokens = 0.0) const;

private:
    using time_and_id = std::pair<time_point, std::uint64_t>;
    struct account_queue
    {
        std::set<time_and_id> timely; // By latest start for the target.
        std::set<time_and_id> late;   // By latest start for the deadline.
        double waitingTokens = 0.0;
        double startTag = 0.0; // Virtual time at which the next request's turn starts.
        bool isEmpty() const { return timely.empty() && late.empty(); }
    };
    using account_order = std::set<std::pair<double, std::uint32_t>>;
    struct priority_queue
    {
        std::map<std::uint32_t, account_queue> accounts;
        account_order timelyOrder; // Accounts with timely requests, by start tag.
        account_order lateOrder;
        account_order idleOrder; // Accounts without requests whose start tag is still ahead.
        double virtualTime = 0.0;
        double waitingTokens = 0.0;
        drain_rate drained; // Of this priority and less urgent ones.
        bool isEmpty() const { return timelyOrder.empty() && lateOrder.empty(); }
    };
    struct item
    {
        waiting_request request;
        bool isLate = false;
        bool isOverdue = false;
    };
    /// Least tokens with which each shape could not be placed.
    using failed_shapes = std::unordered_map<std::uint64_t, std::int64_t>;
    struct candidate
    {
        std::uint64_t id = 0;
        bool asOverdue = false;
    };

    static double costOf(const waiting_request &request);
    static time_and_id timelyKey(const waiting_request &request);
    static time_and_id lateKey(const waiting_request &request);
    time_and_id overdueKey(const waiting_request &request) const;
    void advance(time_point now);
    void observeDrain(time_point now);
    void markLate(std::uint64_t id);
    void insert(const item &added);
    void setOrder(priority_queue &queue, std::uint32_t account, double startTag);
    static void clearOrder(priority_queue &queue, std::uint32_t account);
    void erase(std::uint64_t id);
    bool makeRoom(const waiting_request &arrival, bool isLate);
    bool canPlaceMore(const failed_shapes &failed) const;
    bool nextCandidate(const failed_shapes &failed, candidate &found) const;
    bool firstOf(const account_order &order, const priority_queue &queue, bool late,
                 const failed_shapes &failed, candidate &found) const;
    bool isHopeless(const waiting_request &request, const failed_shapes &failed) const;
    double tokensAhead(const waiting_request &request) const;
    void addOverdueCredit(double servedTokens);
    void countServed(const waiting_request &request, bool asOverdue);

    waiting_room_options m_options;
    std::unordered_map<std::uint64_t, item> m_items;
    std::map<int, priority_queue> m_priorities;
    std::set<time_and_id> m_targets;   // Timely requests by latest start for the target.
    std::set<time_and_id> m_deadlines; // All requests by latest start for the deadline.
    std::set<time_and_id> m_dueTimes;  // Requests that are not overdue yet.
    std::set<time_and_id> m_overdue;
    std::unordered_map<std::uint64_t, std::multiset<std::int64_t>> m_shapes; // Sizes that wait.
    std::vector<waiting_request> m_evicted;
    double m_overdueCredit = 0.0; // Tokens that overdue requests may be served next.
    waiting_refusal m_lastRefusal = waiting_refusal::None;
};

} // namespace burdockhold

#endif
