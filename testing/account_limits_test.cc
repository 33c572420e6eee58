#define BOOST_TEST_MODULE account_limits
#include "burdockhold/account_limits.h"
#include "burdockhold/membership.h"
#include "testing/window_check.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <functional>
#include <memory>
#include <queue>
#include <random>

using namespace burdockhold;
using burdockhold::testing::admitted_tokens;
using burdockhold::testing::largestExcess;

namespace {

constexpr double Rate = 20000.0;
constexpr double Burst = 40000.0;
constexpr double MaxViewAgeSeconds = 5.0;
constexpr unsigned Seeds = 20;
constexpr const char *Account = "tenant";

time_point at(double seconds)
{
    return time_point{} + fromSeconds(seconds);
}

struct network_faults
{
    double loss = 0.0;
    double duplication = 0.0;
    double longDelay = 0.0; ///< Probability of a delay of up to 0.6 s instead of 2 ms.
};

struct traffic
{
    double load = 0.8; ///< Reserved tokens, relative to the account's rate.
    bool skewed = false;
    bool bursts = false; ///< Idle for 5 s, then active for 3 s; most requests use all they reserve.
};

struct outcome
{
    double excess = 0.0;
    double admittedTokens = 0.0;
    int measured = 0; ///< Requests that arrived in the measured time at a running VM.
    int wrongful = 0;
};

/// One VM: its limiter and its view of epochs.
struct node
{
    std::string name;
    std::string dataCentre;
    std::uint64_t incarnation = 0;
    bool alive = true;
    double pausedUntil = 0.0;
    bool cutOff = false; ///< From its peers and the log.
    std::size_t applied = 0;
    std::unique_ptr<account_limits> limits;
    epoch_history history;
    std::unique_ptr<epoch_proposer> proposer;
    view_tracker views;
    std::unique_ptr<stop_detector> detector;
};

/// Seeded simulation of VMs, their network, the log and the VM list, in simulated time.
class simulation
{
public:
    simulation(unsigned seed, const network_faults &faults, const traffic &load, int vms = 8)
        : m_random(seed)
        , m_faults(faults)
        , m_traffic(load)
        , m_reference(referenceOptions(), at(0))
    {
        for (int i = 0; i < vms; ++i)
            addNode();
        schedule(0.0, [this] { tick(); });
        schedule(0.1, [this] { arrive(); });
    }

    void schedule(double time, std::function<void()> action)
    {
        m_events.push({ time, ++m_sequence, std::move(action) });
    }

    void addNode()
    {
        m_nodes.push_back(std::make_unique<node>());
        node &n = *m_nodes.back();
        n.name = "vm" + std::to_string(m_nodes.size());
        n.dataCentre = "dc" + std::to_string(m_nodes.size() % 4);
        restart(n);
    }

    /// Starts a new process without any state.
    void restart(node &n)
    {
        n.incarnation = ++m_incarnations;
        account_limits_options options;
        options.self = n.name;
        options.incarnation = n.incarnation;
        n.limits = std::make_unique<account_limits>(options);
        n.history = epoch_history();
        epoch_proposer_options proposerOptions;
        proposerOptions.self = n.name;
        n.proposer = std::make_unique<epoch_proposer>(proposerOptions);
        n.detector = std::make_unique<stop_detector>(fromSeconds(MaxViewAgeSeconds));
        n.views = view_tracker();
        n.applied = 0;
    }

    node &vm(std::size_t index) { return *m_nodes[index]; }
    std::size_t size() const { return m_nodes.size(); }
    void setLogUp(bool up) { m_logUp = up; }
    void measure(double from, double to)
    {
        m_measureFrom = from;
        m_measureTo = to;
    }

    outcome run(double seconds)
    {
        while (!m_events.empty() && m_events.top().time <= seconds) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.time;
            next.action();
        }
        for (const auto &admission : m_admitted)
            m_outcome.admittedTokens += admission.used;
        m_outcome.excess = largestExcess(m_admitted, Rate);
        return m_outcome;
    }

private:
    struct event
    {
        double time;
        std::uint64_t sequence;
        std::function<void()> action;
        bool operator<(const event &other) const
        {
            return std::tie(time, sequence) > std::tie(other.time, other.sequence);
        }
    };

    struct open_request
    {
        double tokens = 0.0;
        double used = 0.0;
        double seconds = 0.0;
        bool withinRate = false;
        bool measured = false;
    };

    using request_key = std::pair<std::uint64_t, std::uint64_t>; // Incarnation and ticket.

