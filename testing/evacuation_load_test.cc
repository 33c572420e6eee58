#define BOOST_TEST_MODULE evacuation_load
#include "burdockhold/cold_engines.h"
#include "burdockhold/placement_scheduler.h"
#include "burdockhold/vm_digest.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

// Replays the evacuation of one of three data centres under load, and the return of its traffic.
// 58 VMs learn the start and the end at different times; the schedulers place all requests. Engines
// read 50 prompt tokens per ms, one prompt after another.

using namespace burdockhold;

namespace {

constexpr std::size_t DataCentres = 3;
constexpr std::size_t EnginesEach = 8;
constexpr std::size_t Engines = DataCentres * EnginesEach;
constexpr std::size_t Vms = 58;
constexpr double TokensPerMs = 50.0;
constexpr double Utilization = 0.75; // Of all three data centres; 1.125 of two.
constexpr double PerSecond = 8.7;
constexpr double ColdBound = 18.05; // 8.7 * 1.5 + 5
constexpr int EvacuatedMs = 3000;
constexpr int ReturnMs = 8000;
constexpr int ColdMs = 4500;
constexpr int MaxLagMs = 1200;
constexpr int EndMs = 17000;
constexpr int DecodeMs = 500;
constexpr std::int64_t LongTokens = 9190;
constexpr std::int64_t ShortTokens = 826;

time_point at(int ms)
{
    return time_point(std::chrono::hours(1)) + std::chrono::milliseconds(ms);
}

std::size_t dataCentreOf(std::size_t engine)
{
    return engine / EnginesEach;
}

class evacuated_fleet
{
public:
    explicit evacuated_fleet(unsigned seed)
        : m_random(seed)
        , m_busyUntil(Engines, 0.0)
    {
        for (std::size_t engine = 0; engine < Engines; ++engine)
            m_ids.push_back("e" + std::to_string(engine));
        std::vector<std::uint32_t> hashes;
        for (std::size_t vm = 0; vm < Vms; ++vm)
            hashes.push_back(shortHash("vm-" + std::to_string(vm)));
        cold_engine_options cold;
        cold.overshoot = 1.5;
        cold.slack = 5.0;
        for (const std::uint32_t hash : hashes) {
            m_vms.push_back(std::make_unique<vm_state>(hash, cold));
            m_vms.back()->vms.update(hashes);
            m_vms.back()->cold.setPools({ { "p", { std::chrono::seconds(3), PerSecond } } });
            m_vms.back()->cold.vmsListed(at(-2000));
            m_vms.back()->lagMs = static_cast<int>(m_random() % MaxLagMs);
        }
        for (std::size_t centre = 0; centre < DataCentres; ++centre)
            m_schedulers.push_back(makeScheduler(centre));
    }

    void run()
    {
        for (m_now = 0; m_now < EndMs; ++m_now) {
            learn();
            stateDue();
            arrive(ShortTokens, 2.0 / 3.0, 300, 0);
            arrive(LongTokens, 1.0 / 3.0, 1200, 5);
            retryWaiting();
            for (const auto &scheduler : m_schedulers) {
                if (m_now % 20 == 0)
                    scheduler->step(at(m_now));
                for (const placement_answer &grant : scheduler->takeGrants(at(m_now)))
                    granted(grant);
                mostWaiting = std::max(mostWaiting, scheduler->waiting());
            }
        }
    }

    /// Returns the calls in the data centre from one time to another, in ms.
    std::size_t calls(std::size_t centre, int from, int to) const
    {
        return static_cast<std::size_t>(
                std::count_if(m_calls.begin(), m_calls.end(), [&](const call &made) {
                    return dataCentreOf(made.engine) == centre && made.ms >= from && made.ms < to;
                }));
    }

