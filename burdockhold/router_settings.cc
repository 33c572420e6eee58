#include "burdockhold/router_settings.h"

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <nlohmann/json.hpp>

#include <arpa/inet.h>

#include <algorithm>
#include <optional>
#include <sstream>
#include <type_traits>
#include <utility>
#include <variant>

namespace burdockhold {

namespace {

using boost::property_tree::ptree;
using settings_error = basic_error<router_settings_error>;

/// Reads keys one by one and keeps the first error; later reads do nothing.
struct settings_reader
{
    const ptree &tree;
    std::optional<settings_error> error;

    template <typename Value>
    void read(const char *key, Value &value)
    {
        if (error)
            return;
        const auto text = tree.get_optional<std::string>(key);
        if (!text || text->empty()) {
            error = settings_error{ router_settings_error::Missing, "the key has no value", key };
            return;
        }
        const auto parsed = tree.get_optional<Value>(key);
        if (!parsed) {
            error = settings_error{ router_settings_error::Invalid,
                                    "cannot parse the value " + *text, key };
            return;
        }
        value = *parsed;
    }

    /// Keeps the default when the key is missing, as in settings from an older template.
    template <typename T>
    void readOptional(const char *key, T &value)
    {
        if (tree.get_child_optional(key))
            read(key, value);
    }

    /// Like read(), for a value that must be from `least` to `most`. Keeps the default when the key
    /// is missing or, as where the platform has no such bound, empty.
    void readOptionalBetween(const char *key, double least, double most, double &value)
    {
        const auto text = tree.get_optional<std::string>(key);
        if (!text || text->empty())
            return;
        double parsed = value;
        read(key, parsed);
        if (!error && !(parsed >= least && parsed <= most))
            error = settings_error{ router_settings_error::Invalid, "out of bounds: " + *text,
                                    key };
        if (!error)
            value = parsed;
    }

    /// Returns the value, or an empty text if there is none. A placeholder that the platform has
    /// not filled in, since it does not know the field, is none.
    std::string filledIn(const char *key) const
    {
        const std::string text = tree.get<std::string>(key, "");
        return text.compare(0, 2, "{{") == 0 ? std::string() : text;
    }

    /// Like readOptionalBetween(), for a value without a default.
    void readOptionalBetween(const char *key, double least, double most,
                             std::optional<double> &value)
    {
        if (filledIn(key).empty())
            return;
        double parsed = least;
        readOptionalBetween(key, least, most, parsed);
        value = parsed;
    }

    /// Reads an IPv4 address; a missing or empty value is an empty one.
    void readIp(const char *key, std::string &value)
    {
        value = filledIn(key);
        in_addr address{};
        if (!error && !value.empty() && ::inet_pton(AF_INET, value.c_str(), &address) != 1)
            error = settings_error{ router_settings_error::Invalid, "no IPv4 address: " + value,
                                    key };
    }

    /// Reads a JSON object of texts; a missing or empty value is an empty one.
    void readTexts(const char *key, std::map<std::string, std::string, std::less<>> &values)
    {
        const std::string text = filledIn(key);
        if (error || text.empty())
            return;
        const auto object = nlohmann::json::parse(text, nullptr, false);
        const bool isOfTexts = object.is_object()
                               && std::all_of(object.begin(), object.end(),
                                              [](const auto &value) { return value.is_string(); });
        if (!isOfTexts) {
            error = settings_error{ router_settings_error::Invalid, "not a JSON object of texts",
                                    key };
            return;
        }
        for (const auto &[name, value] : object.items())
            values[name] = value.get<std::string>();
    }

    /// Reads the mechanisms to disable; a missing or empty value disables none.
    void readDisabled(const char *key, mechanism_set &value)
    {
        if (error)
            return;
        const auto parsed = parseDisabledMechanisms(tree.get<std::string>(key, ""));
        if (isOk(parsed))
            value = valueOf(parsed);
        else
            error = settings_error{ router_settings_error::Invalid, errorOf(parsed).text, key };
    }

