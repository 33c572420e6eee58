// The part of routed_request that lets a request wait for an endpoint or for the first deployment.

#include "burdockhold/routed_request.h"
#include "burdockhold/wait_rules.h"

#include <algorithm>

namespace burdockhold {

using boost::system::error_code;

namespace {

constexpr duration MaxWaitForDeployment = std::chrono::milliseconds(600);

} // namespace

/// Waits for the first deployment, which a VM usually has about ten milliseconds after its start.
void routed_request::waitForDeployment()
{
    if (!m_waiting) {
        m_context.board.metrics.count(router_counter::Requests);
        m_waiting = true;
        m_context.waiting.add(shared_from_this());
        m_timer.expires_after(MaxWaitForDeployment);
        m_timer.async_wait([self = shared_from_this()](error_code error) {
            if (error || self->m_ended || self->m_deployment)
                return;
            self->m_context.waiting.remove(self.get());
            self->m_waiting = false;
            self->guard([&self] {
                self->refuse(503, "no_deployment", std::chrono::milliseconds(300));
            });
        });
    }
}

/// Returns whether the schedulers place the request. Then it waits in their queues, in the order of
/// all VMs, and in the wait queue only for their answers.
bool routed_request::isScheduled() const
{
    return m_context.placements != nullptr && m_context.board.usesSchedulers() && m_pool != nullptr
           && m_pool->engine;
}

/// Returns whether the request waits in the order of waiting_room.h. Requests for model engines do
/// not: a response that is late from the start takes an engine's memory for seconds, and the share
/// of all that are in time falls.
bool routed_request::waitsInRoom() const
{
    return usesFairWaiting(m_context.board.settings.mechanisms)
           && (m_pool == nullptr || !m_pool->engine);
}

/// Places the request, or lets it wait. An arrival does not overtake those that wait.
void routed_request::placeOrWait()
{
    const bool mustQueue = m_callsMade == 0 && waitsInRoom()
                           && m_context.waiting.hasWaiting(m_poolName);
    if (!mustQueue) {
        if (!place())
            enterWaitQueue(wait_cause::NoRoom);
        return;
    }
    if (refuseIfBlocked(steadyNow()))
        return;
    enterWaitQueue(wait_cause::Order);
    if (m_waiting)
        m_context.waiting.roomFreed(m_context.io, m_poolName);
}

void routed_request::enterWaitQueue(wait_cause cause)
{
    m_waiting = true;
    m_wait.cause = isScheduled() ? wait_cause::None : cause;
    const time_point now = steadyNow();
    if (!waitsInRoom())
        m_context.waiting.add(shared_from_this());
    else if (!joinWaitQueue(now))
        return;
    m_timer.expires_at(queueWaitEnd(now));
    m_timer.async_wait([self = shared_from_this()](error_code error) {
        if (!error)
            self->waitEnded();
    });
}

/// Returns false if the request has been refused.
bool routed_request::joinWaitQueue(time_point now)
{
    const std::size_t maxBytes = m_context.board.settings.memoryBytes / WaitingBytesDivisor;
    duration retryAfter = duration::zero();
    m_waiting = m_context.waiting.join(shared_from_this(), waitEntryFor(waitingCall(), now),
                                       maxBytes, m_wait, retryAfter, now);
    if (!m_waiting)
        queueWaitEnded(retryAfter);
    return m_waiting;
}

void routed_request::waitEnded()
{
    if (m_ended || !m_waiting)
        return;
    m_context.waiting.remove(this, m_wait);
    m_waiting = false;
    guard([this] {
        const time_point now = steadyNow();
        queueWaitEnded(waitsInRoom() ? m_context.waiting.retryAfterWait(
                               waitEntryFor(waitingCall(), now), now)
                                     : m_route->latencyTarget);
    });
}

void routed_request::queueWaitEnded(duration retryAfter)
{
    if (m_responseStarted)
        takeStep(abort_response{});
    else if (m_mayHaveRun)
        fail(502, "no_endpoint_for_repeat");
    else
        refuse(503, "no_endpoint", retryAfter);
}

/// Returns when a request that enters the wait queue now has to leave it.
time_point routed_request::queueWaitEnd(time_point now) const
{
    const mechanism_set &mechanisms = m_context.board.settings.mechanisms;
    if (waitsInRoom() || isScheduled())
        return latestStart(waitEntryFor(waitingCall(), now).request);
    return std::min(m_deadline,
                    now + maxQueueWait(m_responseStarted, m_route->latencyTarget, mechanisms));
}

waiting_call routed_request::waitingCall() const
{
    return { m_request,
             *m_route,
             m_account == nullptr ? std::string_view() : m_account->name,
             m_poolName,
             m_triedEndpoints,
             m_fingerprints.back(),
             m_arrival,
             m_deadline,
             m_priority,
             m_pool != nullptr && m_pool->engine,
             m_responseStarted,
             m_mayHaveRun,
             m_awaitsRetryBudget };
}

} // namespace burdockhold
