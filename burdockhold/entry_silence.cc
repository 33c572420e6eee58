#include "burdockhold/entry_silence.h"

#include <iterator>

namespace burdockhold {

entry_silence::entry_silence(entry_silence_options options)
    : m_options(options)
{
}

void entry_silence::entryRead(const endpoint_report &report, duration at)
{
    m_entries[report.id] = { report, at };
}

void entry_silence::entryRemoved(const std::string &id)
{
    m_entries.erase(id);
}

void entry_silence::keepOnly(const std::set<std::string> &ids)
{
    for (auto row = m_entries.begin(); row != m_entries.end();)
        row = ids.count(row->first) == 0 ? m_entries.erase(row) : std::next(row);
}

std::vector<endpoint_report> entry_silence::takeSilent(duration viewAt)
{
    std::vector<endpoint_report> silent;
    for (auto &[id, known] : m_entries) {
        if (known.report.isSilent || viewAt < known.readAt + m_options.silentAfter)
            continue;
        known.report.isSilent = true;
        silent.push_back(known.report);
    }
    return silent;
}

} // namespace burdockhold
