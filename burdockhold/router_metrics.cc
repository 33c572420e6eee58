#include "burdockhold/router_metrics.h"

#include <sstream>
#include <string_view>

namespace burdockhold {

namespace {

// The range reaches from a response over loopback to the longest deadline of a request, with three
// bins per octave.
constexpr unsigned Bins = 45;
constexpr double ShortestSeconds = 0.001;
constexpr double LongestSeconds = 32.768;

template <typename Histogram>
void writeHistogram(std::ostream &out, std::string_view name, const Histogram &histogram)
{
    double total = 0.0;
    out << "# TYPE burdockhold_" << name << "_seconds histogram\n";
    for (const auto &bin : boost::histogram::indexed(histogram, boost::histogram::coverage::all)) {
        total += *bin;
        const double upper = bin.bin().upper();
        if (upper <= LongestSeconds * 1.0001)
            out << "burdockhold_" << name << "_seconds_bucket{le=\"" << upper << "\"} " << total
                << "\n";
    }
    out << "burdockhold_" << name << "_seconds_bucket{le=\"+Inf\"} " << total << "\n";
    out << "burdockhold_" << name << "_seconds_count " << total << "\n";
}

} // namespace

router_metrics::router_metrics()
    : m_firstByteTimes(
            boost::histogram::make_histogram(axis(Bins, ShortestSeconds, LongestSeconds)))
    , m_queueWaits(boost::histogram::make_histogram(axis(Bins, ShortestSeconds, LongestSeconds)))
{
}

void router_metrics::count(router_counter counter, std::uint64_t amount)
{
    m_counters[static_cast<std::size_t>(counter)] += amount;
}

std::uint64_t router_metrics::valueOf(router_counter counter) const
{
    return m_counters[static_cast<std::size_t>(counter)];
}

void router_metrics::recordFirstByte(duration time)
{
    m_firstByteTimes(toSeconds(time));
}

void router_metrics::recordQueueWait(duration time)
{
    m_queueWaits(toSeconds(time));
}

std::string router_metrics::text() const
{
    std::ostringstream out;
    for (const auto &row : enum_names<router_counter>::Table) {
        out << "# TYPE burdockhold_" << row.name << "_total counter\n";
        out << "burdockhold_" << row.name << "_total " << valueOf(row.value) << "\n";
    }
    writeHistogram(out, "first_byte", m_firstByteTimes);
    writeHistogram(out, "queue_wait", m_queueWaits);
    return out.str();
}

} // namespace burdockhold
