#include "burdockhold/loop_peers.h"

#include "burdockhold/loop_http.h"

#include <boost/asio/buffer.hpp>

#include <algorithm>
#include <random>

namespace burdockhold {

using boost::asio::ip::udp;
using boost::system::error_code;

namespace {

constexpr duration LiveWithin = std::chrono::seconds(1); ///< Five digests.

} // namespace

digest_link::digest_link(boost::asio::io_context &context, router_board &board,
                         peer_link_options options)
    : m_socket(context)
    , m_board(board)
    , m_options(options)
    , m_buffer()
    , m_incarnation(std::random_device{}())
{
}

std::string digest_link::open()
{
    error_code error;
    m_socket.open(udp::v4(), error);
    const auto ip = boost::asio::ip::make_address_v4(m_board.settings.ip, error);
    if (!error)
        m_socket.bind({ ip, static_cast<unsigned short>(m_board.settings.firstPeerPort) }, error);
    if (!error)
        m_socket.non_blocking(true, error);
    if (error)
        return error.message();
    receive();
    return {};
}

void digest_link::addPeer(const std::string &vm, const std::string &address)
{
    const auto parsed = parseAddress(address);
    if (vm == m_board.settings.vmName || !parsed)
        return;
    peer &added = m_peers[vm];
    const udp::endpoint endpoint(parsed->address(), parsed->port());
    if (added.address == endpoint)
        return;
    added.address = endpoint;
    added.heardAt = steadyNow();
    m_board.knownPeers = m_peers.size();
}

void digest_link::step(time_point now)
{
    if (now < m_dueAt && !(m_board.digestWanted && now >= m_urgentAt))
        return;
    m_board.digestWanted = false;
    const double peers = static_cast<double>(m_peers.size());
    const duration interval = std::max(m_options.interval,
                                       fromSeconds(peers / m_options.sendsPerSecond));
    m_dueAt = now + interval;
    m_urgentAt = now + fromSeconds(toSeconds(interval) * m_options.urgentShare);
    for (auto row = m_peers.begin(); row != m_peers.end();)
        row = now - row->second.heardAt > m_options.forgetAfter ? m_peers.erase(row)
                                                                : std::next(row);
    m_board.knownPeers = m_peers.size();
    m_board.livePeers.clear();
    for (const auto &[vm, other] : m_peers) {
        if (now - other.heardAt < LiveWithin && !other.leaving)
            m_board.livePeers.push_back(vm);
    }
    if (m_peers.empty())
        return;
    const std::string bytes = encodeDigest(ownDigest(now));
    for (const auto &[vm, other] : m_peers) {
        error_code ignored; // A lost digest is made up for by the next one.
        m_socket.send_to(boost::asio::buffer(bytes), other.address, 0, ignored);
    }
}

vm_digest digest_link::ownDigest(time_point now)
{
    vm_digest digest;
    digest.vm = m_board.settings.vmName;
    digest.incarnation = m_incarnation;
    digest.number = ++m_number;
    digest.leaving = m_board.leaving;
    for (const auto *ledgers : { &m_board.quotas, &m_board.storeLinks }) {
        for (const auto &[name, ledger] : *ledgers) {
            const auto admitted = static_cast<std::uint64_t>(ledger.admittedTotal());
            digest.accounts.push_back({ shortHash(name), admitted });
        }
    }
    m_board.endpoints.fillDigest(digest, now);
    digest.duties = m_board.ownDuties;
    addNamed(digest);
    digest.savedParts = m_board.savedParts.nextAnnouncement();
    for (const auto &[address, until] : m_board.storeAwayUntil) {
        if (now < until && m_board.ownStoreFinding.count(address) != 0)
            digest.deadStores.push_back(shortHash(address));
    }
    return digest;
}

void digest_link::noteDeadStores(const vm_digest &digest, time_point now)
{
    if (digest.deadStores.empty() || !m_board.deployment)
        return;
    for (const deployment_pool &pool : m_board.deployment->source().pools) {
        if (!pool.store)
            continue;
        const std::uint32_t hash = shortHash(pool.store->address);
        if (std::count(digest.deadStores.begin(), digest.deadStores.end(), hash) != 0)
            m_board.storeIsAway(pool.store->address, now);
    }
}

/// States the newest versions of each model: engines are rarely further behind.
void digest_link::addNamed(vm_digest &digest) const
{
    constexpr std::size_t MaxStated = 3;
    const duration bootTime = bootNow();
    for (const auto &[model, versions] : m_board.wantedWeights) {
        const std::size_t first = versions.size() - std::min(MaxStated, versions.size());
        for (std::size_t index = first; index < versions.size(); ++index) {
            const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
                    bootTime - versions[index].namedAt);
            digest.named.push_back({ shortHash(model), versions[index].version,
                                     static_cast<std::uint32_t>(age.count()),
                                     versions[index].guessed });
        }
    }
}

