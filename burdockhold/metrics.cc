#include "burdockhold/metrics.h"

#include <boost/histogram.hpp>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <cinttypes>
#include <cmath>
#include <cstdio>
#include <mutex>
#include <numeric>
#include <optional>
#include <set>
#include <shared_mutex>
#include <tuple>

namespace burdockhold {

namespace {

namespace bh = boost::histogram;

constexpr double LowestBoundSeconds = 1e-3;
constexpr double HighestBoundSeconds = 100.0;
constexpr std::size_t MaxLabelBytes = 128;
constexpr std::uint64_t NanosecondsPerSecond = 1000000000;

using timing_axis = bh::axis::regular<double, bh::axis::transform::log>;
using timing_storage = bh::dense_storage<bh::accumulators::thread_safe<std::uint64_t>>;
using timing_histogram = bh::histogram<std::tuple<timing_axis>, timing_storage>;

timing_axis makeTimingAxis()
{
    return timing_axis(TimingBuckets, LowestBoundSeconds, HighestBoundSeconds);
}

/// One distribution that several threads fill.
struct live_timing
{
    timing_histogram counts{ std::make_tuple(makeTimingAxis()), timing_storage() };
    std::atomic<std::uint64_t> sumNanoseconds{ 0 };
};

using label_view = std::tuple<std::string_view, std::string_view, std::string_view>;

label_view viewOf(const metric_labels &labels)
{
    return { labels.account, labels.route, labels.detail };
}

/// Orders labels and views of labels alike, so that a lookup needs no string copies.
struct labels_less
{
    using is_transparent = void;

    bool operator()(const metric_labels &left, const metric_labels &right) const
    {
        return viewOf(left) < viewOf(right);
    }
    bool operator()(const metric_labels &left, const label_view &right) const
    {
        return viewOf(left) < right;
    }
    bool operator()(const label_view &left, const metric_labels &right) const
    {
        return left < viewOf(right);
    }
};

template <typename Cell>
using family = std::map<metric_labels, std::unique_ptr<Cell>, labels_less>;

std::string_view detailLabel(counter which)
{
    switch (which) {
    case counter::Requests:
    case counter::Claims:
    case counter::Moves:
        return "outcome";
    case counter::Refusals:
    case counter::ListenerLimits:
        return "reason";
    default:
        return {};
    }
}

std::string_view helpOf(counter which)
{
    switch (which) {
    case counter::PromptTokens:
        return "Prompt tokens of dispatched requests.";
    case counter::CachedTokens:
        return "Prompt tokens that the endpoint had cached.";
    case counter::RecomputedTokens:
        return "Prompt tokens computed again although cached or computed elsewhere.";
    case counter::Requests:
        return "Requests by outcome.";
    case counter::Refusals:
        return "Refused requests by reason.";
    case counter::WrongfulRefusals:
        return "Requests refused although the account was within its rate.";
    case counter::ServedTokens:
        return "Prompt and output tokens served.";
    case counter::ServedRequests:
        return "Requests served.";
    case counter::Retries:
        return "Attempts after the first.";
    case counter::Resumes:
        return "Streams continued on another endpoint.";
    case counter::Claims:
        return "Claims of non-idempotent calls by outcome.";
    case counter::Moves:
        return "Version moves by outcome.";
    case counter::CaughtExceptions:
        return "Steps that ended with an unexpected exception.";
    case counter::ListenerLimits:
        return "Limits that clients of the listeners reached, by reason.";
    }
    return {};
}

std::string_view helpOf(timing which)
{
    switch (which) {
    case timing::TimeToFirstToken:
        return "Time from the request to the first token.";
    case timing::TimeBetweenTokens:
        return "Time between successive tokens of a stream.";
    case timing::QueueWait:
        return "Time that a request waited for an endpoint.";
    }
    return {};
}

std::string textName(counter which)
{
    return "burdockhold_" + std::string(nameOf(which)) + "_total";
}

std::string textName(timing which)
{
    return "burdockhold_" + std::string(nameOf(which)) + "_seconds";
}

std::string formatBound(std::size_t bucket)
{
    if (bucket >= TimingBuckets)
        return "+Inf";
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.6g", timingBound(bucket));
    return text.data();
}

std::string formatNanoseconds(std::uint64_t nanoseconds)
{
    std::array<char, 48> text{};
    std::snprintf(text.data(), text.size(), "%" PRIu64 ".%09" PRIu64,
                  nanoseconds / NanosecondsPerSecond, nanoseconds % NanosecondsPerSecond);
    return text.data();
}

void appendLabel(std::string &out, std::string_view name, std::string_view value)
{
    if (value.empty())
        return;
    if (!out.empty())
        out += ',';
    out.append(name).append("=\"");
    for (const char c : value) {
        if (c == '\\' || c == '"')
            out += '\\';
        if (c == '\n')
            out += "\\n";
        else
            out += c;
    }
    out += '"';
}

std::string formatLabels(const metric_labels &labels, std::string_view detail)
{
    std::string out;
    appendLabel(out, "account", labels.account);
    appendLabel(out, "route", labels.route);
    appendLabel(out, detail.empty() ? "detail" : detail, labels.detail);
    return out;
}

void appendSample(std::string &out, const std::string &name, const std::string &labels,
                  const std::string &value)
{
    out += name;
    if (!labels.empty())
        out += "{" + labels + "}";
    out += " " + value + "\n";
}

void appendHeader(std::string &out, const std::string &name, std::string_view help,
                  std::string_view type)
{
    out.append("# HELP ").append(name).append(" ").append(help).append("\n");
    out.append("# TYPE ").append(name).append(" ").append(type).append("\n");
}

void appendTiming(std::string &out, const std::string &name, const metric_labels &labels,
                  const timing_value &value)
{
    const std::string base = formatLabels(labels, {});
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < value.counts.size(); ++i) {
        cumulative += value.counts[i];
        std::string withBound = base;
        appendLabel(withBound, "le", formatBound(i));
        appendSample(out, name + "_bucket", withBound, std::to_string(cumulative));
    }
    appendSample(out, name + "_sum", base, formatNanoseconds(value.sumNanoseconds));
    appendSample(out, name + "_count", base, std::to_string(cumulative));
}

/// One line of the text: name, labels as written, and value as written.
struct sample_line
{
    std::string_view name;
    metric_labels labels;
    std::string bound; ///< Label "le".
    std::string detailName;
    std::string_view value;
};

using line_result = result<sample_line, metrics_error>;

basic_error<metrics_error> lineError(metrics_error code, std::string text)
{
    return { code, std::move(text), {} };
}

/// Splits label text into names and values.
class label_reader
{
public:
    explicit label_reader(std::string_view text)
        : m_text(text)
    {
    }

