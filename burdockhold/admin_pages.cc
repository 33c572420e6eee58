#include "burdockhold/admin_pages.h"

#include <nlohmann/json.hpp>

namespace burdockhold {

namespace {

using json = nlohmann::ordered_json;

/// Sums of a counter by account, over routes. A detail limits the sum to series that carry it.
std::map<std::string, std::uint64_t> sumByAccount(const metric_snapshot &measures, counter which,
                                                  std::string_view detail = {})
{
    std::map<std::string, std::uint64_t> sums;
    const auto family = measures.counters.find(which);
    if (family == measures.counters.end())
        return sums;
    for (const auto &series : family->second) {
        if (detail.empty() || series.first.detail == detail)
            sums[series.first.account] += series.second;
    }
    return sums;
}

std::uint64_t valueOr0(const std::map<std::string, std::uint64_t> &sums, const std::string &name)
{
    const auto found = sums.find(name);
    return found == sums.end() ? 0 : found->second;
}

std::string dumpPage(const json &page)
{
    return page.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

} // namespace

std::string formatAccountsPage(const catalogue &config, const metric_snapshot &measures,
                               double uptimeSeconds)
{
    const auto tokens = sumByAccount(measures, counter::ServedTokens);
    const auto requests = sumByAccount(measures, counter::ServedRequests);
    const auto refused = sumByAccount(measures, counter::Refusals);
    const auto overRate = sumByAccount(measures, counter::Refusals,
                                       nameOf(refusal_reason::OverRate));
    json accounts = json::array();
    for (const auto &item : config.accounts) {
        const account_entry &account = item.second.value;
        json use;
        use["served_tokens"] = valueOr0(tokens, item.first);
        use["served_requests"] = valueOr0(requests, item.first);
        use["refused"] = valueOr0(refused, item.first);
        use["refused_over_rate"] = valueOr0(overRate, item.first);
        json entry;
        entry["name"] = item.first;
        entry["owner"] = account.owner;
        entry["class"] = account.serviceClass;
        entry["tokens_per_second"] = account.tokensPerSecond;
        entry["burst_tokens"] = account.burstTokens;
        entry["version"] = item.second.version;
        entry["this_vm"] = std::move(use);
        accounts.push_back(std::move(entry));
    }
    json page;
    page["config_offset"] = config.offset;
    page["uptime_seconds"] = uptimeSeconds;
    page["accounts"] = std::move(accounts);
    return dumpPage(page);
}

std::string formatEndpointsPage(const catalogue &config)
{
    std::map<std::string, json> versions;
    for (const auto &item : config.models)
        versions[item.second.value.pool][item.first] = item.second.value.version;
    json endpoints = json::array();
    for (const auto &item : config.endpoints) {
        const endpoint_entry &endpoint = item.second.value;
        json entry;
        entry["name"] = item.first;
        entry["owner"] = endpoint.owner;
        entry["url"] = endpoint.url;
        entry["pool"] = endpoint.pool;
        entry["data_centre"] = endpoint.dataCentre;
        entry["role"] = nameOf(endpoint.role);
        entry["state"] = nameOf(endpoint.state);
        entry["weight"] = endpoint.weight;
        entry["version"] = item.second.version;
        const auto wanted = versions.find(endpoint.pool);
        entry["wanted_weights"] = wanted == versions.end() ? json::object() : wanted->second;
        endpoints.push_back(std::move(entry));
    }
    json page;
    page["config_offset"] = config.offset;
    page["endpoints"] = std::move(endpoints);
    return dumpPage(page);
}

} // namespace burdockhold
