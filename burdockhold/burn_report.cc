#include "burdockhold/burn_report.h"

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <limits>
#include <map>
#include <set>
#include <sstream>

namespace burdockhold {

namespace {

using profile_tree = boost::property_tree::ptree;
using failure = basic_error<objectives_error>;

constexpr double MillisecondsPerSecond = 1000.0;
constexpr double MaxWeight = 1000.0;

struct unit
{
    std::string_view name;
    double seconds;
};

constexpr std::array<unit, 5> TimeUnits{ {
        { "ms", 0.001 },
        { "min", 60.0 },
        { "s", 1.0 },
        { "h", 3600.0 },
        { "d", 86400.0 },
} };

/// Reads a non-negative number and leaves what follows it in rest.
std::optional<double> parseNumber(const std::string &text, std::string &rest)
{
    const std::size_t end = std::min(text.find_first_not_of("0123456789."), text.size());
    rest = text.substr(end);
    if (end == 0 || std::count(text.begin(), text.end(), '.') > 1 || text[0] == '.')
        return std::nullopt;
    std::istringstream stream(text.substr(0, end));
    stream.imbue(std::locale::classic());
    double value = 0.0;
    if (!(stream >> value))
        return std::nullopt;
    return value;
}

std::optional<duration> parseDuration(const std::string &text)
{
    std::string rest;
    const auto value = parseNumber(text, rest);
    for (const unit &candidate : TimeUnits) {
        // 3,650 days keeps every duration well inside 64-bit nanoseconds.
        if (value && candidate.name == rest && *value * candidate.seconds <= 3650.0 * 86400.0)
            return fromSeconds(*value * candidate.seconds);
    }
    return std::nullopt;
}

/// Reads the keys of one section and remembers the first failure.
class section_reader
{
public:
    section_reader(std::string file, std::string section, const profile_tree &tree)
        : m_file(std::move(file))
        , m_section(std::move(section))
        , m_tree(tree)
    {
    }

    std::optional<std::string> read(const std::string &key, bool required)
    {
        m_known.insert(key);
        const auto found = m_tree.find(key);
        if (found == m_tree.not_found()) {
            if (required)
                fail(objectives_error::MissingValue, key, "the key is missing");
            return std::nullopt;
        }
        if (found->second.data().empty()) {
            fail(objectives_error::MissingValue, key, "the value is missing");
            return std::nullopt;
        }
        return found->second.data();
    }

    template <typename Enum>
    void readName(const std::string &key, bool required, Enum &target)
    {
        const auto text = read(key, required);
        if (!text)
            return;
        const auto value = parseName<Enum>(*text);
        if (value)
            target = *value;
        else
            fail(objectives_error::BadValue, key, "unknown name " + *text);
    }

    void readDuration(const std::string &key, duration &target)
    {
        const auto text = read(key, true);
        if (!text)
            return;
        const auto value = parseDuration(*text);
        if (value && *value > duration::zero())
            target = *value;
        else
            fail(objectives_error::BadValue, key, "expected a time in ms, s, min, h or d");
    }

    void readTarget(const std::string &key, double &target)
    {
        const auto text = read(key, true);
        if (!text)
            return;
        std::string rest;
        const auto value = parseNumber(*text, rest);
        if (value && rest == "%" && *value > 0.0 && *value < 100.0)
            target = *value / 100.0;
        else
            fail(objectives_error::BadValue, key, "expected a percentage between 0% and 100%");
    }

    void readWeight(const std::string &key, double &target)
    {
        const auto text = read(key, false);
        if (!text)
            return;
        std::string rest;
        const auto value = parseNumber(*text, rest);
        if (value && rest.empty() && *value > 0.0 && *value <= MaxWeight)
            target = *value;
        else
            fail(objectives_error::BadValue, key, "expected a number above 0, at most 1000");
    }

    void refuseOthers()
    {
        for (const auto &[key, value] : m_tree) {
            if (m_known.find(key) == m_known.end())
                fail(objectives_error::UnknownKey, key, "the key is unknown or does not apply");
        }
    }

    void fail(objectives_error code, const std::string &key, const std::string &text)
    {
        if (!m_failure)
            m_failure = failure{ code, text, m_file + " [" + m_section + "] " + key };
    }

