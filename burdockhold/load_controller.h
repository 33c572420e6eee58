#ifndef BURDOCKHOLD_LOAD_CONTROLLER_H
#define BURDOCKHOLD_LOAD_CONTROLLER_H

// Polls GET /load of every engine in the catalogue and publishes the reports with their times in
// the blackboard. Each engine is polled once per interval, with jitter so that the VMs of a
// deployment do not poll in step; an engine whose poll is still open is not polled again. At most
// maxOpenPolls run at once: with more engines than maxOpenPolls x interval / answer time the polls
// become rarer and the reports older.
//
// A poll that fails takes the connection with it, because a connection that went silent may stay
// silent for good while new ones work. Polls are GET requests, so that a copy that the HTTP library
// sends by itself does no harm.

#include "burdockhold/blackboard.h"

#include <functional>
#include <memory>
#include <string>

namespace burdockhold {

struct load_controller_options
{
    duration interval = std::chrono::milliseconds(250);
    /// Time for an answer. Engines answer from memory; a longer silence says that the connection
    /// or the process hangs.
    duration timeout = std::chrono::seconds(1);
    double jitter = 0.2; ///< Largest part of the interval by which a poll is early or late.
    std::size_t maxOpenPolls = 64;
    std::uint32_t seed = 1;
};

/// The answer to one poll.
struct poll_result
{
    poll_outcome outcome = poll_outcome::Failed;
    engine_load load;    ///< Only when reported.
    time_point sentAt{}; ///< When the poll was sent.
};

class load_controller
{
public:
    /// Called after each poll with the endpoint's name. May run on any thread; must not block.
    using poll_listener = std::function<void(const std::string &, const poll_result &)>;

    /// Starts polling. The blackboard must outlive the controller.
    load_controller(load_controller_options options, blackboard &board, poll_listener listener);
    ~load_controller();
    load_controller(const load_controller &) = delete;
    load_controller &operator=(const load_controller &) = delete;

    /// Stops polling and waits for the open polls. Nothing is published or reported afterwards.
    void stop();

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

/// Polls one engine on a connection of its own and passes the result on, at the latest after the
/// timeout. Does not block.
void probeLoad(const std::string &url, duration timeout,
               const std::function<void(const poll_result &)> &done);

} // namespace burdockhold

#endif
