#include "testing/soak_log.h"

namespace burdockhold::testing {

void soak_log::put(const std::string &topic, const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    write(topic, key, value);
}

void soak_log::remove(const std::string &topic, const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    write(topic, key, std::nullopt);
}

void soak_log::takeCopy()
{
    const std::lock_guard lock(m_mutex);
    m_service.takeCopy();
    m_writesAtCopy = m_writes;
}

std::vector<soak_log::lost_write> soak_log::restore()
{
    const std::lock_guard lock(m_mutex);
    m_service.returnFromCopy();
    std::vector<lost_write> lost;
    for (const auto &[place, newest] : m_newest) {
        if (newest.number > m_writesAtCopy)
            lost.push_back({ place.first, place.second, newest.number });
    }
    return lost;
}

bool soak_log::writeAgain(const lost_write &lost)
{
    const std::lock_guard lock(m_mutex);
    const newest_write newest = m_newest.at({ lost.topic, lost.key });
    if (newest.number != lost.number)
        return false;
    write(lost.topic, lost.key, newest.value);
    return true;
}

void soak_log::write(const std::string &topic, const std::string &key,
                     const std::optional<std::string> &value)
{
    if (value)
        m_service.put(topic, key, *value);
    else
        m_service.remove(topic, key);
    m_newest[{ topic, key }] = { value, ++m_writes };
}

} // namespace burdockhold::testing
