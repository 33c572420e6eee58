#ifndef BURDOCKHOLD_CONFIG_FOLLOWER_H
#define BURDOCKHOLD_CONFIG_FOLLOWER_H

// Follows the config stream, replays it and publishes the catalogue and the view's freshness. The
// published catalogue's offset never decreases. After the position has fallen out of retention, the
// last catalogue stays published, growing stale, until a reader that began at the earliest record
// has reached the tail. Appends a refresh when one is due and no other VM has done so.

#include "burdockhold/blackboard.h"
#include "burdockhold/log_follower.h"
#include "burdockhold/replay.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace burdockhold {

/// Sees the records of the config stream, for kinds that another controller replays. All calls come
/// from the follower's thread, before a catalogue with these records is published, and must not
/// call the follower.
class config_listener
{
public:
    virtual ~config_listener() = default;

    /// The next record. Offsets increase until onConfigRestart().
    virtual void onConfigRecord(const log_record &record) = 0;

    /// Records before `earliest` were missed; reading goes on from there.
    virtual void onConfigRestart(log_offset earliest) = 0;
};

struct config_follower_options
{
    log_follower_options follow; ///< `stream` and `from` are set by the follower.
    /// Retention time of the config stream; 0 when refreshes are not to be appended.
    std::chrono::milliseconds retention{ 0 };
    /// Whether to publish freshness; false when the membership controller publishes it.
    bool publishesFreshness = true;
    config_listener *listener = nullptr; ///< May be null; must outlive the follower.
};

/// What operators may ask about the follower.
struct config_status
{
    bool synced = false;         ///< The tail has been reached.
    bool rebuilding = false;     ///< A replay from the earliest record is under way.
    bool incomplete = false;     ///< At the tail, but no complete refresh is retained.
    log_offset offset = 0;       ///< Of the published catalogue.
    replay_counts counts;        ///< Of the published catalogue's replay.
    std::uint64_t errors = 0;    ///< Failed reads.
    std::string lastError;       ///< Text of the last failed read; kept after it.
    std::uint64_t refreshes = 0; ///< Appends of a refresh that were answered with success.
};

class config_follower : private stream_reader
{
public:
    /// Starts following. The blackboard must outlive the follower.
    config_follower(config_follower_options options, blackboard &board);

    ~config_follower() override;

    /// Stops following; nothing is published afterwards.
    void stop() { m_follower->stop(); }

    config_status status() const;

    /// Returns how current the view is.
    view_freshness freshness() const;

    /// Returns what became of a recent record.
    std::optional<record_outcome> outcomeOf(const std::string &id) const;

private:
    /// Shared with the continuation of an append, which may outlive the follower.
    struct append_state
    {
        std::atomic<bool> running{ false };
        std::atomic<std::uint64_t> succeeded{ 0 };
        std::atomic<log_offset> lastOffset{ 0 }; ///< Of the last refresh that was answered.
    };

    void onRecord(const log_record &record) override;
    void onTail(time_point asOf, const log_page &page) override;
    void onRestart(log_offset earliest) override;
    void onSkipped(const log_record &record) override;
    void onError(const basic_error<log_error> &error, duration retryAfter) override;
    bool swapRebuilt();
    void publish(time_point asOf);
    void refreshIfDue(log_time_ms now);

    config_follower_options m_options;
    blackboard &m_board;
    log_client m_client;
    std::chrono::milliseconds m_refreshAge; ///< Twice the age at which this VM refreshes.
    std::shared_ptr<append_state> m_append = std::make_shared<append_state>();
    mutable std::mutex m_mutex; ///< Guards all below.
    replay m_replay;
    std::optional<replay> m_rebuilt;
    bool m_skipped = false; ///< A record was left out; what it changed is unknown.
    view_freshness m_freshness;
    config_status m_status;
    std::unique_ptr<log_follower> m_follower; ///< Last: calls this object from its thread.
};

} // namespace burdockhold

#endif