    static token_bucket_options referenceOptions()
    {
        token_bucket_options options;
        options.rate = Rate;
        options.capacity = Burst;
        options.startFull = true;
        return options;
    }

    double uniform(double low, double high)
    {
        return std::uniform_real_distribution<double>(low, high)(m_random);
    }

    /// Runs an action of a process: later when it is paused, never when it has gone.
    void onNode(node &n, std::uint64_t incarnation, const std::function<void()> &action)
    {
        if (!n.alive || n.incarnation != incarnation)
            return;
        if (m_now < n.pausedUntil)
            schedule(n.pausedUntil,
                     [this, &n, incarnation, action] { onNode(n, incarnation, action); });
        else
            action();
    }

    /// The VM list lags by a second: it shows the VMs that ran then. A paused VM is not shown.
    void refreshList()
    {
        std::vector<listed_vm> list;
        for (const auto &n : m_nodes) {
            if (n->alive && m_now >= n->pausedUntil)
                list.push_back({ n->name, n->dataCentre, vm_state::Live });
        }
        schedule(m_now + 1.0, [this, list] { m_list = list; });
        if (m_list.empty())
            m_list = list;
    }

    void tick()
    {
        if (m_ticks % 10 == 0)
            refreshList();
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            node &n = *m_nodes[i];
            if (!n.alive || m_now < n.pausedUntil)
                continue;
            if ((m_ticks + i) % 10 == 0)
                control(n);
            n.limits->step(at(m_now));
            flush(n);
        }
        ++m_ticks;
        schedule(m_now + 0.01, [this] { tick(); });
    }

    void control(node &n)
    {
        if (m_logUp && !n.cutOff)
            followLog(n);
        for (const auto &peer : m_nodes) {
            const bool reachable = peer->alive && m_now >= peer->pausedUntil && !peer->cutOff;
            if (peer.get() != &n && reachable && !n.cutOff)
                n.views.noteHeartbeat(peer->name, at(m_now), peer->applied, n.applied);
        }
        n.proposer->observe(m_list, at(m_now));
        const bool known = n.views.majorityApplied(n.history.current(), m_list, n.name, n.applied);
        n.detector->update(n.history, *n.proposer, known, at(m_now));
        if (m_logUp && !n.cutOff)
            appendRecords(n);
        if (const auto asOf = n.views.asOf(m_list, n.name, at(m_now)))
            n.limits->setFreshUntil(*asOf + fromSeconds(MaxViewAgeSeconds));
        account_share share{ Rate, Burst, n.history.usableShare(Account, n.name),
                             n.history.minters(Account) };
        n.limits->setAccount(Account, share, at(m_now));
    }

    void followLog(node &n)
    {
        while (n.applied < m_log.size()) {
            const auto &record = m_log[n.applied++];
            if (const auto *epoch = std::get_if<epoch_record>(&record))
                n.history.apply(n.applied, *epoch);
            else
                n.history.apply(std::get<epoch_ack_record>(record));
        }
        n.views.noteApplied(n.applied);
        n.views.noteTailRead(at(m_now));
    }

    void appendRecords(node &n)
    {
        if (const auto record = n.proposer->propose(n.history, at(m_now)))
            m_log.emplace_back(*record);
        const auto due = n.history.toAcknowledge(n.name);
        if (due == 0)
            return;
        // The share is applied before the acknowledgement is written.
        account_share share{ Rate, Burst, n.history.usableShare(Account, n.name),
                             n.history.minters(Account) };
        n.limits->setAccount(Account, share, at(m_now));
        m_log.emplace_back(epoch_ack_record{ "", due, n.name });
    }

    void flush(node &n)
    {
        for (const auto &message : n.limits->takeMessages())
            send(n, message);
        for (const auto &decision : n.limits->takeDecisions())
            decide(n, decision);
    }

    void send(node &from, const addressed_grant_message &message)
    {
        const int copies = uniform(0, 1) < m_faults.duplication ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            if (uniform(0, 1) < m_faults.loss || from.cutOff)
                continue;
            const bool slow = uniform(0, 1) < m_faults.longDelay;
            const double delay = slow ? uniform(0.0, 0.6) : uniform(0.0003, 0.002);
            schedule(m_now + delay, [this, sender = from.name, message] {
                for (const auto &to : m_nodes) {
                    if (to->name == message.to && !to->cutOff)
                        deliver(*to, sender, message.message);
                }
            });
        }
    }

    void deliver(node &to, const std::string &sender, const grant_message &message)
    {
        onNode(to, to.incarnation, [this, &to, sender, message] {
            to.limits->receive(sender, message, at(m_now));
            flush(to);
        });
    }

    void arrive()
    {
        constexpr double MeanTokens = 1050.0;
        const double perSecond = m_traffic.load * Rate / MeanTokens;
        schedule(m_now + std::exponential_distribution<double>(perSecond)(m_random),
                 [this] { arrive(); });
        constexpr double PeriodSeconds = 8.0;
        constexpr double IdleSeconds = 5.0;
        if (m_traffic.bursts && std::fmod(m_now, PeriodSeconds) < IdleSeconds)
            return;
        open_request request;
        request.tokens = std::floor(uniform(100, 2000));
        request.used = std::floor(request.tokens * uniform(0.3, 1.0));
        if (m_traffic.bursts && m_random() % 5 != 0)
            request.used = request.tokens;
        request.seconds = uniform(0.2, 3.0);
        std::vector<node *> targets;
        for (const auto &n : m_nodes) {
            if (n->alive)
                targets.push_back(n.get());
        }
        const std::size_t pick = m_traffic.skewed ? 0 : m_random() % targets.size();
        node &n = *targets[pick];
        request.measured = m_now >= m_measureFrom && m_now < m_measureTo && m_now >= n.pausedUntil;
        m_outcome.measured += request.measured ? 1 : 0;
        if (const auto id = m_reference.take(request.tokens, at(m_now))) {
            request.withinRate = true;
            schedule(m_now + request.seconds, [this, id = *id, request] {
                m_reference.giveBack(id, request.tokens - request.used, at(m_now));
                m_reference.close(id);
            });
        }
        onNode(n, n.incarnation, [this, &n, request] { admit(n, request); });
    }

    void admit(node &n, const open_request &request)
    {
        const admission decision = n.limits->admit(Account, request.tokens, at(m_now));
        m_open[{ n.incarnation, decision.ticket }] = request;
        if (decision.outcome != admission_outcome::Wait)
            decide(n, decision);
        flush(n);
    }

    void decide(node &n, const admission &decision)
    {
        const auto found = m_open.find({ n.incarnation, decision.ticket });
        BOOST_REQUIRE(found != m_open.end());
        const open_request request = found->second;
        m_open.erase(found);
        if (decision.outcome == admission_outcome::Refused) {
            m_outcome.wrongful += request.measured && request.withinRate ? 1 : 0;
            return;
        }
        m_admitted.push_back({ at(m_now), request.used });
        schedule(m_now + request.seconds,
                 [this, &n, incarnation = n.incarnation, ticket = decision.ticket, request] {
                     onNode(n, incarnation, [this, &n, ticket, request] {
                         n.limits->settle(ticket, request.used, at(m_now));
                         flush(n);
                     });
                 });
    }

    std::mt19937_64 m_random;
    network_faults m_faults;
    traffic m_traffic;
    token_bucket m_reference; ///< One bucket with the account's whole rate and burst.
    std::priority_queue<event> m_events;
    std::uint64_t m_sequence = 0;
    std::vector<std::unique_ptr<node>> m_nodes;
    std::uint64_t m_incarnations = 0;
    std::vector<listed_vm> m_list;
    std::vector<membership_record> m_log;
    bool m_logUp = true;
    double m_now = 0.0;
    std::size_t m_ticks = 0;
    double m_measureFrom = 1e9;
    double m_measureTo = 1e9;
    std::map<request_key, open_request> m_open;
    std::vector<admitted_tokens> m_admitted;
    outcome m_outcome;
};

