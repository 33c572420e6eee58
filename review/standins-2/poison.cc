// Case: a request that crashes each engine that begins to run it, after its first event.
// Arguments: path of record.txt, temporary folder. TROUBLE=0: the engines serve the request.
// CRASH=early: they crash before the first event instead.

#include "platform.h"

using namespace review;

namespace {

constexpr int Engines = 9;        // As crisp-llm of mayaro-crisp.
constexpr double DownSeconds = 3; // "the engine is back after some seconds"
constexpr double ContactSeconds = 3;
constexpr std::size_t AllowedRetries = 3;
constexpr char PoisonPath[] = "/reply/dossier";

enum class crash_mode { None, Early, AfterFirstEvent };

struct run_record
{
    std::string id;
    bool isPoison = false;
    double arrivedAt = 0;
    bool crashed = false;
};

struct fleet
{
    store log;
    record_file *record = nullptr;
    crash_mode mode = crash_mode::None;
    std::mutex mutex;
    std::vector<run_record> runs;
    std::map<std::string, double> sentAt; // Poison attempts.
    std::vector<double> crashes;
};

class engine
{
public:
    engine(fleet &all, int index)
        : m_fleet(all)
        , m_index(index)
        , m_server([this](const http_request &request, int descriptor) {
            return serve(request, descriptor);
        })
    {
        enter();
    }

    /// Starts again after a crash, as a new incarnation with a new id.
    void step()
    {
        if (!m_server.isUp() && m_upAt > 0 && secondsNow() >= m_upAt) {
            m_upAt = 0;
            m_fleet.log.remove("keyed.servers", id());
            ++m_incarnation;
            if (m_server.start())
                enter();
        }
    }

private:
    std::string id() const
    {
        return "i-" + std::to_string(m_index) + "-" + std::to_string(m_incarnation);
    }
    void enter()
    {
        static const char *zones[] = { "a", "b", "c" };
        m_fleet.log.put("keyed.servers", id(),
                        "{\"service\":\"llm\",\"address\":\"" + m_server.address()
                                + "\",\"zone\":\"" + zones[m_index % 3]
                                + "\",\"version\":\"v1\",\"slots\":128,\"state\":\"ready\","
                                  "\"cold_remaining_ms\":0,\"stage\":\"colocated\",\"models\":[{"
                                  "\"name\":\"m0\",\"version\":1,\"adapters\":[]}],\"seq\":1,"
                                  "\"born\":"
                                + std::to_string(unixMs()) + "}");
    }
    bool serve(const http_request &request, int descriptor)
    {
        const std::string wanted = request.field("X-Burdockhold-Target-Instance");
        if (!wanted.empty() && wanted != id())
            return sendAll(descriptor,
                           response(421, "", "X-Burdockhold-Instance-Id: " + id() + "\r\n"));
        if (request.target == "/report")
            return sendAll(descriptor,
                           response(200, "{\"stage\":\"colocated\",\"models\":[{\"name\":\"m0\","
                                         "\"version\":1,\"adapters\":[]}],\"busy\":false,\"seq\":0,"
                                         "\"queued\":0,\"active\":0,\"kv_used\":0,"
                                         "\"kv_total\":95573,\"handles\":0}"));
        return run(request, descriptor);
    }
    bool run(const http_request &request, int descriptor)
    {
        const std::string attempt = request.field("X-Burdockhold-Attempt-Id");
        const bool isPoison = request.target == PoisonPath;
        std::size_t place = 0;
        {
            const std::lock_guard lock(m_fleet.mutex);
            place = m_fleet.runs.size();
            m_fleet.runs.push_back({ attempt, isPoison, secondsNow(), false });
        }
        m_fleet.record->line("runs at " + id() + ": " + attempt);
        if (isPoison && m_fleet.mode == crash_mode::Early)
            return crash(place);
        const std::string last = request.field("Last-Event-Id");
        const int first = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
        if (!sendAll(descriptor, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                                 "X-Burdockhold-Attempt-Id: "
                                         + attempt + "\r\nX-Burdockhold-Server-Stamp: s."
                                         + std::to_string(m_index)
                                         + "\r\nX-Burdockhold-Weight-Versions: 1\r\n"
                                           "Transfer-Encoding: chunked\r\n\r\n"))
            return false;
        for (int number = first; number <= 20; ++number) {
            sleepMs(30);
            if (!sendAll(descriptor, chunkOf("id: " + std::to_string(number) + "\ndata: t"
                                             + std::to_string(number) + "\n\n")))
                return false;
            if (isPoison && m_fleet.mode == crash_mode::AfterFirstEvent) {
                sleepMs(10);
                return crash(place);
            }
        }
        return sendAll(descriptor, "0\r\n\r\n");
    }
    bool crash(std::size_t place)
    {
        {
            const std::lock_guard lock(m_fleet.mutex);
            m_fleet.runs[place].crashed = true;
            m_fleet.crashes.push_back(secondsNow());
        }
        m_fleet.record->line("engine " + id() + " crashes");
        m_upAt = secondsNow() + DownSeconds;
        m_server.end();
        return false;
    }

