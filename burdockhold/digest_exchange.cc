#include "burdockhold/digest_exchange.h"

#include "burdockhold/digest_summary.h"
#include "burdockhold/http_client_connection.h"
#include "burdockhold/scheduler_message.h"

#include <boost/asio/buffer.hpp>

#include <algorithm>
#include <cmath>
#include <random>
#include <set>
#include <sstream>
#include <unordered_map>
#include <utility>

namespace burdockhold {

using boost::asio::ip::udp;
using boost::system::error_code;

namespace {

/// A VM is live if it was heard within the longer of this time and this number of digest intervals.
constexpr duration LivenessTimeout = std::chrono::seconds(1);
constexpr int LivenessDigests = 4;
/// Another VM replaces an aggregator that was silent for this many summary intervals.
constexpr int SupersedeAfterSummaries = 2;
/// Upper bound for the interval that a summary states; a link that slow is useless for summaries.
constexpr duration MaxSummaryInterval = std::chrono::seconds(5);
/// Crashes that a peer may report of one fingerprint; more than it keeps by default.
constexpr std::size_t MaxReportedCrashes = 16;
/// Pools and models whose load times are kept; any sender in the network can state some.
constexpr std::size_t MaxPeerLoadTimes = 256;

std::string addressText(const udp::endpoint &address)
{
    return address.address().to_string() + ":" + std::to_string(address.port());
}

} // namespace

digest_exchange::digest_exchange(boost::asio::io_context &context, router_board &board,
                                 digest_exchange_options options)
    : m_socket(context)
    , m_board(board)
    , m_options(options)
    , m_buffer()
    , m_incarnation(std::random_device{}())
{
    m_board.fleetHeardAt = duration::min() / 2;
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
    std::uint32_t capacity = 0; // Missing in announcements of older builds.
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
    added.lastHeardAt = steadyNow();
    m_board.knownPeers = m_peers.size();
    m_digestDueAt = {}; // Sends a digest to the new peer in the next step.
}

/// A VM whose data centre is not known is treated as one of this VM's data centre.
bool digest_exchange::isLocal(const peer &other) const
{
    return other.dataCentre.empty() || other.dataCentre == m_board.settings.dataCentre;
}

/// Returns true if this VM exchanges digests with the other VM.
bool digest_exchange::receivesDigests(const peer &other) const
{
    return !isGrouped() || isLocal(other);
}

bool digest_exchange::isLive(const peer &other, time_point now) const
{
    return now - other.lastHeardAt
           < std::max<duration>(LivenessTimeout, LivenessDigests * m_interval);
}

void digest_exchange::step(time_point now)
{
    const bool isUrgent = m_board.digestRequested
                          && m_board.settings.mechanisms.uses(mechanism::ImmediateDigests);
    const bool isDue = now >= m_digestDueAt || (isUrgent && now >= m_urgentDueAt);
    if (isDue) {
        expirePeers(now);
        publishPeers(now);
        sendOwnDigest(now);
    }
    if (!isGrouped() || !actsAsAggregator(now))
        return;
    if (now >= m_summaryDueAt)
        sendSummary(now);
    if (now >= m_forwardDueAt)
        forwardSummaries(now);
}

bool digest_exchange::actsAsAggregator(time_point now) const
{
    return isAggregator({ shortHash(m_board.settings.vmName), m_board.settings.capacity() },
                        liveLocalVms(now));
}

void digest_exchange::expirePeers(time_point now)
{
    for (auto row = m_peers.begin(); row != m_peers.end();)
        row = now - row->second.lastHeardAt > m_options.peerExpiry ? m_peers.erase(row)
                                                                   : std::next(row);
    for (auto row = m_groups.begin(); row != m_groups.end();) {
        const bool expired = !isGrouped() || now - row->second.lastHeardAt > m_options.peerExpiry;
        row = expired ? m_groups.erase(row) : std::next(row);
    }
}

std::vector<aggregator_candidate> digest_exchange::liveLocalVms(time_point now) const
{
    std::vector<aggregator_candidate> live;
    for (const auto &[vm, other] : m_peers) {
        if (receivesDigests(other) && isLive(other, now) && !other.leaving)
            live.push_back({ shortHash(vm), other.capacity });
    }
    return live;
}

std::vector<group_vm> digest_exchange::liveGroup(time_point now) const
{
    std::vector<group_vm> live;
    for (const auto &[vm, other] : m_peers) {
        if (receivesDigests(other) && isLive(other, now) && !other.leaving)
            live.push_back({ vm, addressText(other.address), other.capacity });
    }
    return live;
}

void digest_exchange::publishPeers(time_point now)
{
    std::size_t peerCount = 0;
    for (const auto &[vm, other] : m_peers)
        peerCount += receivesDigests(other) ? 1 : 0;
    m_interval = std::max(m_options.interval,
                          fromSeconds(static_cast<double>(peerCount) / m_options.sendsPerSecond));
    m_board.knownPeers = peerCount;
    m_board.liveVms.clear();
    for (const aggregator_candidate &local : liveLocalVms(now))
        m_board.liveVms.push_back(local.vm);
    m_board.groupVms = liveGroup(now);
    publishKnownVms();
    std::size_t heard = heardLocalVms(now);
    duration summaryInterval = isGrouped() ? m_options.interval : duration::zero();
    for (const auto &[dataCentre, group] : m_groups) {
        summaryInterval = std::max(summaryInterval, group.interval);
        m_board.knownPeers += group.vms.size();
        if (!hasLiveAggregator(group, now))
            continue;
        m_board.liveVms.insert(m_board.liveVms.end(), group.vms.begin(), group.vms.end());
        heard += group.vms.size();
    }
    publishSchedulers(now);
    publishRelays(now);
    recordHeardVms(heard);
    // A summary contains digests that are up to one interval old, and is forwarded at the same
    // pace.
    m_board.digestInterval = m_interval + 2 * summaryInterval;
}

/// Of VMs that are covered by summaries only, it is not known whether they are cut off.
void digest_exchange::publishRelays(time_point now)
{
    std::vector<relay_candidate> candidates;
    for (const auto &[vm, other] : m_peers) {
        const bool isLocal = other.dataCentre == m_board.settings.dataCentre;
        const bool relays = other.relays || !receivesDigests(other);
        if (relays && isLive(other, now) && !other.leaving)
            candidates.push_back({ addressText(other.address), isLocal, other.cutOff });
    }
    m_board.relays.setCandidates(std::move(candidates));
}

/// The aggregator of a data centre is also its scheduler.
void digest_exchange::publishSchedulers(time_point now)
{
    m_board.schedulers.clear();
    m_board.actsAsScheduler = isGrouped() && !m_board.leaving && actsAsAggregator(now);
    if (!isGrouped())
        return;
    for (const auto &[dataCentre, group] : m_groups) {
        if (hasLiveAggregator(group, now))
            m_board.schedulers[dataCentre] = addressText(group.aggregator);
    }
    if (m_board.actsAsScheduler)
        return;
    std::optional<aggregator_candidate> best;
    for (const auto &[vm, other] : m_peers) {
        const aggregator_candidate candidate{ shortHash(vm), other.capacity };
        if (!isLocal(other) || !isLive(other, now) || other.leaving
            || (best && !outranks(candidate, *best)))
            continue;
        best = candidate;
        m_board.schedulers[m_board.settings.dataCentre] = addressText(other.address);
    }
}

/// Publishes all VMs that were heard or announced within peerExpiry.
void digest_exchange::publishKnownVms()
{
    std::vector<std::uint32_t> known;
    for (const auto &[vm, other] : m_peers)
        known.push_back(shortHash(vm));
    for (const auto &[dataCentre, group] : m_groups)
        known.insert(known.end(), group.vms.begin(), group.vms.end());
    m_board.knownVms.update(std::move(known));
}

/// Returns the number of VMs whose digests this VM receives. One that was only announced in the log
/// counts from its first digest.
std::size_t digest_exchange::heardLocalVms(time_point now) const
{
    return static_cast<std::size_t>(
            std::count_if(m_peers.begin(), m_peers.end(), [&](const auto &row) {
                return receivesDigests(row.second) && row.second.incarnation != 0
                       && isLive(row.second, now);
            }));
}

/// A VM that is cut off still expects the others after they have expired.
void digest_exchange::recordHeardVms(std::size_t heard)
{
    const std::size_t expected = std::max(m_expectedPeers, m_board.knownPeers);
    const bool hearsMost = expected == 0 || 2 * (heard + 1) > expected + 1;
    m_expectedPeers = hearsMost ? m_board.knownPeers : expected;
    if (hearsMost)
        m_board.fleetHeardAt = bootTimeNow();
}

void digest_exchange::sendTo(const udp::endpoint &address, std::string_view bytes)
{
    error_code ignored; // The next digest makes up for a lost one.
    m_socket.send_to(boost::asio::buffer(bytes), address, 0, ignored);
}

void digest_exchange::sendOwnDigest(time_point now)
{
    m_board.digestRequested = false;
    m_digestDueAt = now + m_interval;
    m_urgentDueAt = now + fromSeconds(toSeconds(m_interval) * m_options.urgentFraction);
    if (m_peers.empty())
        return;
    m_ownDigest = ownDigest(now);
    const std::string bytes = encodeDigest(m_ownDigest);
    for (const auto &[vm, other] : m_peers) {
        if (receivesDigests(other))
            sendTo(other.address, bytes);
    }
}

bool digest_exchange::hasLiveAggregator(const peer_group &group, time_point now) const
{
    const duration timeout = std::max<duration>(m_options.aggregatorTimeout,
                                                m_options.lostSummaries * group.interval);
    return now - group.lastHeardAt < timeout;
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

/// Returns the time to transmit the bytes over this share of this VM's link.
duration digest_exchange::transmitTime(double linkShare, std::size_t bytes) const
{
    constexpr double BytesPerMegabit = 1e6 / 8.0;
    const double rate = linkShare * m_board.settings.linkMegabits * BytesPerMegabit;
    return fromSeconds(static_cast<double>(bytes) / std::max(1.0, rate));
}

/// Sends a summary to the aggregator of each other data centre, or to candidates if it is not
/// known.
void digest_exchange::sendSummary(time_point now)
{
    const std::set<std::string> dataCentres = otherDataCentres();
    const std::string bytes = encodeDigest(ownSummary(now));
    m_summaryInterval = std::max(
            m_options.interval,
            transmitTime(m_options.summaryLinkShare, dataCentres.size() * bytes.size()));
    m_summaryDueAt = now + m_summaryInterval;
    for (const std::string &dataCentre : dataCentres) {
        const auto group = m_groups.find(dataCentre);
        if (group != m_groups.end() && hasLiveAggregator(group->second, now))
            sendTo(group->second.aggregator, bytes);
        else
            probeAggregators(dataCentre, bytes);
    }
}

/// Sends to the highest ranked candidate of the data centre and, round-robin, to some of the
/// others.
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
    std::size_t &probeOffset = m_probeOffsets[dataCentre];
    for (std::size_t probe = 1; probe < std::min(m_options.aggregatorProbes, candidates.size());
         ++probe)
        sendTo(candidates[1 + probeOffset++ % (candidates.size() - 1)].second, bytes);
}

/// Forwards the newest summaries of the other data centres to the VMs of this data centre.
void digest_exchange::forwardSummaries(time_point now)
{
    std::size_t sent = 0;
    for (auto &[dataCentre, group] : m_groups) {
        if (group.pendingForward.empty())
            continue;
        for (const auto &[vm, other] : m_peers) {
            if (!isLocal(other))
                continue;
            sendTo(other.address, group.pendingForward);
            sent += group.pendingForward.size();
        }
        group.pendingForward.clear();
    }
    m_forwardDueAt = now + transmitTime(m_options.forwardLinkShare, sent);
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
    m_board.forEachSharedLimit([&](const std::string &name, const auto &ledger) {
        summary.accounts.push_back({ shortHash(name),
                                     static_cast<std::uint64_t>(ledger.groupAdmittedTotal()),
                                     static_cast<std::uint64_t>(ledger.groupRequestedTotal()),
                                     static_cast<std::uint64_t>(ledger.groupReturnedTotal()) });
    });
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
    m_board.forEachSharedLimit([&](const std::string &name, const auto &ledger) {
        const auto admitted = static_cast<std::uint64_t>(ledger.admittedTotal());
        const auto requested = static_cast<std::uint64_t>(ledger.requestedTotal());
        const auto returned = static_cast<std::uint64_t>(ledger.returnedTotal());
        digest.accounts.push_back({ shortHash(name), admitted, requested, returned });
    });
    m_board.endpoints.fillDigest(digest, now);
    digest.duties = m_board.ownDuties;
    digest.storeEra = m_board.storeEra.current();
    digest.cutOff = m_board.contact.isLost();
    digest.relays = true;
    // What this VM sees of the endpoints says nothing about them then.
    for (endpoint_row &row : digest.endpoints) {
        if (m_board.contact.state() == contact_state::InTouch)
            break;
        row.recentFailures = 0;
        row.silentMs = 0;
    }
    digest.loadTimes = m_board.ownLoadTimes;
    digest.crashes = m_board.crashes.digestRows(now);
    addAnnouncedVersions(digest);
    for (const auto &[pool, rollout] : m_board.rollouts)
        rollout.fillDigest(digest, now);
    addLaneWork(digest, now);
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
    for (const deployment_pool &pool : m_board.deployment->pools()) {
        if (!pool.store)
            continue;
        const std::uint32_t hash = shortHash(pool.store->address);
        if (std::count(digest.unavailableStores.begin(), digest.unavailableStores.end(), hash) != 0)
            m_board.markStoreUnavailable(pool.store->address, now);
    }
}

void digest_exchange::recordLoadTimes(const vm_digest &digest)
{
    for (const load_time_row &row : digest.loadTimes) {
        const load_estimate estimate{ std::chrono::milliseconds(row.drainMs),
                                      std::chrono::milliseconds(row.loadMs),
                                      std::chrono::milliseconds(row.fastestMs),
                                      row.limitTenths / load_time_row::LimitScale,
                                      row.storeIsLimit };
        const bool hasRoom = m_board.peerLoadTimes.size() < MaxPeerLoadTimes
                             || m_board.peerLoadTimes.count({ row.pool, row.model }) != 0;
        if (hasRoom && isPlausible(estimate))
            m_board.peerLoadTimes[{ row.pool, row.model }] = estimate;
        else
            m_board.metrics.count(router_counter::DigestRowsRejected);
    }
}

void digest_exchange::recordCrashes(const vm_digest &digest, time_point now)
{
    for (const crash_row &row : digest.crashes) {
        if (row.crashes.size() > MaxReportedCrashes) {
            m_board.metrics.count(router_counter::DigestRowsRejected);
            continue;
        }
        if (m_board.crashes.applyPeerRow(row, now))
            m_board.logFingerprintBlocked(row.fingerprint, digest.vm, now);
    }
}

/// Adds the newest versions of each model. Engines are rarely further behind.
void digest_exchange::addAnnouncedVersions(vm_digest &digest) const
{
    constexpr std::size_t MaxStated = 3;
    const duration bootTime = bootTimeNow();
    for (const auto &[model, versions] : m_board.announcedVersions) {
        const std::size_t first = versions.size() - std::min(MaxStated, versions.size());
        for (std::size_t index = first; index < versions.size(); ++index) {
            const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
                    bootTime - versions[index].announcedAt);
            digest.announcedVersions.push_back({ shortHash(model), versions[index].version,
                                                 static_cast<std::uint32_t>(age.count()),
                                                 versions[index].guessed });
        }
    }
}

