#ifndef BURDOCKHOLD_PLACEMENT_CLIENT_H
#define BURDOCKHOLD_PLACEMENT_CLIENT_H

// Asks the schedulers of the data centres where to place requests (placement_scheduler.h), states
// this VM's calls to them, and acts as the scheduler of this VM's data centre if it is the one.
//
// The scheduler of a data centre is the VM that also summarizes its digests: the live VM with the
// largest capacity. All VMs of the data centre compute it from digests, and those of others learn
// it from summaries, so there is no election, and nothing has to be agreed on.
//
// A request asks the scheduler of its home data centre for an endpoint that is expected to be fast,
// then one other data centre, then its home for a place in its queue. While it waits there, it asks
// the other data centres in turn. Home is the own data centre for short prompts. For long ones it
// is chosen by rendezvous hashing of their shared segments: an exchange between data centres takes
// milliseconds, the prefill of a segment 100, and the caches of one data centre do not hold what
// those of all hold. An evacuated data centre is no home and is not asked while there is another.
//
// Failures:
// - A scheduler that does not answer within answerTimeout: the request is placed by this VM alone,
//   and the scheduler is not asked for silencePause.
// - A datagram that is lost, repeated, absurd or of another format: dropped; see
//   scheduler_message.h.
// - A grant for a cold engine that arrives late: dropped, and the scheduler is asked again; see
//   cold_grants.h.
// - A scheduler that answers a queued question no more: the question is repeated, then the request
// is
//   placed by this VM alone.
// All functions run on the event loop's thread.

#include "burdockhold/placement_inputs.h"
#include "burdockhold/placement_scheduler.h"
#include "burdockhold/router_board.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace burdockhold {

struct placement_client_options
{
    duration answerTimeout = std::chrono::milliseconds(30);
    /// Schedulers of other data centres.
    duration remoteAnswerTimeout = std::chrono::milliseconds(50);
    /// A queued question is repeated this often, since its answer may have been lost.
    duration repeatInterval = std::chrono::milliseconds(60);
    int maxRepeats = 3;
    duration silencePause = std::chrono::milliseconds(300);
    duration statementInterval = std::chrono::milliseconds(250);
    /// After no endpoint had room, the schedulers are asked again after this time.
    duration declinedPause = std::chrono::milliseconds(40);
    /// Share of the latency target within which the first event has to be expected, or other data
    /// centres are asked.
    double fastShareOfTarget = 0.35;
};

/// What a question states about a request beside its placement_inputs.
struct placement_facts
{
    const placement_query &query;
    const placement_inputs &inputs;
    std::string_view account;
    int priority = 5;
    duration target = duration::zero();   ///< Latency target that is left.
    duration deadline = duration::zero(); ///< Time that is left.
    duration maxWait = duration::zero();
};

/// The VM chooses the endpoint by itself.
struct place_locally
{
};
/// The answer has not arrived, or the request waits in the scheduler's queue.
struct await_placement
{
};
/// No endpoint has room.
struct no_room
{
};

using placement_step = std::variant<place_locally, await_placement, no_room, endpoint_choice>;

class placement_client;

/// The placement of one request. It withdraws its question, or states that its call has ended, when
/// it is destroyed.
class request_placement
{
public:
    explicit request_placement(placement_client *client)
        : m_client(client)
    {
    }
    ~request_placement() { callEnded(); }
    request_placement(const request_placement &) = delete;
    request_placement &operator=(const request_placement &) = delete;

    /// Returns how to place the request now. `answered` is called when it is worth calling again.
    placement_step choose(const placement_facts &facts, const std::function<void()> &answered);

    /// Returns whether choose() would return nothing new, so that it need not be called.
    bool isPending(time_point now) const;

    /// States the call that follows the choice.
    void callStarted(const endpoint_report &endpoint, const call_load &load);
    /// States that the first event has come this long after the call; zero if the time does not
    /// show the engine's pace.
    void prefillFinished(duration firstEvent);
    void callEnded();

private:
    placement_client *m_client;
    std::uint32_t m_number = 0; ///< 0 while nothing is asked and no call is made.
};

class placement_client
{
public:
    /// Datagrams are sent with the function, and the received ones passed to datagramReceived().
    using datagram_sender =
            std::function<void(const boost::asio::ip::udp::endpoint &, std::string_view)>;
    placement_client(boost::asio::io_context &context, router_board &board, datagram_sender send,
                     placement_client_options options = {});

