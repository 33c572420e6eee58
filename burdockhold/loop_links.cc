#include "burdockhold/loop_links.h"

#include <algorithm>
#include <utility>

namespace burdockhold {

namespace {

constexpr std::size_t MaxIdlePerAddress = 8;

} // namespace

std::shared_ptr<http_link> link_pool::take(const std::string &address, bool mayReuse)
{
    const auto idle = m_idle.find(address);
    while (mayReuse && idle != m_idle.end() && !idle->second.empty()) {
        std::shared_ptr<http_link> link = std::move(idle->second.back());
        idle->second.pop_back();
        if (link->isReusable())
            return link;
        link->close();
    }
    const auto server = parseAddress(address);
    return server ? std::make_shared<http_link>(m_context, *server) : nullptr;
}

void link_pool::giveBack(const std::string &address, std::shared_ptr<http_link> link)
{
    auto &idle = m_idle[address];
    if (!link->isReusable() || idle.size() >= MaxIdlePerAddress) {
        link->close();
        return;
    }
    idle.push_back(std::move(link));
}

void link_pool::sweep()
{
    for (auto row = m_idle.begin(); row != m_idle.end();) {
        auto &links = row->second;
        const auto dead = std::remove_if(links.begin(), links.end(), [](const auto &link) {
            if (link->isReusable())
                return false;
            link->close();
            return true;
        });
        links.erase(dead, links.end());
        row = links.empty() ? m_idle.erase(row) : std::next(row);
    }
}

} // namespace burdockhold
