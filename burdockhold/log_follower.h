#ifndef BURDOCKHOLD_LOG_FOLLOWER_H
#define BURDOCKHOLD_LOG_FOLLOWER_H

// A controller on its own thread that follows one stream of the log: it polls with a long wait,
// retries with an exponential delay and jitter while the log is away, and starts again from the
// earliest record when its position has fallen out of retention. Records are passed on in offset
// order, each once. A log that has lost records it had returned counts as failing.

#include "burdockhold/log_client.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>

namespace burdockhold {

/// What a follower tells its owner. All calls come from the follower's thread, one at a time, and
/// should return soon: the next read waits for them.
class stream_reader
{
public:
    virtual ~stream_reader() = default;

    /// A page was read; its records follow. `page.now` is the log's clock from the same read.
    virtual void onPage(const log_page & /*page*/) { }
    /// The next record. Offsets increase until onRestart().
    virtual void onRecord(const log_record &record) = 0;

    /// All records up to the tail have been passed on. The view contains everything that the log
    /// accepted before `asOf`, the time just before the read was sent. `page` is the read's answer.
    virtual void onTail(time_point asOf, const log_page &page) = 0;

    /// The position is out of retention; reading goes on from `earliest`, the earliest record.
    virtual void onRestart(log_offset earliest) = 0;

    /// The handling of a record ended with an exception. The record is not passed on again, so
    /// the view lacks it. onPage() of the page that follows is called next.
    virtual void onSkipped(const log_record &record) = 0;

    /// A read failed; it is retried after `retryAfter`.
    virtual void onError(const basic_error<log_error> &error, duration retryAfter) = 0;
};

struct log_follower_options
{
    log_client_options log;
    std::string stream;
    log_offset from = 1;
    std::size_t limit = 1000;                ///< Records in one read.
    duration wait = std::chrono::seconds(2); ///< Long-poll wait (design page, section 7).
    duration firstDelay = std::chrono::milliseconds(100); ///< Before the first retry; doubles.
    duration maxDelay = std::chrono::seconds(2);
    unsigned seed = 1; ///< Of the jitter. VMs use different seeds, so that they spread out.
};

/// Returns how long to wait before retry number `attempt` (0 is the first): between half and all of
/// firstDelay x 2^attempt, at most maxDelay.
duration retryDelay(const log_follower_options &options, unsigned attempt, std::mt19937 &random);

class log_follower
{
public:
    /// Starts the thread. The reader must outlive the follower.
    log_follower(log_follower_options options, stream_reader &reader);

    /// Stops the thread.
    ~log_follower();

    log_follower(const log_follower &) = delete;
    log_follower &operator=(const log_follower &) = delete;

    /// Cancels the read in flight and joins the thread. The reader is not called afterwards. Not to
    /// be called by the reader itself.
    void stop();

private:
    void run();
    void step();
    void takeExpired(const log_page &page);
    void take(const log_page &page, time_point sent);
    void skip(const log_record &record);
    void backOff(const basic_error<log_error> &error);
    void sleepFor(duration delay);
    bool isStopped() const;

    log_follower_options m_options;
    stream_reader &m_reader;
    log_client m_client;
    log_offset m_next;
    unsigned m_failures = 0;
    std::mt19937 m_random;
    pplx::cancellation_token_source m_cancel;
    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_stopped = false;
    std::thread m_thread; ///< Last, so that it starts when all else is ready.
};

} // namespace burdockhold

#endif