    bool atEnd() const { return m_position >= m_text.size(); }
    std::size_t position() const { return m_position; }

    /// Reads `name="value"` and stands after the closing quote. Returns false when malformed.
    bool read(std::string &name, std::string &value)
    {
        const std::size_t equals = m_text.find('=', m_position);
        if (equals == std::string_view::npos || equals + 1 >= m_text.size()
            || m_text[equals + 1] != '"')
            return false;
        name = std::string(m_text.substr(m_position, equals - m_position));
        m_position = equals + 2;
        return readValue(value);
    }

    /// Skips c when it is next.
    bool skip(char c)
    {
        if (atEnd() || m_text[m_position] != c)
            return false;
        ++m_position;
        return true;
    }

private:
    bool readValue(std::string &value)
    {
        value.clear();
        for (; m_position < m_text.size(); ++m_position) {
            char c = m_text[m_position];
            if (c == '"') {
                ++m_position;
                return true;
            }
            if (c == '\\') {
                if (++m_position >= m_text.size())
                    return false;
                c = m_text[m_position] == 'n' ? '\n' : m_text[m_position];
            }
            value += c;
        }
        return false;
    }

    std::string_view m_text;
    std::size_t m_position = 0;
};

bool storeLabel(sample_line &line, const std::string &name, const std::string &value)
{
    if (name == "account") {
        line.labels.account = value;
    } else if (name == "route") {
        line.labels.route = value;
    } else if (name == "le") {
        line.bound = value;
    } else {
        if (!line.detailName.empty())
            return false;
        line.detailName = name;
        line.labels.detail = value;
    }
    return true;
}

line_result parseLine(std::string_view text)
{
    sample_line line;
    const std::size_t nameEnd = text.find_first_of("{ ");
    if (nameEnd == std::string_view::npos || nameEnd == 0)
        return lineError(metrics_error::Malformed, "a sample has a name and a value");
    line.name = text.substr(0, nameEnd);
    std::string_view rest = text.substr(nameEnd);
    if (rest.front() == '{') {
        label_reader reader(rest.substr(1));
        std::string name;
        std::string value;
        while (!reader.skip('}')) {
            if (!reader.read(name, value))
                return lineError(metrics_error::Malformed, "labels are written name=\"value\"");
            if (!storeLabel(line, name, value))
                return lineError(metrics_error::UnknownLabel, "unknown label " + name);
            reader.skip(',');
        }
        rest = rest.substr(1 + reader.position());
    }
    const std::size_t valueStart = rest.find_first_not_of(' ');
    if (valueStart == std::string_view::npos)
        return lineError(metrics_error::Malformed, "a sample has a name and a value");
    line.value = rest.substr(valueStart);
    return line;
}

std::optional<std::uint64_t> parseInteger(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

/// Reads seconds with exactly nine decimals, without the loss of a floating-point conversion.
std::optional<std::uint64_t> parseNanoseconds(std::string_view text)
{
    const std::size_t dot = text.find('.');
    if (dot == std::string_view::npos || text.size() - dot != 10)
        return std::nullopt;
    const auto whole = parseInteger(text.substr(0, dot));
    const auto fraction = parseInteger(text.substr(dot + 1));
    if (!whole || !fraction || *whole >= UINT64_MAX / NanosecondsPerSecond)
        return std::nullopt;
    return *whole * NanosecondsPerSecond + *fraction;
}

/// Builds a snapshot line by line.
class text_reader
{
public:
    std::optional<basic_error<metrics_error>> readLine(std::string_view text)
    {
        const line_result parsed = parseLine(text);
        if (!isOk(parsed))
            return errorOf(parsed);
        const sample_line &line = valueOf(parsed);
        for (const auto &row : enum_names<counter>::Table) {
            if (line.name == textName(row.value))
                return readCounter(row.value, line);
        }
        for (const auto &row : enum_names<timing>::Table) {
            const std::string name = textName(row.value);
            if (line.name.substr(0, name.size()) == name)
                return readTiming(row.value, line, line.name.substr(name.size()));
        }
        return std::nullopt;
    }

    /// Turns cumulative buckets into plain ones and returns the snapshot, or the error of a
    /// histogram that is incomplete.
    result<metric_snapshot, metrics_error> finish()
    {
        for (auto &[which, series] : m_snapshot.timings) {
            for (auto &[labels, value] : series) {
                if (m_nextBucket[{ which, labels }] != value.counts.size())
                    return lineError(metrics_error::WrongBuckets, "a histogram lacks buckets");
                for (std::size_t i = value.counts.size() - 1; i > 0; --i) {
                    if (value.counts[i] < value.counts[i - 1])
                        return lineError(metrics_error::WrongBuckets, "cumulative counts fall");
                    value.counts[i] -= value.counts[i - 1];
                }
            }
        }
        return std::move(m_snapshot);
    }

private:
    std::optional<basic_error<metrics_error>> readCounter(counter which, const sample_line &line)
    {
        if (line.detailName != detailLabel(which) || !line.bound.empty())
            return lineError(metrics_error::UnknownLabel, "unexpected or missing label");
        const auto value = parseInteger(line.value);
        if (!value)
            return lineError(metrics_error::NotANumber, "a counter is a whole number");
        m_snapshot.counters[which][line.labels] += *value;
        return std::nullopt;
    }

    std::optional<basic_error<metrics_error>> readTiming(timing which, const sample_line &line,
                                                         std::string_view suffix)
    {
        if (!line.detailName.empty())
            return lineError(metrics_error::UnknownLabel, "unexpected label " + line.detailName);
        timing_value &value = m_snapshot.timings[which][line.labels];
        if (suffix == "_sum") {
            const auto sum = parseNanoseconds(line.value);
            if (!sum)
                return lineError(metrics_error::NotANumber, "a sum has nine decimals");
            value.sumNanoseconds = *sum;
            return std::nullopt;
        }
        const auto count = parseInteger(line.value);
        if (!count)
            return lineError(metrics_error::NotANumber, "a count is a whole number");
        if (suffix == "_count") {
            if (*count != value.counts.back())
                return lineError(metrics_error::WrongBuckets, "the count is not the +Inf bucket");
            return std::nullopt;
        }
        std::size_t &next = m_nextBucket[{ which, line.labels }];
        if (suffix != "_bucket" || next >= value.counts.size() || line.bound != formatBound(next))
            return lineError(metrics_error::WrongBuckets, "unexpected bucket " + line.bound);
        value.counts[next++] = *count;
        return std::nullopt;
    }

    metric_snapshot m_snapshot;
    std::map<std::pair<timing, metric_labels>, std::size_t> m_nextBucket;
};

/// Cuts a label to its longest stored form.
std::string_view bounded(std::string_view label)
{
    return label.substr(0, MaxLabelBytes);
}

} // namespace

bool operator<(const metric_labels &left, const metric_labels &right)
{
    return viewOf(left) < viewOf(right);
}

bool operator==(const metric_labels &left, const metric_labels &right)
{
    return viewOf(left) == viewOf(right);
}

bool operator==(const timing_value &left, const timing_value &right)
{
    return left.counts == right.counts && left.sumNanoseconds == right.sumNanoseconds;
}

bool operator==(const metric_snapshot &left, const metric_snapshot &right)
{
    return left.counters == right.counters && left.timings == right.timings;
}

double timingBound(std::size_t bucket)
{
    static const timing_axis axis = makeTimingAxis();
    return axis.value(static_cast<double>(bucket) + 1.0);
}

std::uint64_t observationCount(const timing_value &value)
{
    return std::accumulate(value.counts.begin(), value.counts.end(), std::uint64_t(0));
}

double observationsBelow(const timing_value &value, double seconds)
{
    double below = 0.0;
    double lower = 0.0;
    for (std::size_t i = 0; i < TimingBuckets; ++i) {
        const double upper = timingBound(i);
        const auto count = static_cast<double>(value.counts[i]);
        if (seconds < upper)
            return below + count * std::max(0.0, seconds - lower) / (upper - lower);
        below += count;
        lower = upper;
    }
    return below;
}

void mergeInto(metric_snapshot &target, const metric_snapshot &other)
{
    for (const auto &[which, series] : other.counters) {
        for (const auto &[labels, value] : series)
            target.counters[which][labels] += value;
    }
    for (const auto &[which, series] : other.timings) {
        for (const auto &[labels, value] : series) {
            timing_value &sum = target.timings[which][labels];
            for (std::size_t i = 0; i < sum.counts.size(); ++i)
                sum.counts[i] += value.counts[i];
            sum.sumNanoseconds += value.sumNanoseconds;
        }
    }
}

std::string formatMetrics(const metric_snapshot &snapshot)
{
    std::string out;
    for (const auto &[which, series] : snapshot.counters) {
        const std::string name = textName(which);
        appendHeader(out, name, helpOf(which), "counter");
        for (const auto &[labels, value] : series)
            appendSample(out, name, formatLabels(labels, detailLabel(which)),
                         std::to_string(value));
    }
    for (const auto &[which, series] : snapshot.timings) {
        const std::string name = textName(which);
        appendHeader(out, name, helpOf(which), "histogram");
        for (const auto &[labels, value] : series)
            appendTiming(out, name, labels, value);
    }
    return out;
}

result<metric_snapshot, metrics_error> parseMetrics(std::string_view text)
{
    text_reader reader;
    std::size_t lineNumber = 0;
    while (!text.empty()) {
        ++lineNumber;
        const std::size_t end = std::min(text.find('\n'), text.size());
        const std::string_view line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        if (line.empty() || line.front() == '#')
            continue;
        if (auto error = reader.readLine(line)) {
            error->context = "line " + std::to_string(lineNumber);
            return *error;
        }
    }
    return reader.finish();
}

struct metrics::state
{
    using counter_cell = std::atomic<std::uint64_t>;