    /// Returns the prompt tokens that engines got, as a share of what these engines can read.
    double load(std::size_t firstCentre, std::size_t lastCentre, int from, int to) const
    {
        double tokens = 0.0;
        for (const call &made : m_calls) {
            const std::size_t centre = dataCentreOf(made.engine);
            if (centre >= firstCentre && centre <= lastCentre && made.ms >= from && made.ms < to)
                tokens += static_cast<double>(made.tokens);
        }
        const auto engines = static_cast<double>((lastCentre - firstCentre + 1) * EnginesEach);
        return tokens / (engines * TokensPerMs * (to - from));
    }

    /// Returns the share of the short requests sent in this time that had their first event in
    /// time.
    double shortInTime(int from, int to) const
    {
        double sent = 0.0;
        double inTime = 0.0;
        for (const auto &[number, request] : m_requests) {
            if (request.question.promptTokens != ShortTokens || request.sentMs < from
                || request.sentMs >= to)
                continue;
            sent += 1.0;
            inTime += request.firstEventMs > 0
                      && request.firstEventMs - request.sentMs
                                 <= static_cast<int>(request.question.targetMs);
        }
        return inTime / sent;
    }

    /// Returns the most calls that an engine of the first data centre got in a second of this time.
    std::size_t mostInASecond(int from, int to) const
    {
        std::size_t most = 0;
        for (std::size_t engine = 0; engine < EnginesEach; ++engine) {
            for (int begin = from; begin + 1000 <= to; begin += 10) {
                const auto inSecond = [&](const call &made) {
                    return made.engine == engine && made.ms >= begin && made.ms < begin + 1000;
                };
                most = std::max(most, static_cast<std::size_t>(std::count_if(
                                              m_calls.begin(), m_calls.end(), inSecond)));
            }
        }
        return most;
    }

    double mostAhead = 0.0; ///< Unread tokens before a call at its engine.
    std::size_t mostWaiting = 0;
    int onColdGrants = 0;

private:
    struct vm_state
    {
        vm_state(std::uint32_t hash, cold_engine_options options)
            : vms(hash)
            , cold(options)
        {
        }
        known_vms vms;
        cold_engines cold;
        int lagMs = 0;
        std::uint64_t sequence = 0;
    };
    struct request_state
    {
        placement_question question;
        std::size_t home = 0;
        int sentMs = 0;
        int firstEventMs = 0;
        int retryMs = 0; // Asks elsewhere while it waits at home.
        bool isOpen = true;
    };
    struct call
    {
        std::size_t engine = 0;
        int ms = 0;
        std::int64_t tokens = 0;
    };
    struct due_row
    {
        std::size_t centre = 0;
        call_row row;
    };

    bool seesEvacuated(std::size_t vm) const
    {
        const int seen = m_now - m_vms[vm]->lagMs;
        return seen >= EvacuatedMs && seen < ReturnMs;
    }

    std::unique_ptr<placement_scheduler> makeScheduler(std::size_t centre)
    {
        // The VM with the number of its data centre is its scheduler.
        const auto source = [this, centre](const placement_question &) {
            std::vector<endpoint_candidate> candidates;
            for (std::size_t engine = centre * EnginesEach; engine < (centre + 1) * EnginesEach;
                 ++engine)
                candidates.push_back(candidate(engine, centre));
            return candidates;
        };
        const auto charge = [this, centre](std::string_view engine, time_point now) {
            return m_vms[centre]->cold.tryCharge(engine, m_vms[centre]->vms, now);
        };
        return std::make_unique<placement_scheduler>(scheduler_options{}, endpoint_choice_options{},
                                                     source, charge);
    }

    endpoint_candidate candidate(std::size_t engine, std::size_t vm)
    {
        endpoint_candidate made;
        made.id = m_ids[engine];
        made.sameDataCentre = true;
        made.slots = 32;
        made.cacheTokens = 100313;
        cold_engines &cold = m_vms[vm]->cold;
        made.needsColdShare = cold.isCold(made.id, at(m_now));
        if (dataCentreOf(engine) == 0 && seesEvacuated(vm))
            made.excluded = exclusion::Evacuated;
        else if (cold.isExcluded(made.id, m_vms[vm]->vms, at(m_now)))
            made.excluded = exclusion::Cold;
        return made;
    }

