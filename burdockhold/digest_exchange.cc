#include "burdockhold/digest_exchange.h"

#include "burdockhold/digest_summary.h"
#include "burdockhold/http_client_connection.h"

#include <boost/asio/buffer.hpp>

#include <algorithm>
#include <random>
#include <set>
#include <sstream>
#include <utility>

namespace burdockhold {

using boost::asio::ip::udp;
using boost::system::error_code;

namespace {

/// A VM lives while it was heard within this time, or within this many digests if they are rarer.
constexpr duration LiveWithin = std::chrono::seconds(1);
constexpr int LiveDigests = 4;
/// A speaker that was silent for this many summaries may be replaced by another VM.
constexpr int SpeakerSummaries = 2;
/// Bound on what a summary may state; a VM with so slow a link has nothing to say in time.
constexpr duration LongestInterval = std::chrono::seconds(5);

} // namespace

digest_exchange::digest_exchange(boost::asio::io_context &context, router_board &board,
                                 digest_exchange_options options)
    : m_socket(context)
    , m_board(board)
    , m_options(options)
    , m_buffer()
    , m_incarnation(std::random_device{}())
{
}

std::string digest_exchange::open()
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

std::string digest_exchange::announcementOf(const router_settings &settings)
{
    return settings.ip + ":" + std::to_string(settings.firstPeerPort) + " " + settings.dataCentre
           + " " + std::to_string(settings.capacity());
}

void digest_exchange::addPeer(const std::string &vm, const std::string &announcement)
{
    std::istringstream words(announcement);
    std::string address;
    std::string dataCentre;
    std::uint32_t capacity = 0; // Not stated by older builds.
    words >> address >> dataCentre >> capacity;
    const auto parsed = parseAddress(address);
    if (vm == m_board.settings.vmName || !parsed)
        return;
    peer &added = m_peers[vm];
    added.dataCentre = dataCentre;
    added.capacity = capacity;
    const udp::endpoint endpoint(parsed->address(), parsed->port());
    if (added.address == endpoint)
        return;
    added.address = endpoint;
    added.heardAt = steadyNow();
    m_board.knownPeers = m_peers.size();
    m_dueAt = {}; // It is told of this VM with the next step.
}

/// A VM whose data centre is not known is told as one of the own.
bool digest_exchange::isLocal(const peer &other) const
{
    return other.dataCentre.empty() || other.dataCentre == m_board.settings.dataCentre;
}

/// True if this VM sends its digests to the other and hears the other's.
bool digest_exchange::isTold(const peer &other) const
{
    return !isGrouped() || isLocal(other);
}

bool digest_exchange::isLive(const peer &other, time_point now) const
{
    return now - other.heardAt < std::max<duration>(LiveWithin, LiveDigests * m_interval);
}

void digest_exchange::step(time_point now)
{
    const bool isDue = now >= m_dueAt || (m_board.digestRequested && now >= m_urgentAt);
    if (isDue) {
        forgetSilentPeers(now);
        publishPeers(now);
        sendOwnDigest(now);
    }
    if (!isGrouped() || !actsAsAggregator(now))
        return;
    if (now >= m_summaryDueAt)
        sendSummary(now);
    if (now >= m_passOnDueAt)
        passOnSummaries(now);
}

bool digest_exchange::actsAsAggregator(time_point now) const
{
    return isAggregator({ shortHash(m_board.settings.vmName), m_board.settings.capacity() },
                        liveLocalVms(now));
}

void digest_exchange::forgetSilentPeers(time_point now)
{
    for (auto row = m_peers.begin(); row != m_peers.end();)
        row = now - row->second.heardAt > m_options.forgetAfter ? m_peers.erase(row)
                                                                : std::next(row);
    for (auto row = m_groups.begin(); row != m_groups.end();) {
        const bool gone = !isGrouped() || now - row->second.heardAt > m_options.forgetAfter;
        row = gone ? m_groups.erase(row) : std::next(row);
    }
}

std::vector<aggregator_candidate> digest_exchange::liveLocalVms(time_point now) const
{
    std::vector<aggregator_candidate> live;
    for (const auto &[vm, other] : m_peers) {
        if (isTold(other) && isLive(other, now) && !other.leaving)
            live.push_back({ shortHash(vm), other.capacity });
    }
    return live;
}

std::vector<group_vm> digest_exchange::liveGroup(time_point now) const
{
    std::vector<group_vm> live;
    for (const auto &[vm, other] : m_peers) {
        if (isTold(other) && isLive(other, now) && !other.leaving)
            live.push_back({ vm,
                             other.address.address().to_string() + ":"
                                     + std::to_string(other.address.port()),
                             other.capacity });
    }
    return live;
}

void digest_exchange::publishPeers(time_point now)
{
    std::size_t told = 0;
    for (const auto &[vm, other] : m_peers)
        told += isTold(other) ? 1 : 0;
    m_interval = std::max(m_options.interval,
                          fromSeconds(static_cast<double>(told) / m_options.sendsPerSecond));
    m_board.knownPeers = told;
    m_board.liveVms.clear();
    for (const aggregator_candidate &local : liveLocalVms(now))
        m_board.liveVms.push_back(local.vm);
    m_board.groupVms = liveGroup(now);
    duration summaryInterval = isGrouped() ? m_options.interval : duration::zero();
    for (const auto &[dataCentre, group] : m_groups) {
        summaryInterval = std::max(summaryInterval, group.interval);
        m_board.knownPeers += group.vms.size();
        if (hasLiveAggregator(group, now))
            m_board.liveVms.insert(m_board.liveVms.end(), group.vms.begin(), group.vms.end());
    }
    // A summary adds up digests that are one interval old, and is passed on at the same pace.
    m_board.digestInterval = m_interval + 2 * summaryInterval;
}

void digest_exchange::sendTo(const udp::endpoint &address, std::string_view bytes)
{
    error_code ignored; // A lost digest is made up for by the next one.
    m_socket.send_to(boost::asio::buffer(bytes), address, 0, ignored);
}

void digest_exchange::sendOwnDigest(time_point now)
{
    m_board.digestRequested = false;
    m_dueAt = now + m_interval;
    m_urgentAt = now + fromSeconds(toSeconds(m_interval) * m_options.urgentShare);
    if (m_peers.empty())
        return;
    m_ownDigest = ownDigest(now);
    const std::string bytes = encodeDigest(m_ownDigest);
    for (const auto &[vm, other] : m_peers) {
        if (isTold(other))
            sendTo(other.address, bytes);
    }
}

bool digest_exchange::hasLiveAggregator(const peer_group &group, time_point now) const
{
    const duration lapse = std::max<duration>(m_options.aggregatorTimeout,
                                              m_options.lostSummaries * group.interval);
    return now - group.heardAt < lapse;
}

std::set<std::string> digest_exchange::otherDataCentres() const
{
    std::set<std::string> names;
    for (const auto &[vm, other] : m_peers) {
        if (!isLocal(other))
            names.insert(other.dataCentre);
    }
    for (const auto &[name, group] : m_groups)
        names.insert(name);
    return names;
}

/// Time in which this part of the own link carries the bytes.
duration digest_exchange::pacedBy(double linkShare, std::size_t bytes) const
{
    constexpr double BytesPerMegabit = 1e6 / 8.0;
    const double rate = linkShare * m_board.settings.linkMegabits * BytesPerMegabit;
    return fromSeconds(static_cast<double>(bytes) / std::max(1.0, rate));
}

/// Sends to the speaker of each other data centre, or to those that may speak there.
void digest_exchange::sendSummary(time_point now)
{
    const std::set<std::string> dataCentres = otherDataCentres();
    const std::string bytes = encodeDigest(ownSummary(now));
    m_summaryInterval = std::max(m_options.interval, pacedBy(m_options.summaryLinkShare,
                                                             dataCentres.size() * bytes.size()));
    m_summaryDueAt = now + m_summaryInterval;
    for (const std::string &dataCentre : dataCentres) {
        const auto group = m_groups.find(dataCentre);
        if (group != m_groups.end() && hasLiveAggregator(group->second, now))
            sendTo(group->second.aggregator, bytes);
        else
            probeAggregators(dataCentre, bytes);
    }
}

/// Sends to the VM that would speak first for the data centre, and by turns to the next ones.
void digest_exchange::probeAggregators(const std::string &dataCentre, std::string_view bytes)
{
    std::vector<std::pair<aggregator_candidate, udp::endpoint>> candidates;
    for (const auto &[vm, other] : m_peers) {
        if (other.dataCentre == dataCentre)
            candidates.push_back({ { shortHash(vm), other.capacity }, other.address });
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const auto &a, const auto &b) { return outranks(a.first, b.first); });
    if (candidates.empty())
        return;
    sendTo(candidates.front().second, bytes);
    std::size_t &tries = m_tries[dataCentre];
    for (std::size_t more = 1; more < std::min(m_options.aggregatorProbes, candidates.size());
         ++more)
        sendTo(candidates[1 + tries++ % (candidates.size() - 1)].second, bytes);
}

