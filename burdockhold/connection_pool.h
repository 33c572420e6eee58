#ifndef BURDOCKHOLD_CONNECTION_POOL_H
#define BURDOCKHOLD_CONNECTION_POOL_H

// Idle connections to endpoints, by address. Only calls that may be retried use a reused
// connection: if the connection fails after the request was sent, the outcome is unknown. While
// contact with the endpoints is lost, connections of this VM's own are not reused, and relayed ones
// only then (endpoint_paths.h).

#include "burdockhold/endpoint_paths.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace burdockhold {

class connection_pool
{
public:
    explicit connection_pool(endpoint_paths &paths)
        : m_paths(paths)
    {
    }

    /// Returns an idle connection if there is one and mayReuse is set, otherwise a new one. Returns
    /// null if the address is invalid.
    std::shared_ptr<http_client_connection> acquire(const std::string &address, bool mayReuse);

    /// Keeps the connection for reuse if that is possible, and closes it otherwise.
    void release(const std::string &address, std::shared_ptr<http_client_connection> connection);

    /// Closes idle connections that can no longer be reused.
    void closeUnusable();

private:
    bool mayUse(http_client_connection &connection) const;

    endpoint_paths &m_paths;
    std::map<std::string, std::vector<std::shared_ptr<http_client_connection>>> m_idle;
};

} // namespace burdockhold

#endif