    /// The engines of the first data centre may be cold from the end of the evacuation on.
    void learn()
    {
        for (const auto &vm : m_vms) {
            if (m_now - vm->lagMs == ReturnMs) {
                for (std::size_t engine = 0; engine < EnginesEach; ++engine) {
                    endpoint_report report;
                    report.id = m_ids[engine];
                    report.pool = "p";
                    vm->cold.maybeCold(report, at(m_now));
                }
            }
            if (m_now - vm->lagMs == ReturnMs + ColdMs)
                vm->cold.confirmView(at(m_now));
        }
    }

    void arrive(std::int64_t tokens, double share, std::uint32_t targetMs, std::uint8_t priority)
    {
        const double mean = TokensPerMs * Engines * Utilization * share
                            / static_cast<double>(tokens);
        for (int count = std::poisson_distribution<int>(mean)(m_random); count > 0; --count) {
            const std::uint32_t number = ++m_lastNumber;
            request_state &made = m_requests[number];
            placement_question &question = made.question;
            question.vm = 1 + m_random() % Vms;
            question.number = number;
            question.repetition = 1;
            question.affinityKey = "m/" + std::to_string(m_random() % 200);
            question.promptTokens = static_cast<std::uint32_t>(tokens);
            question.unsharedTokens = question.promptTokens;
            question.outputTokens = 70;
            question.targetMs = targetMs;
            question.priority = priority;
            const std::size_t vm = question.vm - 1;
            made.home = vm % DataCentres;
            if (made.home == 0 && seesEvacuated(vm))
                made.home = 1 + number % 2;
            made.sentMs = m_now;
            place(made);
        }
    }

    /// Asks as placement_client does: at home and in another data centre for a fast engine, then at
    /// home for a place in the queue.
    void place(request_state &request)
    {
        const std::size_t other = (request.home + 1 + m_random() % 2) % DataCentres;
        if (ask(request, request.home, false) || ask(request, other, false))
            return;
        ask(request, request.home, true);
        request.retryMs = m_now + 60;
        m_waiting.push_back(request.question.number);
    }

    bool ask(request_state &request, std::size_t centre, bool queues)
    {
        placement_question question = request.question;
        question.maxExpectedMs = queues ? 0 : question.targetMs * 35 / 100;
        question.maxWaitMs = queues ? question.targetMs : 0;
        const placement_answer answer = m_schedulers[centre]->ask(question, at(m_now));
        if (answer.verdict != static_cast<std::uint8_t>(placement_verdict::Granted))
            return false;
        granted(answer);
        return true;
    }

    void retryWaiting()
    {
        std::vector<std::uint32_t> still;
        for (const std::uint32_t number : m_waiting) {
            request_state &request = m_requests[number];
            const bool isOver = m_now - request.sentMs
                                > static_cast<int>(request.question.targetMs);
            if (!request.isOpen || isOver)
                continue;
            still.push_back(number);
            if (m_now < request.retryMs)
                continue;
            request.retryMs = m_now + 60;
            ++request.question.repetition;
            ask(request, (request.home + 1 + m_random() % 2) % DataCentres, false);
        }
        m_waiting = std::move(still);
    }

    void granted(const placement_answer &grant)
    {
        request_state &request = m_requests[grant.number];
        std::size_t engine = 0;
        while (shortHash(m_ids[engine]) != grant.endpoint)
            ++engine;
        const std::size_t centre = dataCentreOf(engine);
        const bool isRefused = !request.isOpen
                               || (centre == 0 && seesEvacuated(request.question.vm - 1));
        if (isRefused) {
            stateLater(m_now, centre, request, grant.endpoint, call_stage::Ended);
            return;
        }
        request.isOpen = false;
        onColdGrants += grant.onColdShare ? 1 : 0;
        if (centre != request.home)
            stateLater(m_now, request.home, request, 0, call_stage::Ended);
        const auto tokens = static_cast<std::int64_t>(request.question.promptTokens);
        const double start = std::max<double>(m_now, m_busyUntil[engine]);
        mostAhead = std::max(mostAhead, (start - m_now) * TokensPerMs);
        m_busyUntil[engine] = start + static_cast<double>(tokens) / TokensPerMs;
        request.firstEventMs = 1 + static_cast<int>(m_busyUntil[engine]);
        m_calls.push_back({ engine, m_now, tokens });
        stateLater(request.firstEventMs, centre, request, grant.endpoint, call_stage::Decode);
        stateLater(request.firstEventMs + DecodeMs, centre, request, grant.endpoint,
                   call_stage::Ended);
    }

