#define BOOST_TEST_MODULE cold_engines
#include "burdockhold/cold_engines.h"
#include "burdockhold/cold_grants.h"
#include "burdockhold/entry_silence.h"
#include "burdockhold/placement_scheduler.h"
#include "burdockhold/vm_digest.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace burdockhold;

namespace {

constexpr double PerSecond = 8.7;
constexpr double Bound = 18.05; // 8.7 * 1.5 + 5

time_point at(double seconds)
{
    return time_point(std::chrono::hours(1)) + fromSeconds(seconds);
}

cold_engine_options options()
{
    cold_engine_options result;
    result.overshoot = 1.5;
    result.slack = 5.0;
    return result;
}

endpoint_report engine(int number, std::int64_t incarnation, std::optional<double> coldSeconds)
{
    endpoint_report report;
    report.id = "e" + std::to_string(number);
    report.pool = "p";
    report.incarnation = incarnation;
    if (coldSeconds)
        report.coldLeft = fromSeconds(*coldSeconds);
    return report;
}

struct simulated_vm
{
    explicit simulated_vm(std::uint32_t hash)
        : vms(hash)
        , cold(options())
    {
        cold.setPools({ { "p", { std::chrono::seconds(3), PerSecond } } });
        cold.vmsListed(at(-10));
    }

    known_vms vms;
    cold_engines cold;
};

std::vector<std::uint32_t> hashes(int count)
{
    std::vector<std::uint32_t> result;
    result.reserve(static_cast<std::size_t>(count));
    for (int vm = 0; vm < count; ++vm)
        result.push_back(shortHash("vm-" + std::to_string(vm)));
    return result;
}

/// Returns the most arrivals within any second, by comparing all pairs.
std::size_t mostInOneSecond(std::vector<time_point> arrivals)
{
    std::sort(arrivals.begin(), arrivals.end());
    std::size_t most = 0;
    for (std::size_t first = 0; first < arrivals.size(); ++first) {
        std::size_t last = first;
        while (last < arrivals.size() && arrivals[last] < arrivals[first] + std::chrono::seconds(1))
            ++last;
        most = std::max(most, last - first);
    }
    return most;
}

struct fleet_result
{
    std::size_t most = 0;   ///< Requests that one engine got within a second.
    double perSecond = 0.0; ///< Mean over engines and the cold time.
};

/// Every VM always has requests for every engine. All engines become cold at 0 s; each VM learns it
/// from an entry, a refused connection or the end of an evacuation.
fleet_result runFleet(int vmCount, unsigned seed, const std::vector<bool> &partitioned = {})
{
    constexpr int Engines = 20;
    constexpr int Steps = 300; // Of 10 ms.
    std::mt19937 random(seed);
    const auto all = hashes(vmCount);
    std::vector<simulated_vm> vms;
    for (int vm = 0; vm < vmCount; ++vm) {
        vms.emplace_back(all[static_cast<std::size_t>(vm)]);
        vms.back().vms.update(all);
        // A partitioned VM hears its side only, and the others forget it.
        std::vector<std::uint32_t> heard;
        for (std::size_t other = 0; other < partitioned.size(); ++other) {
            if (partitioned[other] == partitioned[static_cast<std::size_t>(vm)])
                heard.push_back(all[other]);
        }
        if (!partitioned.empty())
            vms.back().vms.update(heard);
        for (int number = 0; number < Engines; ++number) {
            if (random() % 2 == 0)
                vms.back().cold.reported(engine(number, 1, 3.0), true, at(0));
            else
                vms.back().cold.maybeCold(engine(number, 1, 0.0), at(0));
        }
    }
    std::vector<std::vector<time_point>> arrivals(Engines);
    for (int step = 0; step < Steps; ++step) {
        for (simulated_vm &vm : vms) {
            const time_point now = at(0.01 * step) + std::chrono::microseconds(random() % 10000);
            for (int number = 0; number < Engines; ++number) {
                const std::string id = "e" + std::to_string(number);
                if (!vm.cold.isCold(id, now) || vm.cold.isExcluded(id, vm.vms, now))
                    continue;
                vm.cold.requestSent(id, now);
                arrivals[static_cast<std::size_t>(number)].push_back(
                        now + std::chrono::milliseconds(random() % 100));
            }
        }
    }
    fleet_result result;
    for (const auto &times : arrivals) {
        result.most = std::max(result.most, mostInOneSecond(times));
        result.perSecond += static_cast<double>(times.size()) / (0.01 * Steps) / Engines;
    }
    return result;
}

} // namespace