void digest_exchange::addLaneWork(vm_digest &digest, time_point now) const
{
    for (const auto &[pool, demand] : m_board.laneDemand) {
        const lane_work work = demand.ownWork(now);
        const auto scaled = [](double tokens) {
            return static_cast<std::uint32_t>(
                    std::clamp(std::round(tokens / lane_row::WorkScale), 0.0, 4e9));
        };
        digest.lanes.push_back(
                { shortHash(pool), scaled(work.shortTokens), scaled(work.longTokens) });
    }
}

void digest_exchange::recordLaneWork(const vm_digest &digest, time_point now)
{
    for (auto &[pool, demand] : m_board.laneDemand) {
        const std::uint32_t hash = shortHash(pool);
        for (const lane_row &row : digest.lanes) {
            if (row.pool == hash)
                demand.applyPeerWork(
                        digest.vm,
                        { row.shortWork * lane_row::WorkScale, row.longWork * lane_row::WorkScale },
                        now);
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
                                        datagramReceived(bytes);
                                    receive();
                                });
}

void digest_exchange::datagramReceived(std::size_t bytes)
{
    const std::string_view datagram(m_buffer.data(), bytes);
    if (isSchedulerMessage(datagram)) {
        if (m_schedulerHandler)
            m_schedulerHandler(datagram, m_sender);
        return;
    }
    const auto decoded = decodeDigest(datagram);
    if (!isOk(decoded))
        return; // Not a digest: any sender in the network can reach the port.
    const vm_digest &digest = valueOf(decoded);
    if (digest.vm.empty() || digest.vm == m_board.settings.vmName)
        return;
    const time_point now = steadyNow();
    if (digest.isSummary())
        summaryReceived(digest, datagram, now);
    else
        digestReceived(digest, now);
}

