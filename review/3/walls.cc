// The operator isolates a tenant whose prompts have been cached. Without trouble the same change of
// the configuration leaves the tenant as it is.

#include "review/standins/deployments.h"

#include <set>
#include <sstream>
#include <tuple>

namespace {

using namespace review;

constexpr char Model[] = "daka510000";
constexpr char Pool[] = "crisp-llm";
constexpr char Path[] = "/lepu270/2f";
constexpr char SharedPart[] = "5c1e07a2";

/// A model engine with one slot after the other. It caches parts under their salt and model, and
/// notes which tenant's request made each.
class model_engine
{
public:
    explicit model_engine(record &out)
        : m_out(out)
        , m_server([this](stream_socket &socket) { serve(socket); })
    {
    }

    std::string entry() const
    {
        return json{
            { "service", Pool },
            { "address", m_server.address() },
            { "zone", "mayaro-a" },
            { "version", "v1" },
            { "slots", 128 },
            { "state", "ready" },
            { "cold_remaining_ms", 0 },
            { "stage", "colocated" },
            { "models", json::array({ { { "name", Model }, { "version", 1 } } }) },
            { "seq", 1 },
            { "born", 1000 }
        }.dump();
    }

    /// Uses of a part that another tenant's request made: pairs of maker and user.
    std::vector<std::pair<std::string, std::string>> foreignUses()
    {
        const std::lock_guard lock(m_mutex);
        return m_foreignUses;
    }

private:
    void serve(stream_socket &socket)
    {
        while (true) {
            const http_message request = socket.readMessage();
            if (!request.complete)
                return;
            if (!socket.send(request.method == "POST" ? run(request) : report()))
                return;
        }
    }

    static std::string report()
    {
        const std::string body = json{
            { "stage", "colocated" },
            { "models", json::array({ { { "name", Model }, { "version", 1 } } }) },
            { "busy", false },
            { "seq", 0 },
            { "queued", 0 },
            { "active", 0 },
            { "kv_used", 0 },
            { "kv_total", 90000 },
            { "handles", 0 }
        }.dump();
        return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
               + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    std::string run(const http_message &request)
    {
        const std::string tenant = request.field("X-Burdockhold-Tenant");
        const std::string id = request.field("X-Burdockhold-Attempt-Id");
        lookUpParts(request, tenant, id);
        const std::string events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
        return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Burdockhold-Attempt-Id: "
               + id + "\r\nX-Burdockhold-Server-Stamp: s." + id
               + "\r\nX-Burdockhold-Weight-Versions: 1\r\nContent-Length: "
               + std::to_string(events.size()) + "\r\n\r\n" + events;
    }

    void lookUpParts(const http_message &request, const std::string &tenant, const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        const std::string salt = request.field("X-Burdockhold-Cache-Salt");
        std::istringstream parts(request.field("X-Burdockhold-Prompt-Prefix"));
        bool isCached = true; // A part is found only if all parts before it are.
        for (std::string part; std::getline(parts, part, ',');) {
            const std::string name = part.substr(0, part.find(':'));
            const auto [entry, isNew] = m_makers.try_emplace({ salt, Model, name }, tenant);
            isCached = isCached && !isNew;
            const std::string &maker = entry->second;
            m_out.line("engine: " + id + " of " + tenant + ", salt " + salt + ", part " + name
                       + (isCached ? ": in the cache, made by " + maker : ": read"));
            if (isCached && maker != tenant)
                m_foreignUses.emplace_back(maker, tenant);
        }
    }

    record &m_out;
    std::mutex m_mutex;
    std::map<std::tuple<std::string, std::string, std::string>, std::string> m_makers;
    std::vector<std::pair<std::string, std::string>> m_foreignUses;
    socket_server m_server;
};

json modelTenant(const std::string &name, const std::string &key, bool isolated)
{
    json result = tenant();
    result["name"] = name;
    result["api_keys"] = json::array({ key });
    result["isolated"] = isolated;
    return result;
}

json modelConfiguration(int version, bool isolated)
{
    json stream = route("/lepu270/", "stream");
    stream["service"] = Pool;
    stream["sticky"] = true;
    stream["gap_target_ms"] = 300;
    json pool = service();
    pool["name"] = Pool;
    pool["engine"] = { { "slots", 128 },
                       { "kv_capacity_tokens", 95573 },
                       { "kv_token_bytes", 262144 },
                       { "link_mbps", 740000.0 },
                       { "models", json::array({ { { "name", Model } } }) } };
    json result = configuration(version, json::array({ modelTenant("sese880", "key-a", isolated),
                                                       modelTenant("kobo121", "key-b", false) }));
    result["routes"] = json::array({ stream });
    result["services"] = json::array({ pool });
    return result;
}

bool send(const router_program &router, const std::string &id, const std::string &key)
{
    const auto socket = connectTo(router.callerAddress());
    if (!socket)
        return false;
    socket->setTimeout(std::chrono::seconds(5));
    const std::string fields = std::string("X-Burdockhold-Model: ") + Model
                               + "\r\nX-Burdockhold-Token-Count: 810,2"
                                 "\r\nX-Burdockhold-Prompt-Prefix: "
                               + SharedPart + ":800," + id + ":10\r\nContent-Length: 6";
    socket->send(requestHead(Path, id, fields, key) + "prompt");
    return socket->readMessage().status == 200;
}

int run(const std::string &folder, record &out)
{
    model_engine engine(out);
    log_store log;
    log.put("keyed.servers", "i-1", engine.entry());
    log.put("keyed.op", "config", modelConfiguration(1, false).dump());
    router_program router(folder, "front-1", log.address());
    if (!router.start() || !router.waitReady())
        return 2;
    if (!send(router, "aa01", "key-a"))
        return 2;
    log.put("keyed.op", "config", modelConfiguration(5, isTroubled()).dump());
    out.line(std::string("operator: version 5 is acknowledged, sese880 is ")
             + (isTroubled() ? "isolated" : "not isolated"));
    std::this_thread::sleep_for(std::chrono::seconds(5));
    if (!send(router, "bb01", "key-b") || !send(router, "aa02", "key-a")
        || !send(router, "bb02", "key-b"))
        return 2;
    int broken = 0;
    for (const auto &[maker, user] : engine.foreignUses()) {
        const bool isWalled = isTroubled() && (maker == "sese880" || user == "sese880");
        out.line("a request of " + user + " used what a request of " + maker + " made"
                 + (isWalled ? "; sese880 is isolated" : ""));
        broken += isWalled ? 1 : 0;
    }
    return broken > 0 ? 1 : 0;
}

} // namespace

int main(int, char **arguments)
{
    return runCase(arguments[1], "WALL", run);
}