// Guards against engines that crash when all VMs send to them at once, and against shares so small
// that cold engines stay idle.
BOOST_AUTO_TEST_CASE(no_second_has_more_arrivals_than_the_bound)
{
    for (const int vmCount : { 1, 8, 58 }) {
        for (unsigned seed = 1; seed <= 5; ++seed) {
            const fleet_result result = runFleet(vmCount, seed);
            BOOST_TEST_MESSAGE(vmCount << " VMs, seed " << seed << ": at most " << result.most
                                       << " in a second, mean " << result.perSecond);
            BOOST_TEST(static_cast<double>(result.most) <= Bound);
            BOOST_TEST(result.perSecond >= 0.8 * PerSecond);
        }
    }
}

// Guards against partitioned VMs that each take over the whole rate.
BOOST_AUTO_TEST_CASE(partitioned_vms_stay_within_the_bound)
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        std::mt19937 random(seed);
        std::vector<bool> partitioned(58);
        for (std::size_t vm = 0; vm < partitioned.size(); ++vm)
            partitioned[vm] = random() % 3 == 0;
        const fleet_result result = runFleet(58, seed, partitioned);
        BOOST_TEST(static_cast<double>(result.most) <= Bound);
    }
}

// Guards against bounds so small that several shares exceed them.
BOOST_AUTO_TEST_CASE(shares_of_any_rate_stay_within_the_bound)
{
    std::mt19937 random(7);
    std::uniform_real_distribution<double> any(0.05, 60.0);
    for (int round = 0; round < 2000; ++round) {
        cold_engine_options cold;
        cold.overshoot = 1.0 + any(random) / 60.0;
        cold.slack = any(random);
        const double perSecond = any(random);
        const double bound = perSecond * *cold.overshoot + *cold.slack;
        const cold_share share = coldShare(perSecond, 1 + random() % 60, cold);
        const double window = toSeconds(std::chrono::seconds(1) + cold.arrivalSpread);
        const double mostOfOne = std::ceil(window / toSeconds(share.interval));
        const double disagreement = bound >= 2.0 ? 2.0 : 1.0;
        BOOST_TEST(disagreement * mostOfOne * static_cast<double>(share.sharers)
                   <= std::max(1.0, bound));
    }
}

// Guards against an engine that counts as warm again by an entry from before it was lost.
BOOST_AUTO_TEST_CASE(only_a_later_entry_ends_the_doubt)
{
    simulated_vm vm(1);
    vm.cold.maybeCold(engine(1, 1, 0.0), at(0));
    vm.cold.reported(engine(1, 1, 0.0), false, at(0.5)); // May have been written before.
    vm.cold.confirmView(at(4.4));
    BOOST_TEST(vm.cold.isCold("e1", at(4.4)));
    vm.cold.confirmView(at(4.6));
    BOOST_TEST(!vm.cold.isCold("e1", at(4.6)));

    vm.cold.maybeCold(engine(2, 1, 0.0), at(0));
    endpoint_report silent = engine(2, 1, 0.0);
    silent.isSilent = true;
    vm.cold.reported(silent, false, at(3));
    vm.cold.confirmView(at(60)); // The engine has written nothing since.
    BOOST_TEST(vm.cold.isCold("e2", at(60)));
    vm.cold.reported(engine(2, 1, 2.0), false, at(61));
    vm.cold.confirmView(at(61));
    BOOST_TEST(vm.cold.isCold("e2", at(62.9)));
    BOOST_TEST(!vm.cold.isCold("e2", at(63.1)));

    vm.cold.maybeCold(engine(3, 1, 0.0), at(0));
    vm.cold.readerChanged(at(4)); // The new reader has not seen yet which entries are silent.
    vm.cold.confirmView(at(5));
    BOOST_TEST(vm.cold.isCold("e3", at(5)));
}