    metrics_options options;
    mutable std::shared_mutex mutex;
    std::set<std::string, std::less<>> accounts;
    std::set<std::string, std::less<>> routes;
    std::map<counter, family<counter_cell>> counters;
    std::map<timing, family<live_timing>> timings;

    /// Returns the value to count under; takes a place in known while there is one.
    static std::string_view admit(std::set<std::string, std::less<>> &known, std::size_t bound,
                                  std::string_view label)
    {
        if (label.empty() || known.find(label) != known.end())
            return label;
        if (known.size() >= bound)
            return OtherLabel;
        known.emplace(label);
        return label;
    }

    template <typename Cell>
    Cell &create(family<Cell> &cells, const label_view &wanted)
    {
        metric_labels labels;
        labels.account = admit(accounts, options.maxAccounts, std::get<0>(wanted));
        labels.route = admit(routes, options.maxRoutes, std::get<1>(wanted));
        labels.detail = std::get<2>(wanted);
        if (cells.size() >= options.maxSeries && cells.find(labels) == cells.end())
            labels.account = labels.route = std::string(OtherLabel);
        std::unique_ptr<Cell> &cell = cells[labels];
        if (!cell)
            cell = std::make_unique<Cell>();
        return *cell;
    }

    static bool isBeyond(const std::set<std::string, std::less<>> &known, std::size_t bound,
                         std::string_view label)
    {
        return !label.empty() && known.size() >= bound && known.find(label) == known.end();
    }

