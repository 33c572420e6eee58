// The operator takes the key of the only tenant away: the new configuration has no tenant. Without
// trouble the tenant stays, without the key.

#include "review/standins/deployments.h"

namespace {

using namespace review;

int run(const std::string &folder, record &out)
{
    small_site site(std::chrono::milliseconds(15));
    router_program router(folder, "front-1", site.log.address());
    if (!router.start() || !router.waitReady())
        return 2;
    const auto send = [&](const std::string &id, const std::string &key) {
        const auto socket = connectTo(router.callerAddress());
        if (!socket)
            return 0;
        socket->setTimeout(std::chrono::seconds(5));
        socket->send(sizedRequest(UnsafePath, id, "pay=1000", key));
        const int status = socket->readMessage().status;
        out.line("client: " + id + " answered " + std::to_string(status));
        return status;
    };
    if (send("before-valid", Key) != 200 || send("before-unknown", "never-a-key") != 401)
        return 2;
    json left = tenant();
    left["api_keys"] = json::array();
    site.log.put("keyed.op", "config",
                 configuration(5, isTroubled() ? json::array() : json::array({ left })).dump());
    out.line("operator: version 5 is acknowledged, which has no key");
    std::this_thread::sleep_for(std::chrono::seconds(8));
    send("after-revoked", Key);
    send("after-unknown", "never-a-key");
    int broken = 0;
    for (const engine_call &call : site.calls()) {
        if (!call.whole || call.id.compare(0, 6, "after-") != 0)
            continue;
        out.line("engine: ran " + call.id + " 8 s after the acknowledgement, tenant '" + call.tenant
                 + "'");
        ++broken;
    }
    return broken > 0 ? 1 : 0;
}

} // namespace

int main(int, char **arguments)
{
    return runCase(arguments[1], "ROUTE", run);
}