    const std::optional<failure> &failed() const { return m_failure; }

private:
    std::string m_file;
    std::string m_section;
    const profile_tree &m_tree;
    std::set<std::string> m_known;
    std::optional<failure> m_failure;
};

bool hasThreshold(indicator which)
{
    return which == indicator::TimeToFirstToken || which == indicator::TimeBetweenTokens;
}

objective readObjective(section_reader &reader, const std::string &name)
{
    objective out;
    out.name = name;
    reader.readName("indicator", true, out.measure);
    reader.readTarget("target", out.target);
    reader.readDuration("window", out.window);
    if (hasThreshold(out.measure))
        reader.readDuration("below", out.threshold);
    if (out.measure != indicator::WorstAccountShare)
        reader.readName("by", false, out.by);
    else
        out.by = objective_scope::Account;
    reader.readWeight("weight", out.weight);
    reader.refuseOthers();
    return out;
}

/// Events of one subject.
struct event_count
{
    double good = 0.0;
    double total = 0.0;
};

using event_map = std::map<std::string, event_count>;

std::string subjectOf(objective_scope by, const metric_labels &labels)
{
    switch (by) {
    case objective_scope::Account:
        return "account " + (labels.account.empty() ? std::string("none") : labels.account);
    case objective_scope::Route:
        return "route " + (labels.route.empty() ? std::string("none") : labels.route);
    case objective_scope::All:
        break;
    }
    return "all";
}

/// Adds the series of one counter to the good or total events, or to both.
class event_collector
{
public:
    event_collector(const metric_snapshot &measures, objective_scope by, event_map &out)
        : m_measures(measures)
        , m_by(by)
        , m_out(out)
    {
    }

    void add(counter which, bool good, bool total, std::string_view detail = {})
    {
        const auto series = m_measures.counters.find(which);
        if (series == m_measures.counters.end())
            return;
        for (const auto &[labels, value] : series->second) {
            if (labels.detail != detail)
                continue;
            event_count &events = m_out[subjectOf(m_by, labels)];
            events.good += good ? static_cast<double>(value) : 0.0;
            events.total += total ? static_cast<double>(value) : 0.0;
        }
    }

    void addOutcome(request_outcome outcome, bool good)
    {
        add(counter::Requests, good, true, nameOf(outcome));
    }

