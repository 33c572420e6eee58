#ifndef BURDOCKHOLD_DIGEST_EXCHANGE_H
#define BURDOCKHOLD_DIGEST_EXCHANGE_H

// Exchanges digests with the other VMs in datagrams. A VM learns the other VMs once from the log
// and afterwards from their digests. It stops sending to a VM of which neither a digest nor a
// summary has been received for peerExpiry.
//
// With up to maxDirectPeers other VMs, a VM sends its digest to all of them. With more, it sends
// the digest to the VMs of its data centre only, and the data centres exchange summaries
// (digest_summary.h): an aggregator sends its summary to the other data centre's aggregator, which
// forwards it. While that aggregator is not known, the summary goes to the VMs that rank highest
// there, a few at a time. An aggregator paces what it sends by its link, since a saturated link
// would lose the summaries that end the search for aggregators.
//
// Datagrams are used rather than nng: a digest contains the full state, so a lost one needs no
// retransmission, and a dead or unreachable VM occupies no connection, queue or thread.

#include "burdockhold/digest_summary.h"
#include "burdockhold/router_board.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace burdockhold {

struct digest_exchange_options
{
    /// Time between digests. A VM's knowledge of the other VMs' limits and loads is this old.
    duration interval = std::chrono::milliseconds(200);
    /// Maximum rate of datagrams that a VM sends; with more peers, digests are sent less often.
    double sendsPerSecond = 60.0;
    /// Fraction of the interval after which an urgent change may be sent; a smaller one costs too
    /// much.
    double urgentFraction = 0.25;
    duration peerExpiry = std::chrono::seconds(30);
    std::size_t maxDirectPeers = 16;
    /// The aggregator of another data centre may have stopped after this time without a summary, in
    /// which several summaries were lost, or after lostSummaries of its intervals if that is
    /// longer.
    duration aggregatorTimeout = std::chrono::milliseconds(1200);
    int lostSummaries = 4;
    /// Number of VMs of a data centre to which a summary is sent while its aggregator is not known.
    std::size_t aggregatorProbes = 3;
    /// Shares of this VM's link for summaries to other data centres and for forwarded summaries.
    double summaryLinkShare = 0.1;
    double forwardLinkShare = 0.2;
};

class digest_exchange
{
public:
    digest_exchange(boost::asio::io_context &context, router_board &board,
                    digest_exchange_options options = {});

    /// Binds the socket. Returns an error text, or an empty string.
    std::string open();

    /// Sends a datagram of another kind; see isSchedulerMessage().
    void sendTo(const boost::asio::ip::udp::endpoint &address, std::string_view bytes);

    /// Called with the datagrams that are no digests but messages of schedulers. At most one
    /// function is set, before open().
    using scheduler_handler =
            std::function<void(std::string_view, const boost::asio::ip::udp::endpoint &)>;
    void setSchedulerHandler(scheduler_handler handler) { m_schedulerHandler = std::move(handler); }

    /// Adds a VM from its announcement in the log (see announcementOf()).
    void addPeer(const std::string &vm, const std::string &announcement);

    /// Returns the announcement of a VM: its address, data centre and capacity.
    static std::string announcementOf(const router_settings &settings);

    /// Sets what is called after a digest or a summary has changed the view of the endpoints.
    void setAppliedHandler(std::function<void()> handler) { m_applied = std::move(handler); }

    /// Sends digests and summaries that are due. Called on every tick.
    void step(time_point now);

private:
    std::function<void()> m_applied;

    struct peer
    {
        boost::asio::ip::udp::endpoint address;
        std::uint64_t incarnation = 0;
        std::uint64_t formerIncarnation = 0; // Its late digests are dropped; 0 if there is none.
        std::uint64_t number = 0;
        time_point lastHeardAt; // Last digest of the VM, or summary that covers it.
        bool leaving = false;
        std::string dataCentre;
        std::uint32_t capacity = 0;
        bool cutOff = false;
        bool relays = false;
        vm_digest digest; // The last one; kept only if VMs are grouped.
    };
    /// Another data centre, according to its summaries.
    struct peer_group
    {
        std::uint64_t incarnation = 0;
        std::uint64_t number = 0;
        time_point lastHeardAt;
        duration interval = duration::zero(); // Between its summaries, as they state.
        boost::asio::ip::udp::endpoint aggregator;
        std::vector<std::uint32_t> vms;
        // The newest summary, if this VM is the aggregator and has not forwarded it yet.
        std::string pendingForward;
    };

    bool isGrouped() const { return m_peers.size() > m_options.maxDirectPeers; }
    bool isLocal(const peer &other) const;
    bool receivesDigests(const peer &other) const;
    bool isLive(const peer &other, time_point now) const;
    void expirePeers(time_point now);
    void publishPeers(time_point now);
    void publishSchedulers(time_point now);
    void publishRelays(time_point now);
    void publishKnownVms();
    std::size_t heardLocalVms(time_point now) const;
    void recordHeardVms(std::size_t heard);
    std::vector<aggregator_candidate> liveLocalVms(time_point now) const;
    bool actsAsAggregator(time_point now) const;
    std::vector<group_vm> liveGroup(time_point now) const;
    void sendOwnDigest(time_point now);
    void sendSummary(time_point now);
    void forwardSummaries(time_point now);
    bool hasLiveAggregator(const peer_group &group, time_point now) const;
    void probeAggregators(const std::string &dataCentre, std::string_view bytes);
    std::set<std::string> otherDataCentres() const;
    duration transmitTime(double linkShare, std::size_t bytes) const;
    vm_digest ownSummary(time_point now);

    void receive();
    void datagramReceived(std::size_t bytes);
    void digestReceived(const vm_digest &digest, time_point now);
    void summaryReceived(const vm_digest &summary, std::string_view bytes, time_point now);
    void apply(const vm_digest &digest, time_point now);
    vm_digest ownDigest(time_point now);
    void recordLoadTimes(const vm_digest &digest);
    void recordUnavailableStores(const vm_digest &digest, time_point now);
    void recordCrashes(const vm_digest &digest, time_point now);
    void addAnnouncedVersions(vm_digest &digest) const;
    void addLaneWork(vm_digest &digest, time_point now) const;
    void recordLaneWork(const vm_digest &digest, time_point now);
    void recordDuties(const vm_digest &digest, time_point now);
    void applyTotals(const vm_digest &digest, bool restarted, bool isLocalVm, time_point now);

    boost::asio::ip::udp::socket m_socket;
    scheduler_handler m_schedulerHandler;
    router_board &m_board;
    digest_exchange_options m_options;
    std::map<std::string, peer> m_peers;
    std::map<std::string, peer_group> m_groups; // By data centre, without this VM's own.
    boost::asio::ip::udp::endpoint m_sender;
    std::array<char, 65536> m_buffer;
    std::uint64_t m_incarnation;
    std::uint64_t m_number = 0;
    vm_digest m_ownDigest;                  // The last one sent; also included in summaries.
    duration m_interval = duration::zero(); // Between this VM's digests.
    time_point m_digestDueAt;
    time_point m_summaryDueAt;
    duration m_summaryInterval = duration::zero(); // Between this VM's summaries.
    time_point m_forwardDueAt;
    std::size_t m_expectedPeers = 0; // Other VMs when most of them were last heard, or more since.
    std::map<std::string, std::size_t> m_probeOffsets; // By data centre; see probeAggregators().
    time_point m_urgentDueAt;
};

} // namespace burdockhold

#endif
