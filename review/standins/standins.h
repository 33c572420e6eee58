#ifndef BURDOCKHOLD_REVIEW_STANDINS_H
#define BURDOCKHOLD_REVIEW_STANDINS_H

// Stand-ins of the platform's log, of engines and of clients on loopback, and the router program as
// the deploy file starts it. They follow the platform's pages; where these are silent, they behave
// like a sound peer. Each connection of a server has a thread of its own.

#include <nlohmann/json.hpp>

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

using json = nlohmann::json;
using steady_clock = std::chrono::steady_clock;
using time_point = steady_clock::time_point;

/// Returns false if the variable TROUBLE is 0: the disruption is left out.
bool isTroubled();

/// Writes lines with the time since the start to record.txt in the case's folder.
class record
{
public:
    explicit record(const std::string &folder);
    void line(const std::string &text);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    time_point m_start;
};

struct http_message
{
    std::string startLine;
    std::string method;                        ///< Of a request.
    std::string target;                        ///< Of a request.
    int status = 0;                            ///< Of a response; 0 if none has arrived.
    std::map<std::string, std::string> fields; ///< Names in lower case.
    std::string body;
    bool complete = false;

    std::string field(const std::string &name) const;
};

/// One end of a TCP connection.
class stream_socket
{
public:
    explicit stream_socket(int descriptor);
    ~stream_socket();
    stream_socket(const stream_socket &) = delete;
    stream_socket &operator=(const stream_socket &) = delete;

    bool send(const std::string &bytes) const;
    /// Reads a message with a length or in chunks. A response without either ends with the
    /// connection. Calls headRead, if set, when the head is complete.
    http_message readMessage(const std::function<void(const http_message &)> &headRead = {});
    /// Limits each wait for bytes.
    void setTimeout(std::chrono::milliseconds timeout) const;
    void shutDown() const;

private:
    bool readMore();
    bool readChunks(std::string &body);

    int m_descriptor;
    std::string m_buffer;
};

/// Opens a connection to IP:PORT; null if it is refused.
std::shared_ptr<stream_socket> connectTo(const std::string &address);

/// Returns an address on 127.0.0.1 whose port is free for TCP and UDP.
std::string freeAddress();

/// A server on loopback. The handler serves one connection until it returns.
class socket_server
{
public:
    using handler = std::function<void(stream_socket &)>;
    explicit socket_server(handler serve);
    ~socket_server();
    socket_server(const socket_server &) = delete;
    socket_server &operator=(const socket_server &) = delete;

    std::string address() const { return m_address; }

private:
    void acceptConnections();

    handler m_serve;
    std::string m_address;
    int m_listener = -1;
    std::atomic<bool> m_stopping{ false };
    std::mutex m_mutex;
    std::vector<std::shared_ptr<stream_socket>> m_sockets;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

/// The platform's log: partitions with offsets, the newest record of each key, and groups.
class log_store
{
public:
    log_store();
    ~log_store();
    log_store(const log_store &) = delete;
    log_store &operator=(const log_store &) = delete;

    std::string address() const { return m_server->address(); }
    /// Appends what the operator or an engine writes.
    void put(const std::string &topic, const std::string &key, const std::string &value);

private:
    struct partition_log
    {
        std::vector<std::string> records; ///< Without their length.
    };
    struct membership
    {
        time_point until;
        std::int64_t generation = 0; ///< With which it last joined.
    };
    struct group_state
    {
        std::int64_t generation = 0;
        std::map<std::string, membership> members;
        std::map<std::string, std::string> owners; ///< By topic and partition.
    };

    void serve(stream_socket &socket);
    std::string answer(const http_message &request);
    std::string append(const http_message &request);
    std::string read(const http_message &request);
    std::string newest(const http_message &request);
    std::string join(const json &body);
    std::string leave(const json &body);
    static void expire(group_state &group);
    static void deal(group_state &group, const std::string &topic);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopping = false;
    std::map<std::string, partition_log> m_partitions;
    std::map<std::string, group_state> m_groups;
    std::unique_ptr<socket_server> m_server;
};

/// A call as an engine has received it.
struct engine_call
{
    std::string id;
    std::string method;
    std::string target;
    std::string tenant;
    std::size_t bodyBytes = 0;
    std::string body;
    bool whole = false; ///< It was read whole, and run.
};

/// An engine of a plain service.
class plain_engine
{
public:
    plain_engine(std::string id, std::chrono::milliseconds work);

    std::string id() const { return m_id; }
    std::string address() const { return m_server->address(); }
    /// Returns the engine's entry in the log.
    std::string entry(const std::string &service, const std::string &zone, int slots) const;
    std::vector<engine_call> calls();

private:
    void serve(stream_socket &socket);
    std::string run(std::size_t call, const http_message &request);
    std::size_t noteHead(const http_message &request);

    std::string m_id;
    std::chrono::milliseconds m_work;
    std::mutex m_mutex;
    std::vector<engine_call> m_calls;
    std::unique_ptr<socket_server> m_server;
};

/// The router, with the command of the deploy file and settings from its template.
class router_program
{
public:
    /// The folder is a temporary one of the case, the log address that of the log_store.
    router_program(std::string folder, const std::string &name, const std::string &logAddress);
    ~router_program();
    router_program(const router_program &) = delete;
    router_program &operator=(const router_program &) = delete;

    bool start();
    void signal(int number) const;
    /// Waits for the end of the process.
    void awaitEnd();
    bool isRunning() const { return m_process > 0; }
    /// Waits until the ready address answers 200.
    bool waitReady() const;
    std::string callerAddress() const { return m_callers; }
    double residentMb() const;
    double memoryMb() const { return MemoryMb; }
    std::string log() const;

private:
    static constexpr double MemoryMb = 110;

    std::string m_folder;
    std::string m_name;
    std::string m_callers;
    std::string m_ready;
    std::string m_settings;
    std::string m_logFile;
    std::atomic<pid_t> m_process{ -1 };
};

/// Runs a case with a temporary folder and the record in the given folder, and writes whether the
/// rule holds. Returns the exit code: 1 if the rule was broken, 0 if not, 2 if the case could not
/// run.
int runCase(const std::string &recordFolder, const std::string &rule,
            const std::function<int(const std::string &folder, record &out)> &run);

} // namespace review

#endif