/// Runs one scenario for all seeds, checks the bound for each, and returns the sums.
outcome runSeeds(const std::string &name, const network_faults &faults, const traffic &load,
                 double seconds, const std::function<void(simulation &)> &prepare)
{
    outcome total;
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        simulation sim(seed, faults, load);
        prepare(sim);
        const outcome one = sim.run(seconds);
        BOOST_TEST(one.excess <= Burst + 1e-3, name << " seed " << seed << " " << one.excess);
        total.excess = std::max(total.excess, one.excess);
        total.admittedTokens += one.admittedTokens;
        total.measured += one.measured;
        total.wrongful += one.wrongful;
    }
    BOOST_TEST_MESSAGE(name << ": largest excess " << total.excess << " of " << Burst
                            << ", wrongful " << total.wrongful << " of " << total.measured
                            << ", mean rate " << total.admittedTokens / Seeds / seconds);
    return total;
}

/// Returns the returns among a limiter's messages; it may also ask for tokens in advance.
std::vector<grant_return> takeReturns(account_limits &limits)
{
    std::vector<grant_return> returns;
    for (const auto &message : limits.takeMessages()) {
        if (const auto *returned = std::get_if<grant_return>(&message.message))
            returns.push_back(*returned);
    }
    return returns;
}

constexpr network_faults Sound{};
constexpr network_faults Faulty{ 0.05, 0.1, 0.05 };

