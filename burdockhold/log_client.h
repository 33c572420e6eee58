#ifndef BURDOCKHOLD_LOG_CLIENT_H
#define BURDOCKHOLD_LOG_CLIENT_H

// HTTP client of the log service (design page, section 5). Nothing blocks and nothing throws; the
// tasks complete on cpprest's thread pool. Any number of calls may be in flight.
//
// Each append travels on a connection of its own: on a reused connection the HTTP library sends an
// unanswered POST again by itself and may then report a refused connection although the first copy
// took effect.

#include "burdockhold/log_service.h"

#include <cpprest/http_client.h>

#include <memory>
#include <string>
#include <vector>

namespace burdockhold {

struct log_client_options
{
    std::string url; ///< "http://IP:PORT"
    duration appendTimeout = std::chrono::seconds(5);
    /// Time for an answer beyond the wait that a read asks for.
    duration readTimeout = std::chrono::seconds(5);
};

class log_client
{
public:
    /// The URL must have been checked; an unusable one makes every call fail with NotApplied.
    explicit log_client(log_client_options options);

    /// Appends records in one call, all or none. NotApplied is certain; after any other error the
    /// caller appends the same record ids again or looks for them in the stream.
    pplx::task<result<append_answer, log_error>> append(
            const std::string &stream, const std::vector<std::string> &records) const;

    /// Reads up to `limit` records from an offset; the log waits up to `wait` when there are none.
    pplx::task<result<log_page, log_error>> read(
            const std::string &stream, log_offset from, std::size_t limit, duration wait,
            const pplx::cancellation_token &cancelled = pplx::cancellation_token::none()) const;

private:
    log_client_options m_options;
};

/// Blocks on a log_client; for programs that do one thing at a time. Not to be called on cpprest's
/// threads.
class blocking_log : public log_service
{
public:
    explicit blocking_log(log_client_options options)
        : m_client(std::move(options))
    {
    }

    result<append_answer, log_error> append(const std::string &stream,
                                            const std::vector<std::string> &records) override
    {
        return m_client.append(stream, records).get();
    }

    result<log_page, log_error> read(const std::string &stream, log_offset from, std::size_t limit,
                                     duration wait) override
    {
        return m_client.read(stream, from, limit, wait).get();
    }

private:
    log_client m_client;
};

} // namespace burdockhold

#endif