    void datagramReceived(std::string_view bytes, const boost::asio::ip::udp::endpoint &sender);

    /// States this VM's calls, and answers waiting questions. Called on every tick.
    void step(time_point now);

private:
    friend class request_placement;

    enum class ask_stage { HomeFast, OtherFast, HomeQueue };
    enum class ask_state { Asked, Queued, Granted, NoRoom, Local, InCall };

    struct open_placement
    {
        explicit open_placement(boost::asio::io_context &context)
            : timer(context)
        {
        }

        ask_state state = ask_state::Asked;
        ask_stage stage = ask_stage::HomeFast;
        placement_question question;
        time_point askedAt; // The question's latest repetition was sent then.
        std::function<void()> answered;
        std::string home;       // Data centre that is asked first.
        std::string dataCentre; // Of the scheduler that was asked, or of the call's endpoint.
        duration maxWait = duration::zero();
        duration target = duration::zero();
        int repeats = 0;
        placement_answer answer;
        time_point retryAt; // With NoRoom.
        call_row row;       // With InCall.
        boost::asio::steady_timer timer;
    };

    bool isUsable(const placement_facts &facts, time_point now) const;
    bool isSilent(const std::string &dataCentre, time_point now) const;
    std::vector<std::string> otherDataCentres(const std::string &home, time_point now) const;
    std::optional<std::string> otherDataCentre(const std::string &home, std::uint32_t number,
                                               time_point now) const;
    std::string homeOf(const placement_facts &facts, std::uint32_t number, time_point now) const;
    std::uint32_t begin(const placement_facts &facts, const std::function<void()> &answered);
    bool isPending(std::uint32_t number, time_point now) const;
    placement_step stepOf(std::uint32_t number, const placement_facts &facts, time_point now);
    void ask(std::uint32_t number, ask_stage stage, time_point now);
    void countRepetition(open_placement &placement, time_point now) const;
    void send(std::uint32_t number, time_point now);
    bool chargeCold(std::string_view engine, time_point now);
    void dropLateGrant(std::uint32_t number, time_point now);
    void armTimer(std::uint32_t number);
    void timedOut(std::uint32_t number);
    void notify(std::uint32_t number);
    void answerReceived(const placement_answer &answer, const std::string &dataCentre,
                        time_point now);
    void askElsewhere(std::uint32_t number, time_point now);
    std::uint32_t fastMs(const open_placement &placement) const;
    std::string dataCentreOf(const boost::asio::ip::udp::endpoint &scheduler) const;
    void declined(std::uint32_t number, time_point now);
    void settle(open_placement &placement, ask_state state);
    void callStarted(std::uint32_t &number, const endpoint_report &endpoint, const call_load &load);
    void prefillFinished(std::uint32_t number, duration firstEvent);
    void applyStatement(const call_statement &statement, time_point now);
    void end(std::uint32_t number);

    void stateCalls(const std::string &dataCentre, time_point now);
    void stateChange(const std::string &dataCentre, const call_row &row);
    void sendStatement(const std::string &dataCentre, const call_statement &statement);
    void sendGrants(time_point now);
    std::optional<boost::asio::ip::udp::endpoint> schedulerOf(const std::string &dataCentre) const;
    bool isOwnScheduler(const std::string &dataCentre) const;
    void sendTo(const boost::asio::ip::udp::endpoint &address, const scheduler_message &message);

    boost::asio::io_context &m_context;
    router_board &m_board;
    placement_client_options m_options;
    datagram_sender m_send;
    placement_scheduler m_scheduler;
    std::uint64_t m_vm; // Incarnation of this VM.
    std::uint32_t m_lastNumber = 0;
    std::uint64_t m_sequence = 0;
    std::unordered_map<std::uint32_t, std::unique_ptr<open_placement>> m_placements;
    std::map<std::string, time_point> m_silentUntil; // By data centre.
    std::set<std::string> m_stated; // Data centres that were told of calls in the last statement.
    time_point m_statementDueAt;
    /// Addresses of the VMs that have asked or stated something, by incarnation.
    std::map<std::uint64_t, boost::asio::ip::udp::endpoint> m_vmAddresses;
};

} // namespace burdockhold

#endif
