#include "burdockhold/endpoint_paths.h"

#include <utility>

namespace burdockhold {

using boost::asio::ip::tcp;

namespace {

// Far above the round trip of a connection in any deployment.
constexpr duration ProbeTimeout = std::chrono::milliseconds(300);
// Covers the connection to the relay and the relay's own attempt.
constexpr duration RelayedConnectTimeout = std::chrono::milliseconds(500);

/// Returns true if a relay has tried to reach the endpoint.
bool isFromEndpoint(std::optional<relay_answer> answer)
{
    return answer && answer != relay_answer::NotRelayed;
}

} // namespace

endpoint_paths::endpoint_paths(boost::asio::io_context &context, router_board &board)
    : m_context(context)
    , m_board(board)
{
    if (!board.settings.endpointSourceIp.empty()) // Checked by the parser of the settings.
        m_localAddress = boost::asio::ip::make_address_v4(board.settings.endpointSourceIp);
}

bool endpoint_paths::hasFailed(const http_client_connection &connection) const
{
    if (connection.isRelayed())
        return !isFromEndpoint(connection.relayAnswer());
    return m_board.contact.state() != contact_state::InTouch;
}

bool endpoint_paths::isRelaying() const
{
    return m_board.contact.isLost() && m_board.relays.hasChoice(steadyNow());
}

std::optional<tcp::endpoint> endpoint_paths::chooseRelay()
{
    if (!m_board.contact.isLost())
        return std::nullopt;
    const auto relay = m_board.relays.choose(steadyNow());
    return relay ? parseAddress(*relay) : std::nullopt;
}

std::shared_ptr<http_client_connection> endpoint_paths::connect(const std::string &address)
{
    const auto server = parseAddress(address);
    if (!server)
        return nullptr;
    http_client_options options;
    options.localAddress = m_localAddress;
    options.relay = chooseRelay();
    if (options.relay) {
        options.connectTimeout = RelayedConnectTimeout;
        m_board.metrics.count(router_counter::RelayedCalls);
        options.connectEnded = [this, relay = *options.relay](bool connected,
                                                              std::optional<relay_answer> answer) {
            relayedAttemptEnded(relay, connected, answer);
        };
    } else {
        options.connectEnded = [this, address, startedAt = steadyNow()](
                                       bool connected, std::optional<relay_answer>) {
            m_board.contact.attemptEnded(address, connected, startedAt, steadyNow());
        };
    }
    return std::make_shared<http_client_connection>(m_context, *server, std::move(options));
}

/// A relay that could not reach the endpoint has done its part.
void endpoint_paths::relayedAttemptEnded(const tcp::endpoint &relay, bool connected,
                                         std::optional<relay_answer> answer)
{
    if (connected || isFromEndpoint(answer))
        return;
    const time_point now = steadyNow();
    m_board.relays.refused(formatAddress(relay), now);
    if (m_board.log.accepts(log_priority::Failure, now))
        m_board.log.write(log_event::RelayFailed,
                          { { "relay", formatAddress(relay) },
                            { "answer", answer ? nameOf(*answer) : "none" } },
                          now);
}

void endpoint_paths::check(const std::string &address, duration timeout,
                           const std::function<void(connect_outcome)> &done)
{
    if (const auto relay = chooseRelay()) {
        checkRelayedConnect(m_context, *relay, address, { timeout, m_localAddress }, done);
        return;
    }
    checkConnect(m_context, address, { timeout, m_localAddress },
                 [this, address, done, startedAt = steadyNow()](connect_outcome outcome) {
                     m_board.contact.attemptEnded(address, outcome == connect_outcome::Accepted,
                                                  startedAt, steadyNow());
                     // While nothing is in reach, a reset is no sign that the endpoint has ended.
                     const bool isConclusive = m_board.contact.state() == contact_state::InTouch;
                     done(isConclusive || outcome == connect_outcome::Accepted
                                  ? outcome
                                  : connect_outcome::Inconclusive);
                 });
}

void endpoint_paths::step(time_point now)
{
    for (const std::string &address :
         m_board.contact.step([this] { return m_board.endpoints.contactTargets(); }, ++m_seed, now))
        probe(address);
    logChange(now);
}

void endpoint_paths::probe(const std::string &address)
{
    checkConnect(m_context, address, { ProbeTimeout, m_localAddress },
                 [this, address, startedAt = steadyNow()](connect_outcome outcome) {
                     m_board.contact.attemptEnded(address, outcome == connect_outcome::Accepted,
                                                  startedAt, steadyNow());
                 });
}

void endpoint_paths::logChange(time_point now)
{
    const contact_state state = m_board.contact.state();
    const bool wasLost = m_logged == contact_state::Lost;
    if (state == m_logged)
        return;
    m_logged = state;
    if (wasLost == m_board.contact.isLost())
        return;
    m_board.digestRequested = true;
    if (!wasLost) {
        m_lostAt = now;
        m_board.metrics.count(router_counter::ContactLosses);
        m_board.endpoints.forgetConnectFailures();
    }
    if (m_board.log.accepts(log_priority::StateChange, now))
        m_board.log.write(wasLost ? log_event::EndpointContactRegained
                                  : log_event::EndpointContactLost,
                          { { "endpoints", m_board.endpoints.size() },
                            { "relays", m_board.relays.size() },
                            { "lost_ms", wasLost ? 1000.0 * toSeconds(now - m_lostAt) : 0.0 } },
                          now);
}

} // namespace burdockhold