    void addTimes(timing which, duration threshold)
    {
        const auto series = m_measures.timings.find(which);
        if (series == m_measures.timings.end())
            return;
        for (const auto &[labels, value] : series->second) {
            event_count &events = m_out[subjectOf(m_by, labels)];
            events.good += observationsBelow(value, toSeconds(threshold));
            events.total += static_cast<double>(observationCount(value));
        }
    }

private:
    const metric_snapshot &m_measures;
    objective_scope m_by;
    event_map &m_out;
};

void collectAvailability(event_collector &collector)
{
    collector.addOutcome(request_outcome::Answered, true);
    collector.addOutcome(request_outcome::Failed, false);
    collector.addOutcome(request_outcome::OutcomeUnknown, false);
    for (const refusal_reason reason :
         { refusal_reason::NoEndpoint, refusal_reason::NotFresh, refusal_reason::QueueFull,
           refusal_reason::LogDown, refusal_reason::Draining })
        collector.add(counter::Refusals, false, true, nameOf(reason));
}

/// Returns the events since the VM's start. The result is linear in the counters, so increases may
/// be computed by subtraction.
event_map eventsOf(const objective &goal, const metric_snapshot &measures)
{
    event_map out;
    event_collector collector(measures, goal.by, out);
    switch (goal.measure) {
    case indicator::HitRate:
        collector.add(counter::CachedTokens, true, false);
        collector.add(counter::PromptTokens, false, true);
        break;
    case indicator::TimeToFirstToken:
        collector.addTimes(timing::TimeToFirstToken, goal.threshold);
        break;
    case indicator::TimeBetweenTokens:
        collector.addTimes(timing::TimeBetweenTokens, goal.threshold);
        break;
    case indicator::Availability:
        collectAvailability(collector);
        break;
    case indicator::WrongfulRefusals:
        for (const request_outcome outcome :
             { request_outcome::Answered, request_outcome::Failed, request_outcome::Cancelled,
               request_outcome::OutcomeUnknown })
            collector.addOutcome(outcome, true);
        collector.add(counter::WrongfulRefusals, false, true);
        break;
    case indicator::WorstAccountShare:
        collector.addOutcome(request_outcome::Answered, true);
        collector.addOutcome(request_outcome::Failed, false);
        collector.addOutcome(request_outcome::OutcomeUnknown, false);
        collector.add(counter::WrongfulRefusals, false, true);
        break;
    }
    return out;
}

template <typename Series, typename Fell>
bool anyFell(const Series &earlier, const Series &later, const Fell &fell)
{
    for (const auto &[which, series] : earlier) {
        const auto other = later.find(which);
        if (other == later.end())
            return true;
        for (const auto &[labels, value] : series) {
            const auto now = other->second.find(labels);
            if (now == other->second.end() || fell(value, now->second))
                return true;
        }
    }
    return false;
}

/// Whether the process started anew between two samples: counters never fall otherwise.
bool restarted(const metric_snapshot &earlier, const metric_snapshot &later)
{
    const auto fell = [](std::uint64_t before, std::uint64_t after) { return after < before; };
    const auto anyBucketFell = [](const timing_value &before, const timing_value &after) {
        for (std::size_t i = 0; i < before.counts.size(); ++i) {
            if (after.counts[i] < before.counts[i])
                return true;
        }
        return after.sumNanoseconds < before.sumNanoseconds;
    };
    return anyFell(earlier.counters, later.counters, fell)
           || anyFell(earlier.timings, later.timings, anyBucketFell);
}

/// Increase of the events between two samples of one VM.
struct increase
{
    log_time_ms from = 0;
    log_time_ms to = 0;
    event_map events;
};

event_map difference(event_map later, const event_map &earlier)
{
    for (const auto &[subject, events] : earlier) {
        event_count &out = later[subject];
        out.good = std::max(0.0, out.good - events.good);
        out.total = std::max(0.0, out.total - events.total);
    }
    return later;
}

/// Adds the increases of one VM. A VM whose first sample is later than the first gathering and
/// which was never missed before is new, so that its counters started at zero.
void addIncreases(const objective &goal, const vm_history &history, log_time_ms firstGathering,
                  std::vector<increase> &out)
{
    const vm_sample *previous = nullptr;
    for (std::size_t i = 0; i < history.samples.size(); ++i) {
        const vm_sample &sample = history.samples[i];
        if (!sample.measures)
            continue;
        const bool isNew = i == 0 && sample.at > firstGathering;
        if (previous != nullptr || isNew) {
            event_map events = eventsOf(goal, *sample.measures);
            if (previous != nullptr && !restarted(*previous->measures, *sample.measures))
                events = difference(std::move(events), eventsOf(goal, *previous->measures));
            out.push_back({ previous != nullptr ? previous->at : firstGathering, sample.at,
                            std::move(events) });
        }
        previous = &sample;
    }
}

/// Returns the events of each subject within the last `window` before now.
event_map eventsWithin(const std::vector<increase> &increases, log_time_ms now, duration window)
{
    const double start = static_cast<double>(now) - toSeconds(window) * MillisecondsPerSecond;
    event_map out;
    for (const increase &part : increases) {
        const auto from = static_cast<double>(part.from);
        const double to = std::min(static_cast<double>(part.to), static_cast<double>(now));
        const double length = std::max(static_cast<double>(part.to) - from, 1.0);
        const double share = std::clamp((to - std::max(from, start)) / length, 0.0, 1.0);
        for (const auto &[subject, events] : part.events) {
            out[subject].good += events.good * share;
            out[subject].total += events.total * share;
        }
    }
    return out;
}

double badRatio(const event_map &events, const std::string &subject)
{
    const auto found = events.find(subject);
    if (found == events.end() || found->second.total <= 0.0)
        return 0.0;
    return std::max(0.0, 1.0 - found->second.good / found->second.total);
}

burn_row makeRow(const objective &goal, const std::string &subject, const event_map &whole,
                 const event_map &hour, const event_map &minutes, double coveredSeconds)
{
    const double budget = 1.0 - goal.target;
    const double windowSeconds = toSeconds(goal.window);
    burn_row row;
    row.objective = goal.name;
    row.subject = subject;
    row.target = goal.target;
    row.weight = goal.weight;
    if (whole.at(subject).total > 0.0)
        row.ratio = 1.0 - badRatio(whole, subject);
    row.shortBurn = badRatio(minutes, subject) / budget;
    row.longBurn = badRatio(hour, subject) / budget;
    const double spent = badRatio(whole, subject) / budget * std::min(coveredSeconds, windowSeconds)
                         / windowSeconds;
    row.budgetLeft = 1.0 - spent;
    if (row.budgetLeft <= 0.0)
        row.secondsToExhaustion = 0.0;
    else if (row.longBurn > 0.0)
        row.secondsToExhaustion = row.budgetLeft * windowSeconds / row.longBurn;
    return row;
}

/// Orders the rows of one objective; the one that burns fastest is first.
bool burnsFaster(const burn_row &left, const burn_row &right)
{
    if (left.longBurn != right.longBurn)
        return left.longBurn > right.longBurn;
    if (left.budgetLeft != right.budgetLeft)
        return left.budgetLeft < right.budgetLeft;
    return left.subject < right.subject;
}

std::vector<burn_row> rowsOf(const objective &goal, const std::vector<vm_history> &histories,
                             log_time_ms firstGathering, log_time_ms now)
{
    std::vector<increase> increases;
    for (const vm_history &history : histories)
        addIncreases(goal, history, firstGathering, increases);
    const double covered = static_cast<double>(now - firstGathering) / MillisecondsPerSecond;
    event_map whole = eventsWithin(increases, now, goal.window);
    if (whole.empty())
        whole[goal.by == objective_scope::All ? "all" : "none"] = {};
    const event_map hour = eventsWithin(increases, now, LongBurnWindow);
    const event_map minutes = eventsWithin(increases, now, ShortBurnWindow);
    std::vector<burn_row> rows;
    rows.reserve(whole.size());
    for (const auto &[subject, events] : whole)
        rows.push_back(makeRow(goal, subject, whole, hour, minutes, covered));
    std::sort(rows.begin(), rows.end(), burnsFaster);
    if (goal.measure == indicator::WorstAccountShare)
        rows.resize(1);
    return rows;
}

log_time_ms earliestSample(const std::vector<vm_history> &histories, log_time_ms now)
{
    log_time_ms earliest = now;
    for (const vm_history &history : histories) {
        if (!history.samples.empty())
            earliest = std::min(earliest, history.samples.front().at);
    }
    return earliest;
}

std::string formatNumber(const char *format, double value)
{
    std::array<char, 48> text{};
    std::snprintf(text.data(), text.size(), format, value);
    return text.data();
}

std::string formatSpan(double seconds)
{
    if (seconds >= 2 * 86400.0)
        return formatNumber("%.1f d", seconds / 86400.0);
    if (seconds >= 2 * 3600.0)
        return formatNumber("%.1f h", seconds / 3600.0);
    if (seconds >= 120.0)
        return formatNumber("%.0f min", seconds / 60.0);
    return formatNumber("%.0f s", seconds);
}

using text_row = std::array<std::string, 8>;

text_row textOf(const burn_row &row)
{
    return { row.objective,
             row.subject,
             row.ratio ? formatNumber("%.3f %%", *row.ratio * 100.0) : "no events",
             formatNumber("%.3g %%", row.target * 100.0),
             formatNumber("%.2f", row.shortBurn),
             formatNumber("%.2f", row.longBurn),
             formatNumber("%.2f %%", row.budgetLeft * 100.0),
             row.secondsToExhaustion ? formatSpan(*row.secondsToExhaustion) : "never" };
}

std::string alignRows(const std::vector<text_row> &rows)
{
    std::array<std::size_t, std::tuple_size<text_row>::value> widths{};
    for (const text_row &row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    std::string out;
    for (const text_row &row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            const std::string padding(widths[i] - row[i].size(), ' ');
            // Names are aligned to the left, numbers to the right.
            out += i < 2 ? row[i] + padding : padding + row[i];
            out += i + 1 < row.size() ? "  " : "\n";
        }
    }
    return out;
}

nlohmann::json optionalJson(const std::optional<double> &value)
{
    return value ? nlohmann::json(*value) : nlohmann::json(nullptr);
}

bool readProfileSection(section_reader &reader, objective_profile &profile)
{
    profile.name = reader.read("name", true).value_or("");
    reader.refuseOthers();
    return !reader.failed();
}

} // namespace

result<objective_profile, objectives_error> parseObjectives(std::string_view text,
                                                            std::string_view fileName)
{
    const std::string file(fileName);
    profile_tree tree;
    try {
        std::istringstream stream{ std::string(text) };
        boost::property_tree::read_ini(stream, tree);
    } catch (const boost::property_tree::ini_parser_error &error) {
        return failure{ objectives_error::Unreadable, error.message(),
                        file + " line " + std::to_string(error.line()) };
    }
    objective_profile profile;
    for (const auto &[section, keys] : tree) {
        if (!keys.data().empty())
            return failure{ objectives_error::UnknownKey, "the key is outside a section",
                            file + " [] " + section };
        section_reader reader(file, section, keys);
        if (section == "profile")
            readProfileSection(reader, profile);
        else
            profile.objectives.push_back(readObjective(reader, section));
        if (reader.failed())
            return *reader.failed();
    }
    if (profile.name.empty())
        return failure{ objectives_error::MissingValue, "the key is missing",
                        file + " [profile] name" };
    if (profile.objectives.empty())
        return failure{ objectives_error::MissingValue, "the profile has no objective", file };
    std::sort(profile.objectives.begin(), profile.objectives.end(),
              [](const objective &left, const objective &right) {
                  return left.weight != right.weight ? left.weight > right.weight
                                                     : left.name < right.name;
              });
    return profile;
}

burn_report buildBurnReport(const objective_profile &profile,
                            const std::vector<vm_history> &histories, log_time_ms now)
{
    const log_time_ms first = earliestSample(histories, now);
    burn_report report;
    report.profile = profile.name;
    report.vms = histories.size();
    report.coveredSeconds = static_cast<double>(now - first) / MillisecondsPerSecond;
    for (const vm_history &history : histories) {
        if (history.samples.empty() || !history.samples.back().measures)
            report.unreached.push_back(history.vm);
    }
    double weights = 0.0;
    double weighted = 0.0;
    for (const objective &goal : profile.objectives) {
        const std::vector<burn_row> rows = rowsOf(goal, histories, first, now);
        double worst = rows.front().budgetLeft;
        for (const burn_row &row : rows)
            worst = std::min(worst, row.budgetLeft);
        weights += goal.weight;
        weighted += goal.weight * worst;
        report.rows.insert(report.rows.end(), rows.begin(), rows.end());
    }
    report.weightedBudgetLeft = weights > 0.0 ? weighted / weights : 1.0;
    return report;
}

std::string formatBurnText(const burn_report &report)
{
    std::string out = "Service-level burn, profile " + report.profile + ", "
                      + std::to_string(report.vms) + " VMs, measures of the last "
                      + formatSpan(report.coveredSeconds) + "\n";
    if (!report.unreached.empty()) {
        out += "PARTIAL: not reached:";
        for (const std::string &vm : report.unreached)
            out += " " + vm;
        out += "\n";
    }
    out += "\n";
    std::vector<text_row> rows{ { "objective", "for", "good", "target", "burn 5 min", "burn 1 h",
                                  "budget left", "exhausted in" } };
    for (const burn_row &row : report.rows)
        rows.push_back(textOf(row));
    out += alignRows(rows);
    out += "\nBudget left, weighted: " + formatNumber("%.2f %%", report.weightedBudgetLeft * 100.0)
           + "\n";
    return out;
}

std::string formatBurnJson(const burn_report &report)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const burn_row &row : report.rows) {
        rows.push_back({ { "objective", row.objective },
                         { "subject", row.subject },
                         { "target", row.target },
                         { "weight", row.weight },
                         { "ratio", optionalJson(row.ratio) },
                         { "burn_5min", row.shortBurn },
                         { "burn_1h", row.longBurn },
                         { "budget_left", row.budgetLeft },
                         { "seconds_to_exhaustion", optionalJson(row.secondsToExhaustion) } });
    }
    const nlohmann::json out{ { "profile", report.profile },
                              { "vms", report.vms },
                              { "partial", !report.unreached.empty() },
                              { "unreached", report.unreached },
                              { "covered_seconds", report.coveredSeconds },
                              { "weighted_budget_left", report.weightedBudgetLeft },
                              { "rows", rows } };
    return out.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

} // namespace burdockhold
