#ifndef BURDOCKHOLD_SOAK_ENGINE_H
#define BURDOCKHOLD_SOAK_ENGINE_H

// An engine of a soak: serves plain answers and streams, misbehaves as it is told, and records each
// request that reaches it. What it does with a request depends on the seed and the attempt id only.

#include "testing/soak_history.h"
#include "testing/soak_log.h"
#include "testing/support_platform.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <set>

namespace burdockhold::testing {

enum class engine_mode {
    Sound,
    Breaking, ///< Breaks off every other answer, by a reset or an early end.
    LateCopy, ///< Sends a second copy of an answer later on the kept connection.
    Garbage,  ///< Sends bytes that are no answer to every fourth request.
    Pausing,  ///< Refuses with 503 and Retry-After.
    Full,     ///< Refuses with 503 without Retry-After.
    Leaving,  ///< Says in each answer that it leaves.
    Silent,   ///< Reads requests and sends nothing for two seconds.
    Slow,     ///< Takes 800 ms longer.
    /// Refuses each attempt once; repeats that refusal before its answer when the attempt is back.
    RepeatedRefusals,
    RefusingSome, ///< Refuses three attempts in four with 503, without Retry-After.
};

/// Number of modes that a schedule draws: those before RepeatedRefusals.
inline constexpr int EngineModes = 9;

/// A request whose prompt has this segment crashes the engine that runs it.
inline constexpr char DeadlySegment[] = "dead01";

class soak_engine
{
public:
    soak_engine(int index, std::uint64_t seed, soak_history &history, soak_log &log);

    void setMode(engine_mode mode);

    /// Ends the misbehaviour, unless the engine has said that it leaves.
    void endMode() { setMode(engine_mode::Sound); }

    /// While true, streams are drawn by soak_stream_faults.h. Modes other than Breaking go on.
    void setStreamFaults(bool faulty) { m_streamFaults = faulty; }

    /// Sets the version of the engine's software; call before restart().
    void setSoftware(const std::string &version) { m_software = version; }

    /// Writes the engine's entry to the log.
    void announce(const std::string &state = "ready");
    void announceLeaving();

    /// Ends all connections without a word, as a process that crashed.
    void crash();

    /// Starts again at the same address, as a new incarnation, under a new id if newId is set.
    bool restart(bool newId);

    /// True after a request has crashed the engine; the driver then calls crash().
    bool wantsCrash() const { return m_wantsCrash; }
    bool isDown() const { return m_down; }

    /// Drops all packets from these addresses; see fake_server.
    void cutOff(const std::set<std::string> &addresses, bool openToo)
    {
        m_server.cutOff(addresses, openToo);
    }

private:
    struct answer_plan
    {
        engine_mode mode = engine_mode::Sound;
        std::uint64_t hash = 0;
        bool streamFaults = false;
    };

    /// How the answer to a request ended.
    struct answer_end
    {
        bool kept = false;   ///< The connection stays open.
        bool faulty = false; ///< By the stream's script.
    };

    bool serve(const recorded_request &request, response_socket &socket);
    soak_arrival arrivalOf(const recorded_request &request) const;
    bool refuse(const recorded_request &request, response_socket &socket, soak_arrival arrival);
    bool refusedBefore(const std::string &attemptId);
    answer_end run(const recorded_request &request, response_socket &socket,
                   const answer_plan &plan);
    bool misbehave(const recorded_request &request, response_socket &socket,
                   const answer_plan &plan);
    bool sendPlain(const recorded_request &request, response_socket &socket,
                   const answer_plan &plan);
    bool sendStream(const recorded_request &request, response_socket &socket,
                    const answer_plan &plan);
    answer_end sendScript(const recorded_request &request, response_socket &socket,
                          const answer_plan &plan);
    bool work(response_socket &socket, int milliseconds) const;
    std::string id() const;
    std::string head(const recorded_request &request, const std::string &framing,
                     const std::string &status = "200 OK") const;

    int m_index;
    std::uint64_t m_seed;
    soak_history &m_history;
    soak_log &m_log;
    std::string m_software = "v1"; // Used by the driver's thread only.
    std::atomic<engine_mode> m_mode{ engine_mode::Sound };
    std::atomic<bool> m_streamFaults{ false };
    std::mutex m_mutex;
    std::set<std::string> m_refusedOnce; // Attempts that RepeatedRefusals refused; by m_mutex.
    std::atomic<int> m_incarnation{ 0 };
    std::atomic<int> m_idNumber{ 0 };
    std::atomic<bool> m_down{ false };
    std::atomic<bool> m_wantsCrash{ false };
    fake_server m_server;
};

/// A stable hash, the same in every build.
std::uint64_t soakHash(std::uint64_t seed, const std::string &text);

/// Whole body of the plain answer to an attempt.
std::string soakBody(const std::string &attemptId);

/// Number of events of the attempt's stream.
int soakEventCount(const std::string &attemptId);

/// Text of one event of the attempt's stream.
std::string soakEvent(const std::string &attemptId, int number);

} // namespace burdockhold::testing

#endif
