#include "burdockhold/task_guard.h"

#include "burdockhold/logging.h"

#include <atomic>

namespace burdockhold {

namespace {

std::atomic<std::uint64_t> &caught()
{
    static std::atomic<std::uint64_t> count{ 0 };
    return count;
}

} // namespace

std::uint64_t caughtExceptions()
{
    return caught();
}

void noteCaught(std::string_view component, std::string_view requestId, const char *what) noexcept
{
    ++caught();
    try {
        nlohmann::json fields{ { "error", what } };
        if (!requestId.empty())
            fields["request_id"] = requestId;
        logEvent(log_level::Error, component, "a step failed", fields);
    } catch (...) {
        ++caught();
    }
}

} // namespace burdockhold