double wrongfulPercent(const outcome &o)
{
    return 100.0 * o.wrongful / std::max(1, o.measured);
}

} // namespace

// Guards against a grant that is counted twice because a message is repeated, and against a minter
// that restores returned tokens twice.
BOOST_AUTO_TEST_CASE(repeatedMessagesChangeNothing)
{
    account_limits_options options;
    options.self = "a";
    options.incarnation = 1;
    account_limits borrower(options);
    options.self = "b";
    options.incarnation = 2;
    account_limits minter(options);
    borrower.setAccount(Account, { 100, 200, 0.0, { "b" } }, at(0));
    minter.setAccount(Account, { 100, 200, 1.0, { "b" } }, at(0));
    minter.setFreshUntil(at(100));
    const admission first = borrower.admit(Account, 100, at(10));
    BOOST_TEST((first.outcome == admission_outcome::Wait));
    const auto requests = borrower.takeMessages();
    BOOST_REQUIRE(requests.size() == 1U);
    for (int copy = 0; copy < 3; ++copy)
        minter.receive("a", requests[0].message, at(10));
    const double granted = minter.statistics().granted;
    BOOST_TEST(granted >= 100.0);
    BOOST_TEST(granted == std::get<grant_request>(requests[0].message).tokens);
    const auto replies = minter.takeMessages();
    BOOST_REQUIRE(replies.size() == 3U);
    for (const auto &reply : replies)
        borrower.receive("b", reply.message, at(10.1));
    BOOST_TEST(borrower.statistics().borrowed == granted);
    BOOST_REQUIRE(borrower.takeDecisions().size() == 1U);
    borrower.settle(first.ticket, 40, at(10.2));
    borrower.settle(first.ticket, 40, at(10.2));
    borrower.step(at(10.5));
    const auto returns = takeReturns(borrower);
    BOOST_REQUIRE(returns.size() == 1U);
    for (int copy = 0; copy < 3; ++copy)
        minter.receive("a", returns[0], at(10.5));
    BOOST_TEST(minter.statistics().restored <= granted - 40);
    BOOST_TEST(minter.statistics().restored > 0.0);
}

// Guards against spending a grant whose lifetime, counted from before the request, is over.
BOOST_AUTO_TEST_CASE(lateGrantIsReturnedUnspent)
{
    account_limits_options options;
    options.self = "a";
    account_limits borrower(options);
    borrower.setAccount(Account, { 100, 200, 0.0, { "b" } }, at(0));
    borrower.admit(Account, 10, at(1));
    const auto sent = borrower.takeMessages();
    const auto request = std::get<grant_request>(sent.at(0).message);
    borrower.receive("b", grant_reply{ Account, 0, request.requestId, 7, request.tokens, 0 },
                     at(1.5));
    BOOST_TEST(borrower.takeDecisions().empty());
    const auto returns = takeReturns(borrower);
    BOOST_REQUIRE(returns.size() == 1U);
    BOOST_TEST(returns[0].returnedTotal == request.tokens);
}

// Guards against a stale view that mints, and against a raised rate that creates tokens.
BOOST_AUTO_TEST_CASE(mintsOnlyWithAFreshViewAndByTheCurrentRate)
{
    account_limits_options options;
    options.self = "a";
    account_limits limits(options);
    limits.setAccount(Account, { 100, 200, 1.0, { "a" } }, at(0));
    limits.setFreshUntil(at(5));
    BOOST_TEST((limits.admit(Account, 150, at(4)).outcome == admission_outcome::Admitted));
    limits.setAccount(Account, { 1000, 2000, 1.0, { "a" } }, at(4));
    const admission waiting = limits.admit(Account, 100, at(4));
    BOOST_TEST((waiting.outcome == admission_outcome::Wait));
    limits.step(at(4.2));
    BOOST_TEST(limits.takeDecisions().size() == 1U);
    BOOST_TEST((limits.admit(Account, 1, at(5)).outcome == admission_outcome::Wait));
}

// Guards against refusing requests within the rate when they are spread evenly.
BOOST_AUTO_TEST_CASE(evenTrafficIsNotRefused)
{
    const auto o = runSeeds("even", Sound, { 0.8, false }, 60,
                            [](simulation &sim) { sim.measure(15, 59); });
    BOOST_TEST(o.measured > 0);
    BOOST_TEST(o.wrongful == 0);
}

