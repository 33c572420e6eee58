// Case: new weights are named while streams run, and one engine of nine does not drop a request
// when its connection closes. Arguments: path of record.txt, temporary folder. TROUBLE=0: no new
// weights.

#include "platform.h"

using namespace review;

namespace {

constexpr int Engines = 9;      // As crisp-llm of mayaro-crisp.
constexpr int KeepsWorking = 4; // "Most engines drop a request when its connection closes."
constexpr int LoadMs = 420;     // "new weights take an engine 0.42 s"
constexpr int EventMs = 30;
constexpr double TwiceSeconds = 0.4;

struct run_record
{
    std::string id;
    int engine = 0;
    double begin = 0;
    double end = 0; ///< 0 while the engine works on it.
};

struct fleet
{
    store log;
    record_file *record = nullptr;
    std::mutex mutex;
    std::vector<run_record> runs;
};

std::string number(const std::string &body, const std::string &name)
{
    const std::size_t at = body.find("\"" + name + "\":");
    return at == std::string::npos
                   ? ""
                   : std::to_string(std::atoll(body.c_str() + at + name.size() + 3));
}

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

private:
    std::string id() const { return "i-" + std::to_string(m_index); }
    std::string models() const
    {
        return "\"models\":[{\"name\":\"m0\",\"version\":" + std::to_string(m_version)
               + ",\"adapters\":[]}]";
    }
    void enter()
    {
        static const char *zones[] = { "a", "b", "c" };
        m_fleet.log.put("keyed.servers", id(),
                        "{\"service\":\"llm\",\"address\":\"" + m_server.address()
                                + "\",\"zone\":\"" + zones[m_index % 3]
                                + "\",\"version\":\"v1\",\"slots\":128,\"state\":\"ready\","
                                  "\"cold_remaining_ms\":0,\"stage\":\"colocated\","
                                + models() + ",\"seq\":1,\"born\":" + std::to_string(m_born) + "}");
    }
    bool serve(const http_request &request, int descriptor)
    {
        const std::string wanted = request.field("X-Burdockhold-Target-Instance");
        if (!wanted.empty() && wanted != id())
            return sendAll(descriptor,
                           response(421, "", "X-Burdockhold-Instance-Id: " + id() + "\r\n"));
        if (request.target == "/report") {
            const std::lock_guard lock(m_mutex);
            return sendAll(
                    descriptor,
                    response(200, "{\"stage\":\"colocated\"," + models()
                                          + ",\"busy\":" + (m_busy ? "true" : "false")
                                          + ",\"seq\":" + std::to_string(m_seq)
                                          + ",\"queued\":0,\"active\":" + std::to_string(m_active)
                                          + ",\"kv_used\":0,\"kv_total\":95573,"
                                            "\"handles\":0}"));
        }
        if (request.target == "/order")
            return order(request, descriptor);
        return run(request, descriptor);
    }
    /// "queue": the runs finish first; requests that have not started are refused until the order
    /// is complete.
    bool order(const http_request &request, int descriptor)
    {
        const std::string token = number(request.body, "fencing_token");
        const std::string expected = number(request.body, "expected");
        const int version = std::atoi(number(request.body, "version").c_str());
        int status = 202;
        {
            const std::lock_guard lock(m_mutex);
            if (token.empty() || request.body.find("\"holder\":\"") == std::string::npos)
                status = 400;
            else if (std::atoll(token.c_str()) < m_fence)
                status = 412;
            else if (m_busy || (!expected.empty() && std::atoi(expected.c_str()) != m_seq))
                status = 409;
            else if (version == m_version)
                status = 200;
            if (status < 300)
                m_fence = std::max<std::int64_t>(m_fence, std::atoll(token.c_str()));
            if (status == 202) {
                ++m_seq;
                m_busy = true;
            }
        }
        m_fleet.record->line("order at " + id() + ": " + request.body + " -> "
                             + std::to_string(status));
        if (status == 202)
            std::thread([this, version] {
                while (m_active > 0)
                    sleepMs(5);
                sleepMs(LoadMs);
                {
                    const std::lock_guard lock(m_mutex);
                    m_version = version;
                    m_busy = false;
                }
                enter();
            }).detach();
        return sendAll(descriptor, response(status, "{}"));
    }
    bool run(const http_request &request, int descriptor)
    {
        const std::string attempt = request.field("X-Burdockhold-Attempt-Id");
        const std::string expected = request.field("X-Burdockhold-Expect-Version");
        const std::string identity = "X-Burdockhold-Attempt-Id: " + attempt + "\r\n";
        std::size_t place = 0;
        int version = 0;
        {
            const std::lock_guard lock(m_mutex);
            version = m_version;
            if (!expected.empty() && std::atoi(expected.c_str()) != m_version)
                return sendAll(descriptor, response(421, "",
                                                    identity + "X-Burdockhold-Instance-Id: " + id()
                                                            + "\r\nX-Burdockhold-Weight-Versions: "
                                                            + std::to_string(m_version) + "\r\n"));
            if (m_busy)
                return sendAll(descriptor, response(503, "",
                                                    identity
                                                            + "X-Burdockhold-Not-Executed: "
                                                              "1\r\n"));
            ++m_active;
        }
        const std::string last = request.field("Last-Event-Id");
        const int first = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
        {
            const std::lock_guard lock(m_fleet.mutex);
            place = m_fleet.runs.size();
            m_fleet.runs.push_back({ attempt, m_index, secondsNow(), 0 });
        }
        m_fleet.record->line("runs at " + id() + ": " + attempt + " from event "
                             + std::to_string(first));
        const int events = std::atoi(request.body.c_str());
        bool open = sendAll(descriptor, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                                                + identity + "X-Burdockhold-Server-Stamp: s." + id()
                                                + "\r\nX-Burdockhold-Weight-Versions: "
                                                + std::to_string(version)
                                                + "\r\nTransfer-Encoding: chunked\r\n\r\n");
        const bool keepsWorking = m_index == KeepsWorking;
        for (int event = first; event <= events && (open || keepsWorking); ++event) {
            pollfd closing{ descriptor, POLLIN | POLLRDHUP, 0 };
            if (::poll(&closing, 1, EventMs) > 0) {
                open = false; // Closed by the caller, which sends nothing else meanwhile.
                sleepMs(keepsWorking ? EventMs : 0);
            }
            if (open)
                open = sendAll(descriptor, chunkOf("id: " + std::to_string(event) + "\ndata: t"
                                                   + std::to_string(event) + "\n\n"));
        }
        const bool whole = open && sendAll(descriptor, "0\r\n\r\n");
        {
            const std::lock_guard lock(m_fleet.mutex);
            m_fleet.runs[place].end = secondsNow();
        }
        m_fleet.record->line("ends at " + id() + ": " + attempt
                             + (whole ? ", whole" : ", its connection was closed"));
        --m_active;
        return whole;
    }

