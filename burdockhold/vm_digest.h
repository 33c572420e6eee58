#ifndef BURDOCKHOLD_VM_DIGEST_H
#define BURDOCKHOLD_VM_DIGEST_H

// What a VM tells the others several times a second, in one datagram: its counters and what it
// knows first of endpoints. A digest states the whole, so a lost, doubled or late one does no harm;
// digests of an older incarnation or an older number are dropped by the receiver.
//
// A digest of 5 accounts and 13 endpoints takes about 300 bytes. Between the data centres of a
// large deployment go summaries (digest_summary.h): digests that state the sums of one data centre.

#include "burdockhold/result.h"

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhold {

/// Totals of one account, or of the transfers over one store's link, since the sender's start.
struct account_row
{
    std::uint32_t account = 0; ///< shortHash of the account's or the link's name.
    std::uint64_t admitted = 0;
    std::uint64_t asked = 0; ///< Admitted or not; 0 from a build that does not tell it.
    MSGPACK_DEFINE_ARRAY(account, admitted, asked)
};

/// The sender's own requests at one endpoint, and how its recent calls went.
struct endpoint_row
{
    std::uint32_t endpoint = 0; ///< shortHash of the id.
    std::uint32_t running = 0;
    std::uint32_t pendingPrefillTokens = 0;
    std::uint32_t activeTokens = 0;
    std::uint32_t recentCalls = 0; ///< Decayed count, in tenths.
    std::uint32_t recentFailures = 0;
    std::uint32_t silentMs = 0; ///< Since the endpoint was last heard, while requests run there.
    MSGPACK_DEFINE_ARRAY(endpoint, running, pendingPrefillTokens, activeTokens, recentCalls,
                         recentFailures, silentMs)
};

/// Weights of an engine, known from its answers or from an order to it.
struct weights_row
{
    std::uint32_t endpoint = 0;
    std::uint32_t model = 0; ///< shortHash of the name.
    std::int64_t version = 0;
    bool loading = false; ///< An order is being carried out; new calls would be refused.
    MSGPACK_DEFINE_ARRAY(endpoint, model, version, loading)
};

/// A duty that the sender holds, or gave orders for lately.
struct duty_row
{
    std::uint32_t pool = 0;
    bool holds = false;
    std::uint32_t orderedAgoMs = 0; ///< Since its last order; NoOrder when there was none lately.
    static constexpr std::uint32_t NoOrder = UINT32_MAX;
    MSGPACK_DEFINE_ARRAY(pool, holds, orderedAgoMs)
};

/// How long ago the operator named a version of a model's weights. A VM that starts finds only the
/// newest version in the log, without its time.
struct announced_version_row
{
    std::uint32_t model = 0;
    std::int64_t version = 0;
    std::uint32_t ageMs = 0;
    bool guessed = false; ///< The sender started after it was named.
    MSGPACK_DEFINE_ARRAY(model, version, ageMs, guessed)
};

struct vm_digest
{
    std::string vm;
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;
    bool leaving = false;
    std::vector<account_row> accounts;
    std::vector<endpoint_row> endpoints;
    std::vector<weights_row> weights;
    std::vector<std::uint32_t> storedSegments; ///< Hashes of parts that went to the store lately.
    std::vector<std::uint32_t>
            unavailableStores; ///< Hashes of the addresses of stores that are away.
    std::vector<duty_row> duties;
    std::vector<announced_version_row> named;
    /// Hashes of endpoints that were seen to leave or vanish in the last seconds.
    std::vector<std::uint32_t> departedEndpoints;
    std::string dataCentre;
    /// Of a summary: the address of the VM that made it, and the shortHashes of the names of the
    /// VMs that it covers. Empty in the digest of a single VM.
    std::string aggregator;
    std::vector<std::uint32_t> vms;
    std::uint32_t capacity = 0; ///< router_settings::capacity(); 0 from an older build.
    /// Of a summary: the time to the next one, if none is lost; 0 from an older build.
    std::uint32_t intervalMs = 0;
    MSGPACK_DEFINE_ARRAY(vm, incarnation, number, leaving, accounts, endpoints, weights,
                         storedSegments, unavailableStores, duties, named, departedEndpoints,
                         dataCentre, aggregator, vms, capacity, intervalMs)

    bool isSummary() const { return !aggregator.empty(); }
};

enum class digest_error { NotReadable };

std::string encodeDigest(const vm_digest &digest);
result<vm_digest, digest_error> decodeDigest(std::string_view bytes);

/// Returns a 32-bit hash by which digests name accounts and endpoints.
std::uint32_t shortHash(std::string_view name);

} // namespace burdockhold

#endif
