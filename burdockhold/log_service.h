#ifndef BURDOCKHOLD_LOG_SERVICE_H
#define BURDOCKHOLD_LOG_SERVICE_H

// What the platform's log service answers, and a blocking interface to it for programs that do one
// thing at a time. The daemon uses log_client.h, which does not block.

#include "burdockhold/clock.h"
#include "burdockhold/enum_names.h"
#include "burdockhold/record.h"
#include "burdockhold/result.h"

#include <array>
#include <string>
#include <vector>

namespace burdockhold {

enum class log_error {
    NotApplied, ///< The request had no effect: no connection was made, or it was refused (4xx).
    Unknown,    ///< The request may have taken effect: the answer was lost, late or 5xx.
    BadAnswer,  ///< The service answered with something that is not its protocol.
    Cancelled,  ///< The caller cancelled; the request may have taken effect.
};

template <>
struct enum_names<log_error>
{
    static constexpr std::array<enum_name<log_error>, 4> Table{ {
            { log_error::NotApplied, "not_applied" },
            { log_error::Unknown, "unknown" },
            { log_error::BadAnswer, "bad_answer" },
            { log_error::Cancelled, "cancelled" },
    } };
};

/// Offsets that an append received.
struct append_answer
{
    log_offset firstOffset = 0;
    std::size_t count = 0;
};

/// One read. When the offset asked for is out of retention, `expired` is true, there are no
/// records, and only `earliest` is set.
struct log_page
{
    bool expired = false;
    log_offset earliest = 1; ///< Of the earliest record retained.
    log_offset next = 1;     ///< Offset that the next record appended will get.
    log_time_ms now = 0;     ///< The log service's time when it answered.
    std::vector<log_record> records;

    /// Returns whether a reader that asked for `from` has seen all records with this page.
    bool reachesTail(log_offset from) const
    {
        if (expired)
            return false;
        return (records.empty() ? from : records.back().offset + 1) >= next;
    }
};

/// The log service as a blocking interface.
class log_service
{
public:
    virtual ~log_service() = default;

    /// Appends records in one call, all or none.
    virtual result<append_answer, log_error> append(const std::string &stream,
                                                    const std::vector<std::string> &records) = 0;

    /// Reads up to `limit` records from an offset; waits up to `wait` when there are none.
    virtual result<log_page, log_error> read(const std::string &stream, log_offset from,
                                             std::size_t limit, duration wait) = 0;
};

/// Returns the text of an append request (design page, section 5).
std::string formatAppend(const std::vector<std::string> &records);

/// Parses the answer to an append of `count` records. Fails with BadAnswer.
result<append_answer, log_error> parseAppendAnswer(std::string_view text, std::size_t count);

/// Parses the answer to a read. Fails with BadAnswer, also when offsets do not increase.
result<log_page, log_error> parsePage(std::string_view text);

/// Parses the answer 410. Fails with BadAnswer.
result<log_page, log_error> parseExpired(std::string_view text);

} // namespace burdockhold

#endif
