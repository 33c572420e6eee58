#include "burdockhold/hash.h"
#include "testing/standin_http.h"
#include "testing/standin_roles.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <condition_variable>
#include <deque>
#include <list>
#include <optional>
#include <set>
#include <thread>
#include <unordered_map>
#include <utility>

namespace burdockhold::standin {

namespace {

constexpr std::uint64_t BytesPerToken = 4;
constexpr std::int64_t DefaultMaxTokens = 16;
constexpr std::size_t MaxCacheEvents = 100000;
constexpr int PoisonExitStatus = 3;

std::string hex(std::uint64_t value)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
    return text.data();
}

std::string newIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch().count();
    return hex(combineHash(static_cast<std::uint64_t>(now), static_cast<std::uint64_t>(getpid())));
}

// Output token i depends on the prompt, the version and i only, so that a resumed stream can be
// checked against an uninterrupted one.
std::string outputToken(std::uint64_t promptHash, std::int64_t index)
{
    return "t" + hex(combineHash(promptHash, static_cast<std::uint64_t>(index))).substr(8) + " ";
}

struct cache_event
{
    std::uint64_t sequence;
    bool added;
    std::uint64_t block;
};

// Least recently used blocks are evicted. Block hashes are chained and seeded with the cache salt,
// so entries of different salts never match.
class prefix_cache
{
public:
    explicit prefix_cache(std::uint64_t capacity)
        : m_capacity(capacity)
    {
    }

    // Returns how many leading blocks were cached, and caches all of them.
    std::size_t use(const std::vector<std::uint64_t> &blocks)
    {
        std::size_t hits = 0;
        while (hits < blocks.size() && m_places.count(blocks[hits]) > 0)
            ++hits;
        // From the last block to the first, so that the first blocks are evicted last.
        for (auto block = blocks.rbegin(); block != blocks.rend(); ++block)
            touch(*block);
        while (m_order.size() > m_capacity)
            evictLast();
        return hits;
    }

    void clear()
    {
        while (!m_order.empty())
            evictLast();
    }

    std::size_t size() const { return m_order.size(); }

    nlohmann::json events(std::uint64_t from) const
    {
        nlohmann::json list = nlohmann::json::array();
        for (const cache_event &event : m_events) {
            if (event.sequence >= from)
                list.push_back({ { "seq", event.sequence },
                                 { "event", event.added ? "add" : "evict" },
                                 { "block", hex(event.block) } });
        }
        return list;
    }

    std::uint64_t nextSequence() const { return m_nextSequence; }

    std::int64_t loseEvents = 0; // Number of coming events that are not published.

private:
    void touch(std::uint64_t block)
    {
        const auto found = m_places.find(block);
        if (found != m_places.end()) {
            m_order.splice(m_order.begin(), m_order, found->second);
            return;
        }
        m_order.push_front(block);
        m_places[block] = m_order.begin();
        publish(true, block);
    }

    void evictLast()
    {
        const std::uint64_t block = m_order.back();
        m_order.pop_back();
        m_places.erase(block);
        publish(false, block);
    }

    void publish(bool added, std::uint64_t block)
    {
        const std::uint64_t sequence = m_nextSequence++;
        if (loseEvents > 0) {
            --loseEvents;
            return;
        }
        m_events.push_back({ sequence, added, block });
        if (m_events.size() > MaxCacheEvents)
            m_events.pop_front();
    }

    std::uint64_t m_capacity;
    std::list<std::uint64_t> m_order; // Most recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_places;
    std::deque<cache_event> m_events;
    std::uint64_t m_nextSequence = 1;
};

// What the engine answers to a continuation in place of the rest of the stream. In the body, ID
// stands for the request's id. A body without chunks or length ends with the connection.
struct continuation_answer
{
    std::int64_t count = 0; // Number of coming continuations that get this answer.
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    std::string framing = "length"; // "chunks", "length" or "none".
    std::string echo = "own";       // X-Request-Id: "own", "wrong" or "missing".
    std::int64_t cut = -1;          // Ends the connection after n bytes of the framed body.
    bool reset = false;             // The connection ends with a reset.
};

