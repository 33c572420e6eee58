#ifndef BURDOCKHOLD_CTL_EXPLAIN_H
#define BURDOCKHOLD_CTL_EXPLAIN_H

// The story of one request, or of one endpoint or VM, from the structured log lines of all
// processes: what was decided, on which inputs, in the order of time.

#include "burdockhold/ctl_context.h"

#include <cstdint>
#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhold {

/// A log line that names the subject.
struct explained_line
{
    std::int64_t unixMs = 0; ///< By the writer's clock; VMs may differ by some milliseconds.
    std::string vm;
    std::string event;
    std::string fields; ///< "name=value" pairs, as they stand in the line.
    std::string json;   ///< The line itself.
};

/// Adds the lines of the stream that name the subject as a value of any field. Text before a line's
/// JSON object, such as a collector's time stamp, is skipped. Lines that cannot be read are counted
/// and skipped.
struct line_reader
{
    std::string subject;
    std::vector<explained_line> lines;
    std::size_t unreadable = 0; ///< Lines that hold the subject but are no log line.

    void read(std::istream &stream);
};

/// Prints the lines that name the subject, oldest first, from the files, or from the input when
/// there are none. Fails with BadInput for a file that cannot be opened, and with NotFound when no
/// line names the subject.
ctl_exit explain(ctl_context &context, const std::string &subject,
                 const std::vector<std::string> &files, std::istream &input);

} // namespace burdockhold

#endif