    /// Returns the cell that already exists for the labels, or null. Labels beyond a bound are
    /// looked up as "other" here too, so that they never need the exclusive lock again.
    template <typename Cell>
    Cell *existing(family<Cell> &cells, label_view wanted)
    {
        if (isBeyond(accounts, options.maxAccounts, std::get<0>(wanted)))
            std::get<0>(wanted) = OtherLabel;
        if (isBeyond(routes, options.maxRoutes, std::get<1>(wanted)))
            std::get<1>(wanted) = OtherLabel;
        auto cell = cells.find(wanted);
        if (cell == cells.end() && cells.size() >= options.maxSeries)
            cell = cells.find(label_view{ OtherLabel, OtherLabel, std::get<2>(wanted) });
        return cell == cells.end() ? nullptr : cell->second.get();
    }

    /// Returns the cell for the labels. Cells are never removed, so the reference stays valid.
    template <typename Key, typename Cell>
    Cell &find(std::map<Key, family<Cell>> &families, Key which, std::string_view account,
               std::string_view route, std::string_view detail)
    {
        const label_view wanted{ bounded(account), bounded(route), detail };
        {
            const std::shared_lock<std::shared_mutex> lock(mutex);
            const auto cells = families.find(which);
            if (cells != families.end()) {
                if (Cell *cell = existing(cells->second, wanted))
                    return *cell;
            }
        }
        const std::unique_lock<std::shared_mutex> lock(mutex);
        return create(families[which], wanted);
    }
};

metrics::metrics(const metrics_options &options)
    : m_state(std::make_unique<state>())
{
    m_state->options = options;
}

metrics::~metrics() = default;

void metrics::add(counter which, std::string_view account, std::string_view route,
                  std::uint64_t amount)
{
    m_state->find(m_state->counters, which, account, route, {})
            .fetch_add(amount, std::memory_order_relaxed);
}

void metrics::addRequest(request_outcome outcome, std::string_view account, std::string_view route)
{
    m_state->find(m_state->counters, counter::Requests, account, route, nameOf(outcome))
            .fetch_add(1, std::memory_order_relaxed);
}

void metrics::addRefusal(refusal_reason reason, std::string_view account, std::string_view route)
{
    m_state->find(m_state->counters, counter::Refusals, account, route, nameOf(reason))
            .fetch_add(1, std::memory_order_relaxed);
}

void metrics::addClaim(claim_result outcome, std::string_view account, std::string_view route)
{
    m_state->find(m_state->counters, counter::Claims, account, route, nameOf(outcome))
            .fetch_add(1, std::memory_order_relaxed);
}

void metrics::addMove(move_result outcome)
{
    m_state->find(m_state->counters, counter::Moves, {}, {}, nameOf(outcome))
            .fetch_add(1, std::memory_order_relaxed);
}

void metrics::addListenerLimit(listener_limit limit)
{
    m_state->find(m_state->counters, counter::ListenerLimits, {}, {}, nameOf(limit))
            .fetch_add(1, std::memory_order_relaxed);
}

void metrics::observe(timing which, std::string_view account, std::string_view route, duration time)
{
    const duration counted = std::max(time, duration::zero());
    live_timing &cell = m_state->find(m_state->timings, which, account, route, {});
    cell.counts(toSeconds(counted));
    cell.sumNanoseconds.fetch_add(static_cast<std::uint64_t>(counted.count()),
                                  std::memory_order_relaxed);
}

metric_snapshot metrics::snapshot() const
{
    metric_snapshot out;
    const std::shared_lock<std::shared_mutex> lock(m_state->mutex);
    for (const auto &[which, cells] : m_state->counters) {
        for (const auto &[labels, cell] : cells)
            out.counters[which][labels] = cell->load(std::memory_order_relaxed);
    }
    for (const auto &[which, cells] : m_state->timings) {
        for (const auto &[labels, cell] : cells) {
            timing_value &value = out.timings[which][labels];
            for (std::size_t i = 0; i <= TimingBuckets; ++i)
                value.counts[i] = cell->counts.at(static_cast<int>(i)).load();
            value.counts[0] += cell->counts.at(-1).load();
            value.sumNanoseconds = cell->sumNanoseconds.load(std::memory_order_relaxed);
        }
    }
    return out;
}

} // namespace burdockhold
