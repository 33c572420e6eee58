#ifndef BURDOCKHOLD_SOAK_CALLER_H
#define BURDOCKHOLD_SOAK_CALLER_H

// The callers of a soak. Each has a thread, keeps its connection until the router closes it or is
// gone, checks each answer byte by byte, comes back as a refusal tells it, and leaves some requests
// early. Each attempt has an id of its own.

#include "testing/soak_history.h"
#include "testing/support_http.h"

#include <atomic>
#include <memory>
#include <optional>
#include <random>
#include <thread>

namespace burdockhold::testing {

/// Keys of the account whose name carries the deployment's version. The first is never withdrawn.
inline constexpr int SoakKeys = 9;
std::string soakKey(int number);

/// Key of the account with a limit of tokens over all routers.
inline constexpr char MeteredKey[] = "key-metered";
inline constexpr int MeteredCost = 100; ///< Tokens of each of its requests.

/// What all callers of a soak know of the routers.
struct soak_targets
{
    std::vector<std::string> addresses;         ///< IP:PORT of each router.
    std::unique_ptr<std::atomic<int>[]> starts; ///< Number of starts of each router.
    std::atomic<bool> stopping{ false };        ///< Callers start no more requests.
    std::atomic<bool> deadlySegments{ false };  ///< Some requests carry DeadlySegment.
};

class soak_caller
{
public:
    soak_caller(int index, std::uint64_t seed, bool metered, soak_targets &targets,
                soak_history &history);
    ~soak_caller();
    soak_caller(const soak_caller &) = delete;
    soak_caller &operator=(const soak_caller &) = delete;

private:
    void work();
    soak_call nextCall();
    std::string textOf(const soak_call &call);
    bool connect();
    void exchange(soak_call &call);
    void readAnswer(soak_call &call);
    void readStream(soak_call &call);
    void leaveEarly(soak_call &call);
    void pause(std::chrono::milliseconds time) const;
    std::uint64_t draw(std::uint64_t bound) { return m_random() % bound; }

    int m_index;
    bool m_metered;
    soak_targets &m_targets;
    soak_history &m_history;
    std::mt19937_64 m_random;
    int m_number = 0;
    int m_router = 0;
    int m_process = 0;
    std::chrono::milliseconds m_retryAfter{ 0 };
    std::optional<http_connection> m_connection;
    std::thread m_thread;
};

/// Sends one request with the key that is never withdrawn, over a new connection, and returns its
/// call. Used to see whether a router serves.
soak_call soakProbe(const std::string &address, const std::string &attemptId);

} // namespace burdockhold::testing

#endif
