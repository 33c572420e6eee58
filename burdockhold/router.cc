#include "burdockhold/router.h"

#include "burdockhold/digest.h"

#include <cmath>

namespace burdockhold {

namespace {

/// Joins the fields with their lengths, so that no two identities give the same text.
std::string identityText(const cache_identity &identity)
{
    std::string text;
    for (const std::string *field :
         { &identity.account, &identity.model, &identity.adapter, &identity.version }) {
        text += std::to_string(field->size()) + ":" + *field;
    }
    return text;
}

bool isCandidate(const std::string &name, const endpoint_entry &endpoint,
                 const routing_request &request)
{
    return endpoint.pool == request.pool && endpoint.role == request.role
           && endpoint.state == endpoint_state::Active && request.excluded.count(name) == 0;
}

/// Score of weighted rendezvous hashing: -weight / ln(u), u uniform in (0, 1).
double rendezvousScore(std::uint64_t key, const std::string &name, double weight)
{
    constexpr double Scale = 1.0 / 9007199254740992.0; // 2^-53
    const std::uint64_t mixed = combineHash(key, hash64(name));
    const double uniform = (static_cast<double>(mixed >> 11) + 0.5) * Scale;
    return -weight / std::log(uniform);
}

} // namespace

std::string cacheSalt(const cache_identity &identity)
{
    return sha256Hex(identityText(identity));
}

routing_result rendezvous_router::choose(const catalogue &config, const routing_request &request)
{
    const std::uint64_t seed = hash64(identityText(request.identity));
    const std::uint64_t key = hash64(request.prompt.substr(0, PromptBlockBytes), seed);

    routing_choice best;
    double bestScore = -1.0;
    for (const auto &[name, entry] : config.endpoints) {
        if (!isCandidate(name, entry.value, request))
            continue;
        const double score = rendezvousScore(key, name, entry.value.weight);
        if (score > bestScore) {
            bestScore = score;
            best = { name, entry.value.url, 0 };
        }
    }
    if (best.endpoint.empty())
        return basic_error<routing_error>{ routing_error::NoEndpoint,
                                           "no active endpoint is left in the pool", request.pool };
    return best;
}

} // namespace burdockhold
