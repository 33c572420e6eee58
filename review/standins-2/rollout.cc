// Case: a new software version that turns bad late in its roll-out.
// Arguments: path of record.txt, temporary folder. TROUBLE=0: the version stays good.
// FLAW_S: seconds from the order at which the flaw begins (default 9 of 12).

#include "platform.h"

using namespace review;

namespace {

constexpr int OldEngines = 9;
constexpr int NewEngines =
        9; // "engines of that version, which are started alongside the old engines"
constexpr double DurationSeconds = 12;   // As the example of op/rollout.
constexpr double RequestsPerSecond = 70; // dossier-grade and grocer-reply of mayaro-crisp.
constexpr double ExposureShare = 0.1;
constexpr double ExposureSlack = 50;
constexpr double FailedShare = 0.4; // "a portion of their responses are failures"

struct arrival
{
    std::string id;
    bool isNew = false;
    double at = 0;
};

struct fleet
{
    store log;
    record_file *record = nullptr;
    std::mutex mutex;
    std::vector<arrival> arrivals;
    std::atomic<double> flawAt{ 1e9 };
    std::atomic<int> failures{ 0 };
    std::atomic<unsigned> draws{ 0 };
};

class engine
{
public:
    engine(fleet &all, int index, bool isNew)
        : m_fleet(all)
        , m_index(index)
        , m_isNew(isNew)
        , m_server([this](const http_request &request, int descriptor) {
            return serve(request, descriptor);
        })
    {
        enter("ready");
    }
    void enter(const std::string &state)
    {
        static const char *zones[] = { "a", "b", "c" };
        m_fleet.log.put("keyed.servers", id(),
                        "{\"service\":\"llm\",\"address\":\"" + m_server.address()
                                + "\",\"zone\":\"" + zones[m_index % 3] + "\",\"version\":\""
                                + (m_isNew ? "v2" : "v1") + "\",\"slots\":128,\"state\":\"" + state
                                + "\",\"cold_remaining_ms\":0,\"stage\":\"colocated\",\"models\":[{"
                                  "\"name\":\"m0\",\"version\":1,\"adapters\":[]}],\"seq\":1,"
                                  "\"born\":"
                                + std::to_string(m_born) + "}");
    }
    void stop()
    {
        m_fleet.log.remove("keyed.servers", id());
        m_server.end();
    }

private:
    std::string id() const
    {
        return std::string(m_isNew ? "i-new-" : "i-old-") + std::to_string(m_index);
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
        const std::string attempt = request.field("X-Burdockhold-Attempt-Id");
        {
            const std::lock_guard lock(m_fleet.mutex);
            m_fleet.arrivals.push_back({ attempt, m_isNew, secondsNow() });
        }
        m_fleet.record->line("runs at " + id() + ": " + attempt);
        const std::string fields = "X-Burdockhold-Attempt-Id: " + attempt
                                   + "\r\nX-Burdockhold-Server-Stamp: s." + id()
                                   + "\r\nX-Burdockhold-Weight-Versions: 1\r\n";
        const bool isBad = m_isNew && secondsNow() >= m_fleet.flawAt
                           && (++m_fleet.draws * 2654435761U >> 8) % 1000 < 1000 * FailedShare;
        sleepMs(40);
        if (isBad) {
            ++m_fleet.failures;
            return sendAll(descriptor, response(500, "", fields));
        }
        if (!sendAll(descriptor, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + fields
                                         + "Transfer-Encoding: chunked\r\n\r\n"))
            return false;
        for (int number = 1; number <= 5; ++number) {
            if (!sendAll(descriptor, chunkOf("id: " + std::to_string(number) + "\ndata: t\n\n")))
                return false;
            sleepMs(15);
        }
        return sendAll(descriptor, "0\r\n\r\n");
    }

