#ifndef BURDOCKHOLD_BLACKBOARD_H
#define BURDOCKHOLD_BLACKBOARD_H

// The published state of one process. Each field holds an immutable snapshot and has exactly one
// writer, named beside it; the request path and the other controllers only read. A decision can be
// replayed from the snapshots that it read.

#include "burdockhold/catalogue.h"
#include "burdockhold/clock.h"
#include "burdockhold/endpoint_loads.h"

#include <memory>
#include <set>
#include <string>
#include <utility>

namespace burdockhold {

/// A snapshot that one controller replaces while others read. Reading never blocks on a writer for
/// longer than copying a pointer.
template <typename T>
class published
{
public:
    published()
        : m_value(std::make_shared<const T>())
    {
    }

    /// Returns the latest snapshot; never null.
    std::shared_ptr<const T> read() const { return std::atomic_load(&m_value); }

    /// Replaces the snapshot. Only the field's owner calls this.
    void publish(T value)
    {
        std::atomic_store(&m_value, std::make_shared<const T>(std::move(value)));
    }

private:
    std::shared_ptr<const T> m_value;
};

/// How current this process's view of the configuration is.
struct view_freshness
{
    bool synced = false; ///< True once the log's tail has been reached.
    time_point asOf;     ///< The view includes everything accepted before this time.
};

/// Keys that a VM took a withdrawal for, whether or not the config stream holds it yet.
struct withdrawn_keys
{
    std::set<std::string> digests;
};

struct blackboard
{
    published<catalogue> config;           ///< Written by the config follower.
    published<view_freshness> freshness;   ///< Written by the membership controller.
    published<withdrawn_keys> withdrawals; ///< Written by the membership controller.
    published<endpoint_loads> loads;       ///< Written by the load controller.
};

} // namespace burdockhold

#endif