void from_json(const nlohmann::json &object, continuation_answer &answer)
{
    answer = {};
    field_reader reader(object);
    reader.read("count", answer.count);
    reader.read("status", answer.status);
    reader.read("body", answer.body);
    reader.read("content_type", answer.contentType);
    reader.read("framing", answer.framing);
    reader.read("echo", answer.echo);
    reader.read("cut", answer.cut);
    reader.read("reset", answer.reset);
    if (!reader.complete())
        throw std::runtime_error("unknown field of a continuation");
}

std::string replaceId(std::string text, const std::string &id)
{
    for (std::size_t at = text.find("ID"); at != std::string::npos;
         at = text.find("ID", at + id.size()))
        text.replace(at, 2, id);
    return text;
}

// Splits the body into two chunks, so that it can be cut between them.
std::string inChunks(const std::string &body)
{
    std::string framed;
    for (const std::string &part :
         { body.substr(0, body.size() / 2), body.substr(body.size() / 2) }) {
        std::array<char, 32> size{};
        std::snprintf(size.data(), size.size(), "%zx\r\n", part.size());
        framed += part.empty() ? "" : size.data() + part + "\r\n";
    }
    return framed + "0\r\n\r\n";
}

struct engine_faults
{
    std::int64_t dieAfterTokens = -1;    // Drop the connection after n tokens of a call; -1 never.
    std::int64_t silentAfterTokens = -1; // Send nothing more after n tokens of a call; -1 never.
    std::int64_t emptyAnswers = 0;       // Number of coming calls that get an empty 200.
    std::int64_t wrongIdAnswers = 0;     // Number of coming calls that echo another request id.
    std::int64_t delayFirstMs = 0;       // Added before the first token.
    std::int64_t delayTokenMs = 0;       // Added before each token.
    std::string slowVersion;             // When set, only this version has the added delays.
    std::string failVersion;             // This version answers 500.
    std::string exitMarker;              // A prompt that contains it ends the process.
    std::int64_t exitAfterTokens = -1;   // When set, after this many tokens of its stream.
    continuation_answer continuation;    // Answer to a call that resumes a stream.
    std::int64_t cutFirstAtByte = -1;    // Ends the next call from token 0 after n response bytes.
    bool cutWithReset = false;           // The cut is a reset.
    std::string cutTail;                 // Sent at the cut.
    std::int64_t omitEndMarkers = 0;     // Number of coming streams without [DONE].
    std::string wholeUsage;              // When set, the usage of whole answers, as JSON.
    engine_statements statements;        // What all answers state about new calls.
};

struct completion_call
{
    std::string prompt;
    std::string model;
    std::string requestId;
    std::string salt;
    bool chat = false;
    bool stream = false;
    std::int64_t maxTokens = DefaultMaxTokens;
    std::int64_t resumeFrom = 0;
    std::uint64_t priority = 0;
    std::uint64_t promptTokens = 0;

    // Filled when the call begins to run.
    std::string version;
    std::uint64_t promptHash = 0;
    std::uint64_t cachedTokens = 0;
    bool emptyAnswer = false;
    bool wrongId = false;
    bool omitEndMarker = false;
    std::int64_t cutAtByte = -1;
    bool cutWithReset = false;
    std::string cutTail;
    std::optional<continuation_answer> continuation;
    std::size_t receivedIndex = 0;
    engine_statements statements;
    std::string attemptId; // As a router of the platform sends it; empty for the own interface.
};

std::string chatPrompt(const nlohmann::json &body)
{
    std::string prompt;
    for (const auto &message : body.at("messages")) {
        prompt += message.at("role").get<std::string>() + "\n";
        prompt += message.at("content").get<std::string>() + "\n";
    }
    return prompt;
}

completion_call parseCall(const http_request &request)
{
    const nlohmann::json body = nlohmann::json::parse(request.body);
    completion_call call;
    call.chat = request.path == "/v1/chat/completions";
    call.prompt = call.chat ? chatPrompt(body) : body.at("prompt").get<std::string>();
    call.model = body.value("model", "");
    call.stream = body.value("stream", false);
    call.maxTokens = body.value("max_tokens", DefaultMaxTokens);
    call.requestId = request.header("X-Request-Id");
    call.salt = request.header("X-Cache-Salt");
    call.attemptId = request.header("X-Burdockhold-Attempt-Id");
    call.resumeFrom = std::strtoll(request.header("X-Resume-From").c_str(), nullptr, 10);
    call.priority = std::strtoull(request.header("X-Priority").c_str(), nullptr, 10);
    call.promptTokens = (call.prompt.size() + BytesPerToken - 1) / BytesPerToken;
    return call;
}

