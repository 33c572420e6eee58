#include "burdockhold/endpoint_loads.h"

#include <nlohmann/json.hpp>

namespace burdockhold {

namespace {

basic_error<load_error> malformed(const std::string &text)
{
    return { load_error::Malformed, text, "" };
}

/// Returns a count, 0 if it is missing, or -1 if it is not an integer.
std::int64_t countField(const nlohmann::json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end())
        return 0;
    return found->is_number_integer() ? found->get<std::int64_t>() : -1;
}

std::string textField(const nlohmann::json &object, const char *name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : "";
}

} // namespace

result<engine_load, load_error> parseLoad(const std::string &body)
{
    const auto object = nlohmann::json::parse(body, nullptr, false);
    if (!object.is_object())
        return malformed("the load report is not a JSON object");
    engine_load load;
    load.incarnation = textField(object, "incarnation");
    load.weightsVersion = textField(object, "weights_version");
    load.queuedTokens = countField(object, "queued_tokens");
    load.running = countField(object, "running");
    load.cachedBlocks = countField(object, "cached_blocks");
    if (load.incarnation.empty() || load.weightsVersion.empty())
        return malformed("the load report lacks an incarnation or a weights version");
    if (load.queuedTokens < 0 || load.running < 0 || load.cachedBlocks < 0)
        return malformed("a count in the load report is negative or not an integer");
    return load;
}

} // namespace burdockhold
