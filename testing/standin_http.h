#ifndef BURDOCKHOLD_STANDIN_HTTP_H
#define BURDOCKHOLD_STANDIN_HTTP_H

// A small HTTP/1.1 server for the stand-ins, on plain sockets with one thread per connection. The
// stand-ins must drop connections and leave them silent at a chosen byte, which a server library
// does not offer. Requests with a length or in chunks are read; connections are kept alive.

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhold::standin {

struct http_field
{
    std::string name;
    std::string value;
};

struct http_request
{
    std::string method;
    std::string path; ///< Without the query.
    std::map<std::string, std::string> query;
    std::vector<http_field> headers;
    std::string body;

    /// Returns the value of a header, or an empty string. Case of the name does not matter.
    std::string header(std::string_view name) const;

    /// Returns a number from the query, or fallback when it is missing or no number.
    std::uint64_t number(const std::string &name, std::uint64_t fallback) const;
};

/// The server's side of one connection. After drop() or a failed write the connection is closed.
class connection
{
public:
    explicit connection(int descriptor);
    ~connection();
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;

    /// Reads the next request. Returns false at the end of the connection.
    bool read(http_request &request);

    /// Sends a whole response.
    void respond(int status, const std::string &body, const std::vector<http_field> &headers = {},
                 const std::string &contentType = "application/json");

    /// Sends a response with a JSON body.
    void respond(int status, const nlohmann::json &body,
                 const std::vector<http_field> &headers = {});

    /// Sends a whole JSON response without a length, which ends with the connection.
    void respondWithoutLength(int status, const std::string &body,
                              const std::vector<http_field> &headers);

    /// Starts a response in chunks.
    void startStream(const std::vector<http_field> &headers, const std::string &contentType);

    /// Sends one chunk. Returns false when the peer has gone.
    bool sendChunk(std::string_view data);

    void endStream();

    /// Sends bytes as they are. Returns false when the peer has gone.
    bool sendRaw(std::string_view data);

    /// Closes the connection without a further byte.
    void drop();

    /// Closes the connection with a TCP reset.
    void reset();

    /// Closes the connection, in order or with a reset, once this many further bytes and the tail
    /// are sent.
    void endAfter(std::size_t bytes, bool withReset, std::string tail = {});

    /// Waits until the peer closes or the time is over. Returns true when the peer has closed.
    bool waitForClose(std::chrono::nanoseconds time);

    /// Waits until the peer closes, without answering.
    void hang();

    bool isOpen() const { return m_open; }

private:
    bool fill();
    bool readLine(std::string &line);
    bool readBytes(std::size_t count, std::string &bytes);
    bool readChunks(std::string &body);
    bool readHeaders(http_request &request);
    bool readBody(http_request &request);

    int m_descriptor;
    bool m_open = true;
    std::string m_buffer;
    std::optional<std::size_t> m_bytesLeft; ///< Set by endAfter().
    bool m_endWithReset = false;
    std::string m_endTail;
};

using http_handler = std::function<void(const http_request &, connection &)>;

/// Listens on 127.0.0.1, prints "listening URL", and serves until SIGTERM or SIGINT. Port 0 means a
/// free one. Returns the exit status of the program.
int serve(std::uint16_t port, const http_handler &handler);

/// Faults that every role has. They do not apply to /faults, /stats and /received.
struct common_faults
{
    bool down = false;        ///< Answers 503.
    bool hang = false;        ///< Takes the request and never answers.
    std::int64_t delayMs = 0; ///< Delay before each request is handled.
};

/// Reads the fields of a JSON object into variables and remembers which it has seen, so that
/// misspelt fault names are refused.
class field_reader
{
public:
    explicit field_reader(const nlohmann::json &object)
        : m_object(object)
    {
    }

    template <typename T>
    void read(const char *name, T &target)
    {
        const auto found = m_object.find(name);
        if (found == m_object.end())
            return;
        found->get_to(target);
        ++m_seen;
    }

    /// Returns true when every field of the object was read.
    bool complete() const { return m_seen == m_object.size(); }

private:
    const nlohmann::json &m_object;
    std::size_t m_seen = 0;
};

/// The common faults and the handling of POST /faults.
class fault_control
{
public:
    /// Reads a role's own faults; called under the role's own lock, if it has one.
    using role_faults = std::function<void(field_reader &)>;

    explicit fault_control(role_faults readRole)
        : m_readRole(std::move(readRole))
    {
    }

    /// Handles POST /faults and the common faults. Returns true when the request is done with.
    bool handle(const http_request &request, connection &peer);

private:
    void set(const http_request &request, connection &peer);

    std::mutex m_mutex;
    common_faults m_faults;
    role_faults m_readRole;
};

/// The requests that a stand-in received, in order of arrival.
class received_log
{
public:
    /// Adds a request and returns its index.
    std::size_t add(const http_request &request);

    /// Notes that a request began to run; gives it the next dispatch number, from 1.
    void noteDispatch(std::size_t index);

    /// Notes how a request ended.
    void noteOutcome(std::size_t index, const std::string &outcome, std::int64_t tokens = 0);

    nlohmann::json toJson() const;

private:
    struct entry
    {
        http_request request;
        std::uint64_t dispatch = 0;
        std::string outcome = "waiting";
        std::int64_t tokens = 0;
    };

    mutable std::mutex m_mutex;
    std::vector<entry> m_entries;
    std::uint64_t m_dispatched = 0;
};

/// Removes and returns the first segment of a path: "/a/b" gives "a" and leaves "/b".
std::string takeSegment(std::string_view &path);

void respondNotFound(connection &peer);

} // namespace burdockhold::standin

#endif
