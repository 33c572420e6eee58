#include "burdockhold/forwarding.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <string_view>

namespace burdockhold {

namespace {

constexpr std::array<std::string_view, 16> DroppedHeaders{
    "authorization", "proxy-authorization", "connection",   "keep-alive",   "te",
    "trailer",       "transfer-encoding",   "upgrade",      "host",         "content-length",
    "expect",        "accept-encoding",     "x-request-id", "x-cache-salt", "x-priority",
    "x-resume-from",
};

bool pathMatches(const std::string &pattern, const std::string &path)
{
    if (pattern.size() >= 2 && pattern.compare(pattern.size() - 2, 2, "/*") == 0)
        return path.compare(0, pattern.size() - 1, pattern, 0, pattern.size() - 1) == 0;
    return pattern == path;
}

} // namespace

const route_entry *findRoute(const catalogue &config, const std::string &method,
                             const std::string &path)
{
    const route_entry *best = nullptr;
    for (const auto &item : config.routes) {
        const route_entry &route = item.second.value;
        if (route.method != method || !pathMatches(route.path, path))
            continue;
        if (best == nullptr || route.path.size() > best->path.size())
            best = &route;
    }
    return best;
}

bool isForwardedHeader(const std::string &name)
{
    std::string lower = name;
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return std::find(DroppedHeaders.begin(), DroppedHeaders.end(), lower) == DroppedHeaders.end();
}

bool isEndpointFault(int status, bool completion)
{
    if (completion)
        return status >= 500 || status == 408 || status == 429;
    return status == 502 || status == 503 || status == 504;
}

} // namespace burdockhold
