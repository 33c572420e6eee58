#ifndef BURDOCKHOLD_LOOP_PEERS_H
#define BURDOCKHOLD_LOOP_PEERS_H

// Exchanges digests with the other VMs over datagrams. A VM learns the others once from the log and
// then from their digests; a VM that has been silent for forgetAfter is no longer sent to.
//
// Datagrams rather than nng: a digest states the whole, so a lost one needs no resending, and a
// dead or cut-off VM holds no connection, queue or thread here.

#include "burdockhold/router_board.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <map>
#include <string>
#include <string_view>

namespace burdockhold {

struct peer_link_options
{
    /// Between digests. Limits and loads of all VMs are this old in another VM's view.
    duration interval = std::chrono::milliseconds(200);
    /// Datagrams a second that a VM sends at most; more VMs are told less often.
    double sendsPerSecond = 60.0;
    /// Part of the interval after which an urgent change may be told; more often it costs too much.
    double urgentShare = 0.25;
    duration forgetAfter = std::chrono::seconds(30);
};

class digest_link
{
public:
    digest_link(boost::asio::io_context &context, router_board &board,
                peer_link_options options = {});

    /// Binds the socket. Returns an error text, or an empty string.
    std::string open();

    /// A VM has been announced in the log.
    void addPeer(const std::string &vm, const std::string &address);

    /// Sends digests when they are due. Called on every tick.
    void step(time_point now);

private:
    struct peer
    {
        boost::asio::ip::udp::endpoint address;
        std::uint64_t incarnation = 0;
        std::uint64_t number = 0;
        time_point heardAt;
        bool leaving = false;
    };

    void receive();
    void received(std::size_t bytes);
    void apply(const vm_digest &digest, peer &from, time_point now);
    vm_digest ownDigest(time_point now);
    void noteDeadStores(const vm_digest &digest, time_point now);
    void addNamed(vm_digest &digest) const;
    static void noteTotals(std::map<std::string, quota_ledger> &ledgers, const vm_digest &digest,
                           bool restarted, time_point now);

    boost::asio::ip::udp::socket m_socket;
    router_board &m_board;
    peer_link_options m_options;
    std::map<std::string, peer> m_peers;
    boost::asio::ip::udp::endpoint m_sender;
    std::array<char, 65536> m_buffer;
    std::uint64_t m_incarnation;
    std::uint64_t m_number = 0;
    time_point m_dueAt;
    time_point m_urgentAt;
};

} // namespace burdockhold

#endif
