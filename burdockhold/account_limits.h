#ifndef BURDOCKHOLD_ACCOUNT_LIMITS_H
#define BURDOCKHOLD_ACCOUNT_LIMITS_H

// One VM's part in holding every client account to its rate and burst over all VMs together. Pure:
// time and messages are passed in, messages and late decisions are handed out by takeOutputs().
//
// Promise: in every window, over all VMs, the tokens used by requests admitted in it are at most
// rate x time + burst. The argument:
// 1. A minter's bucket has capacity share x (burst - rate x grantLifetime). Shares add up to at
//    most 1 at every moment (membership.h), growing shares add no tokens, and restarts start
//    empty. So over all VMs the tokens minted in a window are at most
//    rate x time + burst - rate x grantLifetime. Give-backs keep this bound (token_bucket.h).
// 2. Own tokens are used when they are minted. Granted ones are used at most grantLifetime after
//    they were minted, since the borrower counts the lifetime from before it first sent the
//    request. So tokens used in a window were minted in that window extended by grantLifetime.
// 3. A borrower returns only tokens that no request uses, each once: a return states the total
//    returned of a grant so far, and the minter applies the largest total it has seen. Unused
//    tokens of a request that was admitted from a grant go back into the grant only before its
//    expiry. A lost message loses tokens.
// A VM mints only while its view is fresh (setFreshUntil): a paused VM may wake after an epoch that
// gave its share to others. While VMs know different rates of an account, the larger one holds.
//
// Limits for each account: maxWaiting requests, maxLoans grants borrowed, maxServed grants given.
// admit(), settle() and receive() are O(loans + waiting) of the account.

#include "burdockhold/clock.h"
#include "burdockhold/token_bucket.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace burdockhold {

/// Asks a minter for tokens. The same requestId is granted once.
struct grant_request
{
    std::string account;
    std::uint64_t borrowerIncarnation = 0;
    std::uint64_t requestId = 0;
    double tokens = 0.0;
};

/// Answers a grant_request, with 0 tokens when the minter has none.
struct grant_reply
{
    std::string account;
    std::uint64_t borrowerIncarnation = 0;
    std::uint64_t requestId = 0;
    std::uint64_t minterIncarnation = 0;
    double tokens = 0.0;
    double remaining = 0.0; ///< What the minter could still grant; a hint.
};

/// Returns unused tokens of a grant.
struct grant_return
{
    std::string account;
    std::uint64_t borrowerIncarnation = 0;
    std::uint64_t requestId = 0;
    std::uint64_t minterIncarnation = 0;
    double returnedTotal = 0.0; ///< All tokens returned of this grant so far.
};

using grant_message = std::variant<grant_request, grant_reply, grant_return>;

/// A message and the VM that it goes to.
struct addressed_grant_message
{
    std::string to;
    grant_message message;
};

/// What an account may use, and this VM's part in it.
struct account_share
{
    double rate = 0.0;  ///< Tokens per second over all VMs.
    double burst = 0.0; ///< Tokens over all VMs.
    double share = 0.0; ///< This VM's usable share (epoch_history::usableShare).
    std::vector<std::string> minters;
};

enum class admission_outcome { Admitted, Wait, Refused };

/// The decision on one request. Wait is followed by a later decision with the same ticket.
struct admission
{
    admission_outcome outcome = admission_outcome::Refused;
    std::uint64_t ticket = 0;               ///< For settle() and cancel().
    duration retryAfter = duration::zero(); ///< For Refused.
};

struct account_limits_options
{
    std::string self;
    std::uint64_t incarnation = 0; ///< Differs between processes of the same VM.
    duration grantLifetime = std::chrono::milliseconds(500);
    duration maxWait = std::chrono::milliseconds(400);   ///< Longest wait for tokens.
    duration askTimeout = std::chrono::milliseconds(40); ///< Unanswered requests are sent again.
    duration shortageDelay = std::chrono::milliseconds(
            50);                                        ///< Before a short minter is asked again.
    duration prefetch = std::chrono::milliseconds(100); ///< Demand borrowed in advance.
    std::size_t maxWaiting = 1000;
    std::size_t maxLoans = 4096;
    std::size_t maxServed = 16384;
    std::size_t maxReservations = 16384;
};

struct account_limits_statistics
{
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    double borrowed = 0.0; ///< Tokens.
    double granted = 0.0;  ///< Tokens.
    double restored = 0.0; ///< Tokens given back into own buckets.
};

class account_limits
{
public:
    explicit account_limits(const account_limits_options &options);

    /// Sets an account's limits, this VM's share of them and its minters. A bucket that is new here
    /// starts empty.
    void setAccount(const std::string &account, const account_share &share, time_point now);

