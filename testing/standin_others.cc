#include "testing/standin_http.h"
#include "testing/standin_roles.h"

#include <algorithm>
#include <list>
#include <optional>
#include <thread>

namespace burdockhold::standin {

namespace {

constexpr std::size_t DownloadPieceBytes = 16384;

class plain_service
{
public:
    void handle(const http_request &request, connection &peer)
    {
        if (m_control.handle(request, peer))
            return;
        if (request.path == "/received")
            return received(peer);
        const std::size_t index = m_received.add(request);
        m_received.noteDispatch(index);
        std::unique_lock lock(m_mutex);
        const std::string key = request.header("Idempotency-Key");
        const std::uint64_t execution = ++m_executions[{ key, request.path }];
        const bool drop = m_dropAnswers > 0;
        m_dropAnswers -= drop ? 1 : 0;
        const bool silent = m_silent;
        lock.unlock();
        m_received.noteOutcome(index, drop ? "dropped" : silent ? "silent" : "answered");
        if (drop)
            return peer.drop();
        if (silent)
            return peer.hang();
        peer.respond(200,
                     nlohmann::json{
                             { "key", key }, { "path", request.path }, { "execution", execution } },
                     { { "X-Request-Id", request.header("X-Request-Id") } });
    }

private:
    void received(connection &peer)
    {
        nlohmann::json executions = nlohmann::json::array();
        {
            const std::lock_guard lock(m_mutex);
            for (const auto &[call, count] : m_executions)
                executions.push_back(
                        { { "key", call.first }, { "path", call.second }, { "count", count } });
        }
        peer.respond(200, nlohmann::json{ { "requests", m_received.toJson() },
                                          { "executions", executions } });
    }

    std::mutex m_mutex;
    std::map<std::pair<std::string, std::string>, std::uint64_t> m_executions; // Key, path.
    std::int64_t m_dropAnswers = 0;
    bool m_silent = false;
    received_log m_received;
    fault_control m_control{ [this](field_reader &reader) {
        const std::lock_guard lock(m_mutex);
        reader.read("drop_answers", m_dropAnswers);
        reader.read("silent", m_silent);
    } };
};

class vm_list
{
public:
    explicit vm_list(const vmlist_options &options)
        : m_lag(options.lagMs)
    {
    }

    void handle(const http_request &request, connection &peer)
    {
        if (m_control.handle(request, peer))
            return;
        const std::lock_guard lock(m_mutex);
        const auto now = std::chrono::steady_clock::now();
        if (request.path != "/vms")
            return respondNotFound(peer);
        if (request.method == "PUT") {
            const nlohmann::json body = nlohmann::json::parse(request.body);
            if (!body.at("vms").is_array())
                return peer.respond(400, nlohmann::json{ { "error", "vms is no array" } });
            m_lists.push_back({ now + m_lag, body });
            return peer.respond(200, nlohmann::json::object());
        }
        while (m_lists.size() > 1 && std::next(m_lists.begin())->visibleAt <= now)
            m_lists.pop_front();
        peer.respond(200, m_lists.front().body);
    }

private:
    struct dated_list
    {
        std::chrono::steady_clock::time_point visibleAt;
        nlohmann::json body;
    };

    const std::chrono::milliseconds m_lag;
    std::mutex m_mutex;
    std::list<dated_list> m_lists{ { {}, { { "vms", nlohmann::json::array() } } } };
    fault_control m_control{ {} };
};

// Serves any weights version at a rate that all downloads share.
class weight_store
{
public:
    explicit weight_store(const weights_options &options)
        : m_options(options)
    {
    }

    void handle(const http_request &request, connection &peer)
    {
        if (m_control.handle(request, peer))
            return;
        std::string_view path = request.path;
        if (takeSegment(path) != "weights" || path.size() < 2 || request.method != "GET")
            return respondNotFound(peer);
        ++m_active;
        download(peer);
        --m_active;
    }

private:
    void download(connection &peer)
    {
        peer.sendRaw("HTTP/1.1 200 -\r\nContent-Type: application/octet-stream\r\nContent-Length: "
                     + std::to_string(m_options.sizeBytes) + "\r\n\r\n");
        std::uint64_t left = m_options.sizeBytes;
        while (left > 0 && peer.isOpen()) {
            const std::size_t size = std::min<std::uint64_t>(left, DownloadPieceBytes);
            const double seconds = static_cast<double>(size * m_active)
                                   / static_cast<double>(m_options.bytesPerSecond);
            std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
            peer.sendRaw(std::string(size, 'w'));
            left -= size;
        }
    }

    const weights_options m_options;
    std::atomic<std::uint64_t> m_active{ 0 };
    fault_control m_control{ {} };
};

// Blobs by block hash; the oldest are dropped when the store is full.
class kv_store
{
public:
    explicit kv_store(const kvstore_options &options)
        : m_options(options)
    {
    }

    void handle(const http_request &request, connection &peer)
    {
        if (m_control.handle(request, peer))
            return;
        const std::lock_guard lock(m_mutex);
        if (request.path == "/stats")
            return peer.respond(
                    200, nlohmann::json{ { "blocks", m_blobs.size() }, { "bytes", m_bytes } });
        std::string_view path = request.path;
        const bool blocks = takeSegment(path) == "blocks";
        const std::string hash = takeSegment(path);
        if (!blocks || hash.empty() || !path.empty())
            return respondNotFound(peer);
        if (request.method == "PUT")
            put(hash, request.body, peer);
        else if (request.method == "GET")
            get(hash, peer);
        else
            respondNotFound(peer);
    }

private:
    struct blob
    {
        std::string hash;
        std::string bytes;
    };

    void put(const std::string &hash, const std::string &bytes, connection &peer)
    {
        if (bytes.size() > m_options.capacityBytes)
            return peer.respond(413, nlohmann::json{ { "error", "larger than the store" } });
        const auto old = find(hash);
        if (old != m_blobs.end()) {
            m_bytes -= old->bytes.size();
            m_blobs.erase(old);
        }
        m_blobs.push_back({ hash, bytes });
        m_bytes += bytes.size();
        while (m_bytes > m_options.capacityBytes) {
            m_bytes -= m_blobs.front().bytes.size();
            m_blobs.pop_front();
        }
        peer.respond(200, nlohmann::json::object());
    }

    void get(const std::string &hash, connection &peer)
    {
        const auto found = find(hash);
        if (found == m_blobs.end())
            return respondNotFound(peer);
        peer.respond(200, found->bytes, {}, "application/octet-stream");
    }

    std::list<blob>::iterator find(const std::string &hash)
    {
        return std::find_if(m_blobs.begin(), m_blobs.end(),
                            [&](const blob &item) { return item.hash == hash; });
    }

    const kvstore_options m_options;
    std::mutex m_mutex;
    std::list<blob> m_blobs; // Oldest first.
    std::uint64_t m_bytes = 0;
    fault_control m_control{ {} };
};

template <typename Role>
int serveRole(std::uint16_t port, Role &role)
{
    return serve(port, [&](const http_request &request, connection &peer) {
        role.handle(request, peer);
    });
}

} // namespace

int runService(std::uint16_t port)
{
    plain_service role;
    return serveRole(port, role);
}

int runVmList(std::uint16_t port, const vmlist_options &options)
{
    vm_list role(options);
    return serveRole(port, role);
}

int runWeights(std::uint16_t port, const weights_options &options)
{
    weight_store role(options);
    return serveRole(port, role);
}

int runKvStore(std::uint16_t port, const kvstore_options &options)
{
    kv_store role(options);
    return serveRole(port, role);
}

} // namespace burdockhold::standin
