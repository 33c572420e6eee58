#ifndef BURDOCKHOLD_REVIEW_DEPLOYMENTS_H
#define BURDOCKHOLD_REVIEW_DEPLOYMENTS_H

// The configuration of a small deployment with one plain service, as the operator writes it.

#include "review/standins/standins.h"

#include <string>
#include <vector>

namespace review {

inline constexpr char Service[] = "order-desk";
inline constexpr char Host[] = "jepu9.example";
inline constexpr char UnsafePath[] = "/fiti832/ti23/2f";
inline constexpr char SafePath[] = "/filo73/de11/2f";
inline constexpr char Key[] = "wu3fexd9dnn2ctnfzs98";
inline constexpr std::size_t MaxBodyBytes = 4194304;

inline json route(const std::string &prefix, const std::string &kind)
{
    return {
        { "name", "r-" + kind }, { "host", Host },       { "path_prefix", prefix },
        { "kind", kind },        { "timeout_ms", 4000 }, { "target_latency_ms", 300 },
        { "priority", 2 },       { "service", Service }, { "max_attempts", kind == "safe" ? 2 : 1 },
        { "anonymous", false },  { "sticky", false },    { "resumable", false }
    };
}

inline json tenant()
{
    return { { "name", "sese880" },      { "api_keys", json::array({ Key }) },
             { "priority", 1 },          { "unit", "token_stream" },
             { "uncached_tokens", 200 }, { "isolated", false },
             { "rate_per_s", 0 },        { "burst", 0 } };
}

inline json service()
{
    return { { "name", Service },
             { "health_path", "/healthz" },
             { "max_connections", 100 },
             { "protocol", "h1" },
             { "tls", false } };
}

inline json configuration(int version, const json &tenants)
{
    return { { "version", version },
             { "routes",
               json::array({ route("/fiti832/ti23/", "unsafe"), route("/filo73/de11/", "safe") }) },
             { "services", json::array({ service() }) },
             { "limits",
               { { "max_header_bytes", 16384 },
                 { "max_body_bytes", MaxBodyBytes },
                 { "header_timeout_ms", 3000 },
                 { "idle_timeout_ms", 15000 } } },
             { "tenants", tenants } };
}

/// Returns a request's head; the framing is its last field and the empty line.
inline std::string requestHead(const std::string &path, const std::string &id,
                               const std::string &framing, const std::string &key = Key)
{
    return "POST " + path + " HTTP/1.1\r\nHost: " + Host + "\r\nX-Burdockhold-Attempt-Id: " + id
           + "\r\nX-Burdockhold-Deadline-Ms: 4000\r\nX-Burdockhold-Credential: " + key + "\r\n"
           + framing + "\r\n\r\n";
}

inline std::string sizedRequest(const std::string &path, const std::string &id,
                                const std::string &body, const std::string &key = Key)
{
    return requestHead(path, id, "Content-Length: " + std::to_string(body.size()), key) + body;
}

/// The log with a configuration and four engines.
struct small_site
{
    explicit small_site(std::chrono::milliseconds work)
    {
        for (int number = 1; number <= 4; ++number) {
            engines.push_back(std::make_unique<plain_engine>("i-" + std::to_string(number), work));
            log.put("keyed.servers", engines.back()->id(),
                    engines.back()->entry(Service, "mayaro-a", 6));
        }
        log.put("keyed.op", "config", configuration(1, json::array({ tenant() })).dump());
    }

    std::vector<engine_call> calls() const
    {
        std::vector<engine_call> all;
        for (const auto &engine : engines) {
            const auto some = engine->calls();
            all.insert(all.end(), some.begin(), some.end());
        }
        return all;
    }

    log_store log;
    std::vector<std::unique_ptr<plain_engine>> engines;
};

} // namespace review

#endif
