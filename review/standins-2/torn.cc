// Case: an engine stops in the middle of an event and ends its answer as an HTTP library does, with
// the last chunk, although the chunk that it has begun lacks bytes. The lines of its events end
// with CR LF. Arguments: path of record.txt, temporary folder. TROUBLE=0: all answers are whole.

#include "platform.h"

#include <random>

using namespace review;

namespace {

constexpr int Engines = 9;           // As crisp-llm of mayaro-crisp.
constexpr int FaultyEngines = 5;     // `garble`, share 0.6, rounded down.
constexpr double FaultyShare = 0.05; // Of their answers.
constexpr int Events = 20;

struct fleet
{
    store log;
    record_file *record = nullptr;
    bool isCalm = false;
    std::mutex mutex;
    std::mt19937 random{ 1 };
    std::map<std::string, std::string> brokenOff; ///< By attempt id: where.
};

std::string eventText(int event)
{
    const std::string number = std::to_string(event);
    return "id: " + number + "\r\ndata: piece " + number + " of the answer\r\n\r\n";
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

private:
    std::string id() const { return "i-" + std::to_string(m_index); }

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
        const std::string last = request.field("Last-Event-Id");
        const int first = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
        int lastEvent = 0; // The event that is broken off; 0 for none.
        double part = 0;
        if (!m_fleet.isCalm && m_index < FaultyEngines && first < Events) {
            const std::lock_guard lock(m_fleet.mutex);
            std::uniform_real_distribution<> draw(0, 1);
            if (draw(m_fleet.random) < FaultyShare) {
                lastEvent = first + static_cast<int>(draw(m_fleet.random) * (Events - first));
                part = draw(m_fleet.random);
            }
        }
        m_fleet.record->line("runs at " + id() + ": " + attempt + " from event "
                             + std::to_string(first));
        if (!sendAll(descriptor, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                                 "X-Burdockhold-Attempt-Id: "
                                         + attempt + "\r\nX-Burdockhold-Server-Stamp: s." + id()
                                         + "\r\nX-Burdockhold-Weight-Versions: 1\r\n"
                                           "Transfer-Encoding: chunked\r\n\r\n"))
            return false;
        for (int event = first; event <= Events; ++event) {
            sleepMs(10);
            const std::string text = eventText(event);
            if (event != lastEvent) {
                if (!sendAll(descriptor, chunkOf(text)))
                    return false;
                continue;
            }
            // At least one byte of the event, and not all of its last line.
            const std::size_t bytes = 1
                                      + static_cast<std::size_t>(
                                              part * static_cast<double>(text.size() - 5));
            const std::string sent = text.substr(0, bytes);
            const std::string whole = chunkOf(text);
            {
                const std::lock_guard lock(m_fleet.mutex);
                m_fleet.brokenOff[attempt] = "event " + std::to_string(event) + " after "
                                             + std::to_string(bytes) + " of "
                                             + std::to_string(text.size()) + " bytes";
            }
            m_fleet.record->line(id() + " breaks off " + attempt + ": event "
                                 + std::to_string(event) + " after " + std::to_string(bytes)
                                 + " of " + std::to_string(text.size()) + " bytes");
            sendAll(descriptor, whole.substr(0, whole.find("\r\n") + 2) + sent + "0\r\n\r\n");
            return false; // And closes.
        }
        return sendAll(descriptor, "0\r\n\r\n");
    }

    fleet &m_fleet;
    int m_index;
    server m_server;
};

struct counts
{
    std::atomic<int> whole{ 0 };
    std::atomic<int> cut{ 0 };
    std::atomic<int> others{ 0 };
    std::atomic<int> wrong{ 0 };
};

/// Records where a stream that ends as complete differs from the text of a run.
void recordDifference(fleet &all, const std::string &id, const std::string &body,
                      const std::string &expected)
{
    std::size_t at = 0;
    while (at < body.size() && at < expected.size() && body[at] == expected[at])
        ++at;
    std::string text = body.substr(at > 30 ? at - 30 : 0, 60);
    for (char &c : text)
        c = c == '\r' || c == '\n' ? '|' : c;
    const std::lock_guard lock(all.mutex);
    all.record->line("  broken off: " + all.brokenOff[id] + "; the caller has: ..." + text);
}

void runClient(fleet &all, const router_list &routers, std::atomic<unsigned> &sent, double end,
               counts &answers)
{
    std::string expected;
    for (int event = 1; event <= Events; ++event)
        expected += eventText(event);
    while (secondsNow() < end) {
        const unsigned number = ++sent;
        const std::string id = "r" + std::to_string(number);
        all.record->line("sent: " + id);
        const auto answer = exchange(
                routers[number % 3]->callerPort(),
                "POST /reply/x HTTP/1.1\r\nHost: h.example\r\nX-Burdockhold-Attempt-Id: " + id
                        + "\r\nX-Burdockhold-Model: m0\r\nX-Burdockhold-Token-Count: 826,20"
                          "\r\nX-Burdockhold-Prompt-Prefix: "
                        + std::to_string(number % 97) + "a:198," + id
                        + ":628\r\nX-Burdockhold-Deadline-Ms: 15000\r\n"
                          "X-Burdockhold-Credential: key-1\r\nContent-Length: 2\r\n\r\n{}",
                15);
        const bool isWrong = answer.status == 200 && answer.complete && answer.body != expected;
        ++(answer.status != 200 ? answers.others
           : !answer.complete   ? answers.cut
           : isWrong            ? answers.wrong
                                : answers.whole);
        all.record->line("answer to " + id + ": status " + std::to_string(answer.status)
                         + (answer.complete ? ", complete" : ", cut off")
                         + (isWrong ? ", its text is not that of a run" : ""));
        if (isWrong)
            recordDifference(all, id, answer.body, expected);
        sleepMs(50);
    }
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
    all.isCalm = isCalmRun();
    all.random.seed(std::random_device{}());
    putDeployment(all.log, 1303610);
    std::vector<std::unique_ptr<engine>> engines;
    engines.reserve(Engines);
    for (int index = 0; index < Engines; ++index)
        engines.push_back(std::make_unique<engine>(all, index));
    router_list routers = startRouters(argv[2], all.log, record);
    if (routers.empty())
        ::_exit(2);
    sleepMs(4000); // All machines are in touch.
    counts answers;
    std::atomic<unsigned> sent{ 0 };
    const double end = secondsNow() + 40;
    client_threads clients(16, [&](int) { runClient(all, routers, sent, end, answers); });
    clients.join();
    routers.clear();
    endWith(record,
            "streams broken off " + std::to_string(all.brokenOff.size()) + "; answers whole "
                    + std::to_string(answers.whole) + ", cut off " + std::to_string(answers.cut)
                    + ", others " + std::to_string(answers.others) + ", complete with another text "
                    + std::to_string(answers.wrong),
            answers.whole < 500 ? 2
            : answers.wrong > 0 ? 1
                                : 0);
}
