#include "burdockhold/config_follower.h"

#include "burdockhold/random_id.h"
#include "burdockhold/task_guard.h"

namespace burdockhold {

namespace {

constexpr char ConfigStream[] = "config";

/// VMs refresh at different ages, 50 % to 60 % of the retention time, so that one of them usually
/// does it for all.
std::chrono::milliseconds refreshAge(std::chrono::milliseconds retention, unsigned seed)
{
    constexpr int MaxExtraPercent = 20;
    std::mt19937 random(seed);
    std::uniform_int_distribution<int> extra(0, MaxExtraPercent);
    return retention * (100 + extra(random)) / 100;
}

log_follower_options followOptions(log_follower_options options)
{
    options.stream = ConfigStream;
    options.from = 1;
    return options;
}

} // namespace

config_follower::config_follower(config_follower_options options, blackboard &board)
    : m_options(std::move(options))
    , m_board(board)
    , m_client(m_options.follow.log)
    , m_refreshAge(refreshAge(m_options.retention, m_options.follow.seed))
{
    stream_reader &self = *this;
    m_follower = std::make_unique<log_follower>(followOptions(m_options.follow), self);
}

config_follower::~config_follower()
{
    stop();
}

config_status config_follower::status() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    config_status status = m_status;
    status.counts = m_replay.counts();
    status.rebuilding = m_rebuilt.has_value();
    status.refreshes = m_append->succeeded;
    return status;
}

view_freshness config_follower::freshness() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_freshness;
}

std::optional<record_outcome> config_follower::outcomeOf(const std::string &id) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_replay.outcomeOf(id);
}

void config_follower::onRecord(const log_record &record)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    (m_rebuilt ? *m_rebuilt : m_replay).apply(record);
    if (m_options.listener != nullptr)
        m_options.listener->onConfigRecord(record);
}

void config_follower::onRestart(log_offset earliest)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_rebuilt.emplace(earliest);
    if (m_options.listener != nullptr)
        m_options.listener->onConfigRestart(earliest);
}

void config_follower::onSkipped(const log_record &record)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    ++m_status.errors;
    m_status.lastError = "the record at offset " + std::to_string(record.offset) + " was skipped";
    // The record may withdraw a key or be an epoch, so the view is not published any more.
    m_skipped = true;
}

void config_follower::onError(const basic_error<log_error> &error, duration)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    ++m_status.errors;
    m_status.lastError = error.text;
}

void config_follower::onTail(time_point asOf, const log_page &page)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_skipped || !swapRebuilt())
        return;
    publish(asOf);
    refreshIfDue(page.now);
}

/// Puts a rebuilt replay in force. Returns false when it cannot be used (yet).
bool config_follower::swapRebuilt()
{
    if (!m_rebuilt)
        return true;
    const bool usable = m_rebuilt->isComplete()
                        && m_rebuilt->state().offset >= m_replay.state().offset;
    m_status.incomplete = !usable;
    if (!usable)
        return false;
    m_replay = std::move(*m_rebuilt);
    m_rebuilt.reset();
    return true;
}

void config_follower::publish(time_point asOf)
{
    const bool changed = !m_status.synced || m_status.offset != m_replay.state().offset;
    if (changed)
        m_board.config.publish(m_replay.state());
    m_status.synced = true;
    m_status.offset = m_replay.state().offset;
    m_freshness = { true, asOf };
    if (m_options.publishesFreshness)
        m_board.freshness.publish(m_freshness);
}

/// Appends a refresh without waiting for its answer. A lost answer does no harm: a later refresh
/// is complete by itself.
void config_follower::refreshIfDue(log_time_ms now)
{
    if (m_refreshAge.count() == 0 || !m_replay.isRefreshDue(now, m_refreshAge.count()))
        return;
    // A read sent before the last append may reach the tail after the append was answered.
    if (m_append->running || m_replay.lastOffset() < m_append->lastOffset)
        return;
    const std::string id = randomHex(16);
    if (id.empty())
        return;
    std::vector<std::string> texts;
    for (const config_record &record : m_replay.makeRefresh(id))
        texts.push_back(formatRecord(record));
    m_append->running = true;
    const auto onAnswer = [state = m_append](const result<append_answer, log_error> &answer) {
        if (isOk(answer)) {
            ++state->succeeded;
            state->lastOffset = valueOf(answer).firstOffset + valueOf(answer).count - 1;
        }
        state->running = false;
    };
    if (!runStep("config_follower", "",
                 [&] { m_client.append(ConfigStream, texts).then(onAnswer); }))
        m_append->running = false;
}

} // namespace burdockhold
