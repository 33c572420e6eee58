#include "testing/support_catalogue.h"

namespace burdockhold::testing {

namespace {

nlohmann::json endpointValue(const std::string &url, const std::string &pool,
                             const std::string &role)
{
    return { { "owner", "test" },
             { "url", url },
             { "pool", pool },
             { "data_centre", "dc1" },
             { "role", role } };
}

nlohmann::json accountValue()
{
    return { { "owner", "test" },
             { "class", "standard" },
             { "tokens_per_second", 1000000 },
             { "burst_tokens", 2000000 } };
}

nlohmann::json routeValue(const std::string &method, const std::string &path, bool open,
                          bool repeatable)
{
    return { { "owner", "test" },    { "method", method }, { "path", path },
             { "pool", "services" }, { "open", open },     { "repeatable", repeatable } };
}

} // namespace

nlohmann::json newEntryChange(const std::string &kind, const std::string &name,
                              const nlohmann::json &value)
{
    return { { "entry", kind }, { "name", name }, { "base", 0 }, { "value", value } };
}

nlohmann::json basicCatalogue(const std::vector<std::string> &engineUrls,
                              const std::vector<std::string> &serviceUrls)
{
    nlohmann::json changes = nlohmann::json::array();
    changes.push_back(
            newEntryChange("class", "standard", { { "owner", "test" }, { "priority", 1 } }));
    changes.push_back(newEntryChange("account", "a1", accountValue()));
    changes.push_back(newEntryChange("account", "a2", accountValue()));
    for (std::size_t i = 0; i < engineUrls.size(); ++i)
        changes.push_back(newEntryChange("endpoint", "engine-" + std::to_string(i + 1),
                                         endpointValue(engineUrls[i], "engines", "engine")));
    for (std::size_t i = 0; i < serviceUrls.size(); ++i)
        changes.push_back(newEntryChange("endpoint", "service-" + std::to_string(i + 1),
                                         endpointValue(serviceUrls[i], "services", "service")));
    if (!engineUrls.empty())
        changes.push_back(newEntryChange(
                "model", "base",
                { { "owner", "test" }, { "pool", "engines" }, { "version", "v1" } }));
    if (!serviceUrls.empty()) {
        changes.push_back(
                newEntryChange("route", "stock", routeValue("GET", "/stock", true, true)));
        changes.push_back(newEntryChange("route", "pay", routeValue("POST", "/pay", false, false)));
    }
    return changes;
}

std::string streamingRequestBody(const std::string &prompt, int maxTokens)
{
    const nlohmann::json body{
        { "model", "base" }, { "prompt", prompt }, { "max_tokens", maxTokens }, { "stream", true }
    };
    return body.dump();
}

} // namespace burdockhold::testing
