#include "burdockhold/claims_controller.h"

#include "burdockhold/logging.h"
#include "burdockhold/random_id.h"
#include "burdockhold/task_guard.h"

#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

namespace burdockhold {

namespace {

constexpr char ClaimsStream[] = "claims";
constexpr std::string_view Component = "claims";
constexpr std::size_t IncarnationBytes = 16;

/// How often deadlines and the delay after a failed append are looked at when nothing happens. A
/// refusal comes at most this much after its deadline.
constexpr std::chrono::milliseconds StepInterval(20);

constexpr std::chrono::milliseconds StopPollInterval(5);

log_follower_options followOptions(log_follower_options options)
{
    options.stream = ClaimsStream;
    options.from = 1;
    return options;
}

append_outcome outcomeOf(const result<append_answer, log_error> &answer)
{
    if (isOk(answer))
        return append_outcome::Applied;
    return errorOf(answer).code == log_error::NotApplied ? append_outcome::NotApplied
                                                         : append_outcome::Unknown;
}

/// The ledger and the writer under one lock, so that no record is applied between a lookup and the
/// claim that follows it, nor between apply() and replayed(). Shared with the continuations of
/// appends, which may outlive the controller.
struct claim_state_machine
{
    claim_state_machine(const claims_options &options, const std::string &incarnation)
        : ledger(options.ledger)
        , writer(options.vm, incarnation, options.writer)
    {
    }

    bool isSuspended() const { return gapOpen || logNow < suspendedUntil; }

    std::mutex mutex; ///< Guards all below.
    std::condition_variable wake;
    bool work = false; ///< There may be something to append or to deliver.
    bool stopped = false;
    claim_ledger ledger;
    claim_writer writer;
    std::map<std::uint64_t, call_claims::decided_callback> waiting;
    std::uint64_t lastRequestId = 0;
    log_time_ms logNow = 0; ///< The log's clock as last read.
    bool gapOpen = false;   ///< Records were missed and the log's clock was not read since.
    log_time_ms suspendedUntil = 0;
    view_freshness freshness;
    std::uint64_t errors = 0;
    std::string lastError;
};

} // namespace

class claims_controller::impl : private stream_reader
{
public:
    explicit impl(claims_options options)
        : m_options(std::move(options))
        , m_incarnation(randomHex(IncarnationBytes))
        , m_client(m_options.follow.log)
        , m_state(std::make_shared<claim_state_machine>(m_options, m_incarnation))
    {
        m_thread = std::thread([this] { run(); });
        stream_reader &self = *this;
        m_follower = std::make_unique<log_follower>(followOptions(m_options.follow), self);
    }

    ~impl() override { stop(); }

    claim_start claim(const claim_subject &subject, decided_callback decided)
    {
        const std::lock_guard<std::mutex> lock(m_state->mutex);
        const time_point now = steadyNow();
        // Without a random incarnation the claim ids of two processes could be equal.
        if (!m_state->freshness.synced || m_incarnation.empty() || m_state->stopped)
            return claim_refusal::NotReady;
        const claim_view view = m_state->ledger.lookup(subject.account, subject.keyDigest,
                                                       subject.bodyDigest, m_state->logNow);
        if (view.state != claim_state::Free)
            return view;
        if (m_state->isSuspended() || m_state->ledger.isNearlyFull())
            return claim_refusal::Suspended;
        if (now - m_state->freshness.asOf > m_options.maxViewAge)
            return claim_refusal::NotReady;
        const claim_request request{ m_state->lastRequestId + 1, subject.account, subject.keyDigest,
                                     subject.bodyDigest, now + m_options.deadline };
        if (!m_state->writer.submit(request, now))
            return claim_refusal::Full;
        ++m_state->lastRequestId;
        m_state->waiting.emplace(request.requestId, std::move(decided));
        wake();
        return claim_pending{};
    }

    void finished(const std::string &claimId, claim_answer answer)
    {
        const std::lock_guard<std::mutex> lock(m_state->mutex);
        m_state->writer.finished(claimId, std::move(answer));
        wake();
    }

    void released(const std::string &claimId)
    {
        const std::lock_guard<std::mutex> lock(m_state->mutex);
        m_state->writer.released(claimId);
        wake();
    }

    void stop()
    {
        if (!m_thread.joinable())
            return;
        const time_point limit = steadyNow() + m_options.deadline;
        while (steadyNow() < limit && openClaims() > 0)
            std::this_thread::sleep_for(StopPollInterval);
        {
            const std::lock_guard<std::mutex> lock(m_state->mutex);
            m_state->stopped = true;
            wake();
        }
        m_thread.join();
        m_follower->stop();
    }

    claims_status status() const
    {
        const std::lock_guard<std::mutex> lock(m_state->mutex);
        claims_status status;
        status.freshness = m_state->freshness;
        status.offset = m_state->ledger.lastOffset();
        status.keys = m_state->ledger.keyCount();
        status.open = m_state->writer.entryCount();
        status.suspended = m_state->isSuspended();
        status.errors = m_state->errors;
        status.lastError = m_state->lastError;
        return status;
    }

private:
    void onPage(const log_page &page) override
    {
        const std::lock_guard<std::mutex> lock(m_state->mutex);
        m_state->logNow = std::max(m_state->logNow, page.now);
        if (!m_state->gapOpen)
            return;
        // Missed claims were made before this page was read, so they have expired by then.
        m_state->gapOpen = false;
        m_state->suspendedUntil = m_state->logNow + m_options.ledger.claimWindowMs;
    }

