#include "burdockhold/evacuations.h"

#include <utility>

namespace burdockhold {

evacuations::evacuations(evacuation_options options)
    : m_options(options)
{
}

evacuation_outcome evacuations::recordRead(const std::string &dataCentre, duration now)
{
    const auto known = m_inForce.find(dataCentre);
    if (known != m_inForce.end()) {
        // A list that came before may have lacked it; it was given again since.
        const bool wasListed = std::exchange(known->second.isListed, true);
        known->second.lastRecordAt = now;
        if (!wasListed || std::exchange(known->second.reportedTwice, true))
            return evacuation_outcome::Unchanged;
        return evacuation_outcome::AlreadyInForce;
    }
    if (dataCentre.empty() || dataCentre.size() > m_options.maxNameBytes)
        return evacuation_outcome::BadName;
    if (m_inForce.size() >= m_options.maxDataCentres)
        return evacuation_outcome::TooMany;
    m_inForce[dataCentre] = { now, now, true, false };
    return evacuation_outcome::Started;
}

evacuation_outcome evacuations::deletionRead(const std::string &dataCentre)
{
    return m_inForce.erase(dataCentre) != 0 ? evacuation_outcome::Ended
                                            : evacuation_outcome::NotInForce;
}

void evacuations::listed(const std::set<std::string> &dataCentres)
{
    for (auto &[dataCentre, known] : m_inForce)
        known.isListed = dataCentres.count(dataCentre) != 0;
}

std::vector<std::string> evacuations::confirmView(duration at)
{
    std::vector<std::string> ended;
    for (auto row = m_inForce.begin(); row != m_inForce.end();) {
        const bool hasEnded = !row->second.isListed && row->second.lastRecordAt < at;
        if (hasEnded)
            ended.push_back(row->first);
        row = hasEnded ? m_inForce.erase(row) : std::next(row);
    }
    return ended;
}

duration evacuations::inForceFor(std::string_view dataCentre, duration now) const
{
    const auto known = m_inForce.find(dataCentre);
    return known == m_inForce.end() ? duration::zero() : now - known->second.since;
}

} // namespace burdockhold
