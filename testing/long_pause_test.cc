#define BOOST_TEST_MODULE long_pause
#include "burdockhold/endpoint_pause.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <vector>

using namespace burdockhold;

namespace {

using ms = std::chrono::milliseconds;

// One VM and one engine over hours, in steps of 50 ms. The engine refuses calls for pauses of up to
// three hours and states the rest, at times in whole seconds; now and then it states a pause of two
// hours that it does not make. The reference counts arrivals at the engine.

constexpr int StepMs = 50;
constexpr int DurationMs = 4 * 3600 * 1000;
constexpr int MaxTransitMs = 200;
constexpr int OnItsWayMs = 500;
constexpr int FalsePauseMs = 2 * 3600 * 1000;
constexpr int FalsePauseObeyedMs = 32000; // The first bound, its lengthening and the way.

struct statement
{
    int from = 0;
    int to = 0;
    bool isTrue = true;
};

struct message
{
    std::uint32_t pause = 0;
    bool isAnswer = false;
    int statedMs = 0; // Of an answer; 0 if the call was accepted.
};

class history
{
public:
    explicit history(unsigned seed)
        : m_random(seed)
    {
    }

    void run()
    {
        for (m_now = 0; m_now < DurationMs; m_now += StepMs) {
            if (m_now >= m_pausedUntil && chance(10000))
                m_pausedUntil = m_now + between(1, 100) * between(10, 110000);
            while (!m_messages.empty() && m_messages.begin()->first <= m_now) {
                const message due = m_messages.begin()->second;
                m_messages.erase(m_messages.begin());
                due.isAnswer ? answered(due) : arrived(due);
            }
            if (m_pause.stateAt(now()) == endpoint_pause::state::Open && chance(4))
                send({ m_pause.callStarted(now()), false, 0 });
        }
    }

    std::size_t arrivalsBetween(int from, int to) const
    {
        const auto first = std::upper_bound(m_arrivals.begin(), m_arrivals.end(), from);
        const auto last = std::lower_bound(first, m_arrivals.end(), to);
        return static_cast<std::size_t>(last - first);
    }

    const std::vector<statement> &statements() const { return m_statements; }

    /// Returns whether the engine has stated a pause of its own between the times.
    bool pausesBetween(int from, int to) const
    {
        return std::any_of(m_statements.begin(), m_statements.end(), [&](const statement &other) {
            return other.from > from - MaxTransitMs && other.from < to && other.from != from;
        });
    }

private:
    int between(int low, int high)
    {
        return std::uniform_int_distribution<int>(low, high)(m_random);
    }
    bool chance(int in) { return between(1, in) == 1; }
    time_point now() const { return time_point{} + ms(m_now); }
    void send(const message &sent) { m_messages.emplace(m_now + between(1, MaxTransitMs), sent); }

    void arrived(const message &call)
    {
        m_arrivals.push_back(m_now);
        message answer{ call.pause, true, 0 };
        const bool refused = m_now < m_pausedUntil;
        if (refused) {
            const int rest = m_pausedUntil - m_now;
            answer.statedMs = chance(2) && rest >= 1000 ? rest / 1000 * 1000 : rest;
        } else if (chance(5000)) {
            answer.statedMs = FalsePauseMs;
        }
        if (answer.statedMs > 0)
            m_statements.push_back({ m_now, m_now + answer.statedMs, refused });
        send(answer);
    }

    void answered(const message &answer)
    {
        if (answer.statedMs > 0)
            m_pause.recordPause(ms(answer.statedMs), between(0, 1000) / 1000.0, now());
        else
            m_pause.callAccepted(answer.pause);
        if (answer.statedMs > 0)
            m_pause.callEnded(answer.pause);
    }

    std::mt19937 m_random;
    endpoint_pause m_pause;
    int m_now = 0;
    int m_pausedUntil = 0;
    std::multimap<int, message> m_messages; // By time of arrival.
    std::vector<int> m_arrivals;
    std::vector<statement> m_statements;
};

} // namespace

// Guards against more than two requests in a stated pause of hours, and against one false statement
// that takes an engine out for longer than the first bound.
BOOST_AUTO_TEST_CASE(longPausesAreKeptAndFalseOnesAreNot)
{
    std::size_t most = 0;
    int longPauses = 0;
    int falsePauses = 0;
    for (unsigned seed = 1; seed <= 30; ++seed) {
        history past(seed);
        past.run();
        for (const statement &stated : past.statements()) {
            const int obeyed = stated.from + FalsePauseObeyedMs;
            if (stated.isTrue) {
                const int end = std::min(stated.to, DurationMs);
                const std::size_t count = past.arrivalsBetween(stated.from + OnItsWayMs, end);
                most = std::max(most, count);
                longPauses += end - stated.from > 700000 ? 1 : 0;
                BOOST_TEST(count <= 2U, "seed " << seed << ": " << count << " in "
                                                << stated.to - stated.from << " ms");
            } else if (obeyed < DurationMs && !past.pausesBetween(stated.from, obeyed)) {
                ++falsePauses;
                BOOST_TEST(past.arrivalsBetween(stated.from + OnItsWayMs, obeyed) > 0U,
                           "seed " << seed << ": no request after a false statement");
            }
        }
    }
    BOOST_TEST_MESSAGE(longPauses << " long pauses stated, " << most << " requests at most, "
                                  << falsePauses << " false ones");
    BOOST_TEST(longPauses > 20);
    BOOST_TEST(falsePauses > 20);
}