    fleet &m_fleet;
    int m_index;
    std::int64_t m_born = unixMs();
    std::mutex m_mutex;
    int m_version = 1;
    int m_seq = 0;
    std::int64_t m_fence = 0;
    bool m_busy = false;
    std::atomic<int> m_active{ 0 };
    server m_server;
};

struct counts
{
    std::atomic<int> whole{ 0 };
    std::atomic<int> others{ 0 };
};

void runClient(int client, const router_list &routers, record_file &record,
               std::atomic<unsigned> &sent, const std::atomic<bool> &stopping, counts &answers)
{
    sleepMs(100 * client);
    while (!stopping) {
        const unsigned number = ++sent;
        const std::string id = "r" + std::to_string(number);
        const std::string body = std::to_string(40 + number * 37 % 180);
        record.line("sent: " + id);
        const auto answer = exchange(
                routers[number % 3]->callerPort(),
                "POST /reply/x HTTP/1.1\r\nHost: h.example\r\nX-Burdockhold-Attempt-Id: " + id
                        + "\r\nX-Burdockhold-Model: m0\r\nX-Burdockhold-Token-Count: 826," + body
                        + "\r\nX-Burdockhold-Prompt-Prefix: " + std::to_string(number % 97)
                        + "a:198," + id
                        + ":628\r\nX-Burdockhold-Deadline-Ms: 15000\r\n"
                          "X-Burdockhold-Credential: key-1\r\nContent-Length: "
                        + std::to_string(body.size()) + "\r\n\r\n" + body,
                15);
        record.line("answer to " + id + ": status " + std::to_string(answer.status)
                    + (answer.complete ? ", whole" : ", cut off"));
        ++(answer.status == 200 && answer.complete ? answers.whole : answers.others);
        sleepMs(50);
    }
}

struct moves
{
    int all = 0;
    int twice = 0;
};

/// Finds the runs that went on at another engine while an engine still worked on them.
moves findMoves(fleet &all)
{
    moves found;
    const std::lock_guard lock(all.mutex);
    for (const run_record &first : all.runs) {
        for (const run_record &next : all.runs) {
            if (next.id != first.id || next.begin <= first.begin || next.engine == first.engine)
                continue;
            ++found.all;
            const double end = first.end > 0 ? first.end : secondsNow();
            if (end <= next.begin + TwiceSeconds)
                continue;
            ++found.twice;
            all.record->line(first.id + " goes on at i-" + std::to_string(next.engine) + " at "
                             + std::to_string(next.begin) + " s; i-" + std::to_string(first.engine)
                             + " still works on it until " + std::to_string(end) + " s");
        }
    }
    return found;
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
    putDeployment(all.log, 1303610);
    std::vector<std::unique_ptr<engine>> engines;
    engines.reserve(Engines);
    for (int index = 0; index < Engines; ++index)
        engines.push_back(std::make_unique<engine>(all, index));
    router_list routers = startRouters(argv[2], all.log, record);
    if (routers.empty())
        ::_exit(2);
    std::atomic<bool> stopping{ false };
    std::atomic<unsigned> sent{ 0 };
    counts answers;
    client_threads clients(
            24, [&](int client) { runClient(client, routers, record, sent, stopping, answers); });
    sleepMs(8000);
    for (int version = 2; version <= 6; ++version) {
        if (!isCalmRun()) {
            record.line("op/version/m0: version " + std::to_string(version));
            all.log.put("keyed.op", "version/m0",
                        "{\"model\":\"m0\",\"version\":" + std::to_string(version) + "}");
        }
        sleepMs(8000);
    }
    stopping = true;
    clients.join();
    sleepMs(500);
    routers.clear();
    const moves found = findMoves(all);
    endWith(record,
            "moved " + std::to_string(found.all) + ", of these still worked on 400 ms later "
                    + std::to_string(found.twice) + "; answers whole "
                    + std::to_string(answers.whole) + ", others " + std::to_string(answers.others),
            answers.whole < 100 ? 2
            : found.twice > 0   ? 1
                                : 0);
}