    void stateLater(int ms, std::size_t centre, const request_state &request,
                    std::uint32_t endpoint, call_stage stage)
    {
        const placement_question &question = request.question;
        const call_row row{ question.number, endpoint, question.promptTokens,
                            question.promptTokens + question.outputTokens,
                            static_cast<std::uint8_t>(stage) };
        m_due.emplace(ms + 1, due_row{ centre, row });
    }

    void stateDue()
    {
        while (!m_due.empty() && m_due.begin()->first <= m_now) {
            const due_row due = m_due.begin()->second;
            m_due.erase(m_due.begin());
            const std::uint64_t vm = m_requests[due.row.number].question.vm;
            m_schedulers[due.centre]->apply({ vm, ++m_vms[vm - 1]->sequence, false, { due.row } },
                                            at(m_now));
        }
    }

    std::mt19937 m_random;
    int m_now = 0;
    std::uint32_t m_lastNumber = 0;
    std::vector<std::string> m_ids;
    std::vector<double> m_busyUntil; // In ms, by engine.
    std::vector<std::unique_ptr<vm_state>> m_vms;
    std::vector<std::unique_ptr<placement_scheduler>> m_schedulers;
    std::map<std::uint32_t, request_state> m_requests;
    std::vector<std::uint32_t> m_waiting;
    std::multimap<int, due_row> m_due; // By time in ms.
    std::vector<call> m_calls;
};

} // namespace

// Guards against calls in the evacuated data centre, remaining engines that get more prompts than
// they read or are left idle by the surge, urgent requests that the surge delays, and a return that
// exceeds the rate of cold engines or leaves them without traffic afterwards.
BOOST_AUTO_TEST_CASE(load_moves_and_returns_within_the_limits)
{
    int onColdGrants = 0;
    for (unsigned seed = 1; seed <= 4; ++seed) {
        evacuated_fleet fleet(seed);
        fleet.run();
        const int seenByAll = EvacuatedMs + MaxLagMs;
        const double surge = fleet.load(1, 2, seenByAll, ReturnMs);
        const double inTime = fleet.shortInTime(EvacuatedMs, ReturnMs);
        const std::size_t most = fleet.mostInASecond(ReturnMs, ReturnMs + ColdMs);
        const int warmAgain = ReturnMs + ColdMs + MaxLagMs + 1000;
        const double returned = fleet.load(0, 0, warmAgain, EndMs);
        BOOST_TEST_MESSAGE("seed " << seed << ": load of the remaining " << surge << ", ahead "
                                   << fleet.mostAhead << ", waiting " << fleet.mostWaiting
                                   << ", short in time " << inTime << "; cold, most in a second "
                                   << most << ", on grants " << fleet.onColdGrants
                                   << ", load after the return " << returned);
        BOOST_TEST(fleet.calls(0, seenByAll, ReturnMs) == 0U);
        BOOST_TEST(surge >= 0.9);
        BOOST_TEST(surge <= 1.05);
        BOOST_TEST(fleet.mostAhead <= static_cast<double>(
                           endpoint_choice_options{}.maxPendingPrefillTokens + LongTokens));
        BOOST_TEST(fleet.mostWaiting <= scheduler_options{}.maxWaiting);
        BOOST_TEST(inTime >= 0.9);
        BOOST_TEST(static_cast<double>(most) <= ColdBound);
        BOOST_TEST(returned >= 0.8 * Utilization);
        onColdGrants += fleet.onColdGrants;
    }
    BOOST_TEST(onColdGrants > 0);
}