class engine
{
public:
    explicit engine(engine_options options)
        : m_options(std::move(options))
        , m_version(m_options.version)
        , m_cache(m_options.cacheBlocks)
        , m_control([this](field_reader &reader) { readFaults(reader); })
    {
        m_faults.statements = m_options.statements;
    }

    void handle(const http_request &request, connection &peer)
    {
        if (m_control.handle(request, peer))
            return;
        const std::string target = request.method + " " + request.path;
        if (target == "POST /v1/completions" || target == "POST /v1/chat/completions")
            complete(request, peer);
        else if (target == "GET /load")
            load(peer);
        else if (target == "GET /cache_events")
            cacheEvents(request, peer);
        else if (target == "POST /orders")
            order(request, peer);
        else if (target == "GET /received")
            peer.respond(200, nlohmann::json{ { "requests", m_received.toJson() } });
        else
            respondNotFound(peer);
    }

private:
    void readFaults(field_reader &reader)
    {
        const std::lock_guard lock(m_mutex);
        reader.read("die_after_tokens", m_faults.dieAfterTokens);
        reader.read("silent_after_tokens", m_faults.silentAfterTokens);
        reader.read("empty_answers", m_faults.emptyAnswers);
        reader.read("wrong_id_answers", m_faults.wrongIdAnswers);
        reader.read("delay_first_ms", m_faults.delayFirstMs);
        reader.read("delay_token_ms", m_faults.delayTokenMs);
        reader.read("slow_version", m_faults.slowVersion);
        reader.read("fail_version", m_faults.failVersion);
        reader.read("exit_marker", m_faults.exitMarker);
        reader.read("exit_after_tokens", m_faults.exitAfterTokens);
        reader.read("continuation", m_faults.continuation);
        reader.read("cut_first_at_byte", m_faults.cutFirstAtByte);
        reader.read("cut_with_reset", m_faults.cutWithReset);
        reader.read("cut_tail", m_faults.cutTail);
        reader.read("omit_end_markers", m_faults.omitEndMarkers);
        reader.read("whole_usage", m_faults.wholeUsage);
        reader.read("lose_cache_events", m_cache.loseEvents);
        reader.read("leaving", m_faults.statements.leaving);
        reader.read("answer_status", m_faults.statements.status);
        reader.read("retry_after", m_faults.statements.retryAfter);
        reader.read("no_length", m_faults.statements.noLength);
    }

    engine_faults faults()
    {
        const std::lock_guard lock(m_mutex);
        return m_faults;
    }

    bool isDeadly(const completion_call &call)
    {
        const std::string marker = faults().exitMarker;
        return !marker.empty() && call.prompt.find(marker) != std::string::npos;
    }

    void complete(const http_request &request, connection &peer)
    {
        completion_call call = parseCall(request);
        call.receivedIndex = m_received.add(request);
        if (isDeadly(call) && faults().exitAfterTokens < 0)
            _exit(PoisonExitStatus);
        call.statements = faults().statements;
        if (call.statements.status != 0)
            return refuse(call, peer);
        if (!begin(call, peer)) {
            m_received.noteOutcome(call.receivedIndex, "cancelled");
            return;
        }
        run(call, peer);
        const std::lock_guard lock(m_mutex);
        --m_running;
        m_changed.notify_all();
    }

    // Answers without running the call.
    void refuse(const completion_call &call, connection &peer)
    {
        std::vector<http_field> headers = statementFields(call);
        headers.push_back({ "X-Request-Id", call.requestId });
        for (const std::string &text : call.statements.retryAfter)
            headers.push_back({ "Retry-After", text });
        const int status = call.statements.status;
        if (status == 503 || status == 421)
            headers.push_back({ "X-Burdockhold-Not-Executed", "1" });
        m_received.noteOutcome(call.receivedIndex, "refused");
        const nlohmann::json body{ { "error", "refused by the stand-in's settings" } };
        if (call.statements.noLength)
            return peer.respondWithoutLength(status, body.dump(), headers);
        peer.respond(status, body, headers);
    }

