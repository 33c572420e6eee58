#include "burdockhold/access_log.h"

#include <log4cxx/logger.h>
#include <nlohmann/json.hpp>

#include <cmath>

namespace burdockhold {

std::string formatAccessLine(const access_record &record)
{
    using json = nlohmann::ordered_json;
    json line;
    line["request_id"] = record.requestId;
    line["account"] = record.account;
    line["route"] = record.route;
    line["model"] = record.model;
    line["version"] = record.version;
    line["endpoint"] = record.endpoint;
    line["status"] = record.status;
    line["expected_cached_tokens"] = record.expectedCachedTokens;
    line["candidates"] = json::array();
    for (const routing_candidate &candidate : record.candidates)
        line["candidates"].push_back({ { "endpoint", candidate.endpoint },
                                       { "queue_s", candidate.queueWaitSeconds },
                                       { "cached_tokens", std::llround(candidate.cachedTokens) },
                                       { "score_s", candidate.scoreSeconds } });
    line["cached_tokens"] = record.cachedTokens;
    line["output_tokens"] = record.outputTokens;
    line["attempts"] = record.attempts;
    line["queue_s"] = record.queueSeconds;
    line["first_token_s"] = record.firstTokenSeconds ? json(*record.firstTokenSeconds) : json();
    line["total_s"] = record.totalSeconds;
    line["outcome"] = record.outcome;
    line["claim"] = record.claim;
    line["reason"] = record.reason;
    return line.dump(-1, ' ', false, json::error_handler_t::replace);
}

void writeAccessLine(const access_record &record)
{
    static const log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger("access");
    LOG4CXX_INFO(logger, formatAccessLine(record));
}

} // namespace burdockhold