void digest_exchange::digestReceived(const vm_digest &digest, time_point now)
{
    peer &from = m_peers[digest.vm];
    const bool older = digest.incarnation == from.incarnation && digest.number <= from.number;
    const bool isOfFormerIncarnation = from.formerIncarnation != 0
                                       && digest.incarnation == from.formerIncarnation;
    if (older || isOfFormerIncarnation)
        return;
    const bool restarted = from.incarnation != 0 && from.incarnation != digest.incarnation;
    if (restarted)
        from.formerIncarnation = from.incarnation;
    from.address = m_sender;
    from.incarnation = digest.incarnation;
    from.number = digest.number;
    from.lastHeardAt = now;
    from.leaving = digest.leaving;
    from.dataCentre = digest.dataCentre;
    from.capacity = digest.capacity;
    from.cutOff = digest.cutOff;
    from.relays = digest.relays;
    // A VM that still sends digests to all others directly is already counted in the summary of its
    // data centre.
    if (m_groups.count(digest.dataCentre) != 0)
        return;
    if (isGrouped())
        from.digest = digest;
    apply(digest, now);
    applyTotals(digest, restarted, isLocal(from), now);
}

void digest_exchange::summaryReceived(const vm_digest &summary, std::string_view bytes,
                                      time_point now)
{
    const auto aggregator = parseAddress(summary.aggregator);
    if (!isGrouped() || summary.dataCentre == m_board.settings.dataCentre || !aggregator)
        return;
    peer_group &group = m_groups[summary.dataCentre];
    const bool sameAggregator = group.incarnation == summary.incarnation;
    // If two VMs claim to be the aggregator, the one heard first is kept until it has been silent
    // for SupersedeAfterSummaries.
    const bool otherAggregatorIsLive = !sameAggregator
                                       && now - group.lastHeardAt
                                                  < SupersedeAfterSummaries
                                                            * std::max(m_options.interval,
                                                                       group.interval);
    if ((sameAggregator && summary.number <= group.number) || otherAggregatorIsLive)
        return;
    const bool replaced = group.incarnation != 0 && !sameAggregator;
    group.incarnation = summary.incarnation;
    group.number = summary.number;
    group.lastHeardAt = now;
    group.aggregator = udp::endpoint(aggregator->address(), aggregator->port());
    group.interval = std::min<duration>(MaxSummaryInterval,
                                        std::chrono::milliseconds(summary.intervalMs));
    group.vms = summary.vms;
    const std::set<std::uint32_t> coveredVms(summary.vms.begin(), summary.vms.end());
    for (auto &[vm, other] : m_peers) {
        if (coveredVms.count(shortHash(vm)) != 0)
            other.lastHeardAt = now;
    }
    apply(summary, now);
    applyTotals(summary, replaced, false, now);
    // A summary that came from a VM of this data centre has already been forwarded.
    if (m_sender == group.aggregator && actsAsAggregator(now))
        group.pendingForward = bytes;
}