    // Waits for a place among the running calls: lowest priority number first, then by arrival.
    // Returns false when the caller went away while waiting.
    bool begin(completion_call &call, connection &peer)
    {
        std::unique_lock lock(m_mutex);
        const auto place = m_waiting.emplace(call.priority, m_arrivals++).first;
        m_queuedTokens += call.promptTokens;
        bool gone = false;
        while (!gone && (place != m_waiting.begin() || isFull())) {
            m_changed.wait_for(lock, std::chrono::milliseconds(10));
            gone = peer.waitForClose(std::chrono::nanoseconds(0));
        }
        m_waiting.erase(place);
        m_queuedTokens -= call.promptTokens;
        m_changed.notify_all();
        if (gone)
            return false;
        ++m_running;
        m_received.noteDispatch(call.receivedIndex);
        prepare(call);
        return true;
    }

    bool isFull() const { return m_options.maxRunning > 0 && m_running >= m_options.maxRunning; }

    void prepare(completion_call &call)
    {
        call.version = m_version;
        call.promptHash = hash64(call.prompt, hash64(call.version));
        const std::size_t hits = m_cache.use(blocksOf(call));
        call.cachedTokens = hits * m_options.blockTokens;
        call.emptyAnswer = m_faults.emptyAnswers > 0;
        m_faults.emptyAnswers -= call.emptyAnswer ? 1 : 0;
        call.wrongId = m_faults.wrongIdAnswers > 0;
        m_faults.wrongIdAnswers -= call.wrongId ? 1 : 0;
        call.omitEndMarker = m_faults.omitEndMarkers > 0;
        m_faults.omitEndMarkers -= call.omitEndMarker ? 1 : 0;
        if (call.resumeFrom == 0) {
            call.cutAtByte = std::exchange(m_faults.cutFirstAtByte, -1);
            call.cutWithReset = m_faults.cutWithReset;
            call.cutTail = m_faults.cutTail;
        }
        if (call.resumeFrom > 0 && m_faults.continuation.count > 0) {
            --m_faults.continuation.count;
            call.continuation = m_faults.continuation;
        }
    }

    // Only full blocks are cached.
    std::vector<std::uint64_t> blocksOf(const completion_call &call) const
    {
        const std::uint64_t size = m_options.blockTokens * BytesPerToken;
        std::vector<std::uint64_t> blocks;
        std::uint64_t chain = hash64(call.salt);
        for (std::uint64_t start = 0; start + size <= call.prompt.size(); start += size) {
            chain = hash64(std::string_view(call.prompt).substr(start, size), chain);
            blocks.push_back(chain);
        }
        return blocks;
    }

    void run(const completion_call &call, connection &peer)
    {
        if (faults().failVersion == call.version) {
            m_received.noteOutcome(call.receivedIndex, "failed");
            return peer.respond(500, nlohmann::json{ { "error", "this version fails" } },
                                statementFields(call));
        }
        if (call.emptyAnswer) {
            m_received.noteOutcome(call.receivedIndex, "empty");
            return peer.respond(200, std::string(), responseHeaders(call));
        }
        if (call.continuation) {
            m_received.noteOutcome(call.receivedIndex, "continuation");
            return answerContinuation(call, peer);
        }
        if (call.cutAtByte >= 0)
            peer.endAfter(static_cast<std::size_t>(call.cutAtByte), call.cutWithReset,
                          call.cutTail);
        const double prefillMs = m_options.prefillUsPerToken / 1000.0
                                 * static_cast<double>(call.promptTokens - call.cachedTokens);
        if (!pause(peer, prefillMs + slowness(call, faults().delayFirstMs))) {
            m_received.noteOutcome(call.receivedIndex, "cancelled");
            return;
        }
        if (call.stream)
            peer.startStream(responseHeaders(call), "text/event-stream");
        std::int64_t sent = 0;
        const std::string outcome = generate(call, peer, sent);
        m_received.noteOutcome(call.receivedIndex, outcome, sent);
    }

