#include "testing/standin_http.h"
#include "testing/standin_roles.h"

#include <condition_variable>
#include <deque>

namespace burdockhold::standin {

namespace {

constexpr std::uint64_t DefaultReadLimit = 1000;
constexpr std::uint64_t MaxWaitMs = 60000;

std::int64_t nowMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

struct log_record
{
    std::int64_t timeMs;
    std::string data;
};

// Offsets start at 1; records[0] has the offset `earliest`.
struct log_stream
{
    std::uint64_t earliest = 1;
    std::deque<log_record> records;

    std::uint64_t next() const { return earliest + records.size(); }
};

class log_service
{
public:
    explicit log_service(const log_options &options)
        : m_options(options)
        , m_faults([this](field_reader &reader) {
            const std::lock_guard lock(m_mutex);
            reader.read("lose_next_append_answers", m_loseAnswers);
            reader.read("hold_reads_of", m_heldStream);
            m_appended.notify_all();
        })
    {
    }

    void handle(const http_request &request, connection &peer)
    {
        if (m_faults.handle(request, peer))
            return;
        if (request.path == "/stats")
            return stats(peer);
        std::string_view path = request.path;
        const bool streams = takeSegment(path) == "streams";
        const std::string name = takeSegment(path);
        if (!streams || name.empty() || path != "/records")
            return respondNotFound(peer);
        if (request.method == "POST")
            append(name, request, peer);
        else if (request.method == "GET")
            read(name, request, peer);
        else
            respondNotFound(peer);
    }

private:
    void append(const std::string &name, const http_request &request, connection &peer)
    {
        const auto records =
                nlohmann::json::parse(request.body).at("records").get<std::vector<std::string>>();
        if (records.empty())
            return peer.respond(400, nlohmann::json{ { "error", "no records" } });
        std::unique_lock lock(m_mutex);
        const std::uint64_t first = store(m_streams[name], records);
        const bool lose = m_loseAnswers > 0;
        m_loseAnswers -= lose ? 1 : 0;
        lock.unlock();
        m_appended.notify_all();
        if (lose)
            return peer.drop();
        peer.respond(200, nlohmann::json{ { "first_offset", first }, { "count", records.size() } });
    }

    std::uint64_t store(log_stream &stream, const std::vector<std::string> &records)
    {
        const std::uint64_t first = stream.next();
        for (const std::string &data : records)
            stream.records.push_back({ nowMs(), data });
        while (m_options.retentionRecords > 0
               && stream.records.size() > m_options.retentionRecords) {
            stream.records.pop_front();
            ++stream.earliest;
        }
        ++m_appends;
        m_records += records.size();
        return first;
    }

    void read(const std::string &name, const http_request &request, connection &peer)
    {
        const std::uint64_t from = request.number("from", 1);
        const std::uint64_t limit = request.number("limit", DefaultReadLimit);
        const std::uint64_t wait = std::min(request.number("wait_ms", 0), MaxWaitMs);
        std::unique_lock lock(m_mutex);
        const log_stream &stream = m_streams[name];
        m_appended.wait_for(lock, std::chrono::milliseconds(wait),
                            [&] { return from < stream.next(); });
        // Reads that do not wait are the tests' own and are never held.
        m_appended.wait(lock, [&] { return wait == 0 || m_heldStream != name; });
        ++m_reads;
        const bool expired = from < stream.earliest;
        const nlohmann::json body = expired ? nlohmann::json{ { "earliest", stream.earliest } }
                                            : page(stream, from, limit);
        lock.unlock();
        peer.respond(expired ? 410 : 200, body);
    }

    static nlohmann::json page(const log_stream &stream, std::uint64_t from, std::uint64_t limit)
    {
        nlohmann::json records = nlohmann::json::array();
        std::uint64_t offset = from;
        for (; offset < stream.next() && offset - from < limit; ++offset) {
            const log_record &record = stream.records[offset - stream.earliest];
            records.push_back({ { "offset", offset },
                                { "time_ms", record.timeMs },
                                { "data", record.data } });
        }
        return { { "earliest", stream.earliest },
                 { "next", stream.next() },
                 { "now_ms", nowMs() },
                 { "records", records } };
    }

    void stats(connection &peer)
    {
        const std::lock_guard lock(m_mutex);
        peer.respond(200, nlohmann::json{ { "appends", m_appends },
                                          { "records", m_records },
                                          { "reads", m_reads } });
    }

    const log_options m_options;
    std::mutex m_mutex;
    std::condition_variable m_appended;
    std::map<std::string, log_stream> m_streams;
    std::int64_t m_loseAnswers = 0;
    std::string m_heldStream; // Its waiting reads get no answer; appends take effect.
    std::uint64_t m_appends = 0;
    std::uint64_t m_records = 0;
    std::uint64_t m_reads = 0;
    fault_control m_faults;
};

} // namespace

int runLog(std::uint16_t port, const log_options &options)
{
    log_service service(options);
    return serve(port, [&](const http_request &request, connection &peer) {
        service.handle(request, peer);
    });
}

} // namespace burdockhold::standin
