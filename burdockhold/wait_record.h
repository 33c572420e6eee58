#ifndef BURDOCKHOLD_WAIT_RECORD_H
#define BURDOCKHOLD_WAIT_RECORD_H

// How a request has waited for an endpoint, and for which others, for the log.

#include "burdockhold/clock.h"
#include "burdockhold/enum_names.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace burdockhold {

/// Why a request has waited.
enum class wait_cause { None, NoRoom, Order, RetryBudget };

template <>
struct enum_names<wait_cause>
{
    static constexpr std::array<enum_name<wait_cause>, 4> Table{ {
            { wait_cause::None, "none" },
            { wait_cause::NoRoom, "no_room" }, ///< No endpoint could take it.
            { wait_cause::Order, "order" },    ///< Others waited already.
            { wait_cause::RetryBudget, "retry_budget" },
    } };
};

/// How a request has waited, for the log.
struct wait_record
{
    wait_cause cause = wait_cause::None;
    duration expected = duration::zero(); ///< When it began to wait.
    std::size_t waitingBefore = 0;        ///< Requests of the pool that waited then.
    std::uint64_t servedMeanwhile = 0;    ///< Requests of the pool that were placed meanwhile.
    std::uint64_t moreUrgent = 0;         ///< Those of them with a more urgent priority.
    bool returned = false;                ///< Its caller came back after a refusal.
};

} // namespace burdockhold

#endif