// Guards against refusing requests within the rate when one VM gets all of them.
BOOST_AUTO_TEST_CASE(skewedTrafficIsServedByBorrowing)
{
    const auto o = runSeeds("skewed", Sound, { 0.8, true }, 60,
                            [](simulation &sim) { sim.measure(15, 59); });
    BOOST_TEST(wrongfulPercent(o) < 0.5);
    const auto faulty = runSeeds("skewed, faulty network", Faulty, { 0.8, true }, 60,
                                 [](simulation &sim) { sim.measure(15, 59); });
    BOOST_TEST(faulty.measured > 0);
}

// Guards against exceeding the bound when every VM wants more than there is.
BOOST_AUTO_TEST_CASE(overloadKeepsTheBound)
{
    runSeeds("4 x rate", Faulty, { 4.0, false, true }, 24, [](simulation &) {});
    runSeeds("4 x rate, skewed", Faulty, { 4.0, true, true }, 24, [](simulation &) {});
}

// Guards against losing the share of a lost VM for longer than it takes to agree on a new epoch.
BOOST_AUTO_TEST_CASE(lostVmIsReplaced)
{
    const auto lose = [](simulation &sim) {
        sim.measure(20, 80);
        sim.schedule(20, [&sim] { sim.vm(5).alive = false; });
        sim.schedule(40, [&sim] { sim.addNode(); });
    };
    BOOST_TEST(wrongfulPercent(runSeeds("lost VM", Sound, { 0.8, false }, 81, lose)) < 2.0);
    runSeeds("lost VM, 4 x rate", Faulty, { 4.0, false, true }, 60, lose);
}

// Guards against tokens that a restart creates.
BOOST_AUTO_TEST_CASE(restartOfAllKeepsTheBound)
{
    runSeeds("restart of all", Faulty, { 4.0, false, true }, 30, [](simulation &sim) {
        for (const double time : { 15.0, 20.0 }) {
            sim.schedule(time, [&sim] {
                for (std::size_t i = 0; i < sim.size(); ++i)
                    sim.restart(sim.vm(i));
            });
        }
    });
}

// Guards against a paused VM that spends expired grants, or mints by a share that others use now.
BOOST_AUTO_TEST_CASE(pausedVmKeepsTheBound)
{
    for (const double pause : { 0.4, 3.0, 25.0 }) {
        runSeeds("paused " + std::to_string(pause), Faulty, { 4.0, false, true }, 50,
                 [pause](simulation &sim) {
                     sim.schedule(15, [&sim, pause] { sim.vm(2).pausedUntil = 15 + pause; });
                 });
    }
}

// Guards against VMs that wake with full buckets after an epoch gave their shares to the one that
// went on: the others must find their view stale before they mint.
BOOST_AUTO_TEST_CASE(mostVmsPausedKeepsTheBound)
{
    runSeeds("7 of 8 paused", Sound, { 16.0, false, true }, 41, [](simulation &sim) {
        sim.schedule(15, [&sim] {
            for (std::size_t i = 1; i < 8; ++i)
                sim.vm(i).pausedUntil = 40;
        });
    });
}

// Guards against minting on both sides of a partition beyond the shares, and against a limiter
// that does not recover after it.
BOOST_AUTO_TEST_CASE(partitionKeepsTheBound)
{
    runSeeds("partition", Faulty, { 4.0, false, true }, 40, [](simulation &sim) {
        for (const bool cut : { true, false }) {
            sim.schedule(cut ? 15 : 27, [&sim, cut] {
                for (std::size_t i = 0; i < 3; ++i)
                    sim.vm(i).cutOff = cut;
            });
        }
    });
}

// Guards against minting that stops, or shares that change, while the log is down.
BOOST_AUTO_TEST_CASE(logOutageKeepsTheLastEpoch)
{
    const auto o = runSeeds("log outage", Sound, { 0.8, false }, 50, [](simulation &sim) {
        sim.measure(20, 49);
        sim.schedule(15, [&sim] { sim.setLogUp(false); });
    });
    BOOST_TEST(o.wrongful == 0);
    runSeeds("log outage, lost VM", Faulty, { 4.0, false, true }, 50, [](simulation &sim) {
        sim.schedule(15, [&sim] { sim.setLogUp(false); });
        sim.schedule(17, [&sim] { sim.vm(1).alive = false; });
        sim.schedule(35, [&sim] { sim.setLogUp(true); });
    });
}