// Guards against a stated time that keeps an engine cold for years, and against a new incarnation
// that is taken for warm because its entry states nothing.
BOOST_AUTO_TEST_CASE(stated_times_are_bounded)
{
    simulated_vm vm(1);
    vm.cold.reported(engine(1, 1, 80000.0), true, at(0));
    BOOST_TEST(vm.cold.isCold("e1", at(2.9)));
    BOOST_TEST(!vm.cold.isCold("e1", at(3.1)));
    vm.cold.reported(engine(2, 1, std::nullopt), true, at(0));
    BOOST_TEST(vm.cold.isCold("e2", at(2.9)));
    BOOST_TEST(!vm.cold.isCold("e2", at(3.1)));
    vm.cold.reported(engine(3, 1, 0.0), true, at(0));
    BOOST_TEST(!vm.cold.isCold("e3", at(0)));
}

// Guards against limits where the platform configures none.
BOOST_AUTO_TEST_CASE(without_bounds_no_engine_is_cold)
{
    cold_engines cold;
    cold.setPools({ { "p", { std::chrono::seconds(3), PerSecond } } });
    cold.reported(engine(1, 1, 3.0), true, at(0));
    cold.maybeCold(engine(2, 1, 0.0), at(0));
    BOOST_TEST(cold.coldCount(at(0)) == 0U);
}

// Guards against the mark on entries that are written, and against entries that never get it.
BOOST_AUTO_TEST_CASE(an_entry_that_is_not_written_becomes_silent_once)
{
    entry_silence silence;
    const auto second = [](double seconds) { return fromSeconds(seconds); };
    silence.entryRead(engine(1, 1, 0.0), second(1));
    silence.entryRead(engine(2, 1, 0.0), second(1));
    silence.entryRead(engine(2, 1, 0.0), second(3));
    const auto silent = silence.takeSilent(second(4.5));
    BOOST_REQUIRE(silent.size() == 1U);
    BOOST_TEST(silent.front().id == "e1");
    BOOST_TEST(silent.front().isSilent);
    BOOST_TEST(silence.takeSilent(second(5)).empty());
    silence.entryRead(engine(1, 1, 0.0), second(6));
    BOOST_TEST(silence.takeSilent(second(8)).size() == 1U); // Only the other one.
}

namespace {

/// All engines return at the end of an evacuation, which the VMs learn at different times. The VMs
/// send on their own shares and on grants of the schedulers of two data centres, whose answers are
/// delayed or lost.
class granting_fleet
{
public:
    granting_fleet(int vmCount, unsigned seed)
        : m_random(seed)
    {
        for (int number = 0; number < Engines; ++number)
            m_ids.push_back("e" + std::to_string(number));
        const auto all = hashes(vmCount);
        auto older = all; // Without the VMs that have joined last.
        older.resize(std::max<std::size_t>(1, all.size() - all.size() / 8));
        for (const std::uint32_t hash : all) {
            m_vms.push_back(std::make_unique<granting_vm>(hash));
            m_vms.back()->vms.update(m_random() % 2 == 0 ? all : older);
            m_vms.back()->returnSeenAt = at(0.001 * static_cast<double>(m_random() % 1200));
        }
        for (std::size_t group = 0; group < Groups; ++group)
            addScheduler(*vmWithMostShares(group), group);
    }

    void run()
    {
        for (int step = 0; step < Steps; ++step) {
            for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
                // VMs act one after another, in the same order in each step.
                const time_point now = at(0.01 * step)
                                       + std::chrono::microseconds(10000 * vm / m_vms.size());
                act(vm, now);
            }
        }
    }

    /// Returns the most arrivals at an engine in a second.
    std::size_t mostInASecond() const
    {
        std::map<std::string, std::vector<time_point>> byEngine;
        for (const auto &[share, times] : m_arrivals)
            byEngine[share.first].insert(byEngine[share.first].end(), times.begin(), times.end());
        return mostOf(byEngine);
    }

    /// Returns the most arrivals in a second that were charged to one share of an engine.
    std::size_t mostOnOneShare() const { return mostOf(m_arrivals); }

    int granted = 0; ///< Calls that were sent on grants.
    int dropped = 0; ///< Grants that came too late.

private:
    using engine_share = std::pair<std::string, const simulated_vm *>;

    template <typename Map>
    static std::size_t mostOf(const Map &arrivals)
    {
        std::size_t most = 0;
        for (const auto &[key, times] : arrivals)
            most = std::max(most, mostInOneSecond(times));
        return most;
    }

