#ifndef BURDOCKHOLD_FRONT_SERVER_H
#define BURDOCKHOLD_FRONT_SERVER_H

// The HTTP listener for callers. It authenticates each request, forwards it to an endpoint and
// returns the endpoint's response; see exchange.h for the stages.
// The listener and its limits are those of http_listener.h.

#include "burdockhold/blackboard.h"
#include "burdockhold/http_listener.h"
#include "burdockhold/limit_stage.h"
#include "burdockhold/metrics.h"
#include "burdockhold/placement_router.h"
#include "burdockhold/result.h"
#include "burdockhold/resume.h"
#include "burdockhold/upstream.h"

#include <cstddef>
#include <memory>
#include <string>

namespace burdockhold {

class call_claims;

struct front_options
{
    std::string address; ///< "http://IP:PORT" to listen on.
    std::size_t bodyLimitBytes = 16 << 20;
    /// Of one response that is not delivered event by event; a longer one is no answer.
    std::size_t responseLimitBytes = 16 << 20;
    std::size_t allResponsesLimitBytes = 64 << 20;      ///< Of all such responses at one time.
    duration maxViewAge = std::chrono::seconds(5);      ///< Keyed requests need a view this recent.
    duration wholeTimeout = std::chrono::minutes(5);    ///< Completion that is not streamed.
    duration serviceTimeout = std::chrono::seconds(30); ///< Answer of a plain service.
    resume_options resume;
    upstream_options upstream;
    listener_options listener; ///< Its name, address and callback are set by the server.
};

/// What the request path uses besides the blackboard.
struct front_services
{
    placement_router &chooser;
    call_claims *claims = nullptr; ///< Null: calls on non-repeatable routes are refused, not run.
    request_limiter *limiter = nullptr; ///< Null: nothing is limited.
    metrics *measures = nullptr;        ///< Null: nothing is measured.
};

enum class front_error { CannotListen };

class front_server
{
public:
    /// The blackboard and the services must outlive the server.
    front_server(front_options options, const blackboard &board, front_services services);
    ~front_server();
    front_server(const front_server &) = delete;
    front_server &operator=(const front_server &) = delete;

    /// Starts listening. Blocks until the socket is open.
    result<success, front_error> start();

    /// Refuses new requests with 503 from now on; open requests run on.
    void stopAccepting();

    /// Requests received whose reply has not been written to its end.
    std::size_t openRequests() const;

    /// Cancels the running requests of a key, given by its digest. For a withdrawn key.
    void cancelKey(const std::string &digest);

    /// Cancels the running completions of all keys, for a view that is out of date. Calls to plain
    /// routes run on, since cancelling one would leave its outcome unknown.
    void cancelKeyedCompletions();

    /// Closes the listener and cancels what is still running. Blocks; call after a drain.
    void stop();

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace burdockhold

#endif