    fleet &m_fleet;
    int m_index;
    std::atomic<int> m_incarnation{ 1 };
    std::atomic<double> m_upAt{ 0 };
    server m_server;
};

std::string requestText(const std::string &path, const std::string &id, const std::string &prefix)
{
    const std::string body = "{\"text\":\"" + path + "\"}";
    return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Burdockhold-Attempt-Id: " + id
           + "\r\nX-Burdockhold-Model: m0\r\nX-Burdockhold-Token-Count: 826,73\r\n"
             "X-Burdockhold-Prompt-Prefix: "
           + prefix
           + "\r\nX-Burdockhold-Deadline-Ms: 15000\r\nX-Burdockhold-Credential: key-1\r\n"
             "Content-Length: "
           + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct counts
{
    std::atomic<int> whole{ 0 };
    std::atomic<int> lost{ 0 };
};

/// One of the tenant's other clients, with about three requests a second.
void runOtherClient(int client, const router_list &routers, record_file &record,
                    const std::atomic<bool> &stopping, counts &others)
{
    for (int number = 0; !stopping; ++number) {
        const std::string id = "ok" + std::to_string(client) + "x" + std::to_string(number);
        const std::string name = "c" + std::to_string(client);
        record.line("sent: " + id);
        const auto answer = exchange(
                routers[static_cast<std::size_t>(client + number) % 3]->callerPort(),
                requestText("/reply/" + name, id, "aa:198," + name + ":628"), 15);
        ++(answer.status == 200 && answer.complete ? others.whole : others.lost);
        record.line("answer to " + id + ": status " + std::to_string(answer.status)
                    + (answer.complete ? ", whole" : ", cut off"));
        sleepMs(300);
    }
}

/// Sends the deadly request each two seconds, at any machine. Returns how often it was served.
int sendPoison(fleet &all, const router_list &routers)
{
    const double end = secondsNow() + 60;
    int served = 0;
    for (int number = 1; secondsNow() < end; ++number) {
        const std::string id = "bad" + std::to_string(number);
        {
            const std::lock_guard lock(all.mutex);
            all.sentAt[id] = secondsNow();
        }
        all.record->line("sent: " + id);
        const auto answer = exchange(routers[static_cast<std::size_t>(number) % 3]->callerPort(),
                                     requestText(PoisonPath, id, "aa:198,dead:628"), 15);
        served += answer.status == 200 && answer.complete ? 1 : 0;
        all.record->line("answer to " + id + ": status " + std::to_string(answer.status)
                         + (answer.complete ? ", whole" : ", cut off") + ", "
                         + std::to_string(answer.body.size()) + " bytes");
        sleepMs(2000);
    }
    return served;
}

/// Returns how many retries, sent over ContactSeconds after the third crash, reached engines.
std::size_t lateRetries(fleet &all)
{
    const std::lock_guard lock(all.mutex);
    std::set<std::string> late;
    for (const run_record &run : all.runs) {
        if (run.isPoison && all.crashes.size() >= 3
            && all.sentAt[run.id] > all.crashes[2] + ContactSeconds)
            late.insert(run.id);
    }
    return late.size();
}

crash_mode chosenMode()
{
    const char *early = std::getenv("CRASH");
    const bool isEarly = early != nullptr && std::string(early) == "early";
    return isCalmRun() ? crash_mode::None
           : isEarly   ? crash_mode::Early
                       : crash_mode::AfterFirstEvent;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 3)
        return 2;
    std::signal(SIGPIPE, SIG_IGN);
    record_file record(argv[1]);
    static fleet all;
    all.record = &record;
    all.mode = chosenMode();
    putDeployment(all.log, 130361);
    std::vector<std::unique_ptr<engine>> engines;
    engines.reserve(Engines);
    for (int index = 0; index < Engines; ++index)
        engines.push_back(std::make_unique<engine>(all, index));
    router_list routers = startRouters(argv[2], all.log, record);
    if (routers.empty())
        ::_exit(2);
    std::atomic<bool> stopping{ false };
    std::thread keeper([&] {
        while (!stopping) {
            for (const auto &one : engines)
                one->step();
            sleepMs(20);
        }
    });
    sleepMs(4000); // All machines are in touch.
    counts others;
    client_threads clients(
            10, [&](int client) { runOtherClient(client, routers, record, stopping, others); });
    const int served = sendPoison(all, routers);
    stopping = true;
    clients.join();
    keeper.join();
    routers.clear();
    const std::size_t late = lateRetries(all);
    const std::size_t crashes = all.crashes.size();
    int result = late > AllowedRetries ? 1 : 0;
    if (all.mode == crash_mode::None && (served == 0 || others.lost > 0))
        result = 2;
    if (all.mode != crash_mode::None && crashes < 3)
        result = 2;
    endWith(record,
            "engines crashed " + std::to_string(crashes)
                    + "; retries sent over 3 s after the third crash that reached engines "
                    + std::to_string(late) + " (allowed " + std::to_string(AllowedRetries)
                    + "); other requests served whole " + std::to_string(others.whole) + ", not "
                    + std::to_string(others.lost),
            result);
}
