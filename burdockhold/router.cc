#include "burdockhold/router.h"

#include "burdockhold/hash.h"

namespace burdockhold {

namespace {

/// Joins the fields with their lengths, so that no two identities give the same text.
std::string identityText(const cache_identity &identity)
{
    std::string text;
    for (const std::string *field :
         { &identity.account, &identity.model, &identity.adapter, &identity.weightsVersion }) {
        text += std::to_string(field->size()) + ":" + *field;
    }
    return text;
}

} // namespace

std::string cacheSalt(const cache_identity &identity)
{
    return sha256Hex(identityText(identity));
}

} // namespace burdockhold