    /// Removes an account; its waiting requests are refused.
    void removeAccount(const std::string &account);

    /// Allows minting up to a time: the view's asOf plus maxViewAge.
    void setFreshUntil(time_point until) { m_freshUntil = until; }

    /// Decides on a request that uses at most reserveTokens.
    admission admit(const std::string &account, double reserveTokens, time_point now);

    /// Ends an admitted request that used usedTokens; the rest becomes available again as far as
    /// the bound allows. A second call does nothing.
    void settle(std::uint64_t ticket, double usedTokens, time_point now);

    /// Withdraws a waiting request.
    void cancel(std::uint64_t ticket);

    /// Takes a message from a VM. Repeated, late and unexpected messages change nothing.
    void receive(const std::string &from, const grant_message &message, time_point now);

    /// Ends grants and waits that are over, and sends requests again. To be called every 10 ms.
    void step(time_point now);

    /// Returns the messages to send since the last call.
    std::vector<addressed_grant_message> takeMessages();

    /// Returns the decisions on waiting requests since the last call.
    std::vector<admission> takeDecisions();

    const account_limits_statistics &statistics() const { return m_statistics; }

private:
    /// A request to a minter, and the grant once it is answered.
    struct loan
    {
        std::string minter;
        time_point firstSent;
        time_point lastSent;
        double asked = 0.0;
        bool answered = false;
        std::uint64_t minterIncarnation = 0;
        double unspent = 0.0;
        double returnedTotal = 0.0;
        std::size_t users = 0; ///< Requests that may still give tokens back.
    };

    struct waiting_request
    {
        std::uint64_t ticket = 0;
        double tokens = 0.0;
        time_point deadline;
    };

    /// What is known of a minter.
    struct minter_view
    {
        std::optional<double> level; ///< Last known; a hint.
        time_point askAgain;         ///< No new request before this time.
    };

    /// A grant given to another VM. Key: borrower, its incarnation, request id.
    struct served_grant
    {
        reservation_id reservation = 0;
        double tokens = 0.0;
        double returnedTotal = 0.0;
    };

    struct served_key
    {
        std::string borrower;
        std::uint64_t incarnation = 0;
        std::uint64_t requestId = 0;
        bool operator<(const served_key &other) const;
    };

    struct account_state
    {
        account_state(const token_bucket_options &options, const account_share &share,
                      time_point now);

        account_share limits;
        token_bucket bucket;
        std::deque<waiting_request> waiting;
        std::map<std::uint64_t, loan> loans; ///< By request id.
        std::map<served_key, served_grant> served;
        std::deque<served_key> servedOrder;
        std::map<std::string, minter_view> minters;
        double demand = 0.0; ///< Tokens per second, decayed.
        time_point demandAt;
    };

    /// The tokens that a request holds, by where they came from.
    struct held_tokens
    {
        std::string account;
        reservation_id own = 0;
        double ownTokens = 0.0;
        std::vector<std::pair<std::uint64_t, double>> loans;
    };

    double capacityOf(const account_share &share) const;
    bool isFresh(time_point now) const { return now < m_freshUntil; }
    double ownLevel(account_state &state, time_point now) const;
    bool isUsable(const loan &l, time_point now) const;
    double loanedTokens(const account_state &state, time_point now) const;
    bool trySpend(const std::string &account, account_state &state, std::uint64_t ticket,
                  double tokens, time_point now);
    void forgetOldestHeld();
    void noteDemand(account_state &state, double tokens, time_point now) const;
    double demandNow(const account_state &state, time_point now) const;
    void serveWaiting(const std::string &account, account_state &state, time_point now);
    void refuse(const waiting_request &request, duration retryAfter);
    void borrow(const std::string &account, account_state &state, time_point now);
    void ask(const std::string &account, account_state &state, const std::string &minter,
             double tokens, time_point now);
    void returnTokens(const std::string &account, std::uint64_t requestId, loan &l, double tokens);
    void endLoans(const std::string &account, account_state &state, time_point now);
    void handle(const std::string &from, const grant_request &request, time_point now);
    void handle(const std::string &from, const grant_reply &reply, time_point now);
    void handle(const std::string &from, const grant_return &returned, time_point now);
    double mintFor(account_state &state, served_grant &grant, double tokens, time_point now) const;

    account_limits_options m_options;
    time_point m_freshUntil;
    std::map<std::string, account_state> m_accounts;
    std::map<std::uint64_t, held_tokens> m_held; ///< By ticket.
    std::uint64_t m_lastTicket = 0;
    std::uint64_t m_lastRequest = 0;
    std::vector<addressed_grant_message> m_messages;
    std::vector<admission> m_decisions;
    account_limits_statistics m_statistics;
};

} // namespace burdockhold

#endif