    void onRecord(const log_record &record) override
    {
        const auto parsed = parseClaimRecord(record.data);
        if (!isOk(parsed))
            return logEvent(log_level::Warn, "claims", "skipped a malformed record",
                            { { "offset", record.offset }, { "error", errorOf(parsed).text } });
        const claim_stream_record &change = valueOf(parsed);
        const std::lock_guard<std::mutex> lock(m_state->mutex);
        claim_effect effect = m_state->ledger.apply(record.offset, record.time, change);
        // A missed record may hold the key, so winning against the known ones proves nothing.
        if (effect == claim_effect::Won && m_state->isSuspended())
            effect = claim_effect::Full;
        m_state->writer.replayed(change, effect, record.time, m_state->ledger, m_state->logNow,
                                 steadyNow());
        wake();
    }

    void onTail(time_point asOf, const log_page & /*page*/) override
    {
        const std::lock_guard<std::mutex> lock(m_state->mutex);
        m_state->freshness = { true, asOf };
    }

    void onRestart(log_offset earliest) override
    {
        const std::lock_guard<std::mutex> lock(m_state->mutex);
        // A process that has read nothing yet has missed only what the log's retention dropped.
        if (!m_state->freshness.synced && m_state->ledger.lastOffset() == 0)
            return;
        m_state->gapOpen = true;
        logEvent(log_level::Error, "claims",
                 "records were missed; non-repeatable calls are refused for one claim window",
                 { { "applied", m_state->ledger.lastOffset() }, { "earliest", earliest } });
    }

    /// The record may hold a key, as one that retention dropped may.
    void onSkipped(const log_record & /*record*/) override
    {
        const std::lock_guard<std::mutex> lock(m_state->mutex);
        m_state->gapOpen = true;
    }

    void onError(const basic_error<log_error> &error, duration /*retryAfter*/) override
    {
        const std::lock_guard<std::mutex> lock(m_state->mutex);
        ++m_state->errors;
        m_state->lastError = error.text;
    }

    /// With the lock held.
    void wake()
    {
        m_state->work = true;
        m_state->wake.notify_all();
    }

    std::size_t openClaims() const
    {
        const std::lock_guard<std::mutex> lock(m_state->mutex);
        return m_state->writer.entryCount();
    }

    void run()
    {
        std::unique_lock<std::mutex> lock(m_state->mutex);
        while (!m_state->stopped) {
            m_state->work = false;
            std::optional<claim_append> append;
            const bool whole = runStep(Component, "", [&] { append = nextRound(steadyNow()); });
            lock.unlock();
            if (append)
                startAppend(*append);
            lock.lock();
            if (whole)
                m_state->wake.wait_for(lock, StepInterval,
                                       [this] { return m_state->work || m_state->stopped; });
            else
                m_state->wake.wait_for(lock, FailedRoundDelay, [this] { return m_state->stopped; });
        }
    }

    /// With the lock held. Returns what is to be appended now.
    std::optional<claim_append> nextRound(time_point now)
    {
        m_state->writer.expire(now);
        std::optional<claim_append> append = m_state->writer.nextAppend(now);
        runStep(Component, "", [this] { deliverDecisions(); });
        return append;
    }

    /// With the lock held. The callbacks run on the HTTP library's pool.
    void deliverDecisions()
    {
        for (const claim_decision &decision : m_state->writer.takeDecisions()) {
            const std::uint64_t id = std::visit([](const auto &d) { return d.requestId; },
                                                decision);
            const auto found = m_state->waiting.find(id);
            if (found == m_state->waiting.end())
                continue;
            pplx::create_task([decided = std::move(found->second), decision] {
                runStep(Component, "", [&] { decided(decision); });
            });
            m_state->waiting.erase(found);
        }
    }

    void startAppend(const claim_append &append)
    {
        const auto ended = [state = m_state, number = append.number](append_outcome outcome) {
            runStep(Component, "", [&] {
                const std::lock_guard<std::mutex> lock(state->mutex);
                state->writer.appendEnded(number, outcome, steadyNow());
                state->work = true;
                state->wake.notify_all();
            });
        };
        const bool sent = runStep(Component, "", [&] {
            std::vector<std::string> texts;
            for (const claim_stream_record &record : append.records)
                texts.push_back(formatClaimRecord(record));
            m_client.append(ClaimsStream, texts)
                    .then([ended](const result<append_answer, log_error> &answer) {
                        ended(outcomeOf(answer));
                    });
        });
        if (!sent)
            ended(append_outcome::Unknown);
    }

    claims_options m_options;
    std::string m_incarnation;
    log_client m_client;
    std::shared_ptr<claim_state_machine> m_state;
    std::thread m_thread;
    std::unique_ptr<log_follower> m_follower; ///< Last: calls this object from its thread.
};

claims_controller::claims_controller(claims_options options)
    : m_impl(std::make_unique<impl>(std::move(options)))
{
}

claims_controller::~claims_controller() = default;

claim_start claims_controller::claim(const claim_subject &subject, decided_callback decided)
{
    return m_impl->claim(subject, std::move(decided));
}

void claims_controller::finished(const std::string &claimId, claim_answer answer)
{
    m_impl->finished(claimId, std::move(answer));
}

void claims_controller::released(const std::string &claimId)
{
    m_impl->released(claimId);
}

void claims_controller::stop()
{
    m_impl->stop();
}

claims_status claims_controller::status() const
{
    return m_impl->status();
}

} // namespace burdockhold
