#ifndef BURDOCKHOLD_SUPPORT_PLATFORM_H
#define BURDOCKHOLD_SUPPORT_PLATFORM_H

// A fake of the users' platform on loopback that follows the published protocol: the log with its
// keyed topics and groups, and HTTP servers for engines whose behaviour a test sets call by call.
// Each connection has its own thread. Tests start the real router program against it.

#include "testing/support_log_group.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace burdockhold::testing {

/// An HTTP request that a fake server has received.
struct recorded_request
{
    std::string method;
    std::string target;
    std::map<std::string, std::string> fields; ///< Header fields, with names in lower case.
    std::string body;
    bool isFirstOnConnection = true;

    /// Returns the value of a header field, or an empty string if the request has no such field.
    std::string field(const std::string &name) const;
};

/// The connection on which a fake server writes its response.
class response_socket
{
public:
    explicit response_socket(int descriptor)
        : m_descriptor(descriptor)
    {
    }

    /// Returns false if the bytes could not be sent, for example because the peer closed the
    /// connection.
    bool write(const std::string &bytes);

    /// Waits at most the given time for the peer to close; returns true if it has closed.
    bool peerClosed(int milliseconds);

    /// Makes the next close of the connection send a TCP reset.
    void reset();

private:
    int m_descriptor;
};

/// Writes the response to one request. Returning false closes the connection.
using request_handler = std::function<bool(const recorded_request &, response_socket &)>;

/// An HTTP server on 127.0.0.1 with a free port.
class fake_server
{
public:
    explicit fake_server(request_handler handler);
    ~fake_server();
    fake_server(const fake_server &) = delete;
    fake_server &operator=(const fake_server &) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

    /// Refuses new connections from now on. Open connections stay open.
    void stopListening();

    /// Drops all packets from these IP addresses, as a partition does; empty ends it. Without
    /// openToo, connections that are open now stay as they are.
    /// Lasts over crash() and listenAgain().
    void cutOff(const std::set<std::string> &addresses, bool openToo = true);

    /// Resets all connections and refuses new ones, as a process that crashed.
    void crash();

    /// Listens again at the same address after crash(). Returns false if the port is taken.
    bool listenAgain();

private:
    void acceptConnections();
    void serveConnection(int descriptor);
    void reapFinishedThreads();

    request_handler m_handler;
    std::atomic<int> m_listener{ -1 };
    int m_port = 0;
    std::atomic<bool> m_stopping{ false };
    std::mutex m_mutex;
    std::vector<int> m_connections;
    std::set<std::string> m_cutAddresses;
    std::map<std::thread::id, std::thread> m_threads;
    std::vector<std::thread::id> m_finishedThreads;
    std::thread m_acceptor;
};

/// Partitions of a topic, as the settings of the routers state them.
inline constexpr int DutyPartitions = 12;

/// What a faulty log does with a call.
enum class log_fault { None, Unavailable, Reset, LostAnswer, Slow };

/// Delay of a call with log_fault::Slow.
inline constexpr int SlowLogMs = 700;

/// A fake of the log: topics with one partition and keyed records, and groups
/// (support_log_group.h).
class fake_log_service
{
public:
    fake_log_service();

    std::string address() const { return m_server.address(); }
    void put(const std::string &topic, const std::string &key, const std::string &value);
    void remove(const std::string &topic, const std::string &key);

    /// Returns the keys of all records that were written to the topic.
    std::set<std::string> keys(const std::string &topic);

    /// While true, every call gets status 503.
    void setUnavailable(bool unavailable) { m_unavailable = unavailable; }

    /// While true, every call gets a successful response whose body is written until the peer
    /// closes, for at most one minute.
    void setEndlessResponses(bool endless) { m_endless = endless; }

    /// Deletes the records of all topics so far from the reads; the newest record of each key
    /// stays.
    void forgetHistory();

    /// Sets a function that decides the fault of each call by its target. Set before any call.
    void setFaults(std::function<log_fault(const std::string &target)> faults);

    /// Sets a function that changes the value of each record that is appended. Set before any call.
    void setAppendFilter(std::function<std::string(const std::string &topic, const std::string &key,
                                                   const std::string &value)>
                                 filter);

    /// Makes memberships of groups end by their ttl. Set before any call.
    void endMemberships() { m_groupOptions.membershipsEnd = true; }

    /// Sets how groups behave. Set before any call.
    void setGroupOptions(const log_group_options &options) { m_groupOptions = options; }

    /// Returns the member that holds the partition of the duty's group, or an empty string.
    std::string dutyHolder(const std::string &pool);

    /// Takes all partitions of all groups from their holders, who get none for the given time
    /// unless another member has joined before.
    void reassignAll(std::chrono::milliseconds barredFor);

    /// Sets the era that every answer states from now on; 0 states none.
    void setEra(std::int64_t era) { m_era = era; }

    /// Keeps a copy of all topics and groups.
    void takeCopy();

    /// Goes back to the copy, as a service that is restored: what was acknowledged since is gone,
    /// its offsets and generations are given out again, waiting calls get no answer, and the era,
    /// if there is one, rises by one. Memberships have the time left that they had in the copy.
    void returnFromCopy();

