#include "burdockhold/connection_pool.h"

#include <algorithm>
#include <utility>

namespace burdockhold {

namespace {

constexpr std::size_t MaxIdlePerAddress = 8;

} // namespace

std::shared_ptr<http_client_connection> connection_pool::acquire(const std::string &address,
                                                                 bool mayReuse)
{
    const auto idle = m_idle.find(address);
    while (mayReuse && idle != m_idle.end() && !idle->second.empty()) {
        std::shared_ptr<http_client_connection> connection = std::move(idle->second.back());
        idle->second.pop_back();
        if (mayUse(*connection))
            return connection;
        connection->close();
    }
    return m_paths.connect(address);
}

bool connection_pool::mayUse(http_client_connection &connection) const
{
    return connection.isReusable() && connection.isRelayed() == m_paths.isRelaying();
}

void connection_pool::release(const std::string &address,
                              std::shared_ptr<http_client_connection> connection)
{
    auto &idle = m_idle[address];
    if (!mayUse(*connection) || idle.size() >= MaxIdlePerAddress) {
        connection->close();
        return;
    }
    idle.push_back(std::move(connection));
}

void connection_pool::closeUnusable()
{
    for (auto entry = m_idle.begin(); entry != m_idle.end();) {
        auto &connections = entry->second;
        const auto firstExpired = std::remove_if(connections.begin(), connections.end(),
                                                 [this](const auto &connection) {
                                                     if (mayUse(*connection))
                                                         return false;
                                                     connection->close();
                                                     return true;
                                                 });
        connections.erase(firstExpired, connections.end());
        entry = connections.empty() ? m_idle.erase(entry) : std::next(entry);
    }
}

} // namespace burdockhold
