#include "burdockhold/move_orders.h"

#include "burdockhold/hash.h"
#include "burdockhold/move_controller.h"

#include <algorithm>

namespace burdockhold {

namespace {

// An endpoint that ignored this many orders goes last, so that it does not hold up the others.
constexpr int PatientAttempts = 3;

/// Returns the model's reporting endpoints in the order in which a move takes them.
std::vector<std::string> loadOrder(const move_state &move,
                                   const std::vector<endpoint_report> &reports)
{
    std::vector<std::string> names;
    for (const endpoint_report &report : reports) {
        if (report.model == move.model && !report.version.empty())
            names.push_back(report.endpoint);
    }
    return turnOrder(std::move(names), "load " + std::to_string(move.offset));
}

} // namespace

std::map<std::string, load_order> wantedVersions(const version_moves &moves,
                                                 const std::vector<endpoint_report> &reports)
{
    std::map<std::string, load_order> out;
    for (const auto &[model, move] : moves.byModel) {
        const std::vector<std::string> names = loadOrder(move, reports);
        const std::size_t target = newEndpointTarget(move, names.size());
        for (std::size_t i = 0; i < names.size(); ++i)
            out[names[i]] = { names[i], i < target ? move.to : move.from, move.latest };
    }
    return out;
}

bool mayServe(const endpoint_report &report, const std::string &version)
{
    return !version.empty() && report.version == version;
}

order_planner::order_planner(std::string vm)
    : m_vm(std::move(vm))
{
}

bool order_planner::hasTurn(const std::vector<std::string> &liveVms, time_point now) const
{
    const auto turn = turnOf(m_vm, liveVms, "orders");
    return turn && now >= m_quietUntil
           && now >= m_lastProgress + static_cast<std::int64_t>(*turn) * TurnDelay;
}

void order_planner::forgetFinished(const std::vector<endpoint_report> &reports, time_point now)
{
    for (const endpoint_report &report : reports) {
        const auto sent = m_sent.find(report.endpoint);
        if (sent != m_sent.end() && report.version == sent->second.order.version)
            sent->second.inFlight = false;
    }
    // An order that is no longer wanted may still be loading, so it keeps its place until then.
    for (auto it = m_sent.begin(); it != m_sent.end();) {
        const bool over = !it->second.inFlight || now - it->second.at >= LoadTimeout;
        it = over && m_missing.count(it->first) == 0 ? m_sent.erase(it) : std::next(it);
    }
}

std::vector<load_order> order_planner::ordersNow(const version_moves &moves,
                                                 const std::vector<endpoint_report> &reports,
                                                 const std::vector<std::string> &liveVms,
                                                 bool fresh, time_point now)
{
    if (!m_called || now - m_lastCall > PauseSuspected)
        m_quietUntil = now + LoadTimeout;
    m_called = true;
    m_lastCall = now;

    const std::map<std::string, load_order> wanted = wantedVersions(moves, reports);
    std::map<std::string, std::string> missing;
    for (const endpoint_report &report : reports) {
        const auto want = wanted.find(report.endpoint);
        if (want != wanted.end() && report.version != want->second.version)
            missing[report.endpoint] = want->second.version;
    }
    if (missing != m_missing)
        m_lastProgress = now;
    m_missing = missing;
    forgetFinished(reports, now);
    if (!fresh || !hasTurn(liveVms, now))
        return {};

    std::size_t loading = 0;
    for (const auto &[endpoint, sent] : m_sent)
        loading += sent.inFlight && now - sent.at < LoadTimeout ? 1 : 0;
    std::vector<load_order> candidates;
    for (const auto &[endpoint, version] : missing) {
        const auto sent = m_sent.find(endpoint);
        if (sent == m_sent.end() || !sent->second.inFlight || now - sent->second.at >= LoadTimeout)
            candidates.push_back(wanted.at(endpoint));
    }
    const auto isStubborn = [this](const load_order &order) {
        const auto sent = m_sent.find(order.endpoint);
        return sent != m_sent.end() && sent->second.attempts >= PatientAttempts;
    };
    std::stable_sort(candidates.begin(), candidates.end(),
                     [&](const load_order &left, const load_order &right) {
                         return isStubborn(left) < isStubborn(right);
                     });
    std::vector<load_order> out;
    for (const load_order &order : candidates) {
        if (loading + out.size() >= MaxLoads)
            break;
        sent_order &sent = m_sent[order.endpoint];
        sent = { order, now, sent.attempts + 1, true };
        out.push_back(order);
    }
    return out;
}

} // namespace burdockhold