    static constexpr int Engines = 12;
    static constexpr int Steps = 400; // Of 10 ms.
    static constexpr std::size_t Groups = 2;

    struct open_question
    {
        placement_question question;
        time_point askedAt;
        std::size_t group = 0;
    };
    struct granting_vm : simulated_vm
    {
        using simulated_vm::simulated_vm;
        time_point returnSeenAt; // Until then, the engines count as evacuated.
        bool seesReturn = false;
        std::uint32_t lastNumber = 0;
        std::uint64_t lastSequence = 0;
        std::map<std::uint32_t, open_question> open;
        std::multimap<time_point, placement_answer> answers; // By time of arrival.
    };

    /// Returns the VM that has a share of the most engines of the group. Of 58 VMs, most have none
    /// and would grant nothing.
    granting_vm *vmWithMostShares(std::size_t group) const
    {
        const auto shares = [&](const granting_vm &vm) {
            int count = 0;
            for (std::size_t number = group; number < m_ids.size(); number += Groups)
                count += sharerRank(m_ids[number], 1, vm.vms) < options().maxSharers ? 1 : 0;
            return count;
        };
        const auto most = std::max_element(
                m_vms.begin(), m_vms.end(),
                [&](const auto &a, const auto &b) { return shares(*a) < shares(*b); });
        return most->get();
    }

    void addScheduler(granting_vm &vm, std::size_t group)
    {
        const auto source = [this, &vm, group](const placement_question &) {
            std::vector<endpoint_candidate> candidates;
            for (std::size_t number = group; number < m_ids.size(); number += Groups) {
                endpoint_candidate engine;
                engine.id = m_ids[number];
                engine.slots = 24;
                engine.cacheTokens = 96000;
                engine.needsColdShare = true;
                const bool isExcluded = !vm.seesReturn
                                        || vm.cold.isExcluded(engine.id, vm.vms, m_now);
                engine.excluded = isExcluded ? exclusion::Cold : exclusion::None;
                candidates.push_back(engine);
            }
            return candidates;
        };
        const auto charge = [&vm](std::string_view engine, time_point now) {
            return vm.cold.tryCharge(engine, vm.vms, now);
        };
        m_schedulerVms.push_back(&vm);
        m_schedulers.push_back(std::make_unique<placement_scheduler>(
                scheduler_options{}, endpoint_choice_options{}, source, charge));
    }

    void act(std::size_t index, time_point now)
    {
        granting_vm &vm = *m_vms[index];
        m_now = now;
        if (now < vm.returnSeenAt)
            return;
        for (std::size_t number = 0; !vm.seesReturn && number < m_ids.size(); ++number)
            vm.cold.maybeCold(engine(static_cast<int>(number), 1, std::nullopt), now);
        vm.seesReturn = true;
        while (!vm.answers.empty() && vm.answers.begin()->first <= now) {
            const placement_answer answer = vm.answers.begin()->second;
            vm.answers.erase(vm.answers.begin());
            take(vm, answer, now);
        }
        repeatQuestions(vm, now);
        if (m_random() % 50 == 0) // Leaves a part of its share to the grants.
            sendOnOwnShares(vm, now);
        open_question asked;
        asked.question.vm = index + 1;
        asked.question.number = ++vm.lastNumber;
        asked.question.promptTokens = 700;
        asked.question.affinityKey = "m/" + std::to_string(m_random() % 100);
        asked.group = m_random() % Groups;
        ask(vm, asked, now);
    }

    /// Repeats the questions that have no answer for some time, so that a late answer arrives soon
    /// after a later repetition was sent.
    void repeatQuestions(granting_vm &vm, time_point now)
    {
        const auto open = vm.open;
        for (const auto &[number, asked] : open) {
            if (now - asked.askedAt < std::chrono::milliseconds(60))
                continue;
            if (asked.question.repetition < 4)
                ask(vm, asked, now);
            else
                vm.open.erase(number);
        }
    }

    void sendOnOwnShares(granting_vm &vm, time_point now)
    {
        for (const std::string &id : m_ids) {
            if (vm.cold.tryCharge(id, vm.vms, now))
                recordArrival({ id, &vm }, now);
        }
    }

