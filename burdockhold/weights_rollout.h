#ifndef BURDOCKHOLD_WEIGHTS_ROLLOUT_H
#define BURDOCKHOLD_WEIGHTS_ROLLOUT_H

// Plans the rollout of weights to a pool: which engine is ordered to load which version, and when.
// Stepped by the VM that holds the pool's duty.
//
// Load pattern: a version is announced while the pool is busy, and further versions follow within
// seconds. Each engine stops serving from its order until it has loaded the weights, so the planner
// orders only as many at once as the weight store serves at full rate (weights_load_estimator.h),
// idle ones first, and gives each engine the newest version.
//
// Promises:
// - At most loadingShare of a pool's engines, rounded up, load at once, so that the others serve.
//   More engines load only if the weights of the others would otherwise expire before their turn;
//   an engine with expired weights serves nothing until it has loaded new ones.
// - A VM that loses the duty gives no more orders, but follows the loads that it has ordered until
//   they end: only it knows that these engines refuse calls.
// - Every order states the number of orders that the engine has accepted, so that the engine
//   refuses a delayed older order, whose number no longer matches.
// - After an order without a response, the engine's state is queried before the next order.
// - After an engine has refused a fencing token, no order carries that token again.
// The time of a step is O(n log n) in the number of engines of the pool.

#include "burdockhold/clock.h"
#include "burdockhold/enum_names.h"
#include "burdockhold/weights_load_estimator.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace burdockhold {

/// State that an engine reports about itself; a few hundred milliseconds old.
struct engine_state
{
    std::int64_t acceptedOrders = 0;
    bool busy = false; ///< The engine is executing an order.
    std::map<std::string, std::int64_t> weights;
};

struct weights_order
{
    std::string endpointId;
    std::string address;
    std::string model;
    std::int64_t version = 0;
    std::int64_t fencingToken = 0;
    std::int64_t expectedOrders = 0;
};

enum class order_result { Accepted, AlreadyHolds, Conflict, Fenced, OtherEngine, Refused, None };

template <>
struct enum_names<order_result>
{
    static constexpr std::array<enum_name<order_result>, 7> Table{ {
            { order_result::Accepted, "accepted" },
            { order_result::AlreadyHolds, "already_holds" },
            { order_result::Conflict, "conflict" },
            { order_result::Fenced, "fenced" },
            { order_result::OtherEngine, "other_engine" },
            { order_result::Refused, "refused" },
            { order_result::None, "none" },
    } };
};

struct query_engine_state
{
    std::string endpointId;
    std::string address;
};

using rollout_action = std::variant<query_engine_state, weights_order>;

/// What the planner knows about an engine in one step.
struct rollout_engine
{
    std::string id;
    std::string address;
    std::int64_t incarnation = 0;
    std::string model;
    std::int64_t version = 0;      ///< Newest known version of its weights; 0 when unknown.
    std::int64_t activeTokens = 0; ///< Tokens of its running requests; fewer are ordered first.
    bool silent = false;           ///< The engine does not serve now; it may be down.
    int running = 0;               ///< Number of running requests.
    /// How long calls may still start on its weights; zero or less once they have expired.
    duration usableFor = duration::max();
};

struct rollout_options
{
    /// Largest fraction of a pool's serving engines that drain or load at once.
    double loadingShare = 0.55;
    /// Largest fraction of the memory of the engines still serving that running requests may use.
    double activeShare = 0.5;
    /// Largest fraction of the pool that is ordered at once. The others drain while the first wave
    /// takes the traffic; each is ordered once it runs at most drainedRequests requests or has been
    /// behind the target version for maxDrainTime.
    double firstWaveShare = 0.45;
    int drainedRequests = 2;
    duration maxDrainTime = std::chrono::milliseconds(3500);
    /// Engines that may load at once however high the load is: as many as the weight store serves
    /// at full rate.
    int minLoadingLimit = 2;
    /// Time from an order to the first query of whether it is done, because loading takes longer.
    duration firstQueryDelay = std::chrono::milliseconds(500);
    duration queryInterval = std::chrono::milliseconds(150);
    /// Delay after a refusal, a conflict or a missing response; at least the lag of the engines'
    /// reports.
    duration retryDelay = std::chrono::milliseconds(250);
    /// A load that has not finished after this time no longer counts against loadingShare.
    duration loadTimeout = std::chrono::seconds(6);
    load_estimator_options loads;
};

/// What the engines of a pool should load.
struct rollout_target
{
    std::int64_t version = 0;
    std::int64_t cacheTokens = 0; ///< Memory of each engine, in tokens of its KV cache.
};

class rollout_planner
{
public:
    explicit rollout_planner(rollout_options options = {});

    /// Returns the actions to take now. The token is that of the held duty; without one the planner
    /// only queries the engines that are loading and forgets the others.
    std::vector<rollout_action> step(const std::vector<rollout_engine> &engines,
                                     const rollout_target &target,
                                     std::optional<std::int64_t> fencingToken, time_point now);

    void stateReceived(std::string_view endpointId, const engine_state &state, time_point now);
    void stateFailed(std::string_view endpointId, time_point now);
    /// Handles the outcome of an order; by then the planner may have a newer token.
    void orderCompleted(const weights_order &order, order_result result, time_point now);

    /// Returns the engines that are believed to drain or load now.
    std::vector<std::string> loadingEngines(time_point now) const;

    /// Returns how much longer the engine is expected to drain or load; zero if it does neither or
    /// is late.
    duration loadTimeLeft(std::string_view endpointId, time_point now) const;

    /// Load times that this VM has measured or heard of.
    weights_load_estimator &loads() { return m_loads; }
    const weights_load_estimator &loads() const { return m_loads; }

    /// True when an engine has refused the token because it has seen a higher one.
    bool isFenced(std::int64_t token) const { return token <= m_fencedToken; }

private:
    struct engine_entry
    {
        std::string address;
        std::int64_t incarnation = 0;
        std::optional<std::int64_t> acceptedOrders;
        bool callPending = false;
        bool loading = false;
        time_point loadingSince;
        std::optional<time_point> drainedAt; ///< First seen without requests while loading.
        bool orderedHere = false;            ///< The load was ordered by this VM.
        /// Engine-seconds of all loads by drained engines since this one has drained.
        double loadSeconds = 0.0;
        time_point behindSince; ///< First seen with weights older than the target version.
        bool behind = false;
        time_point nextActionAt;
    };

    std::vector<rollout_action> followLoads(time_point now);
    void forgetMissing(const std::vector<rollout_engine> &engines);
    void updateEntries(const std::vector<rollout_engine> &engines, std::int64_t targetVersion,
                       time_point now);
    void recordFinishedLoad(engine_entry &entry, time_point now);
    bool hasDrained(const rollout_engine &engine, const engine_entry &entry, time_point now) const;
    int maxLoading(const std::vector<rollout_engine> &engines, std::int64_t cacheTokens,
                   time_point now) const;
    int firstWaveRemaining(const std::vector<rollout_engine> &engines, std::int64_t version) const;
    int minLoadingBeforeExpiry(const std::vector<rollout_engine> &engines,
                               std::int64_t version) const;
    bool countsAsLoading(const engine_entry &entry, time_point now) const;
    int loadingCount(time_point now) const;
    duration loadTimeout() const;

    rollout_options m_options;
    weights_load_estimator m_loads;
    time_point m_steppedAt;
    std::map<std::string, engine_entry, std::less<>> m_engines;
    std::int64_t m_fencedToken = -1;
};

} // namespace burdockhold

#endif
