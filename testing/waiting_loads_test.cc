#define BOOST_TEST_MODULE waiting_loads
#include "burdockhold/overload_admission.h"
#include "burdockhold/retry_after.h"
#include "burdockhold/wait_rules.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <string>

// Replays three overloads, once with requests in the order of arrival and once with the waiting
// room. Ten engines read 50 prompt tokens per ms each and take a request while less than 100 ms of
// work waits there. A refused caller comes back once, if its deadline allows.

using namespace burdockhold;
using std::chrono::milliseconds;

namespace {

constexpr std::int64_t EndMs = 15000;
constexpr std::uint32_t Accounts = 20;
constexpr std::size_t WorstAccounts = 2; // A tenth.
constexpr std::size_t Vms = 12;
constexpr std::size_t Engines = 10;
constexpr double TokensPerMs = 50.0;
constexpr double MaxBacklogMs = 100.0;

struct load_case
{
    std::string name;
    double utilization = 0.6;   ///< At the usual rate.
    double longFactor = 1.0;    ///< Of the long prompts from 3 s to 6 s.
    double accountFactor = 1.0; ///< Of the first account from 3 s on.
    std::size_t crashed = 0;    ///< Engines, from 3 s to 9 s.
    std::size_t cutOff = 0;     ///< VMs that do not see the calls of others in that time.
};

struct outcome
{
    double served = 0.0; ///< Shares of all requests.
    double inTime = 0.0;
    double worstClass = 0.0; ///< Share in time.
    double worstTenth = 0.0; ///< Share in time of the accounts that fare worst.
};

struct share
{
    double sent = 0.0;
    double inTime = 0.0;
    double value() const { return sent > 0.0 ? inTime / sent : 1.0; }
};

class simulation
{
public:
    simulation(const load_case &load, bool isFair, std::uint32_t seed)
        : m_load(load)
        , m_isFair(isFair)
        , m_random(seed)
        , m_vms(Vms)
        , m_busyUntil(Engines, 0.0)
    {
    }

    outcome run()
    {
        for (m_now = 0; m_now < EndMs + 8000; ++m_now) {
            if (m_now < EndMs)
                sendNew();
            const auto due = m_returning.equal_range(m_now);
            for (auto row = due.first; row != due.second; ++row)
                arrive(row->second);
            for (std::size_t vm = 0; vm < Vms; ++vm)
                step((vm + m_now) % Vms);
        }
        return result();
    }

private:
    struct vm_state
    {
        waiting_room room;
        overload_admission admission;
        std::map<std::uint64_t, double> own; ///< Backlog in ms that it has placed, by engine.
    };
    struct caller
    {
        waiting_request request;
        bool hasReturned = false;
    };

    time_point at(double ms) const { return time_point(fromSeconds(ms / 1000.0)); }
    bool isDisturbed() const { return m_now >= 3000 && m_now < 9000; }

    void sendNew()
    {
        const double capacity = TokensPerMs * Engines * m_load.utilization;
        const bool isBurst = m_now >= 3000 && m_now < 6000;
        // Two thirds of the tokens are of short urgent requests.
        send(capacity * 2.0 / 3.0, 826, 0, 300);
        send(capacity / 3.0 * (isBurst ? m_load.longFactor : 1.0), 9190, 5, 1200);
    }

    void send(double tokensPerMs, std::int64_t tokens, int priority, std::int64_t targetMs)
    {
        const double extra = m_now >= 3000 ? m_load.accountFactor - 1.0 : 0.0;
        const double mean = tokensPerMs / tokens * (1.0 + extra / Accounts);
        for (int count = std::poisson_distribution<int>(mean)(m_random); count > 0; --count) {
            const double place = std::uniform_real_distribution<>(0.0, Accounts + extra)(m_random);
            caller sent;
            sent.request.id = ++m_lastId;
            sent.request.priority = priority;
            sent.request.account = place < Accounts ? static_cast<std::uint32_t>(place) : 0;
            sent.request.tokens = tokens;
            sent.request.arrivedAt = at(m_now);
            sent.request.targetAt = at(m_now + targetMs);
            sent.request.deadlineAt = at(m_now + 5 * targetMs);
            sent.request.expectedFirst = fromSeconds(tokens / TokensPerMs / 1000.0);
            sent.request.expectedRun = sent.request.expectedFirst;
            ++m_byClass[priority].sent;
            ++m_byAccount[sent.request.account].sent;
            arrive(sent);
        }
    }

    void arrive(const caller &arrived)
    {
        waiting_request request = arrived.request;
        vm_state &vm = m_vms[request.id % Vms];
        m_callers[request.id] = arrived;
        if (!m_isFair) {
            request.priority = 0; // One class and one account, by arrival.
            request.account = 0;
            request.targetAt = request.arrivedAt + std::chrono::hours(1);
        }
        const bool mayWait = !m_isFair || vm.admission.decide(vm.room, request, at(m_now)).mayWait;
        if (!mayWait || !vm.room.add(request, at(m_now)))
            refuse(vm, request);
    }

