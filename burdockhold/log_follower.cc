#include "burdockhold/log_follower.h"

#include "burdockhold/logging.h"
#include "burdockhold/task_guard.h"

#include <algorithm>

namespace burdockhold {

namespace {

constexpr std::string_view Component = "log_follower";

} // namespace

duration retryDelay(const log_follower_options &options, unsigned attempt, std::mt19937 &random)
{
    duration most = options.firstDelay;
    for (unsigned i = 0; i < attempt && most < options.maxDelay; ++i)
        most *= 2;
    most = std::min(most, options.maxDelay);
    std::uniform_int_distribution<duration::rep> pick(most.count() / 2, most.count());
    return duration(pick(random));
}

log_follower::log_follower(log_follower_options options, stream_reader &reader)
    : m_options(std::move(options))
    , m_reader(reader)
    , m_client(m_options.log)
    , m_next(std::max<log_offset>(m_options.from, 1))
    , m_random(m_options.seed)
    , m_thread([this]() { run(); })
{
}

log_follower::~log_follower()
{
    stop();
}

void log_follower::stop()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopped = true;
    }
    m_wake.notify_all();
    m_cancel.cancel();
    if (m_thread.joinable())
        m_thread.join();
}

bool log_follower::isStopped() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_stopped;
}

void log_follower::sleepFor(duration delay)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    m_wake.wait_for(lock, delay, [this]() { return m_stopped; });
}

void log_follower::run()
{
    while (!isStopped()) {
        if (!runStep(Component, "", [this] { step(); }))
            sleepFor(FailedRoundDelay);
    }
}

void log_follower::step()
{
    const time_point sent = steadyNow();
    const auto answer = m_client.read(m_options.stream, m_next, m_options.limit, m_options.wait,
                                      m_cancel.get_token())
                                .get();
    if (isStopped())
        return;
    if (!isOk(answer))
        return backOff(errorOf(answer));
    const log_page &page = valueOf(answer);
    if (page.expired)
        return takeExpired(page);
    if (page.next < m_next)
        return backOff({ log_error::BadAnswer, "the log has lost records that it had returned",
                         m_options.log.url });
    m_failures = 0;
    take(page, sent);
}

void log_follower::takeExpired(const log_page &page)
{
    if (page.earliest <= m_next)
        return backOff({ log_error::BadAnswer, "the log answers 410 to an offset that it retains",
                         m_options.log.url });
    m_next = page.earliest;
    m_reader.onRestart(page.earliest);
}

void log_follower::take(const log_page &page, time_point sent)
{
    const bool atTail = page.reachesTail(m_next);
    m_reader.onPage(page);
    for (const log_record &record : page.records) {
        if (record.offset < m_next)
            continue;
        m_next = record.offset + 1;
        if (!runStep(Component, "", [&] { m_reader.onRecord(record); }))
            return skip(record);
    }
    if (atTail)
        m_reader.onTail(sent, page);
}

/// Leaves a record out. The rest of the page is read again.
void log_follower::skip(const log_record &record)
{
    logEvent(log_level::Error, Component, "a record was skipped",
             { { "stream", m_options.stream }, { "offset", record.offset } });
    m_reader.onSkipped(record);
}

void log_follower::backOff(const basic_error<log_error> &error)
{
    const duration delay = retryDelay(m_options, m_failures, m_random);
    ++m_failures;
    m_reader.onError(error, delay);
    sleepFor(delay);
}

} // namespace burdockhold
