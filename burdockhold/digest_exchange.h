#ifndef BURDOCKHOLD_DIGEST_EXCHANGE_H
#define BURDOCKHOLD_DIGEST_EXCHANGE_H

// Exchanges digests with the other VMs over datagrams. A VM learns the others once from the log and
// then from their digests; a VM that nobody has heard of for forgetAfter is no longer sent to.
//
// Up to directPeers other VMs are told directly. With more, a VM tells those of its data centre,
// and the data centres exchange summaries (digest_summary.h): the speaker of one sends to the
// speaker of the other, which passes them on. While the other's speaker is not known, the VMs that
// would speak first there are tried, a few at a time. What a speaker sends is paced by its link: a
// full link loses the very summaries that end a search for speakers.
//
// Datagrams rather than nng: a digest states the whole, so a lost one needs no resending, and a
// dead or cut-off VM holds no connection, queue or thread here.

#include "burdockhold/digest_summary.h"
#include "burdockhold/router_board.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace burdockhold {

struct digest_exchange_options
{
    /// Between digests. Limits and loads of all VMs are this old in another VM's view.
    duration interval = std::chrono::milliseconds(200);
    /// Datagrams a second that a VM sends at most; more VMs are told less often.
    double sendsPerSecond = 60.0;
    /// Part of the interval after which an urgent change may be told; more often it costs too much.
    double urgentShare = 0.25;
    duration forgetAfter = std::chrono::seconds(30);
    std::size_t directPeers = 16;
    /// Several lost summaries: the speaker of the other data centre may have ended. Longer where
    /// its summaries are rarer.
    duration aggregatorTimeout = std::chrono::milliseconds(1200);
    int lostSummaries = 4;
    std::size_t aggregatorProbes = 3; ///< At once, while the speaker of a data centre is not known.
    /// Parts of the own link for summaries to other data centres, and for those passed on.
    double summaryLinkShare = 0.1;
    double passOnLinkShare = 0.2;
};

class digest_exchange
{
public:
    digest_exchange(boost::asio::io_context &context, router_board &board,
                    digest_exchange_options options = {});

    /// Binds the socket. Returns an error text, or an empty string.
    std::string open();

    /// A VM has been announced in the log, by its address and its data centre.
    void addPeer(const std::string &vm, const std::string &announcement);

    /// What a VM announces of itself.
    static std::string announcementOf(const router_settings &settings);

    /// Sends digests when they are due. Called on every tick.
    void step(time_point now);

private:
    struct peer
    {
        boost::asio::ip::udp::endpoint address;
        std::uint64_t incarnation = 0;
        std::uint64_t number = 0;
        time_point heardAt; // Of the VM itself, or that a summary named it.
        bool leaving = false;
        std::string dataCentre;
        std::uint32_t capacity = 0;
        vm_digest digest; // Its last one.
    };
    /// Another data centre, as its summaries state it.
    struct peer_group
    {
        std::uint64_t incarnation = 0;
        std::uint64_t number = 0;
        time_point heardAt;
        duration interval = duration::zero(); // As its summaries state it.
        boost::asio::ip::udp::endpoint aggregator;
        std::vector<std::uint32_t> vms;
        std::string toPassOn; // The newest summary, if this VM speaks and has not passed it on.
    };

    bool isGrouped() const { return m_peers.size() > m_options.directPeers; }
    bool isLocal(const peer &other) const;
    bool isTold(const peer &other) const;
    bool isLive(const peer &other, time_point now) const;
    void forgetSilentPeers(time_point now);
    void publishPeers(time_point now);
    std::vector<aggregator_candidate> liveLocalVms(time_point now) const;
    bool actsAsAggregator(time_point now) const;
    std::vector<group_vm> liveGroup(time_point now) const;
    void sendOwnDigest(time_point now);
    void sendSummary(time_point now);
    void passOnSummaries(time_point now);
    bool hasLiveAggregator(const peer_group &group, time_point now) const;
    void probeAggregators(const std::string &dataCentre, std::string_view bytes);
    std::set<std::string> otherDataCentres() const;
    duration pacedBy(double linkShare, std::size_t bytes) const;
    void sendTo(const boost::asio::ip::udp::endpoint &address, std::string_view bytes);
    vm_digest ownSummary(time_point now);

    void receive();
    void received(std::size_t bytes);
    void digestArrived(const vm_digest &digest, time_point now);
    void summaryArrived(const vm_digest &summary, std::string_view bytes, time_point now);
    void apply(const vm_digest &digest, time_point now);
    vm_digest ownDigest(time_point now);
    void recordUnavailableStores(const vm_digest &digest, time_point now);
    void addNamed(vm_digest &digest) const;
    void noteTotals(const vm_digest &digest, bool restarted, bool isLocalVm, time_point now);

    boost::asio::ip::udp::socket m_socket;
    router_board &m_board;
    digest_exchange_options m_options;
    std::map<std::string, peer> m_peers;
    std::map<std::string, peer_group> m_groups; // By data centre; never the own one.
    boost::asio::ip::udp::endpoint m_sender;
    std::array<char, 65536> m_buffer;
    std::uint64_t m_incarnation;
    std::uint64_t m_number = 0;
    vm_digest m_ownDigest; // The last one sent; summaries take the own rows from it.
    duration m_interval = duration::zero(); // Between own digests.
    time_point m_dueAt;
    time_point m_summaryDueAt;
    duration m_summaryInterval = duration::zero(); // To the next own summary.
    time_point m_passOnDueAt;
    std::map<std::string, std::size_t> m_tries; // For the speakers of data centres.
    time_point m_urgentAt;
};

} // namespace burdockhold

#endif
