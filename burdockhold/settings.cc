#include "burdockhold/settings.h"

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include <charconv>
#include <fstream>
#include <optional>
#include <set>
#include <sstream>

namespace burdockhold {
namespace {

using settings_tree = boost::property_tree::ptree;
using failure = basic_error<settings_error>;

using setting_member = std::variant<std::string daemon_settings::*, duration daemon_settings::*,
                                    std::int64_t daemon_settings::*, double daemon_settings::*,
                                    log_level daemon_settings::*>;

struct setting
{
    setting_row row;
    setting_member member;
};

using kind = setting_kind;
using s = daemon_settings;

/// Keys about the process itself and the platform's services.
std::vector<setting> platformSettings()
{
    return {
        { { "daemon", "name", kind::Text, "", "", "", "Name of this VM, as in the VM list." },
          &s::name },
        { { "daemon", "data_centre", kind::Text, "", "", "", "Data centre of this VM." },
          &s::dataCentre },
        { { "daemon", "listen", kind::HttpUrl, "", "", "",
            "Address for callers. Port 0 takes a free port." },
          &s::listen },
        { { "daemon", "admin_listen", kind::HttpUrl, "", "", "",
            "Address for operators and for the health check of the load balancer." },
          &s::adminListen },
        { { "daemon", "peer_listen", kind::TcpAddress, "", "", "", "Address for the other VMs." },
          &s::peerListen },
        { { "daemon", "drain_delay", kind::Duration, "3s", "0s", "10min",
            "Time from the first failing health check until new requests are refused." },
          &s::drainDelay },
        { { "daemon", "drain_timeout", kind::Duration, "10min", "0s", "24h",
            "Longest wait for open requests at shutdown." },
          &s::drainTimeout },
        { { "log", "url", kind::HttpUrl, "", "", "", "Address of the log service." }, &s::logUrl },
        { { "log", "poll_wait", kind::Duration, "1s", "10ms", "30s",
            "How long a read at the tail waits for new records." },
          &s::logPollWait },
        { { "log", "timeout", kind::Duration, "3s", "10ms", "60s",
            "Silence after which a call to the log service has failed." },
          &s::logTimeout },
        { { "log", "retention", kind::Duration, "168h", "1h", "8760h",
            "How long the log service keeps records. Live entries are appended again in time." },
          &s::logRetention },
        { { "vms", "url", kind::HttpUrl, "", "", "", "Address of the platform's VM list." },
          &s::vmsUrl },
        { { "vms", "interval", kind::Duration, "1s", "50ms", "60s",
            "Time between reads of the VM list." },
          &s::vmsInterval },
        { { "logging", "file", kind::Text, "-", "", "",
            "File for log lines; - stands for standard error." },
          &s::logFile },
        { { "logging", "level", kind::Level, "info", "", "",
            "Lowest level written: debug, info, warn or error." },
          &s::logLevel },
    };
}

/// Keys about requests: limits, endpoints, retries, freshness and claims.
std::vector<setting> requestSettings()
{
    return {
        { { "limits", "body", kind::Size, "16MiB", "1KiB", "1GiB",
            "Largest request body of a completion call." },
          &s::bodyLimitBytes },
        { { "limits", "open_requests", kind::Integer, "10000", "1", "1000000",
            "Requests in flight on this VM; more are refused." },
          &s::maxOpenRequests },
        { { "limits", "head", kind::Size, "16KiB", "1KiB", "1MiB",
            "Largest head of a request, with the empty lines before it." },
          &s::headLimitBytes },
        { { "limits", "head_time", kind::Duration, "3s", "100ms", "60s",
            "Time from the first byte of a head to its end." },
          &s::headTime },
        { { "limits", "idle_time", kind::Duration, "15s", "100ms", "1h",
            "Time after which a connection without any progress is closed." },
          &s::idleTime },
        { { "limits", "connections", kind::Integer, "0", "0", "1000000",
            "Connections of callers, a running request counted twice. 0 stands for the descriptor "
            "limit less what the daemon itself needs." },
          &s::maxConnections },
        { { "limits", "memory", kind::Size, "512MiB", "64MiB", "1024GiB",
            "Memory of the process; what clients hold is bounded by a part of it." },
          &s::memoryBytes },
        { { "limits", "grant_lifetime", kind::Duration, "500ms", "50ms", "5s",
            "Time within which tokens granted by another VM must be spent. All VMs need the "
            "same." },
          &s::grantLifetime },
        { { "limits", "max_wait", kind::Duration, "1s", "0s", "30s",
            "Longest wait for granted tokens before a request is refused." },
          &s::maxLimitWait },
        { { "upstream", "first_token_timeout", kind::Duration, "10s", "50ms", "1h",
            "Longest wait for the first token of an attempt." },
          &s::firstTokenTimeout },
        { { "upstream", "inter_token_timeout", kind::Duration, "5s", "50ms", "1h",
            "Longest silence within a stream." },
          &s::interTokenTimeout },
        { { "upstream", "whole_answer_timeout", kind::Duration, "5min", "50ms", "24h",
            "Longest wait for the answer of a completion call that is not streamed." },
          &s::wholeTimeout },
        { { "upstream", "service_timeout", kind::Duration, "30s", "50ms", "1h",
            "Longest wait for the answer of a plain service." },
          &s::serviceTimeout },
        { { "upstream", "load_interval", kind::Duration, "250ms", "20ms", "60s",
            "Time between reads of an engine's load." },
          &s::loadInterval },
        { { "retries", "max_attempts", kind::Integer, "4", "1", "20",
            "Attempts of one request, the first included." },
          &s::maxAttempts },
        { { "retries", "budget", kind::Percent, "20", "0", "100",
            "Retries as a percentage of the requests to a pool over 10 s." },
          &s::retryPercent },
        { { "retries", "minimum", kind::Integer, "3", "0", "1000",
            "Retries always allowed to a pool over 10 s." },
          &s::retryMinimum },
        { { "freshness", "max_view_age", kind::Duration, "5s", "100ms", "60s",
            "Age of the configuration beyond which keyed requests are refused." },
          &s::maxViewAge },
        { { "freshness", "heartbeat_interval", kind::Duration, "1s", "20ms", "30s",
            "Time between heartbeats to the other VMs." },
          &s::heartbeatInterval },
        { { "claims", "window", kind::Duration, "24h", "1min", "8760h",
            "How long a call that must not be repeated is remembered. At most the retention of "
            "the log." },
          &s::claimWindow },
        { { "claims", "deadline", kind::Duration, "5s", "50ms", "60s",
            "Longest wait for a claim in the log before the call is refused as not run." },
          &s::claimDeadline },
    };
}

const std::vector<setting> &settingTable()
{
    static const std::vector<setting> table = [] {
        std::vector<setting> rows = platformSettings();
        for (const setting &row : requestSettings())
            rows.push_back(row);
        return rows;
    }();
    return table;
}

failure badValue(std::string_view text, std::string_view expected)
{
    std::string message = "\"" + std::string(text) + "\" is not " + std::string(expected);
    return failure{ settings_error::BadValue, message, {} };
}

struct unit
{
    std::string_view name;
    double factor;
};

constexpr std::array<unit, 4> DurationUnits{
    { { "ms", 1e6 }, { "s", 1e9 }, { "min", 60e9 }, { "h", 3600e9 } }
};

constexpr std::array<unit, 4> SizeUnits{
    { { "B", 1.0 }, { "KiB", 1024.0 }, { "MiB", 1048576.0 }, { "GiB", 1073741824.0 } }
};

/// Largest quantity in its base unit; leaves room for sums of durations.
constexpr double MaxQuantity = 4e18;

/// Parses "NUMBER UNIT" into the unit's base; nothing when either part is wrong.
std::optional<std::int64_t> parseQuantity(std::string_view text, const std::array<unit, 4> &units)
{
    std::int64_t number = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (code != std::errc() || number < 0)
        return std::nullopt;

    std::string_view name = text.substr(static_cast<std::size_t>(end - text.data()));
    name.remove_prefix(std::min(name.find_first_not_of(' '), name.size()));
    for (const unit &candidate : units) {
        if (candidate.name != name)
            continue;
        const double scaled = static_cast<double>(number) * candidate.factor;
        if (scaled > MaxQuantity)
            return std::nullopt;
        return static_cast<std::int64_t>(scaled);
    }
    return std::nullopt;
}

result<std::int64_t, settings_error> parseInteger(std::string_view text)
{
    std::int64_t number = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (code != std::errc() || end != text.data() + text.size())
        return badValue(text, "a whole number");
    return number;
}

/// Parses a value of a kind with an order into a number that bounds can be compared with.
result<std::int64_t, settings_error> parseOrdered(setting_kind valueKind, std::string_view text)
{
    if (valueKind == kind::Size)
        return parseSize(text);
    if (valueKind != kind::Duration)
        return parseInteger(text);

    result<duration, settings_error> parsed = parseDuration(text);
    if (!isOk(parsed))
        return errorOf(parsed);
    return static_cast<std::int64_t>(valueOf(parsed).count());
}

bool isAddress(std::string_view text, std::string_view scheme)
{
    if (text.substr(0, scheme.size()) != scheme)
        return false;
    text.remove_prefix(scheme.size());
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return false;

    const std::string_view host = text.substr(0, colon);
    const std::string_view port = text.substr(colon + 1);
    if (host.find_first_not_of("0123456789abcdefABCDEF.:[]") != std::string_view::npos)
        return false;
    const result<std::int64_t, settings_error> number = parseInteger(port);
    return isOk(number) && valueOf(number) >= 0 && valueOf(number) <= 65535;
}

result<success, settings_error> assignText(const setting &entry, const std::string &text,
                                           std::string daemon_settings::*member,
                                           daemon_settings &settings)
{
    if (entry.row.kind == kind::HttpUrl && !isAddress(text, "http://"))
        return badValue(text, "an address of the form http://IP:PORT");
    if (entry.row.kind == kind::TcpAddress && !isAddress(text, "tcp://"))
        return badValue(text, "an address of the form tcp://IP:PORT");
    settings.*member = text;
    return success{};
}

result<success, settings_error> assignLevel(const std::string &text,
                                            log_level daemon_settings::*member,
                                            daemon_settings &settings)
{
    const std::optional<log_level> level = parseName<log_level>(text);
    if (!level)
        return badValue(text, "one of debug, info, warn, error");
    settings.*member = *level;
    return success{};
}

/// Parses a value with an order and checks its bounds, which are part of the table and valid.
result<std::int64_t, settings_error> parseBounded(const setting_row &row, const std::string &text)
{
    result<std::int64_t, settings_error> parsed = parseOrdered(row.kind, text);
    if (!isOk(parsed))
        return parsed;
    const std::int64_t minimum = std::get<0>(parseOrdered(row.kind, row.minimum));
    const std::int64_t maximum = std::get<0>(parseOrdered(row.kind, row.maximum));
    if (valueOf(parsed) < minimum || valueOf(parsed) > maximum) {
        return failure{ settings_error::OutOfBounds,
                        "\"" + text + "\" is not between " + std::string(row.minimum) + " and "
                                + std::string(row.maximum),
                        {} };
    }
    return parsed;
}

result<success, settings_error> assign(const setting &entry, const std::string &text,
                                       daemon_settings &settings)
{
    if (const auto *member = std::get_if<std::string daemon_settings::*>(&entry.member))
        return assignText(entry, text, *member, settings);
    if (const auto *member = std::get_if<log_level daemon_settings::*>(&entry.member))
        return assignLevel(text, *member, settings);

    const result<std::int64_t, settings_error> parsed = parseBounded(entry.row, text);
    if (!isOk(parsed))
        return errorOf(parsed);
    const std::int64_t number = valueOf(parsed);
    std::visit(
            overloaded{
                    [&](duration daemon_settings::*m) { settings.*m = duration(number); },
                    [&](std::int64_t daemon_settings::*m) { settings.*m = number; },
                    [&](double daemon_settings::*m) { settings.*m = static_cast<double>(number); },
                    [](const auto &) {},
            },
            entry.member);
    return success{};
}

failure withContext(failure error, const std::string &file, std::string_view section,
                    std::string_view key)
{
    error.context = file + " [" + std::string(section) + "] " + std::string(key);
    return error;
}

/// Refuses sections and keys that the table doesn't know.
result<success, settings_error> checkNames(const settings_tree &tree, const std::string &file)
{
    std::set<std::pair<std::string_view, std::string_view>> known;
    std::set<std::string_view> sections;
    for (const setting &entry : settingTable()) {
        known.insert({ entry.row.section, entry.row.key });
        sections.insert(entry.row.section);
    }

    for (const auto &[section, keys] : tree) {
        if (sections.count(section) == 0)
            return failure{ settings_error::UnknownSection,
                            "unknown section or key outside a "
                            "section",
                            file + " [" + section + "]" };
        for (const auto &[key, value] : keys) {
            if (known.count({ section, key }) == 0)
                return withContext({ settings_error::UnknownKey, "unknown key", {} }, file, section,
                                   key);
        }
    }
    return success{};
}

result<success, settings_error> fill(const settings_tree &tree, const std::string &file,
                                     daemon_settings &settings)
{
    for (const setting &entry : settingTable()) {
        const std::string path = std::string(entry.row.section) + "." + std::string(entry.row.key);
        const std::string text = tree.get<std::string>(path, std::string(entry.row.defaultText));
        if (text.empty())
            return withContext({ settings_error::MissingValue, "no value given", {} }, file,
                               entry.row.section, entry.row.key);
        const result<success, settings_error> assigned = assign(entry, text, settings);
        if (!isOk(assigned))
            return withContext(errorOf(assigned), file, entry.row.section, entry.row.key);
    }
    return success{};
}

/// Rules that involve two keys.
result<success, settings_error> checkTogether(const daemon_settings &settings,
                                              const std::string &file)
{
    if (settings.claimWindow > settings.logRetention)
        return withContext({ settings_error::OutOfBounds,
                             "the claim window is longer than the retention of the log",
                             {} },
                           file, "claims", "window");
    if (settings.heartbeatInterval * 2 > settings.maxViewAge)
        return withContext({ settings_error::OutOfBounds,
                             "max_view_age is shorter than two heartbeat intervals",
                             {} },
                           file, "freshness", "max_view_age");
    if (settings.logPollWait * 2 > settings.maxViewAge)
        return withContext(
                { settings_error::OutOfBounds, "max_view_age is shorter than two poll waits", {} },
                file, "log", "poll_wait");
    return success{};
}

std::string_view unitName(setting_kind valueKind)
{
    switch (valueKind) {
    case kind::Duration:
        return "duration (ms, s, min, h)";
    case kind::Size:
        return "size (B, KiB, MiB, GiB)";
    case kind::Integer:
        return "count";
    case kind::Percent:
        return "percent";
    case kind::HttpUrl:
        return "http://IP:PORT";
    case kind::TcpAddress:
        return "tcp://IP:PORT";
    case kind::Level:
        return "level";
    case kind::Text:
        return "text";
    }
    return "";
}

} // namespace

result<duration, settings_error> parseDuration(std::string_view text)
{
    const std::optional<std::int64_t> count = parseQuantity(text, DurationUnits);
    if (!count)
        return badValue(text, "a duration with a unit (ms, s, min, h)");
    return duration(*count);
}

result<std::int64_t, settings_error> parseSize(std::string_view text)
{
    const std::optional<std::int64_t> count = parseQuantity(text, SizeUnits);
    if (!count)
        return badValue(text, "a size with a unit (B, KiB, MiB, GiB)");
    return *count;
}

result<daemon_settings, settings_error> parseSettings(const std::string &text,
                                                      const std::string &fileName)
{
    settings_tree tree;
    std::istringstream stream(text);
    try {
        boost::property_tree::read_ini(stream, tree);
    } catch (const boost::property_tree::ini_parser_error &error) {
        return failure{ settings_error::Malformed, error.message(),
                        fileName + " line " + std::to_string(error.line()) };
    }

    const result<success, settings_error> names = checkNames(tree, fileName);
    if (!isOk(names))
        return errorOf(names);
    daemon_settings settings;
    const result<success, settings_error> filled = fill(tree, fileName, settings);
    if (!isOk(filled))
        return errorOf(filled);
    const result<success, settings_error> together = checkTogether(settings, fileName);
    if (!isOk(together))
        return errorOf(together);
    return settings;
}

result<daemon_settings, settings_error> readSettings(const std::string &fileName)
{
    std::ifstream file(fileName);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf()))
        return failure{ settings_error::CannotRead, "the file can't be read", fileName };
    return parseSettings(text.str(), fileName);
}

std::vector<setting_row> settingRows()
{
    std::vector<setting_row> rows;
    for (const setting &entry : settingTable())
        rows.push_back(entry.row);
    return rows;
}

std::string formatSettingRows()
{
    std::ostringstream out;
    out << "| section | key | unit | default | bounds | meaning |\n";
    out << "|---|---|---|---|---|---|\n";
    for (const setting_row &row : settingRows()) {
        out << "| " << row.section << " | `" << row.key << "` | " << unitName(row.kind) << " | "
            << (row.defaultText.empty() ? "required" : row.defaultText) << " | ";
        if (!row.minimum.empty())
            out << row.minimum << " to " << row.maximum;
        out << " | " << row.description << " |\n";
    }
    return out.str();
}

} // namespace burdockhold
