#ifndef BURDOCKHOLD_CTL_CONTEXT_H
#define BURDOCKHOLD_CTL_CONTEXT_H

// What every command of burdockholdctl gets and returns. Commands talk to the platform and the VMs
// through two small interfaces, so that tests need no sockets. Results go to standard output,
// errors and remarks to standard error; the exit code says what happened to the order.

#include "burdockhold/clock.h"
#include "burdockhold/enum_names.h"
#include "burdockhold/log_service.h"
#include "burdockhold/result.h"

#include <array>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhold {

/// Exit codes of burdockholdctl. Scripts depend on the numbers: never renumber them.
enum class ctl_exit {
    Done = 0,
    Refused = 1,
    Usage = 2,
    BadInput = 3,
    LostRace = 4,
    NotFound = 5,
    LogUnreachable = 6,
    OutcomeUnknown = 7,
    VmUnreachable = 8,
    BadAnswer = 9,
    VmListUnreachable = 10,
    OutputLost = 11,
    Warnings = 12,
};

template <>
struct enum_names<ctl_exit>
{
    static constexpr std::array<enum_name<ctl_exit>, 13> Table{ {
            { ctl_exit::Done, "done" },
            { ctl_exit::Refused, "refused" },
            { ctl_exit::Usage, "usage" },
            { ctl_exit::BadInput, "bad_input" },
            { ctl_exit::LostRace, "lost_race" },
            { ctl_exit::NotFound, "not_found" },
            { ctl_exit::LogUnreachable, "log_unreachable" },
            { ctl_exit::OutcomeUnknown, "outcome_unknown" },
            { ctl_exit::VmUnreachable, "vm_unreachable" },
            { ctl_exit::BadAnswer, "bad_answer" },
            { ctl_exit::VmListUnreachable, "vm_list_unreachable" },
            { ctl_exit::OutputLost, "output_lost" },
            { ctl_exit::Warnings, "warnings" },
    } };
};

/// Returns the list of exit codes with their meaning, one line each, for --help.
std::string formatExitCodes();

using ctl_error = basic_error<ctl_exit>;

template <typename T>
using ctl_result = result<T, ctl_exit>;

/// One HTTP call to a VM or to the VM list.
struct http_call
{
    std::string method;
    std::string url; ///< "http://IP:PORT/PATH".
    std::string body;
};

struct http_answer
{
    int status = 0;
    std::string body;
};

enum class http_call_error { NoAnswer };

using http_call_result = result<http_answer, http_call_error>;

/// HTTP calls as a blocking interface.
class http_service
{
public:
    virtual ~http_service() = default;

    /// Makes all calls, some of them at the same time, and returns their results in the order of
    /// the calls. No call is sent twice.
    virtual std::vector<http_call_result> callAll(const std::vector<http_call> &calls) = 0;
};

/// Everything that a command uses. `log` is null when no address of the log was given; `vmsUrl` is
/// empty when no address of the VM list was given.
struct ctl_context
{
    ctl_context(std::ostream &output, std::ostream &errors)
        : out(output)
        , err(errors)
    {
    }

    std::ostream &out;
    std::ostream &err;
    log_service *log = nullptr;
    http_service *http = nullptr;
    std::string vmsUrl;
    bool json = false;
    std::function<std::string(std::size_t)> randomHex; ///< Of so many bytes; empty on failure.
    std::function<time_point()> now;
    std::function<void(duration)> sleep;
    std::function<log_time_ms()> wallClock;
};

/// Writes an error to standard error, as a JSON object with --json, and returns its code.
ctl_exit reportError(ctl_context &context, const ctl_error &error);

/// Writes a remark that is no result to standard error.
void reportRemark(ctl_context &context, const std::string &text);

/// Returns rows as lines with aligned columns. The first row is the heading.
std::string formatTable(const std::vector<std::vector<std::string>> &rows);

/// Reads a whole file. Fails with BadInput.
ctl_result<std::string> readInputFile(const std::string &fileName);

} // namespace burdockhold

#endif
