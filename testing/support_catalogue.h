#ifndef BURDOCKHOLD_SUPPORT_CATALOGUE_H
#define BURDOCKHOLD_SUPPORT_CATALOGUE_H

// Catalogue entries for tests on real processes, as changes of the config stream.

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace burdockhold::testing {

/// Returns the change that creates an entry.
nlohmann::json newEntry(const std::string &kind, const std::string &name,
                        const nlohmann::json &value);

/// Returns changes for one class, the accounts "a1" and "a2" with wide limits, model "base"
/// (version v1) on the engines, and the services with the routes GET /stock (open, repeatable) and
/// POST /pay (keyed, not repeatable).
nlohmann::json basicCatalogue(const std::vector<std::string> &engineUrls,
                              const std::vector<std::string> &serviceUrls);

/// Returns the body of a streaming completion call.
std::string streamBody(const std::string &prompt, int maxTokens);

} // namespace burdockhold::testing

#endif