    void refuse(vm_state &vm, const waiting_request &request)
    {
        caller refused = m_callers[request.id];
        m_callers.erase(request.id);
        if (std::exchange(refused.hasReturned, true))
            return;
        const time_point end = refused.request.deadlineAt;
        const duration pause = m_isFair ? vm.admission.refuse(vm.room, request, end, request.id,
                                                              at(m_now))
                                        : request.targetAt - request.arrivedAt;
        const double backMs = m_now + 1000.0 * toSeconds(withJitter(pause, m_random()));
        if (at(backMs) < end)
            m_returning.emplace(static_cast<std::int64_t>(backMs) + 1, refused);
    }

    void step(std::size_t index)
    {
        vm_state &vm = m_vms[index];
        for (const waiting_request &expired : vm.room.takeExpired(at(m_now)))
            refuse(vm, expired);
        vm.room.serve(at(m_now),
                      [&](const waiting_request &request) { return place(vm, index, request); });
    }

    bool place(vm_state &vm, std::size_t index, const waiting_request &request)
    {
        const std::size_t usable = Engines - (isDisturbed() ? m_load.crashed : 0);
        std::size_t best = 0;
        double least = 1e9;
        for (std::size_t engine = 0; engine < usable; ++engine) {
            const bool isCutOff = isDisturbed() && index < m_load.cutOff;
            const double until = isCutOff ? vm.own[engine] : m_busyUntil[engine];
            if (until - m_now < least) {
                least = until - m_now;
                best = engine;
            }
        }
        if (least >= MaxBacklogMs)
            return false;
        m_busyUntil[best] = std::max<double>(m_busyUntil[best], m_now)
                            + request.tokens / TokensPerMs;
        vm.own[best] = std::max<double>(vm.own[best], m_now) + request.tokens / TokensPerMs;
        const waiting_request &sent = m_callers.at(request.id).request;
        const time_point firstAt = at(m_busyUntil[best]);
        m_served += firstAt <= sent.deadlineAt ? 1 : 0;
        const double inTime = firstAt <= sent.targetAt ? 1.0 : 0.0;
        m_byClass[sent.priority].inTime += inTime;
        m_byAccount[sent.account].inTime += inTime;
        m_callers.erase(request.id);
        return true;
    }

    outcome result() const
    {
        outcome sum;
        share all;
        sum.worstClass = 1.0;
        for (const auto &[priority, part] : m_byClass) {
            all.sent += part.sent;
            all.inTime += part.inTime;
            sum.worstClass = std::min(sum.worstClass, part.value());
        }
        sum.served = m_served / all.sent;
        sum.inTime = all.value();
        std::vector<double> shares;
        for (const auto &[account, part] : m_byAccount)
            shares.push_back(part.value());
        std::sort(shares.begin(), shares.end());
        for (std::size_t index = 0; index < WorstAccounts; ++index)
            sum.worstTenth += shares[index] / WorstAccounts;
        return sum;
    }

    const load_case m_load;
    const bool m_isFair;
    std::mt19937 m_random;
    std::vector<vm_state> m_vms;
    std::vector<double> m_busyUntil; ///< In ms, by engine.
    std::map<std::uint64_t, caller> m_callers;
    std::multimap<std::int64_t, caller> m_returning; ///< By time in ms.
    std::map<int, share> m_byClass;
    std::map<std::uint32_t, share> m_byAccount;
    double m_served = 0.0;
    std::uint64_t m_lastId = 0;
    std::int64_t m_now = 0;
};

outcome meanOf(const load_case &load, bool isFair)
{
    constexpr int Seeds = 5;
    outcome mean;
    for (std::uint32_t seed = 1; seed <= Seeds; ++seed) {
        const outcome one = simulation(load, isFair, seed).run();
        mean.served += one.served / Seeds;
        mean.inTime += one.inTime / Seeds;
        mean.worstClass += one.worstClass / Seeds;
        mean.worstTenth += one.worstTenth / Seeds;
    }
    BOOST_TEST_MESSAGE(load.name << (isFair ? ", fair:    " : ", arrival: ") << "served "
                                 << mean.served << ", in time " << mean.inTime << ", worst class "
                                 << mean.worstClass << ", worst tenth of accounts "
                                 << mean.worstTenth);
    return mean;
}

} // namespace

// Guards against an order in an overload that serves fewer callers in time than that of arrival, at
// the cost of a class or of some accounts.
BOOST_AUTO_TEST_CASE(overloads_are_served_better_than_by_arrival)
{
    for (const load_case &load :
         { load_case{ "burst of long prompts", 0.7, 8.0 },
           load_case{ "one account at 7.5 times", 0.95, 1.0, 7.5 },
           load_case{ "4 of 12 VMs cut off, 3 of 10 engines crash", 0.85, 1.0, 1.0, 3, 4 } }) {
        const outcome byArrival = meanOf(load, false);
        const outcome fair = meanOf(load, true);
        BOOST_TEST(fair.inTime > byArrival.inTime, load.name);
        BOOST_TEST(fair.worstTenth > byArrival.worstTenth, load.name);
        BOOST_TEST(fair.worstClass >= byArrival.worstClass, load.name);
        BOOST_TEST(fair.served >= byArrival.served, load.name);
    }
}