    void ask(granting_vm &vm, open_question asked, time_point now)
    {
        ++asked.question.repetition;
        asked.askedAt = now;
        const placement_answer answer = m_schedulers[asked.group]->ask(asked.question, now);
        vm.open[asked.question.number] = asked;
        const unsigned luck = m_random() % 100;
        const int delayMs = static_cast<int>(luck < 50 ? m_random() % 20 : m_random() % 300);
        if (luck >= 5)
            vm.answers.emplace(now + std::chrono::milliseconds(delayMs), answer);
    }

    void take(granting_vm &vm, const placement_answer &answer, time_point now)
    {
        const auto open = vm.open.find(answer.number);
        if (open == vm.open.end()) // Answered before.
            return;
        const open_question asked = open->second;
        vm.open.erase(open);
        const bool isGrant = answer.verdict == std::uint8_t(placement_verdict::Granted);
        if (isGrant && !isUsableGrant(answer, asked.question, asked.askedAt, now)) {
            ++dropped;
            ask(vm, asked, now);
            return;
        }
        const call_row ended{ answer.number, 0, 0, 0, std::uint8_t(call_stage::Ended) };
        m_schedulers[asked.group]->apply({ answer.vm, ++vm.lastSequence, false, { ended } }, now);
        if (!isGrant)
            return;
        ++granted;
        for (const std::string &id : m_ids) {
            if (shortHash(id) == answer.endpoint)
                recordArrival({ id, m_schedulerVms[asked.group] }, now);
        }
    }

    void recordArrival(const engine_share &charged, time_point sentAt)
    {
        m_arrivals[charged].push_back(sentAt + std::chrono::milliseconds(m_random() % 100));
    }

    std::mt19937 m_random;
    std::vector<std::string> m_ids;
    std::vector<std::unique_ptr<granting_vm>> m_vms;
    std::vector<std::unique_ptr<placement_scheduler>> m_schedulers;
    std::vector<const simulated_vm *> m_schedulerVms;
    std::map<engine_share, std::vector<time_point>> m_arrivals;
    time_point m_now;
};

} // namespace

// Guards against grants that exceed the bound on a cold engine: beside the VMs' own shares, by
// VMs with views of different ages, or because they are used long after they were charged.
BOOST_AUTO_TEST_CASE(granted_calls_stay_within_the_bound)
{
    for (const int vmCount : { 1, 8, 58 }) {
        int granted = 0;
        int dropped = 0;
        for (unsigned seed = 1; seed <= 10; ++seed) {
            granting_fleet fleet(vmCount, seed);
            fleet.run();
            BOOST_TEST_MESSAGE(vmCount << " VMs, seed " << seed << ": at most "
                                       << fleet.mostInASecond() << " in a second, " << fleet.granted
                                       << " on grants, " << fleet.dropped << " dropped");
            BOOST_TEST(static_cast<double>(fleet.mostInASecond()) <= Bound);
            // Twice as many VMs as are selected stay within the bound.
            const auto sharers = static_cast<double>(std::min(vmCount, 3));
            BOOST_TEST(static_cast<double>(fleet.mostOnOneShare())
                       <= std::floor(Bound / (2.0 * sharers)));
            granted += fleet.granted;
            dropped += fleet.dropped;
        }
        BOOST_TEST(granted > 0);
        BOOST_TEST(dropped > 0);
    }
}

// Guards against a grant that is used after its time, and against a limit on other grants.
BOOST_AUTO_TEST_CASE(late_or_repeated_cold_grants_are_not_used)
{
    placement_question question;
    question.repetition = 2;
    placement_answer grant;
    grant.repetition = 2;
    grant.onColdShare = true;
    BOOST_TEST(isUsableGrant(grant, question, at(0), at(0.050)));
    BOOST_TEST(!isUsableGrant(grant, question, at(0), at(0.051)));
    grant.repetition = 1;
    BOOST_TEST(!isUsableGrant(grant, question, at(0), at(0)));
    grant.onColdShare = false;
    BOOST_TEST(isUsableGrant(grant, question, at(0), at(5)));
    BOOST_TEST(!allowsCall(grant, exclusion::Cold));
    grant.onColdShare = true;
    BOOST_TEST(allowsCall(grant, exclusion::Cold));
    BOOST_TEST(!allowsCall(grant, exclusion::Evacuated));
}
