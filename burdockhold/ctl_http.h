#ifndef BURDOCKHOLD_CTL_HTTP_H
#define BURDOCKHOLD_CTL_HTTP_H

// HTTP calls of the operators' tool to VMs and to the VM list.

#include "burdockhold/ctl_context.h"

namespace burdockhold {

struct ctl_http_options
{
    duration timeout = std::chrono::seconds(3); ///< Silence after which a call has failed.
    /// Calls in flight. 64 keep 1,300 VMs within seconds and use few file descriptors.
    std::size_t concurrent = 64;
};

/// Each call travels on a connection of its own: on a reused connection the HTTP library sends an
/// unanswered POST again by itself. Not to be called on cpprest's threads.
class ctl_http : public http_service
{
public:
    explicit ctl_http(ctl_http_options options = {})
        : m_options(options)
    {
    }

    std::vector<http_call_result> callAll(const std::vector<http_call> &calls) override;

private:
    ctl_http_options m_options;
};

} // namespace burdockhold

#endif