    static void answerContinuation(const completion_call &call, connection &peer)
    {
        const continuation_answer &answer = *call.continuation;
        std::string body = replaceId(answer.body, call.requestId);
        std::string head = "HTTP/1.1 " + std::to_string(answer.status)
                           + " -\r\nContent-Type: " + answer.contentType + "\r\n";
        for (const http_field &field : statementFields(call))
            head += field.name + ": " + field.value + "\r\n";
        if (answer.echo != "missing")
            head += "X-Request-Id: " + (answer.echo == "own" ? call.requestId : "another") + "\r\n";
        if (answer.framing == "length")
            head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        if (answer.framing == "chunks") {
            head += "Transfer-Encoding: chunked\r\n";
            body = inChunks(body);
        }
        head += "\r\n";
        if (answer.cut >= 0)
            peer.endAfter(head.size() + static_cast<std::size_t>(answer.cut), answer.reset);
        peer.sendRaw(head + body);
        if (answer.framing == "none" || answer.reset)
            answer.reset ? peer.reset() : peer.drop();
    }

    double slowness(const completion_call &call, std::int64_t delayMs)
    {
        const std::string only = faults().slowVersion;
        return only.empty() || only == call.version ? static_cast<double>(delayMs) : 0.0;
    }

    // Returns false when the caller went away.
    static bool pause(connection &peer, double milliseconds)
    {
        const std::chrono::duration<double, std::milli> time(milliseconds);
        return !peer.waitForClose(std::chrono::duration_cast<std::chrono::nanoseconds>(time));
    }

    // Sends the tokens and returns the outcome.
    std::string generate(const completion_call &call, connection &peer, std::int64_t &sent)
    {
        std::string text;
        for (std::int64_t index = call.resumeFrom; index <= call.maxTokens; ++index) {
            const engine_faults now = faults();
            if (sent == now.exitAfterTokens && isDeadly(call))
                _exit(PoisonExitStatus);
            if (sent == now.dieAfterTokens) {
                peer.drop();
                return "died";
            }
            if (sent == now.silentAfterTokens) {
                peer.hang();
                return "silent";
            }
            if (index == call.maxTokens)
                break;
            if (!pause(peer, m_options.tokenMs + slowness(call, now.delayTokenMs)))
                return "cancelled";
            const std::string token = outputToken(call.promptHash, index);
            text += token;
            if (call.stream && !sendToken(call, peer, index, token))
                return "cancelled";
            ++sent;
        }
        finish(call, peer, text);
        return peer.isOpen() ? "answered" : "cancelled";
    }

    // The last token's event carries the usage.
    static bool sendToken(const completion_call &call, connection &peer, std::int64_t index,
                          const std::string &token)
    {
        nlohmann::json event = responseObject(call, token, index + 1 >= call.maxTokens);
        event["token_index"] = index;
        return peer.sendChunk("data: " + event.dump() + "\n\n");
    }

    void finish(const completion_call &call, connection &peer, const std::string &text)
    {
        if (!call.stream) {
            nlohmann::json object = responseObject(call, text, true);
            const std::string usage = faults().wholeUsage;
            if (!usage.empty())
                object["usage"] = nlohmann::json::parse(usage);
            if (call.statements.noLength)
                return peer.respondWithoutLength(200, object.dump(), responseHeaders(call));
            return peer.respond(200, object, responseHeaders(call));
        }
        // A stream resumed after its last token still needs an event that carries the usage.
        if (call.resumeFrom >= call.maxTokens)
            sendToken(call, peer, call.maxTokens, "");
        if (!call.omitEndMarker)
            peer.sendChunk("data: [DONE]\n\n");
        peer.endStream();
    }

    static nlohmann::json responseObject(const completion_call &call, const std::string &text,
                                         bool withUsage)
    {
        nlohmann::json choice{ { "index", 0 }, { "text", text } };
        if (call.chat && !call.stream)
            choice["message"] = { { "role", "assistant" }, { "content", text } };
        else if (call.chat)
            choice["delta"] = { { "content", text } };
        nlohmann::json object{ { "id", call.requestId },
                               { "object", call.chat ? "chat.completion" : "text_completion" },
                               { "model", call.model },
                               { "choices", nlohmann::json::array({ choice }) } };
        if (withUsage) {
            object["choices"][0]["finish_reason"] = "length";
            object["usage"] = { { "prompt_tokens", call.promptTokens },
                                { "completion_tokens", call.maxTokens },
                                { "cached_tokens", call.cachedTokens } };
        }
        return object;
    }