/// Passes the newest summaries of the other data centres on to the VMs of the own one.
void digest_exchange::passOnSummaries(time_point now)
{
    std::size_t sent = 0;
    for (auto &[dataCentre, group] : m_groups) {
        if (group.toPassOn.empty())
            continue;
        for (const auto &[vm, other] : m_peers) {
            if (!isLocal(other))
                continue;
            sendTo(other.address, group.toPassOn);
            sent += group.toPassOn.size();
        }
        group.toPassOn.clear();
    }
    m_passOnDueAt = now + pacedBy(m_options.passOnLinkShare, sent);
}

vm_digest digest_exchange::ownSummary(time_point now)
{
    std::vector<const vm_digest *> members{ &m_ownDigest };
    for (const auto &[vm, other] : m_peers) {
        if (isLocal(other) && isLive(other, now) && !other.digest.vm.empty())
            members.push_back(&other.digest);
    }
    vm_digest summary = summarize(members);
    summary.vm = "data-centre/" + m_board.settings.dataCentre;
    summary.incarnation = m_incarnation;
    summary.number = ++m_number;
    summary.dataCentre = m_board.settings.dataCentre;
    const auto interval = std::chrono::duration_cast<std::chrono::milliseconds>(m_summaryInterval);
    summary.intervalMs = static_cast<std::uint32_t>(interval.count());
    summary.aggregator = m_board.settings.ip + ":" + std::to_string(m_board.settings.firstPeerPort);
    for (const auto *ledgers : m_board.sharedLimits()) {
        for (const auto &[name, ledger] : *ledgers)
            summary.accounts.push_back(
                    { shortHash(name), static_cast<std::uint64_t>(ledger.groupTotal()),
                      static_cast<std::uint64_t>(ledger.groupRequestedTotal()) });
    }
    return summary;
}

