#ifndef BURDOCKHOLD_MOVE_ORDERS_H
#define BURDOCKHOLD_MOVE_ORDERS_H

// Which endpoint is ordered to load which version, and by which VM. Orders are idempotent ("have
// version v") and carry the offset of the move's latest record as fencing number. One VM has the
// turn for the whole fleet, by rendezvous hash; the next one acts when nothing has progressed for
// TurnDelay. Reports alone say which version an endpoint has, so that an order whose answer was
// lost, that was ignored or that a paused VM sent late is corrected by the next report. At most two
// endpoints load at once, as engines load slower beyond that.

#include "burdockhold/clock.h"
#include "burdockhold/version_move.h"

#include <map>
#include <string>
#include <vector>

namespace burdockhold {

/// The latest load report of an endpoint.
struct endpoint_report
{
    std::string endpoint;
    std::string model;
    std::string version; ///< Empty when the endpoint does not report.
};

struct load_order
{
    std::string endpoint;
    std::string version;
    log_offset fencing = 0;
};

constexpr std::size_t MaxLoads = 2;

/// An order without effect after this time is sent again. Loads take about 0.5 s; reports lag by
/// the load poll of 250 ms.
constexpr duration LoadTimeout = std::chrono::seconds(3);

/// Time without progress after which the next VM of the turn order acts. Longer than LoadTimeout,
/// so that the loads that the earlier VM ordered are over.
constexpr duration TurnDelay = std::chrono::seconds(6);

/// A planner that was not called for this long was paused; it first waits for LoadTimeout, because
/// another VM may have taken the turn meanwhile.
constexpr duration PauseSuspected = std::chrono::seconds(2);

/// Returns which endpoint of the report list should have which version now, by endpoint. Endpoints
/// of models without a move, and those that do not report, are left out.
std::map<std::string, load_order> wantedVersions(const version_moves &moves,
                                                 const std::vector<endpoint_report> &reports);

/// Whether a request that wants `version` may be sent to the endpoint.
bool mayServe(const endpoint_report &report, const std::string &version);

/// Decides on the orders of one VM.
class order_planner
{
public:
    explicit order_planner(std::string vm);

    /// Returns the orders to send now. To be called at least every second. Without a fresh view of
    /// the log there are none.
    std::vector<load_order> ordersNow(const version_moves &moves,
                                      const std::vector<endpoint_report> &reports,
                                      const std::vector<std::string> &liveVms, bool fresh,
                                      time_point now);

private:
    struct sent_order
    {
        load_order order;
        time_point at;
        int attempts = 0;
        bool inFlight = false; ///< Until a report shows the version.
    };

    void forgetFinished(const std::vector<endpoint_report> &reports, time_point now);
    bool hasTurn(const std::vector<std::string> &liveVms, time_point now) const;

    std::string m_vm;
    time_point m_lastCall;
    time_point m_quietUntil;
    time_point m_lastProgress;
    bool m_called = false;
    std::map<std::string, std::string> m_missing; ///< Endpoint to the version it lacks.
    std::map<std::string, sent_order> m_sent;
};

} // namespace burdockhold

#endif
