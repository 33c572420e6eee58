#ifndef BURDOCKHOLD_ENTRY_SILENCE_H
#define BURDOCKHOLD_ENTRY_SILENCE_H

// Finds endpoints that no longer write their entries, for a VM that reads the log.
//
// Endpoints write their entries again and again. Only a VM that reads the log sees this, since
// views that are passed on contain an entry only when it has changed. So the reader adds to the
// entry that its endpoint is silent: from a view without this mark, the other VMs know that the
// endpoint has written its entry lately.
//
// Failure behaviour: while the log cannot be read, no entry becomes silent. After a load of the
// topic, an entry becomes silent only after silentAfter, since a snapshot does not tell its age.
//
// Time and memory are linear in the number of entries.

#include "burdockhold/clock.h"
#include "burdockhold/deployment.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace burdockhold {

struct entry_silence_options
{
    /// More than two intervals at which endpoints write their entries (1.2 s).
    duration silentAfter = std::chrono::milliseconds(3000);
};

class entry_silence
{
public:
    explicit entry_silence(entry_silence_options options = {});

    /// Records that an entry has been read from the log. Times are on the boot-time clock.
    void entryRead(const endpoint_report &report, duration at);
    void entryRemoved(const std::string &id);
    /// Removes the other entries.
    void keepOnly(const std::set<std::string> &ids);

    /// Returns the entries that have become silent, with the mark, when the view of the topic was
    /// that of the log at the given time.
    std::vector<endpoint_report> takeSilent(duration viewAt);

private:
    struct entry
    {
        endpoint_report report;
        duration readAt = duration::zero();
    };

    entry_silence_options m_options;
    std::map<std::string, entry> m_entries;
};

} // namespace burdockhold

#endif
