#ifndef BURDOCKHOLD_LIMITS_CONTROLLER_H
#define BURDOCKHOLD_LIMITS_CONTROLLER_H

// The controller of account limits: steps account_limits by a thread of its own, by requests and by
// peers' messages, and sends what it asks for. Grants travel as requests and replies between VMs;
// account_limits repeats what is lost. Verdicts on requests that wait for tokens are given on the
// HTTP library's threads.

#include "burdockhold/account_limits.h"
#include "burdockhold/catalogue.h"
#include "burdockhold/limit_stage.h"
#include "burdockhold/membership_controller.h"
#include "burdockhold/peer_link.h"

#include <memory>
#include <string>

namespace burdockhold {

struct limits_options
{
    account_limits_options limits;
    std::int64_t maxOpenRequests = 0; ///< Of all accounts on this VM; 0 sets no bound.
};

class limits_controller : public request_limiter
{
public:
    explicit limits_controller(limits_options options);
    ~limits_controller() override;
    limits_controller(const limits_controller &) = delete;
    limits_controller &operator=(const limits_controller &) = delete;

    /// Starts stepping. The link must outlive stop().
    void start(peer_link &link);

    /// Joins the thread. Waiting requests get no verdict afterwards.
    void stop();

    /// Sets all accounts from the catalogue and this VM's shares.
    void applyShares(const catalogue &config, const share_view &shares);

    /// Allows minting up to a time.
    void setFreshUntil(time_point until);

    /// Answers a grant request or a return of a peer; other bodies are returned unchanged.
    peer_body serve(const peer_message &message);

    void admit(const std::string &account, double reserveTokens, verdict_function decided) override;
    void settle(std::uint64_t ticket, double usedTokens) override;

    account_limits_statistics statistics() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace burdockhold

#endif