/// Applies the digest's rows for endpoints, duties, weights and stores.
void digest_exchange::apply(const vm_digest &digest, time_point now)
{
    m_board.storeEra.heardOf(digest.storeEra);
    m_board.endpoints.applyPeerDigest(digest, now);
    recordDuties(digest, now);
    for (const announced_version_row &row : digest.announcedVersions) {
        const auto model = std::find_if(
                m_board.announcedVersions.begin(), m_board.announcedVersions.end(),
                [&](const auto &known) { return shortHash(known.first) == row.model; });
        if (model != m_board.announcedVersions.end())
            m_board.recordAnnouncedVersion(model->first, row.version,
                                           std::chrono::milliseconds(row.ageMs), row.guessed);
    }
    recordLoadTimes(digest);
    for (auto &[pool, rollout] : m_board.rollouts)
        m_board.metrics.count(router_counter::DigestRowsRejected,
                              rollout.applyPeerDigest(digest, now));
    for (const std::uint32_t segment : digest.storedSegments)
        m_board.storedSegments.applyPeerStored(segment, now);
    recordUnavailableStores(digest, now);
    recordCrashes(digest, now);
    recordLaneWork(digest, now);
    if (m_applied)
        m_applied();
}

void digest_exchange::recordDuties(const vm_digest &digest, time_point now)
{
    const duty_process sender{ digest.vm, digest.incarnation };
    const claim_time received{ now, bootTimeNow() };
    for (const duty_row &row : digest.duties) {
        duty_claim &claim = m_board.peerDutyClaims[row.pool];
        if (row.holds && !digest.leaving)
            claim.held(sender, received);
        if (row.lastOrderAgeMs != duty_row::NoOrder)
            claim.ordered(now - std::chrono::milliseconds(row.lastOrderAgeMs));
    }
    if (!digest.leaving)
        return;
    for (auto &[pool, claim] : m_board.peerDutyClaims)
        claim.left(sender, received);
}

