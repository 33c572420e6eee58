#ifndef BURDOCKHOLD_PLACEMENT_ROUTER_H
#define BURDOCKHOLD_PLACEMENT_ROUTER_H

// The routing state of one VM: per pool the endpoints with their last reports, their health, the
// retry budget and the load weights; over all pools the heat and this VM's recent requests.
// choose() builds the view for placement.h from it. All of it is soft state.
//
// An endpoint gets requests only while it reports the wanted weights version; one that has reported
// no version yet is accepted. Time is passed in and must not decrease by more than the threads'
// order of arrival. All functions may be called from many threads; they take one lock, for as long
// as choosePlacement() takes. Memory: see placement.h and recent_requests.h, and a few hundred
// bytes for each endpoint.

#include "burdockhold/crash_guard.h"
#include "burdockhold/endpoint_health.h"
#include "burdockhold/endpoint_loads.h"
#include "burdockhold/placement.h"
#include "burdockhold/router.h"

#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace burdockhold {

struct placement_router_options
{
    placement_options placement;
    health_options health;
    retry_budget_options retries;
    std::size_t vms = 1; ///< VMs that the load balancer spreads requests over.
};

/// The state of one endpoint as operators may ask for it.
struct endpoint_view
{
    std::string endpoint;
    std::string pool;
    std::string incarnation;
    std::string weightsVersion;
    std::int64_t queuedTokens = 0;
    time_point loadAsOf{};
    bool leaving = false;
    bool ejected = false;
};

class placement_router
{
public:
    explicit placement_router(placement_router_options options = {});

    /// Chooses the endpoint of one attempt and counts it as sent.
    routing_result choose(const catalogue &config, const routing_request &request, time_point now);

    /// Returns the endpoints of a pool that may get work now, in order of name.
    std::vector<std::string> usableEndpoints(const catalogue &config,
                                             const routing_request &request, time_point now);

    /// Takes a retry from the pool's budget. Returns false when none is left.
    bool tryRetry(const routing_request &request, time_point now);

    /// Reports how an attempt ended.
    void attemptEnded(const routing_request &request, const routing_choice &choice,
                      const attempt_report &report, time_point now);

    /// Reports a poll that was answered.
    void loadReported(const std::string &endpoint, const engine_load &load, time_point asOf,
                      time_point now);

    /// Reports a poll that failed. It counts as a failed call: an endpoint that answers no polls is
    /// ejected without the cost of requests that fail.
    void loadMissed(const std::string &endpoint, time_point now);

    /// Sets the number of VMs that the load balancer spreads requests over; at least one.
    void setVms(std::size_t vms);

    /// Heat and load weights, as copied between VMs.
    std::vector<heat_entry> exportHeat(time_point now) const;
    void importHeat(const std::vector<heat_entry> &entries, time_point now);

    std::vector<endpoint_view> endpoints(time_point now);

    /// The requests that crashed endpoints. It has a lock of its own.
    crash_guard &suspects() { return m_suspects; }

private:
    using pool_name = std::pair<std::string, endpoint_role>;

    struct pool_state
    {
        std::uint64_t key = 0; ///< Under which heat counts all requests of the pool.
        std::vector<placement_endpoint> endpoints;
        std::vector<std::string> urls;
        std::vector<std::string> incarnations; ///< Names of what `endpoints` holds as hashes.
        pool_health health;
        retry_budget budget;
        rendezvous_weights weights;
        time_point weightsUpdatedAt{};
        time_point ejectionsReadAt{};
    };

    struct place
    {
        pool_state *pool = nullptr;
        std::size_t position = 0;
    };

    void takeCatalogue(const catalogue &config, time_point now);
    pool_state &poolOf(const pool_name &name);
    pool_state *findPool(const routing_request &request);
    static void addEndpoint(pool_state &pool, const std::string &name, const endpoint_entry &entry,
                            const pool_state *before);
    static void takeReport(pool_state &pool, std::size_t position, const std::string &incarnation,
                           const std::string &weightsVersion);
    static void readEjections(pool_state &pool, time_point now);
    static void updateWeights(pool_state &pool, time_point now);
    placement_view viewOf(const pool_state &pool, time_point now) const;
    static placement_request requestOf(const pool_state &pool, const routing_request &request,
                                       const prompt_prefix &prompt);
    static routing_choice describe(const pool_state &pool, const placement_choice &choice);

    crash_guard m_suspects;
    placement_router_options m_options;
    mutable std::mutex m_mutex; ///< Guards all below.
    log_offset m_offset = 0;
    std::map<pool_name, pool_state> m_pools;
    std::map<std::string, place, std::less<>> m_places; ///< By endpoint name.
    heat_sketch m_heat;
    recent_requests m_recent;
};

} // namespace burdockhold

#endif
