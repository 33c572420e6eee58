// A client sends a request whose Transfer-Encoding doesn't end in "chunked", so that the length of
// its body is unknown, with another request in what follows its head. Without trouble the same
// bytes are the body of a request in chunks.

#include "review/standins/deployments.h"

#include <algorithm>
#include <sstream>

namespace {

using namespace review;

std::string chunked(const std::string &body)
{
    std::ostringstream size;
    size << std::hex << body.size();
    return size.str() + "\r\n" + body + "\r\n0\r\n\r\n";
}

int run(const std::string &folder, record &out)
{
    small_site site(std::chrono::milliseconds(15));
    router_program router(folder, "front-1", site.log.address());
    if (!router.start() || !router.waitReady())
        return 2;
    const std::vector<std::string> codings{ "gzip", "identity", "chunked, identity", "xchunked" };
    int broken = 0;
    int number = 0;
    for (const std::string &coding : codings) {
        const std::string outer = "outer-" + std::to_string(++number);
        const std::string inner = "smuggled-" + std::to_string(number);
        const std::string body = sizedRequest(UnsafePath, inner, "pay=1000");
        const auto socket = connectTo(router.callerAddress());
        if (!socket)
            return 2;
        socket->setTimeout(std::chrono::milliseconds(1500));
        const std::string sentCoding = isTroubled() ? coding : "chunked";
        socket->send(requestHead(SafePath, outer, "Transfer-Encoding: " + sentCoding)
                     + (isTroubled() ? body : chunked(body)));
        const http_message answer = socket->readMessage();
        const http_message second = socket->readMessage();
        out.line("client: sent " + outer + " with Transfer-Encoding: " + sentCoding
                 + ", answers: " + std::to_string(answer.status) + ", "
                 + (second.status == 0 ? "none" : std::to_string(second.status)));
        for (const engine_call &call : site.calls()) {
            if (!call.whole || (call.id != outer && call.id != inner))
                continue;
            const bool sound = call.id == outer && call.body == body;
            out.line("engine: ran " + call.id + " with a body of " + std::to_string(call.bodyBytes)
                     + " bytes"
                     + (call.id == inner ? ", which no client sent as a request"
                        : sound          ? ""
                                         : ", not the body that was sent"));
            broken += sound ? 0 : 1;
        }
    }
    out.line("runs that the rule forbids: " + std::to_string(broken));
    return broken > 0 ? 1 : 0;
}

} // namespace

int main(int, char **arguments)
{
    return runCase(arguments[1], "UNASKED", run);
}