void digest_exchange::applyTotals(const vm_digest &digest, bool restarted, bool isLocalVm,
                                  time_point now)
{
    quota_peer quotaPeer{ std::max<std::size_t>(1, digest.vms.size()), isLocalVm };
    quotaPeer.leaving = digest.leaving;
    std::unordered_map<std::uint32_t, const account_row *> rows;
    rows.reserve(digest.accounts.size());
    for (const account_row &row : digest.accounts)
        rows.emplace(row.account, &row);
    m_board.forEachSharedLimit([&](const std::string &name, auto &ledger) {
        const auto row = rows.find(shortHash(name));
        // The digest of a VM that has admitted nothing yet has no row.
        const account_row reported = row == rows.end() ? account_row{} : *row->second;
        const auto total = static_cast<double>(reported.admitted);
        quotaPeer.requested = static_cast<double>(reported.requested);
        quotaPeer.returned = static_cast<double>(reported.returned);
        if (quotaPeer.returned > total)
            m_board.metrics.count(router_counter::DigestRowsRejected);
        if (restarted && digest.isSummary())
            ledger.rebasePeerTotal(digest.vm, total, now, quotaPeer);
        else if (restarted)
            ledger.resetPeerTotal(digest.vm);
        ledger.applyPeerTotal(digest.vm, total, now, quotaPeer);
    });
}

} // namespace burdockhold
