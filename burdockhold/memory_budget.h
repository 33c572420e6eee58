#ifndef BURDOCKHOLD_MEMORY_BUDGET_H
#define BURDOCKHOLD_MEMORY_BUDGET_H

// One budget for what the clients of a process hold in its memory, from the limits of its settings.
//
// Promises:
// - What the parts have taken never exceeds the limit of its part, nor all of it the sum, except by
//   what take() adds.
// - Before a request for memory fails, the owner may free some: reclaim is called until the request
//   fits or nothing more can be freed.
// - Parts overlap: together they may be larger than the sum, so that one kind of load can use most
//   of the memory while there is no other.
// Failure: a request that does not fit takes nothing; its owner refuses or closes what it is for.
// Load pattern: many clients that each stay within the limits of a single one, and together exceed
// the memory.
// Not thread-safe. Constant time for each call, without what reclaim does.

#include "burdockhold/enum_names.h"

#include <array>
#include <cstddef>
#include <functional>
#include <optional>
#include <utility>

namespace burdockhold {

enum class memory_part {
    Connections, ///< What every connection holds, also an idle one.
    Heads,       ///< Received bytes that are not yet part of a request.
    Bodies,      ///< Bodies of requests; body_memory.h bounds their number.
    Requests,    ///< Requests from their acceptance to their last byte, without large bodies.
    Responses,   ///< Responses that are buffered until they are complete.
    Output,      ///< Responses and events that the clients have not read.
};

template <>
struct enum_names<memory_part>
{
    static constexpr std::array<enum_name<memory_part>, 6> Table{ {
            { memory_part::Connections, "connections" },
            { memory_part::Heads, "heads" },
            { memory_part::Bodies, "bodies" },
            { memory_part::Requests, "requests" },
            { memory_part::Responses, "responses" },
            { memory_part::Output, "output" },
    } };
};

/// Bytes that a connection takes of memory_part::Connections.
inline constexpr std::size_t ConnectionBytes = 2048;
/// Bytes that a request takes of memory_part::Requests, besides its head and body: the request
/// itself and its connection to the endpoint.
inline constexpr std::size_t RequestBytes = std::size_t(8) * 1024;
/// A head or body is held this often while its request is sent to an endpoint.
inline constexpr std::size_t RequestCopies = 2;

struct memory_budget_options
{
    std::size_t memoryBytes = std::size_t(128) * 1024 * 1024; ///< Limit of the process.
    bool unlimited = false;                                   ///< Nothing is refused.
};

class memory_budget
{
public:
    /// Frees some of the part, or of anything if no part is given. Returns false if nothing can be
    /// freed.
    using reclaim_function = std::function<bool(std::optional<memory_part> part)>;

    explicit memory_budget(const memory_budget_options &options);

    void setReclaim(reclaim_function reclaim) { m_reclaim = std::move(reclaim); }

    /// Takes the bytes if they fit. They may be freed by reclaim on the way.
    [[nodiscard]] bool tryTake(memory_part part, std::size_t bytes);

    /// Takes the bytes in any case. For what is needed even if it exceeds the budget.
    void take(memory_part part, std::size_t bytes);

    void give(memory_part part, std::size_t bytes);

    std::size_t used() const { return m_used; }
    std::size_t used(memory_part part) const { return m_parts[indexOf(part)].used; }
    std::size_t limit() const { return m_limit; }
    std::size_t limit(memory_part part) const { return m_parts[indexOf(part)].limit; }

    /// Returns how many unread bytes a client may have before reading from its endpoint pauses. It
    /// falls as the output part fills up, so that fewer slow clients have to be closed.
    std::size_t unreadLimit() const;

private:
    struct part_state
    {
        std::size_t limit = 0;
        std::size_t used = 0;
    };

    static std::size_t indexOf(memory_part part) { return static_cast<std::size_t>(part); }

    std::size_t m_limit;
    std::size_t m_used = 0;
    std::array<part_state, enum_names<memory_part>::Table.size()> m_parts;
    reclaim_function m_reclaim;
};

/// How the descriptors of a process are divided. The parts never exceed the limit together.
struct descriptor_shares
{
    /// Shares of the limit that the settings state. Throws nothing; the parts are at least 1.
    explicit descriptor_shares(int descriptors);

    std::size_t clients;   ///< Connections of clients and calls to endpoints for them.
    std::size_t vms;       ///< Sessions of other VMs.
    std::size_t readiness; ///< Connections to the readiness address.
};

} // namespace burdockhold

#endif