    /// The number of calls received since the start.
    int callCount() const { return m_calls; }

private:
    struct record
    {
        std::string key;
        std::string value;
        bool removed = false;
    };

    /// What a copy of the log contains.
    struct log_contents
    {
        std::map<std::string, std::vector<record>> topics;
        std::map<std::string, std::uint64_t> firstOffsets;
        std::map<std::string, log_group> groups;
    };

    bool respond(const recorded_request &request, response_socket &socket);
    bool respondFaulty(log_fault fault, const recorded_request &request, response_socket &socket);
    std::string answer(const recorded_request &request);
    std::string append(const recorded_request &request);
    std::string read(const recorded_request &request);
    std::string latestRecords(const std::string &topic);
    std::string readPage(const std::string &topic, std::uint64_t from);
    std::string joinGroup(const std::string &body);
    std::string leaveGroup(const std::string &body);
    std::string withEra(std::string response) const;
    log_group &groupOf(const std::string &name);
    /// The time of the groups' clock, which stands still between a copy and the return to it.
    std::chrono::nanoseconds groupTime() const;

    std::mutex m_mutex;
    log_contents m_contents;
    log_contents m_copy;
    std::chrono::nanoseconds m_copiedAt{ 0 };
    std::chrono::nanoseconds m_groupTimeLost{ 0 };
    std::atomic<std::int64_t> m_era{ 0 };
    std::atomic<int> m_returns{ 0 }; // From a copy.
    std::function<log_fault(const std::string &)> m_faults;
    std::function<std::string(const std::string &, const std::string &, const std::string &)>
            m_appendFilter;
    log_group_options m_groupOptions{ DutyPartitions, false, true };
    std::atomic<bool> m_unavailable{ false };
    std::atomic<int> m_calls{ 0 };
    std::atomic<bool> m_endless{ false };
    fake_server m_server;
};

/// Name and place of a router among several.
struct router_place
{
    std::string vm = "vm-1";
    std::string dataCentre = "dc1";
    std::string ip; ///< An own loopback address, with fixed ports; if empty, 127.0.0.1, free ports.
    int toleranceTokens = 72000; ///< Tokens by which an account's limit may be exceeded.
    int repeatSlack = 400;       ///< Repeats in ten seconds besides the ratio of the requests.
    bool enginesCheckFences = true;
    int memoryMb = 110;
    int descriptors = 1024;      ///< As stated in the settings.
    int enforcedDescriptors = 0; ///< Limit that the system enforces; 0 leaves it as it is.
    bool callsFromIp = false;    ///< Connections to endpoints come from `ip`.
    std::string program = {};    ///< Of another build; if empty, this build's router.
};

/// The router program, started on free ports with the log at the given address.
class router_process
{
public:
    explicit router_process(const std::string &logAddress, const router_place &place = {});
    ~router_process();
    router_process(const router_process &) = delete;
    router_process &operator=(const router_process &) = delete;

    std::string callerAddress() const { return m_callerAddress; }
    std::string readyAddress() const { return m_readyAddress; }

    /// Returns the lines that the process has logged.
    std::string logText() const;
    void terminate() const;
    void signal(int number) const;
    bool hasExited() const;

    /// Starts the program again, with the same settings, after it has exited.
    void startAgain();

    /// Exit code, or 128 + the number of the signal, of a process that has exited.
    int exitCode() const;

    /// Peak resident memory of the process.
    std::size_t peakMemoryBytes() const;

    /// The number of descriptors that the process has open.
    std::size_t openDescriptors() const;

    /// The port on which the router receives gossip digests of other VMs.
    int peerPort() const { return m_peerPort; }

    /// Waits at most ten seconds until the load balancer's readiness check gets status 200, or
    /// another status if ready is false. Returns false on timeout.
    bool waitReady(bool ready) const;

private:
    void spawn();

    int m_process = -1;
    std::string m_callerAddress;
    std::string m_readyAddress;
    std::string m_program;
    std::string m_settingsFile;
    std::string m_logFile;
    int m_peerPort = 0;
    int m_enforcedDescriptors = 0;
};

/// Writes the bytes repeatedly until the peer closes, for at most the given time. Returns false if
/// the peer has not closed by then.
bool writeUntilClosed(response_socket &socket, const std::string &bytes, int milliseconds);

/// Sends the bytes over a new connection and returns what has been received by the end of the
/// response's header, the close or the timeout, whichever comes first.
std::string exchangeBytes(const std::string &address, const std::string &bytes, int milliseconds);

/// A caller's connection.
class test_caller
{
public:
    explicit test_caller(const std::string &address);
    ~test_caller();
    test_caller(const test_caller &) = delete;
    test_caller &operator=(const test_caller &) = delete;

    void send(const std::string &bytes) const;
    /// Reads until the received bytes contain the text, the peer closes or the timeout expires.
    /// Returns all bytes received on the connection.
    std::string readUntil(const std::string &text, int milliseconds);
    bool closedByPeer() const { return m_closed; }
    /// Returns whether the peer closed the connection by a reset.
    bool resetByPeer() const { return m_reset; }
    void close();

private:
    int m_descriptor = -1;
    std::string m_received;
    bool m_closed = false;
    bool m_reset = false;
};

} // namespace burdockhold::testing

#endif
