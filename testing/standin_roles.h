#ifndef BURDOCKHOLD_STANDIN_ROLES_H
#define BURDOCKHOLD_STANDIN_ROLES_H

// The roles of the stand-in program. Each run function serves until SIGTERM and returns the exit
// status. Protocols: docs/design.md, section 5.

#include <cstdint>
#include <string>
#include <vector>

namespace burdockhold::standin {

struct log_options
{
    std::uint64_t retentionRecords = 0; ///< Records kept in each stream; 0 keeps all.
};

/// How the engine answers a call beside the completion: what it states about new calls.
struct engine_statements
{
    bool leaving = false;  ///< Every answer to a call has Server-Leaving: 1.
    int status = 0;        ///< Status that every call gets in place of a completion; 0: none.
    bool noLength = false; ///< Whole answers have no length and end with the connection.
    std::vector<std::string> retryAfter; ///< Values of the Retry-After fields beside the status.
};

struct engine_options
{
    std::string version = "v1";       ///< Weights version at the start.
    std::uint64_t blockTokens = 2000; ///< Tokens in a cache block, at 4 bytes a token.
    std::uint64_t cacheBlocks = 64;   ///< Blocks kept in the prefix cache, least recently used out.
    double prefillUsPerToken = 0.0;   ///< Microseconds for each prompt token that is not cached.
    double tokenMs = 0.0;             ///< Milliseconds for each output token.
    std::uint64_t maxRunning = 0;     ///< Requests that run at once; 0 sets no bound.
    std::uint64_t loadMs = 500;       ///< Milliseconds to load a version.
    bool checkFencing = false;        ///< Refuse orders with an old fencing number.
    engine_statements statements;     ///< At the start.
};

struct vmlist_options
{
    std::uint64_t lagMs = 0; ///< Age that a list has before readers see it.
};

struct weights_options
{
    std::uint64_t sizeBytes = 1 << 20;
    std::uint64_t bytesPerSecond = 16 << 20; ///< Shared by all downloads.
};

struct kvstore_options
{
    std::uint64_t capacityBytes = 64 << 20;
};

int runLog(std::uint16_t port, const log_options &options);
int runEngine(std::uint16_t port, const engine_options &options);
int runService(std::uint16_t port);
int runVmList(std::uint16_t port, const vmlist_options &options);
int runWeights(std::uint16_t port, const weights_options &options);
int runKvStore(std::uint16_t port, const kvstore_options &options);

} // namespace burdockhold::standin

#endif