    static std::vector<http_field> responseHeaders(const completion_call &call)
    {
        std::vector<http_field> headers{ { "X-Engine-Incarnation", incarnation() },
                                         { "X-Weights-Version", call.version },
                                         { "X-Cached-Tokens", std::to_string(call.cachedTokens) },
                                         { "X-Prompt-Tokens", std::to_string(call.promptTokens) },
                                         { "X-Request-Id",
                                           call.wrongId ? "another-request" : call.requestId } };
        for (http_field &field : statementFields(call))
            headers.push_back(std::move(field));
        return headers;
    }

    // Fields of every answer to a call, an error included.
    static std::vector<http_field> statementFields(const completion_call &call)
    {
        std::vector<http_field> fields;
        if (call.statements.leaving)
            fields.push_back({ "Server-Leaving", "1" });
        if (!call.attemptId.empty()) {
            fields.push_back({ "X-Burdockhold-Attempt-Id", call.attemptId });
            fields.push_back({ "X-Burdockhold-Server-Stamp", incarnation() });
        }
        return fields;
    }

    static const std::string &incarnation()
    {
        static const std::string value = newIncarnation();
        return value;
    }

    void load(connection &peer)
    {
        const std::lock_guard lock(m_mutex);
        peer.respond(200, nlohmann::json{ { "incarnation", incarnation() },
                                          { "weights_version", m_version },
                                          { "queued_tokens", m_queuedTokens },
                                          { "running", m_running },
                                          { "cached_blocks", m_cache.size() } });
    }

    void cacheEvents(const http_request &request, connection &peer)
    {
        const std::lock_guard lock(m_mutex);
        peer.respond(200,
                     nlohmann::json{ { "incarnation", incarnation() },
                                     { "next", m_cache.nextSequence() },
                                     { "events", m_cache.events(request.number("from", 1)) } });
    }

    // An order is accepted at once; /load shows the new version when it has been loaded.
    void order(const http_request &request, connection &peer)
    {
        const nlohmann::json body = nlohmann::json::parse(request.body);
        const std::string version = body.at("version").get<std::string>();
        const std::uint64_t fencing = body.at("fencing").get<std::uint64_t>();
        if (body.at("order") != "load_version")
            return peer.respond(400, nlohmann::json{ { "error", "unknown order" } });
        const std::size_t index = m_received.add(request);
        m_received.noteDispatch(index);
        std::unique_lock lock(m_mutex);
        if (m_options.checkFencing && fencing < m_highestFencing) {
            const std::uint64_t highest = m_highestFencing;
            lock.unlock();
            m_received.noteOutcome(index, "refused");
            return peer.respond(409, nlohmann::json{ { "fencing", highest } });
        }
        m_highestFencing = std::max(m_highestFencing, fencing);
        startLoading(version);
        lock.unlock();
        m_received.noteOutcome(index, "accepted");
        peer.respond(202, nlohmann::json{ { "accepted", version } });
    }

    // Repeating an order for the version that is loaded or loading changes nothing.
    void startLoading(const std::string &version)
    {
        if (version == m_loading.value_or(m_version))
            return;
        m_loading = version;
        const std::uint64_t number = ++m_loads;
        std::thread([this, version, number] {
            std::this_thread::sleep_for(std::chrono::milliseconds(m_options.loadMs));
            const std::lock_guard lock(m_mutex);
            if (number != m_loads)
                return;
            m_version = version;
            m_loading.reset();
            m_cache.clear();
        }).detach();
    }

    const engine_options m_options;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::string m_version;
    std::optional<std::string> m_loading;
    std::uint64_t m_loads = 0;
    std::uint64_t m_highestFencing = 0;
    prefix_cache m_cache;
    engine_faults m_faults;
    std::set<std::pair<std::uint64_t, std::uint64_t>> m_waiting; // Priority, arrival.
    std::uint64_t m_arrivals = 0;
    std::uint64_t m_queuedTokens = 0;
    std::uint64_t m_running = 0;
    received_log m_received;
    fault_control m_control;
};

} // namespace

int runEngine(std::uint16_t port, const engine_options &options)
{
    engine service(options);
    return serve(port, [&](const http_request &request, connection &peer) {
        service.handle(request, peer);
    });
}

} // namespace burdockhold::standin
