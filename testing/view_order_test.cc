#define BOOST_TEST_MODULE view_order
#include "burdockhold/view_order.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <random>
#include <vector>

using namespace burdockhold;

namespace {

using std::chrono::milliseconds;

view_place placeAt(std::int64_t era, std::uint64_t offset, int confirmedMs)
{
    return { { era, offset }, milliseconds(confirmedMs) };
}

/// A view as a VM has it, with its place in the list of all states that the log has had.
struct known_view
{
    view_place place;
    std::size_t state = 0;
};

/// A log that grows and returns from copies, readers that are cut off from it at times, and VMs
/// that receive their views in any order.
class view_history
{
public:
    explicit view_history(unsigned seed)
        : m_random(seed)
        , m_readers(Readers)
        , m_vms(Vms)
    {
        m_known.resize(Vms);
    }

    void run(int steps)
    {
        for (m_nowMs = 1; m_nowMs <= steps; ++m_nowMs) {
            stepLog();
            for (known_view &reader : m_readers) {
                if (m_random() % 3 == 0) // A read takes up to 40 ms, and its start is recorded.
                    reader = { placeAt(m_era, m_offset,
                                       m_nowMs - static_cast<int>(m_random() % 40)),
                               m_state };
            }
            for (std::size_t vm = 0; vm < Vms; ++vm)
                receive(vm, m_readers[m_random() % Readers]);
        }
    }

    std::size_t restores = 0;
    std::size_t refused = 0;

private:
    static constexpr std::size_t Readers = 3;
    static constexpr std::size_t Vms = 3;

    void stepLog()
    {
        if (m_random() % 2 == 0) {
            ++m_offset;
            ++m_state;
        }
        if (m_random() % 40 == 0)
            m_copiedOffset = m_offset;
        if (m_random() % 60 != 0 || m_copiedOffset == 0)
            return;
        m_offset = m_copiedOffset;
        ++m_state;
        ++m_era;
        ++restores;
    }

    void receive(std::size_t vm, const known_view &view)
    {
        if (view.place.position.era == 0)
            return; // The reader has read nothing yet.
        m_known[vm].observe({ view.place.position.era, false });
        if (isOlderView(view.place, m_vms[vm].place, m_known[vm])) {
            ++refused;
            return;
        }
        BOOST_REQUIRE_GE(view.state, m_vms[vm].state);
        m_vms[vm] = view;
    }

    std::mt19937 m_random;
    int m_nowMs = 0;
    std::int64_t m_era = 1;
    std::uint64_t m_offset = 1;
    std::uint64_t m_copiedOffset = 0;
    std::size_t m_state = 1; // Counts the states of the log.
    std::vector<known_view> m_readers;
    std::vector<known_view> m_vms;
    std::vector<store_era> m_known;
};

} // namespace

// Guards against a reader that was cut off while the log returned from a copy, and whose higher
// offset of the earlier era counts as newer.
BOOST_AUTO_TEST_CASE(eraGoesBeforeOffsetAndConfirmation)
{
    const store_era known;
    BOOST_TEST(isOlderView(placeAt(1, 90, 500), placeAt(2, 10, 400), known));
    BOOST_TEST(!isOlderView(placeAt(2, 10, 400), placeAt(1, 90, 500), known));
    BOOST_TEST(isOlderView(placeAt(2, 9, 500), placeAt(2, 10, 400), known));
}

// Guards against the newest view that is refused for its offset where the log states no era.
BOOST_AUTO_TEST_CASE(withoutAnEraALowerOffsetAloneIsNotOlder)
{
    const store_era known;
    BOOST_TEST(!isOlderView(placeAt(0, 10, 500), placeAt(0, 90, 400), known));
    BOOST_TEST(isOlderView(placeAt(0, 10, 300), placeAt(0, 90, 400), known));
    BOOST_TEST(!isOlderView(placeAt(0, 0, 300), placeAt(0, 90, 400), known));
    BOOST_TEST(isOlderView(placeAt(0, 10, 300), placeAt(3, 90, 400), known));
}

// Guards against a VM of an earlier build that reads on at an offset of the earlier era, and whose
// view counts as confirmed.
BOOST_AUTO_TEST_CASE(viewWithoutAnEraIsOlderOnceTheLogHasReturnedFromACopy)
{
    store_era known;
    known.observe({ 4, false });
    BOOST_TEST(!isOlderView(placeAt(0, 90, 500), placeAt(4, 10, 400), known));
    known.observe({ 5, false });
    BOOST_TEST(isOlderView(placeAt(0, 90, 500), placeAt(4, 10, 400), known));
    BOOST_TEST(!isOlderView(placeAt(5, 1, 500), placeAt(4, 10, 400), known));

    store_era told; // By another VM, before the log's own answer.
    told.heardOf(4);
    told.observe({ 4, false });
    BOOST_TEST(!told.hasRisen());
    told.heardOf(5);
    BOOST_TEST(told.hasRisen());
}

// Guards against a VM that falls back to an earlier state of the log, whatever the order of reads,
// returns from copies and views.
BOOST_AUTO_TEST_CASE(viewsNeverFallBack)
{
    std::size_t restores = 0;
    std::size_t refused = 0;
    for (unsigned seed = 1; seed <= 3000; ++seed) {
        view_history history(seed);
        history.run(200);
        restores += history.restores;
        refused += history.refused;
    }
    BOOST_TEST(restores > 3000U);
    BOOST_TEST(refused > 3000U);
}
