#ifndef BURDOCKHOLD_WEIGHTS_ROLLOUT_H
#define BURDOCKHOLD_WEIGHTS_ROLLOUT_H

// Which engine is ordered to load which weights, and when. Stepped by the VM that holds the duty.
//
// Promises:
// - At most loadingShare of a pool's engines, rounded up, load at once, so that the others serve.
//   More load only if the rest would otherwise reach the end of their weights' use first, after
//   which an engine serves nothing until it has loaded.
// - Every order names the number of orders that the engine has accepted, so that a late copy of an
//   older order finds another number and is refused by the engine.
// - After an order without an answer the engine is asked for its state before it is ordered again.
// - After an engine has refused a fencing token, no order carries that token again.
// Time of a step is linear in the number of engines of the pool.

#include "burdockhold/clock.h"
#include "burdockhold/enum_names.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace burdockhold {

/// State that an engine reports of itself, a few hundred milliseconds old.
struct engine_state
{
    std::int64_t acceptedOrders = 0;
    bool busy = false; ///< An order is being carried out.
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

/// An engine as the planner sees it in one step.
struct rollout_engine
{
    std::string id;
    std::string address;
    std::int64_t incarnation = 0;
    std::string model;
    std::int64_t version = 0;      ///< Newest known; 0 when unknown.
    std::int64_t activeTokens = 0; ///< Of its running requests; engines with less go first.
    bool silent = false;           ///< Does not serve now; it may be dead.
    int running = 0;               ///< Requests that it runs.
    /// How long calls may still begin on its weights; zero or less when none may.
    duration usableFor = duration::max();
};

struct rollout_options
{
    /// Part of a pool's serving engines that drain or load at once. With about half of them, the
    /// rest serve meanwhile; once these are done they take all traffic, and the rest drain by
    /// themselves.
    double loadingShare = 0.55;
    /// Part of the memory of the engines that serve meanwhile that running requests may take.
    double activeShare = 0.5;
    /// Part of the pool that is ordered at once. The rest drain while the first ones take the
    /// traffic, and are ordered when they run no more than fewRunning, or have been behind for
    /// forceAfter.
    double firstWaveShare = 0.45;
    int fewRunning = 2;
    duration forceAfter = std::chrono::milliseconds(3500);
    /// Engines that may load at once at any load: as many as the weight store serves at full rate.
    int leastLoading = 2;
    /// Least age of a load before the engine is asked whether it is done: weights take longer.
    duration firstCheck = std::chrono::milliseconds(500);
    duration checkInterval = std::chrono::milliseconds(150);
    /// Pause after a refusal, a conflict or a missing answer, at least the lag of reports.
    duration retryPause = std::chrono::milliseconds(250);
    /// Usual time from an order to the first call: running requests end, then the weights load.
    duration loadTime = std::chrono::milliseconds(1200);
    /// A load without an end for this long no longer counts against loadingShare.
    duration loadTimeout = std::chrono::seconds(6);
};

/// What the engines of a pool are to load.
struct rollout_target
{
    std::int64_t version = 0;
    std::int64_t cacheTokens = 0; ///< Memory of each engine.
};

class rollout_planner
{
public:
    explicit rollout_planner(rollout_options options = {});

    /// Returns what to do now. The token is that of the held duty; without one nothing is done and
    /// all that was known of engines is forgotten.
    std::vector<rollout_action> step(const std::vector<rollout_engine> &engines,
                                     const rollout_target &wanted,
                                     std::optional<std::int64_t> fencingToken, time_point now);

    void stateReceived(std::string_view endpointId, const engine_state &state, time_point now);
    void stateFailed(std::string_view endpointId, time_point now);
    void orderCompleted(std::string_view endpointId, order_result answer, time_point now);

    /// Engines that drain or load now, as far as is known.
    std::vector<std::string> loadingEngines(time_point now) const;

    /// True when an engine has refused the token in favour of a higher one.
    bool isFenced(std::int64_t token) const { return token <= m_fencedToken; }

private:
    struct engine_entry
    {
        std::int64_t incarnation = 0;
        std::optional<std::int64_t> acceptedOrders;
        bool callOpen = false;
        bool loading = false;
        time_point loadingSince;
        time_point behindSince; ///< First seen with older weights than wanted.
        bool behind = false;
        time_point nextAction;
    };

    void forgetMissing(const std::vector<rollout_engine> &engines);
    int mostLoading(const std::vector<rollout_engine> &engines, std::int64_t cacheTokens,
                    time_point now) const;
    int firstWave(const std::vector<rollout_engine> &engines, std::int64_t version) const;
    int leastInTime(const std::vector<rollout_engine> &engines, std::int64_t version) const;
    bool countsAsLoading(const engine_entry &entry, time_point now) const;
    int loadingCount(time_point now) const;

    rollout_options m_options;
    std::map<std::string, engine_entry, std::less<>> m_engines;
    std::int64_t m_fencedToken = -1;
    std::int64_t m_token = -1;
};

} // namespace burdockhold

#endif