    void readMs(const char *key, duration &value)
    {
        std::int64_t ms = 0;
        read(key, ms);
        if (!error && ms <= 0)
            error = settings_error{ router_settings_error::Invalid, "must be above 0", key };
        value = std::chrono::milliseconds(ms);
    }
};

} // namespace

result<router_settings, router_settings_error> parseRouterSettings(std::string_view text)
{
    ptree tree;
    try {
        std::istringstream stream{ std::string(text) };
        boost::property_tree::read_ini(stream, tree);
    } catch (const boost::property_tree::ini_parser_error &error) {
        return settings_error{ router_settings_error::NotReadable, error.message(),
                               "line " + std::to_string(error.line()) };
    }
    router_settings settings;
    settings_reader reader{ tree, {} };
    reader.read("vm.name", settings.vmName);
    reader.read("vm.data_centre", settings.dataCentre);
    reader.read("vm.ip", settings.ip);
    reader.readIp("vm.endpoint_source_ip", settings.endpointSourceIp);
    reader.read("listen.callers", settings.callerAddress);
    reader.read("listen.ready", settings.readyAddress);
    reader.read("listen.first_peer_port", settings.firstPeerPort);
    reader.read("log.address", settings.logAddress);
    reader.read("log.partitions", settings.logPartitions);
    reader.readMs("bounds.leaving_ms", settings.leavingBound);
    reader.readMs("bounds.config_ms", settings.configBound);
    reader.readMs("bounds.revocation_ms", settings.revocationBound);
    reader.readMs("bounds.weights_ms", settings.weightsBound);
    std::string enginesCheckFences;
    reader.read("bounds.engines_check_fences", enginesCheckFences);
    settings.enginesCheckFencingTokens = enginesCheckFences == "true";
    reader.readMs("bounds.lease_ms", settings.leaseTime);
    double graceSeconds = 0.0;
    reader.read("bounds.shutdown_grace_s", graceSeconds);
    settings.shutdownGrace = fromSeconds(graceSeconds);
    reader.read("repeats.ratio", settings.retryRatio);
    reader.read("repeats.slack", settings.retrySlack);
    reader.read("accounts.tolerance", settings.limitTolerance);
    reader.read("accounts.tolerance_tokens", settings.limitToleranceTokens);
    reader.readOptionalBetween("rollouts.exposure_share", 0.0, 1.0, settings.exposureShare);
    reader.readOptionalBetween("rollouts.exposure_slack", 0.0, 1e9, settings.exposureSlack);
    double rollbackMs = 1000.0 * toSeconds(settings.rollbackBound);
    reader.readOptionalBetween("rollouts.rollback_ms", 1.0, 1e9, rollbackMs);
    settings.rollbackBound = fromSeconds(rollbackMs / 1000.0);
    reader.readOptionalBetween("bounds.cold_overshoot", 0.0, 1e6, settings.coldOvershoot);
    reader.readOptionalBetween("bounds.cold_slack", 0.0, 1e6, settings.coldSlack);
    std::optional<double> evacuateMs;
    reader.readOptionalBetween("bounds.evacuate_ms", 1.0, 1e9, evacuateMs);
    if (evacuateMs)
        settings.evacuationBound = fromSeconds(*evacuateMs / 1000.0);
    reader.readTexts("regions.data_centres", settings.regions);
    double memoryMb = 0.0;
    reader.read("limits.memory_mb", memoryMb);
    settings.memoryBytes = static_cast<std::size_t>(memoryMb * 1024 * 1024);
    reader.read("limits.descriptors", settings.descriptors);
    reader.readOptional("limits.processor_share", settings.processorShare);
    reader.readOptional("limits.link_mbps", settings.linkMegabits);
    reader.readDisabled("mechanisms.disabled", settings.mechanisms);
    if (reader.error)
        return *reader.error;
    return settings;
}

std::uint32_t router_settings::capacity() const
{
    constexpr double MaxCapacity = 1e6; // Also bounds implausible values in the settings.
    const double scarcer = std::min(1000.0 * processorShare, linkMegabits);
    return static_cast<std::uint32_t>(std::clamp(scarcer, 0.0, MaxCapacity));
}

} // namespace burdockhold