    fleet &m_fleet;
    int m_index;
    bool m_isNew;
    std::int64_t m_born = unixMs();
    server m_server;
};

std::string requestText(const std::string &id, unsigned number)
{
    return "POST /reply/x HTTP/1.1\r\nHost: h.example\r\nX-Burdockhold-Attempt-Id: " + id
           + "\r\nX-Burdockhold-Model: m0\r\nX-Burdockhold-Token-Count: 826,73\r\n"
             "X-Burdockhold-Prompt-Prefix: "
           + std::to_string(number % 97) + "a:198," + id
           + ":628\r\nX-Burdockhold-Deadline-Ms: 15000\r\nX-Burdockhold-Credential: key-1\r\n"
             "Content-Length: 2\r\n\r\n{}";
}

struct counts
{
    std::atomic<int> whole{ 0 };
    std::atomic<int> others{ 0 };
};

constexpr int Clients = 28;

void runClient(int client, const router_list &routers, record_file &record,
               std::atomic<unsigned> &sent, const std::atomic<bool> &stopping, counts &answers)
{
    double due = secondsNow() + client / RequestsPerSecond;
    while (!stopping) {
        due += Clients / RequestsPerSecond;
        if (due > secondsNow())
            sleepMs(static_cast<int>(1000 * (due - secondsNow())));
        const unsigned number = ++sent;
        const std::string id = "r" + std::to_string(number);
        record.line("sent: " + id);
        const auto answer = exchange(routers[number % 3]->callerPort(), requestText(id, number),
                                     15);
        record.line("answer to " + id + ": status " + std::to_string(answer.status)
                    + (answer.complete ? ", whole" : ", cut off"));
        ++(answer.status == 200 && answer.complete ? answers.whole : answers.others);
    }
}

using engine_list = std::vector<std::unique_ptr<engine>>;

/// Does what the platform does at each status of the roll-out. Returns the last one.
std::string followStatus(fleet &all, const engine_list &oldEngines, const engine_list &newEngines,
                         double until)
{
    std::string state;
    for (; secondsNow() < until; sleepMs(5)) {
        const std::string status = all.log.get("keyed.status", "rollout/llm");
        if (status == state)
            continue;
        state = status;
        all.record->line("status/rollout/llm: " + status);
        if (status.find("complete") != std::string::npos) {
            for (const auto &one : oldEngines)
                one->stop();
        } else if (status.find("rolled_back") != std::string::npos) {
            for (const auto &one : newEngines)
                one->enter("draining");
        }
    }
    return state;
}

struct exposure
{
    std::set<std::string> reached; ///< Requests that reached the service.
    std::set<std::string> exposed; ///< Of these, the ones that reached the new version.
};

exposure exposureOf(fleet &all, double ordered)
{
    exposure found;
    const std::lock_guard lock(all.mutex);
    for (const arrival &one : all.arrivals) {
        if (one.at < ordered || one.at > ordered + DurationSeconds)
            continue;
        found.reached.insert(one.id);
        if (one.isNew)
            found.exposed.insert(one.id);
    }
    return found;
}

engine_list startEngines(fleet &all, int count, bool areNew)
{
    engine_list engines;
    engines.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index)
        engines.push_back(std::make_unique<engine>(all, index, areNew));
    return engines;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 3)
        return 2;
    std::signal(SIGPIPE, SIG_IGN);
    record_file record(argv[1]);
    const bool isGood = isCalmRun();
    const char *flaw = std::getenv("FLAW_S");
    const double flawSeconds = flaw != nullptr ? std::atof(flaw) : 9.0;
    static fleet all;
    all.record = &record;
    putDeployment(all.log, 1303610);
    const engine_list oldEngines = startEngines(all, OldEngines, false);
    router_list routers = startRouters(argv[2], all.log, record);
    if (routers.empty())
        ::_exit(2);
    std::atomic<bool> stopping{ false };
    std::atomic<unsigned> sent{ 0 };
    counts answers;
    client_threads clients(Clients, [&](int client) {
        runClient(client, routers, record, sent, stopping, answers);
    });
    sleepMs(8000);
    const engine_list newEngines = startEngines(all, NewEngines, true);
    const double ordered = secondsNow();
    record.line("op/rollout/llm: target v2, duration_s 12");
    all.log.put("keyed.op", "rollout/llm",
                "{\"service\":\"llm\",\"target\":\"v2\",\"duration_s\":12}");
    if (!isGood)
        all.flawAt = ordered + flawSeconds;
    const std::string state = followStatus(all, oldEngines, newEngines,
                                           ordered + DurationSeconds + 2);
    stopping = true;
    clients.join();
    routers.clear();
    const exposure found = exposureOf(all, ordered);
    const double allowed = ExposureShare * static_cast<double>(found.reached.size())
                           + ExposureSlack;
    const bool isBroken = !isGood && static_cast<double>(found.exposed.size()) > allowed;
    endWith(record,
            "requests that reached the service from the order to its deadline "
                    + std::to_string(found.reached.size()) + ", of these the new version "
                    + std::to_string(found.exposed.size()) + ", allowed for a bad one "
                    + std::to_string(static_cast<int>(allowed)) + "; its failures "
                    + std::to_string(all.failures) + "; client answers whole "
                    + std::to_string(answers.whole) + ", others " + std::to_string(answers.others)
                    + "; last status " + state,
            found.reached.size() < 400 ? 2
            : isBroken                 ? 1
                                       : 0);
}
