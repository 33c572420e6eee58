#ifndef BURDOCKHOLD_PLACEMENT_LOG_H
#define BURDOCKHOLD_PLACEMENT_LOG_H

// Fields of the log lines that explain a placement or a refusal by a limit. docs/OPERATIONS.md
// describes them.

#include "burdockhold/left_out.h"
#include "burdockhold/quota_ledger.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace burdockhold {

/// Returns the fields of a line on why no endpoint could take the request: the inputs of the
/// choice, the most loaded endpoints last.
nlohmann::ordered_json poolFullFields(const std::string &requestId, const std::string &pool,
                                      std::vector<endpoint_candidate> candidates);

/// Returns the fields of a line on a choice that left endpoints out.
nlohmann::ordered_json endpointChosenFields(const std::string &requestId, const std::string &pool,
                                            const std::vector<endpoint_candidate> &candidates,
                                            const endpoint_choice &choice,
                                            const left_out &endpoints);

/// Returns the fields of a line on a refusal by the account's limit.
nlohmann::ordered_json overQuotaFields(const std::string &requestId, const std::string &account,
                                       double cost, const quota_ledger &quota);

} // namespace burdockhold

#endif
