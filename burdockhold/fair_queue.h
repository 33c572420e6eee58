#ifndef BURDOCKHOLD_FAIR_QUEUE_H
#define BURDOCKHOLD_FAIR_QUEUE_H

// Requests that wait for a pool's capacity. Classes are served in strict order of priority; within
// a class, accounts are served by start-time fair queueing, weighted by account, with the cost of a
// request in tokens.
//
// Promises:
// - Starvation: a priority with waiting requests is passed over at most maxPasses times in a row,
//   plus once for each other priority that is due at the same time.
// - Fairness: while two accounts of one priority both have requests waiting, the service that each
//   got, divided by its weight, differs by at most the sum of both accounts' largest request cost
//   divided by weight. What an account sends beyond its share waits in its own queue and does not
//   reduce another account's share.
//
// Time: logarithmic in the number of waiting requests and accounts. Memory: bounded by the options;
// an account can fill only its own part of the queue.

#include "burdockhold/clock.h"
#include "burdockhold/enum_names.h"
#include "burdockhold/result.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace burdockhold {

struct fair_queue_options
{
    int maxPasses = 32; ///< Requests of higher priority served before a lower one gets a turn.
    std::size_t maxWaiting = 50000;
    std::size_t maxWaitingPerAccount = 5000;
};

/// A request for a turn. Account and class properties come from the catalogue.
struct queued_request
{
    std::uint64_t id = 0; ///< Unique among those waiting; lower ids of an account go first.
    std::string account;
    std::int64_t priority = 0; ///< 0 is the highest.
    double weight = 1.0;       ///< Of the account; greater than 0.
    double costTokens = 1.0;   ///< Prompt tokens to compute and output tokens; at least 1 counts.
    duration maxWait = duration::max(); ///< Of the class.
};

enum class queue_error { Full, AccountFull, DuplicateId, BadWeight };

template <>
struct enum_names<queue_error>
{
    static constexpr std::array<enum_name<queue_error>, 4> Table{ {
            { queue_error::Full, "full" },
            { queue_error::AccountFull, "account_full" },
            { queue_error::DuplicateId, "duplicate_id" },
            { queue_error::BadWeight, "bad_weight" },
    } };
};

/// How an account fared in the current period.
struct account_share
{
    std::string account;
    std::int64_t priority = 0;
    /// Service that the account got, relative to its share by weight among the accounts of the same
    /// priority that had requests waiting all the period. 1 is exactly its share.
    double share = 1.0;
};

class fair_queue
{
public:
    explicit fair_queue(fair_queue_options options = {});

    /// Adds a request, or says why there is no room: the request is not run.
    result<success, queue_error> push(const queued_request &request, time_point now);

    /// Removes and returns the request whose turn it is, or nothing when none waits. Requests past
    /// their longest wait are for takeExpired() and must be taken first.
    std::optional<queued_request> pop();

    /// Removes a waiting request, for instance when its caller has disconnected. Returns false when
    /// it does not wait. The account pays nothing for it.
    bool cancel(std::uint64_t id);

    /// Removes and returns the requests that have waited for their longest wait.
    std::vector<queued_request> takeExpired(time_point now);

    /// Returns the account with the lowest share in the current period, among those that had
    /// requests waiting all the time, or nothing when there is none or nothing was served.
    std::optional<account_share> worstServed() const;

    /// Starts a new period for worstServed().
    void startPeriod();

    std::size_t size() const { return m_items.size(); }

private:
    struct account_queue
    {
        std::set<std::uint64_t> waiting;
        double weight = 1.0;
        double startTag = 0.0; // Virtual time at which the next request's turn starts.
        double servedTokens = 0.0;
        bool waitedAllPeriod = false;
    };
    struct class_queue
    {
        std::map<std::string, account_queue> accounts;
        std::set<std::pair<double, std::string>> order; // Accounts with requests, by start tag.
        double virtualTime = 0.0;                       // Start tag of the request served last.
        int passes = 0;
    };
    struct item
    {
        queued_request request;
        time_point expiresAt;
    };
    using class_map = std::map<std::int64_t, class_queue>;

    class_map::iterator nextClass();
    void remove(std::map<std::uint64_t, item>::iterator it);
    static void forgetIdleAccounts(class_queue &queue);

    fair_queue_options m_options;
    std::map<std::uint64_t, item> m_items;
    std::set<std::pair<time_point, std::uint64_t>> m_expiries;
    class_map m_classes;
};

} // namespace burdockhold

#endif
