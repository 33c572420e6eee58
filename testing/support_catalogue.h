#ifndef BURDOCKHOLD_SUPPORT_CATALOGUE_H
#define BURDOCKHOLD_SUPPORT_CATALOGUE_H

// Catalogue entries for tests on real processes, in the form of changes to the config stream.

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace burdockhold::testing {

/// Returns the change that creates an entry.
nlohmann::json newEntryChange(const std::string &kind, const std::string &name,
                              const nlohmann::json &value);

/// Returns the changes that create the class "standard", the accounts "a1" and "a2" with high token
/// limits, and one endpoint for each URL. If there are engines, model "base" in version "v1" runs
/// on them. If there are services, they serve two routes: GET /stock needs no key and is
/// repeatable, POST /pay needs a key and is not repeatable.
nlohmann::json basicCatalogue(const std::vector<std::string> &engineUrls,
                              const std::vector<std::string> &serviceUrls);

/// Returns the request body of a streaming completion on model "base".
std::string streamingRequestBody(const std::string &prompt, int maxTokens);

} // namespace burdockhold::testing

#endif
