#ifndef BURDOCKHOLD_SUPPORT_PLATFORM_H
#define BURDOCKHOLD_SUPPORT_PLATFORM_H

// A stand-in for the users' platform on loopback, by its published protocol: the log with its keyed
// topics and groups, and engines whose behaviour a test sets call by call. One thread for each
// connection; a test starts the real router program against it.

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace burdockhold::testing {

/// A request as a stand-in has read it.
struct seen_request
{
    std::string method;
    std::string target;
    std::map<std::string, std::string> fields; ///< Names in lower case.
    std::string body;
    bool isFirstOnConnection = true;

    std::string field(const std::string &name) const;
};

/// A connection on which a stand-in answers.
class answer_socket
{
public:
    explicit answer_socket(int descriptor)
        : m_descriptor(descriptor)
    {
    }

    /// Returns false when the peer has gone.
    bool write(const std::string &bytes);

    /// True once the peer has closed, looking for at most the given time.
    bool peerClosed(int milliseconds);

    /// Ends the connection with a reset.
    void reset();

private:
    int m_descriptor;
};

/// Answers one request. Returning false closes the connection.
using request_handler = std::function<bool(const seen_request &, answer_socket &)>;

/// A listener on 127.0.0.1 with a free port.
class standin_server
{
public:
    explicit standin_server(request_handler handler);
    ~standin_server();
    standin_server(const standin_server &) = delete;
    standin_server &operator=(const standin_server &) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

    /// New connections are refused from now on; open ones stay.
    void stopListening();

private:
    void accept();
    void serve(int descriptor);

    request_handler m_handler;
    int m_listener = -1;
    int m_port = 0;
    std::atomic<bool> m_stopping{ false };
    std::mutex m_mutex;
    std::vector<int> m_open;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

/// The log: topics with one partition, keyed records, and one holder for each group.
class standin_log_service
{
public:
    standin_log_service();

    std::string address() const { return m_server.address(); }
    void put(const std::string &topic, const std::string &key, const std::string &value);
    void remove(const std::string &topic, const std::string &key);

    /// While true, every call is answered 503.
    void setDown(bool down) { m_down = down; }

    /// While true, every answer is a success whose body never ends.
    void setEndless(bool endless) { m_endless = endless; }

    /// Calls that have arrived since the start.
    int callCount() const { return m_calls; }

private:
    struct record
    {
        std::string key;
        std::string value;
        bool removed = false;
    };

    bool answer(const seen_request &request, answer_socket &socket);
    std::string newest(const std::string &topic);
    std::string read(const std::string &topic, std::uint64_t from);
    std::string join(const std::string &body);

    std::mutex m_mutex;
    std::map<std::string, std::vector<record>> m_topics;
    std::map<std::string, std::string> m_holders;
    std::map<std::string, int> m_generations;
    std::atomic<bool> m_down{ false };
    std::atomic<int> m_calls{ 0 };
    std::atomic<bool> m_endless{ false };
    standin_server m_server;
};

/// The router program, started on free ports against a log.
class router_process
{
public:
    explicit router_process(const std::string &logAddress);
    ~router_process();
    router_process(const router_process &) = delete;
    router_process &operator=(const router_process &) = delete;

    std::string callerAddress() const { return m_callers; }
    void terminate() const;
    bool hasEnded() const;

    /// Most memory that the process has had resident so far.
    std::size_t peakMemoryBytes() const;

    /// Where other VMs send their digests.
    int peerPort() const { return m_peerPort; }

    /// Waits until the balancer's question is answered 200 (or not 200), at most ten seconds.
    bool waitReady(bool ready) const;

private:
    int m_process = -1;
    std::string m_callers;
    std::string m_ready;
    std::string m_settingsFile;
    int m_peerPort = 0;
};

/// Writes the bytes again and again until the peer closes, for at most the given time; false if it
/// has not closed by then.
bool writeWithoutEnd(answer_socket &socket, const std::string &bytes, int milliseconds);

/// Sends bytes to 127.0.0.1 and returns everything up to the close or the time limit.
std::string exchangeBytes(const std::string &address, const std::string &bytes, int milliseconds);

/// An open connection of a caller.
class test_caller
{
public:
    explicit test_caller(const std::string &address);
    ~test_caller();
    test_caller(const test_caller &) = delete;
    test_caller &operator=(const test_caller &) = delete;

    void send(const std::string &bytes) const;
    /// Reads until the text is there, the peer closes, or the time is over.
    std::string readUntil(const std::string &text, int milliseconds);
    bool closedByPeer() const { return m_closed; }
    void close();

private:
    int m_descriptor = -1;
    std::string m_received;
    bool m_closed = false;
};

} // namespace burdockhold::testing

#endif