void digest_link::receive()
{
    m_socket.async_receive_from(boost::asio::buffer(m_buffer), m_sender,
                                [this](error_code error, std::size_t bytes) {
                                    if (error == boost::asio::error::operation_aborted)
                                        return;
                                    if (!error)
                                        received(bytes);
                                    receive();
                                });
}

void digest_link::received(std::size_t bytes)
{
    const auto decoded = decodeDigest({ m_buffer.data(), bytes });
    if (!isOk(decoded))
        return; // Not a digest: the port is open to any sender in the network.
    const vm_digest &digest = valueOf(decoded);
    if (digest.vm.empty() || digest.vm == m_board.settings.vmName)
        return;
    const time_point now = steadyNow();
    peer &from = m_peers[digest.vm];
    const bool older = digest.incarnation == from.incarnation && digest.number <= from.number;
    if (older)
        return;
    from.address = m_sender;
    apply(digest, from, now);
}

void digest_link::apply(const vm_digest &digest, peer &from, time_point now)
{
    const bool restarted = from.incarnation != 0 && from.incarnation != digest.incarnation;
    from.incarnation = digest.incarnation;
    from.number = digest.number;
    from.heardAt = now;
    from.leaving = digest.leaving;
    m_board.endpoints.peerDigest(digest, now);
    for (const duty_row &row : digest.duties) {
        duty_claim &claim = m_board.otherClaims[row.pool];
        if (row.holds && !digest.leaving) {
            claim.heldAt = now;
            claim.holder = digest.vm;
        }
        if (row.orderedAgoMs != duty_row::NoOrder)
            claim.orderAt = std::max(claim.orderAt,
                                     now - std::chrono::milliseconds(row.orderedAgoMs));
    }
    for (const named_row &row : digest.named) {
        const auto model = std::find_if(
                m_board.wantedWeights.begin(), m_board.wantedWeights.end(),
                [&](const auto &known) { return shortHash(known.first) == row.model; });
        if (model != m_board.wantedWeights.end())
            m_board.noteNamed(model->first, row.version, std::chrono::milliseconds(row.ageMs),
                              row.guessed);
    }
    // A VM that leaves has given up its duties; the next one need not wait for its silence.
    for (auto &[pool, claim] : m_board.otherClaims) {
        if (digest.leaving && claim.holder == digest.vm)
            claim.heldAt = time_point();
    }
    for (const std::uint32_t part : digest.savedParts)
        m_board.savedParts.peerSaved(part, now);
    noteDeadStores(digest, now);
    noteTotals(m_board.quotas, digest, restarted, now);
    noteTotals(m_board.storeLinks, digest, restarted, now);
}

void digest_link::noteTotals(std::map<std::string, quota_ledger> &ledgers, const vm_digest &digest,
                             bool restarted, time_point now)
{
    for (auto &[name, ledger] : ledgers) {
        const std::uint32_t hash = shortHash(name);
        const auto row = std::find_if(digest.accounts.begin(), digest.accounts.end(),
                                      [hash](const auto &r) { return r.account == hash; });
        if (restarted)
            ledger.peerRestarted(digest.vm);
        // A VM that has admitted nothing yet states no row.
        const double total = row == digest.accounts.end() ? 0.0
                                                          : static_cast<double>(row->admitted);
        ledger.peerTotal(digest.vm, total, now);
    }
}

} // namespace burdockhold
