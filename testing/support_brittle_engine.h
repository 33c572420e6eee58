#ifndef BURDOCKHOLD_SUPPORT_BRITTLE_ENGINE_H
#define BURDOCKHOLD_SUPPORT_BRITTLE_ENGINE_H

// A stand-in of an engine that states in all answers how many calls it may refuse in a second for
// want of room. From weaken() on it lets fewer calls wait and crashes when it has to refuse
// more. It listens again after downTime.

#include "testing/support_router.h"

#include <condition_variable>
#include <deque>

namespace burdockhold::testing {

struct brittle_options
{
    int slots = 4;
    int queued = 4; ///< Calls that may wait for a slot.
    int queuedWhileWeak = 1;
    std::size_t refusals = 1; ///< That it bears in any second.
    std::chrono::milliseconds callTime{ 300 };
    std::chrono::milliseconds downTime{ 2000 };
};

class brittle_engine
{
public:
    explicit brittle_engine(const brittle_options &options)
        : m_options(options)
        , m_server([this](const recorded_request &request, response_socket &socket) {
            return serve(request, socket);
        })
        , m_supervisor([this] { supervise(); })
    {
    }
    ~brittle_engine()
    {
        m_stopping = true;
        m_supervisor.join();
    }
    brittle_engine(const brittle_engine &) = delete;
    brittle_engine &operator=(const brittle_engine &) = delete;

    /// Lets the engine crash from now on.
    void weaken() { m_weak = true; }
    std::string address() const { return m_server.address(); }
    int falls() const { return m_falls; }
    int refused() const { return m_refused; }

private:
    using clock = std::chrono::steady_clock;

    bool serve(const recorded_request &request, response_socket &socket)
    {
        if (!takeSlot())
            return !m_down && refuse(request, socket);
        std::this_thread::sleep_for(m_options.callTime);
        {
            const std::lock_guard lock(m_mutex);
            --m_running;
        }
        m_slotFreed.notify_one();
        return !m_down && socket.write(responseHead(request, statement() + "Content-Length: 0"));
    }

    /// Waits for a slot. Returns false if the call is to be refused.
    bool takeSlot()
    {
        std::unique_lock lock(m_mutex);
        if (m_down)
            return false;
        if (m_running >= m_options.slots) {
            if (m_waiting >= (m_weak ? m_options.queuedWhileWeak : m_options.queued)) {
                countRefusal();
                return false;
            }
            ++m_waiting;
            m_slotFreed.wait(lock, [this] { return m_running < m_options.slots; });
            --m_waiting;
        }
        ++m_running;
        return true;
    }

    void countRefusal()
    {
        const auto now = clock::now();
        ++m_refused;
        m_refusals.push_back(now);
        while (now - m_refusals.front() >= std::chrono::seconds(1))
            m_refusals.pop_front();
        if (m_weak && m_refusals.size() > m_options.refusals)
            m_down = true;
    }

    bool refuse(const recorded_request &request, response_socket &socket) const
    {
        return socket.write("HTTP/1.1 503 X\r\nX-Burdockhold-Attempt-Id: "
                            + request.field("X-Burdockhold-Attempt-Id")
                            + "\r\nX-Burdockhold-Not-Executed: 1\r\n" + statement()
                            + "Content-Length: 0\r\n\r\n");
    }

    std::string statement() const
    {
        return "Server-Brittle: " + std::to_string(m_options.refusals) + "\r\n";
    }

    /// Crashes the server after too many refusals, and starts it again.
    void supervise()
    {
        while (!m_stopping) {
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
            if (!m_down)
                continue;
            ++m_falls;
            m_server.crash();
            std::this_thread::sleep_for(m_options.downTime);
            const std::lock_guard lock(m_mutex);
            m_refusals.clear();
            m_down = !m_server.listenAgain();
        }
    }

    brittle_options m_options;
    std::mutex m_mutex;
    std::condition_variable m_slotFreed;
    int m_running = 0;
    int m_waiting = 0;
    std::deque<clock::time_point> m_refusals; ///< Of the last second.
    std::atomic<int> m_falls{ 0 };
    std::atomic<int> m_refused{ 0 };
    std::atomic<bool> m_weak{ false };
    std::atomic<bool> m_down{ false };
    std::atomic<bool> m_stopping{ false };
    fake_server m_server;
    std::thread m_supervisor;
};

} // namespace burdockhold::testing

#endif