vm_digest digest_exchange::ownDigest(time_point now)
{
    vm_digest digest;
    digest.vm = m_board.settings.vmName;
    digest.incarnation = m_incarnation;
    digest.number = ++m_number;
    digest.leaving = m_board.leaving;
    digest.dataCentre = m_board.settings.dataCentre;
    digest.capacity = m_board.settings.capacity();
    for (const auto *ledgers : m_board.sharedLimits()) {
        for (const auto &[name, ledger] : *ledgers) {
            const auto admitted = static_cast<std::uint64_t>(ledger.admittedTotal());
            const auto asked = static_cast<std::uint64_t>(ledger.requestedTotal());
            digest.accounts.push_back({ shortHash(name), admitted, asked });
        }
    }
    m_board.endpoints.fillDigest(digest, now);
    digest.duties = m_board.ownDuties;
    addNamed(digest);
    digest.storedSegments = m_board.storedSegments.nextAnnouncement();
    for (const auto &[address, until] : m_board.storeUnavailableUntil) {
        if (now < until && m_board.storesFoundUnavailable.count(address) != 0)
            digest.unavailableStores.push_back(shortHash(address));
    }
    return digest;
}

void digest_exchange::recordUnavailableStores(const vm_digest &digest, time_point now)
{
    if (digest.unavailableStores.empty() || !m_board.deployment)
        return;
    for (const deployment_pool &pool : m_board.deployment->source().pools) {
        if (!pool.store)
            continue;
        const std::uint32_t hash = shortHash(pool.store->address);
        if (std::count(digest.unavailableStores.begin(), digest.unavailableStores.end(), hash) != 0)
            m_board.markStoreUnavailable(pool.store->address, now);
    }
}

/// States the newest versions of each model: engines are rarely further behind.
void digest_exchange::addNamed(vm_digest &digest) const
{
    constexpr std::size_t MaxStated = 3;
    const duration bootTime = bootTimeNow();
    for (const auto &[model, versions] : m_board.targetWeights) {
        const std::size_t first = versions.size() - std::min(MaxStated, versions.size());
        for (std::size_t index = first; index < versions.size(); ++index) {
            const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
                    bootTime - versions[index].announcedAt);
            digest.named.push_back({ shortHash(model), versions[index].version,
                                     static_cast<std::uint32_t>(age.count()),
                                     versions[index].guessed });
        }
    }
}

void digest_exchange::receive()
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

void digest_exchange::received(std::size_t bytes)
{
    const std::string_view datagram(m_buffer.data(), bytes);
    const auto decoded = decodeDigest(datagram);
    if (!isOk(decoded))
        return; // Not a digest: the port is open to any sender in the network.
    const vm_digest &digest = valueOf(decoded);
    if (digest.vm.empty() || digest.vm == m_board.settings.vmName)
        return;
    const time_point now = steadyNow();
    if (digest.isSummary())
        summaryArrived(digest, datagram, now);
    else
        digestArrived(digest, now);
}

void digest_exchange::digestArrived(const vm_digest &digest, time_point now)
{
    peer &from = m_peers[digest.vm];
    const bool older = digest.incarnation == from.incarnation && digest.number <= from.number;
    if (older)
        return;
    const bool restarted = from.incarnation != 0 && from.incarnation != digest.incarnation;
    from.address = m_sender;
    from.incarnation = digest.incarnation;
    from.number = digest.number;
    from.heardAt = now;
    from.leaving = digest.leaving;
    from.dataCentre = digest.dataCentre;
    from.capacity = digest.capacity;
    // A VM that still tells all others directly is counted in the summary of its data centre.
    if (m_groups.count(digest.dataCentre) != 0)
        return;
    if (isGrouped())
        from.digest = digest;
    apply(digest, now);
    noteTotals(digest, restarted, isLocal(from), now);
}

void digest_exchange::summaryArrived(const vm_digest &summary, std::string_view bytes,
                                     time_point now)
{
    const auto aggregator = parseAddress(summary.aggregator);
    if (!isGrouped() || summary.dataCentre == m_board.settings.dataCentre || !aggregator)
        return;
    peer_group &group = m_groups[summary.dataCentre];
    const bool sameSpeaker = group.incarnation == summary.incarnation;
    // Of two speakers the one that was heard goes on, until it has been silent for a moment.
    const bool superseded = !sameSpeaker
                            && now - group.heardAt
                                       < SpeakerSummaries
                                                 * std::max(m_options.interval, group.interval);
    if ((sameSpeaker && summary.number <= group.number) || superseded)
        return;
    const bool replaced = group.incarnation != 0 && !sameSpeaker;
    group.incarnation = summary.incarnation;
    group.number = summary.number;
    group.heardAt = now;
    group.aggregator = udp::endpoint(aggregator->address(), aggregator->port());
    group.interval = std::min<duration>(LongestInterval,
                                        std::chrono::milliseconds(summary.intervalMs));
    group.vms = summary.vms;
    const std::set<std::uint32_t> named(summary.vms.begin(), summary.vms.end());
    for (auto &[vm, other] : m_peers) {
        if (named.count(shortHash(vm)) != 0)
            other.heardAt = now;
    }
    apply(summary, now);
    noteTotals(summary, replaced, false, now);
    // One that came from a VM of the own data centre has been passed on already.
    if (m_sender == group.aggregator && actsAsAggregator(now))
        group.toPassOn = bytes;
}

/// Takes over what the digest states of endpoints, duties, weights and stores.
void digest_exchange::apply(const vm_digest &digest, time_point now)
{
    m_board.endpoints.applyPeerDigest(digest, now);
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
    for (const announced_version_row &row : digest.named) {
        const auto model = std::find_if(
                m_board.targetWeights.begin(), m_board.targetWeights.end(),
                [&](const auto &known) { return shortHash(known.first) == row.model; });
        if (model != m_board.targetWeights.end())
            m_board.recordAnnouncedVersion(model->first, row.version,
                                           std::chrono::milliseconds(row.ageMs), row.guessed);
    }
    // A VM that leaves has given up its duties; the next one need not wait for its silence.
    for (auto &[pool, claim] : m_board.otherClaims) {
        if (digest.leaving && claim.holder == digest.vm)
            claim.heldAt = time_point();
    }
    for (const std::uint32_t part : digest.storedSegments)
        m_board.storedSegments.applyPeerStored(part, now);
    recordUnavailableStores(digest, now);
}

void digest_exchange::noteTotals(const vm_digest &digest, bool restarted, bool isLocalVm,
                                 time_point now)
{
    quota_peer kind{ std::max<std::size_t>(1, digest.vms.size()), isLocalVm };
    for (auto *ledgers : m_board.sharedLimits()) {
        for (auto &[name, ledger] : *ledgers) {
            const std::uint32_t hash = shortHash(name);
            const auto row = std::find_if(digest.accounts.begin(), digest.accounts.end(),
                                          [hash](const auto &r) { return r.account == hash; });
            // A VM that has admitted nothing yet states no row.
            const double total = row == digest.accounts.end() ? 0.0
                                                              : static_cast<double>(row->admitted);
            kind.asked = row == digest.accounts.end() ? 0.0 : static_cast<double>(row->asked);
            if (restarted && digest.isSummary())
                ledger.rebasePeerTotal(digest.vm, total, now);
            else if (restarted)
                ledger.resetPeerTotal(digest.vm);
            ledger.applyPeerTotal(digest.vm, total, now, kind);
        }
    }
}

} // namespace burdockhold
