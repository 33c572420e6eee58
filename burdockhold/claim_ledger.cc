#include "burdockhold/claim_ledger.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace burdockhold {

namespace {

using json = nlohmann::json;

constexpr std::size_t DigestDigits = 64;
constexpr int MaxRetryAfterSeconds = 5; // A finish is usually seen within a few log reads.

basic_error<claim_error> malformed(std::string text, std::string_view field)
{
    return { claim_error::Malformed, std::move(text), std::string(field) };
}

std::string widenBytes(const std::string &bytes)
{
    std::string utf8;
    utf8.reserve(bytes.size());
    for (const char c : bytes) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte < 0x80U) {
            utf8.push_back(c);
        } else {
            utf8.push_back(static_cast<char>(0xC0U | (byte >> 6U)));
            utf8.push_back(static_cast<char>(0x80U | (byte & 0x3FU)));
        }
    }
    return utf8;
}

std::optional<std::string> narrowBytes(const std::string &utf8)
{
    std::string bytes;
    bytes.reserve(utf8.size());
    for (std::size_t i = 0; i < utf8.size(); ++i) {
        const auto lead = static_cast<unsigned char>(utf8[i]);
        if (lead < 0x80U) {
            bytes.push_back(utf8[i]);
            continue;
        }
        if ((lead != 0xC2U && lead != 0xC3U) || i + 1 == utf8.size())
            return std::nullopt;
        ++i;
        const auto tail = static_cast<unsigned char>(utf8[i]);
        bytes.push_back(static_cast<char>(((lead & 0x03U) << 6U) | (tail & 0x3FU)));
    }
    return bytes;
}

bool isDigest(const std::string &text)
{
    return text.size() == DigestDigits
           && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

/// Returns a string field, or nothing when it is missing or has another type.
std::optional<std::string> textField(const json &object, const char *field)
{
    const auto it = object.find(field);
    if (it == object.end() || !it->is_string())
        return std::nullopt;
    return it->get<std::string>();
}

std::optional<std::string> shortField(const json &object, const char *field)
{
    auto text = textField(object, field);
    if (!text || text->empty() || text->size() > MaxClaimFieldBytes)
        return std::nullopt;
    return text;
}

result<claim_stream_record, claim_error> parseClaim(const json &object, std::string claimId)
{
    const auto account = shortField(object, "account");
    if (!account)
        return malformed("missing or invalid field", "account");
    const auto key = textField(object, "key");
    if (!key || !isDigest(*key))
        return malformed("not a digest", "key");
    const auto body = textField(object, "body");
    if (!body || !isDigest(*body))
        return malformed("not a digest", "body");
    return claim_stream_record(claim_record{ std::move(claimId), *account, *key, *body });
}

result<claim_stream_record, claim_error> parseFinish(const json &object, std::string claimId)
{
    const auto outcomeName = textField(object, "outcome");
    const auto outcome = outcomeName ? parseName<finish_outcome>(*outcomeName) : std::nullopt;
    if (!outcome)
        return malformed("missing or unknown outcome", "outcome");
    claim_answer answer;
    answer.outcome = *outcome;
    if (*outcome == finish_outcome::Unknown)
        return claim_stream_record(finish_record{ std::move(claimId), answer });
    const auto status = object.find("status");
    if (status == object.end() || !status->is_number_unsigned()
        || status->get<std::uint64_t>() < 100 || status->get<std::uint64_t>() > 599)
        return malformed("not an HTTP status", "status");
    answer.status = status->get<int>();
    const auto type = textField(object, "content_type");
    const auto typeBytes = type ? narrowBytes(*type) : std::nullopt;
    if (!typeBytes || typeBytes->size() > MaxClaimFieldBytes)
        return malformed("missing or invalid field", "content_type");
    answer.contentType = *typeBytes;
    if (*outcome == finish_outcome::Answered) {
        const auto body = textField(object, "body");
        auto bodyBytes = body ? narrowBytes(*body) : std::nullopt;
        if (!bodyBytes || bodyBytes->size() > MaxRetainedBodyBytes)
            return malformed("missing or too long", "body");
        answer.body = std::move(*bodyBytes);
    }
    return claim_stream_record(finish_record{ std::move(claimId), std::move(answer) });
}

const std::string &claimIdOf(const claim_stream_record &record)
{
    return std::visit([](const auto &r) -> const std::string & { return r.claimId; }, record);
}

std::size_t bodyBytesOf(const claim_stream_record &record)
{
    const auto *finish = std::get_if<finish_record>(&record);
    return finish == nullptr ? 0 : finish->answer.body.size();
}

} // namespace

std::string formatClaimRecord(const claim_stream_record &record)
{
    json object;
    object["claim"] = claimIdOf(record);
    std::visit(overloaded{
                       [&](const claim_record &r) {
                           object["kind"] = "claim";
                           object["account"] = r.account;
                           object["key"] = r.keyDigest;
                           object["body"] = r.bodyDigest;
                       },
                       [&](const finish_record &r) {
                           object["kind"] = "finish";
                           object["outcome"] = nameOf(r.answer.outcome);
                           if (r.answer.outcome == finish_outcome::Unknown)
                               return;
                           object["status"] = r.answer.status;
                           object["content_type"] = widenBytes(r.answer.contentType);
                           if (r.answer.outcome == finish_outcome::Answered)
                               object["body"] = widenBytes(r.answer.body);
                       },
                       [&](const release_record &) { object["kind"] = "release"; },
               },
               record);
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<claim_stream_record, claim_error> parseClaimRecord(std::string_view text)
{
    if (text.size() > MaxClaimRecordBytes)
        return basic_error<claim_error>{ claim_error::OutOfBounds, "record too long", "" };
    const json object = json::parse(text, nullptr, false);
    if (!object.is_object())
        return malformed("not a JSON object", "");
    auto claimId = shortField(object, "claim");
    if (!claimId)
        return malformed("missing or invalid field", "claim");
    const auto kind = textField(object, "kind");
    if (!kind)
        return malformed("missing field", "kind");
    if (*kind == "claim")
        return parseClaim(object, std::move(*claimId));
    if (*kind == "finish")
        return parseFinish(object, std::move(*claimId));
    if (*kind == "release")
        return claim_stream_record(release_record{ std::move(*claimId) });
    return basic_error<claim_error>{ claim_error::UnknownKind, "unknown kind of record", *kind };
}

claim_answer recordedAnswer(int status, std::string contentType, std::string body)
{
    claim_answer answer;
    answer.status = status;
    const bool fits = body.size() <= MaxRetainedBodyBytes;
    const bool typeFits = contentType.size() <= MaxClaimFieldBytes;
    answer.outcome = fits && typeFits ? finish_outcome::Answered : finish_outcome::BodyNotRetained;
    if (typeFits)
        answer.contentType = std::move(contentType);
    if (answer.outcome == finish_outcome::Answered)
        answer.body = std::move(body);
    return answer;
}

claim_ledger::claim_ledger(claim_ledger_options options)
    : m_options(options)
{
}

claim_effect claim_ledger::apply(log_offset offset, log_time_ms time,
                                 const claim_stream_record &record)
{
    if (offset <= m_lastOffset)
        return claim_effect::Repeated;
    m_lastOffset = offset;
    m_logTime = std::max(m_logTime, time);
    forgetExpired();
    return std::visit(overloaded{
                              [&](const claim_record &r) { return applyClaim(r); },
                              [&](const finish_record &r) { return applyFinish(r); },
                              [&](const release_record &r) { return applyRelease(r); },
                      },
                      record);
}

claim_effect claim_ledger::applyClaim(const claim_record &record)
{
    const log_time_ms expiresAt = m_logTime + m_options.claimWindowMs;
    const key_name name{ record.account, record.keyDigest };
    const auto held = m_keys.find(name);
    // A repeated or losing claim prolongs the hold: a VM that starts later may see only that record
    // and would otherwise free the key at another time than the VMs that saw the winner.
    if (held != m_keys.end())
        held->second.expiresAt = expiresAt;
    if (m_claims.count(record.claimId) > 0)
        return claim_effect::Repeated;
    if (m_claims.size() >= m_options.maxClaims)
        return refuseForRoom();
    m_claims.emplace(record.claimId, name);
    m_expiries.emplace(expiresAt, record.claimId);
    if (held != m_keys.end())
        return claim_effect::Lost;
    m_keys.emplace(name, key_state{ record.claimId, record.bodyDigest, m_logTime, expiresAt, {} });
    return m_logTime < m_suspendedUntil ? claim_effect::Full : claim_effect::Won;
}

claim_effect claim_ledger::refuseForRoom()
{
    // The dropped claim may have been dispatched by a VM with more room, so nothing may be
    // dispatched here until it has expired.
    m_suspendedUntil = m_logTime + m_options.claimWindowMs;
    return claim_effect::Full;
}

claim_ledger::key_state *claim_ledger::heldBy(const std::string &claimId)
{
    const auto claim = m_claims.find(claimId);
    if (claim == m_claims.end())
        return nullptr;
    const auto key = m_keys.find(claim->second);
    if (key == m_keys.end() || key->second.claimId != claimId)
        return nullptr;
    return &key->second;
}

claim_effect claim_ledger::applyFinish(const finish_record &record)
{
    key_state *key = heldBy(record.claimId);
    if (key == nullptr)
        return claim_effect::Ignored;
    if (key->answer)
        return claim_effect::Repeated;
    key->answer = record.answer;
    if (!record.answer.body.empty()) {
        m_bodyBytes += record.answer.body.size();
        m_bodyOrder.push_back(record.claimId);
        dropOldestBodies();
    }
    return claim_effect::Finished;
}

claim_effect claim_ledger::applyRelease(const release_record &record)
{
    key_state *key = heldBy(record.claimId);
    if (key == nullptr || key->answer)
        return claim_effect::Ignored;
    eraseKey(m_keys.find(m_claims.at(record.claimId)));
    return claim_effect::Released;
}

void claim_ledger::eraseKey(std::map<key_name, key_state>::iterator key)
{
    if (key->second.answer)
        m_bodyBytes -= key->second.answer->body.size();
    m_keys.erase(key);
}

void claim_ledger::forgetExpired()
{
    while (!m_expiries.empty() && m_expiries.begin()->first <= m_logTime) {
        const std::string claimId = std::move(m_expiries.begin()->second);
        m_expiries.erase(m_expiries.begin());
        const auto claim = m_claims.find(claimId);
        const auto key = m_keys.find(claim->second);
        if (key != m_keys.end() && key->second.claimId == claimId) {
            if (key->second.expiresAt > m_logTime) {
                m_expiries.emplace(key->second.expiresAt, claimId);
                continue;
            }
            eraseKey(key);
        }
        m_claims.erase(claim);
    }
}

void claim_ledger::dropOldestBodies()
{
    while (m_bodyBytes > m_options.maxBodyBytes || m_bodyOrder.size() > m_options.maxClaims) {
        key_state *key = heldBy(m_bodyOrder.front());
        m_bodyOrder.pop_front();
        if (key == nullptr || !key->answer)
            continue;
        m_bodyBytes -= key->answer->body.size();
        key->answer->body = std::string();
        key->answer->outcome = finish_outcome::BodyNotRetained;
    }
}

claim_view claim_ledger::lookup(std::string_view account, std::string_view keyDigest,
                                std::string_view bodyDigest, log_time_ms now) const
{
    const auto it = m_keys.find(key_name{ std::string(account), std::string(keyDigest) });
    claim_view view;
    if (it == m_keys.end())
        return view;
    const key_state &key = it->second;
    if (key.bodyDigest != bodyDigest) {
        view.state = claim_state::BodyConflict;
        return view;
    }
    if (key.answer) {
        const bool known = key.answer->outcome != finish_outcome::Unknown;
        view.state = known ? claim_state::Answered : claim_state::OutcomeUnknown;
        view.answer = *key.answer;
        return view;
    }
    const log_time_ms left = key.claimedAt + m_options.inProgressMs - now;
    view.state = left > 0 ? claim_state::InProgress : claim_state::OutcomeUnknown;
    if (left > 0)
        view.retryAfterSeconds = static_cast<int>(
                std::clamp<log_time_ms>(left / 1000, 1, MaxRetryAfterSeconds));
    return view;
}

bool claim_ledger::isNearlyFull() const
{
    return m_logTime < m_suspendedUntil
           || m_claims.size() >= m_options.maxClaims - m_options.maxClaims / 10;
}

claim_writer::claim_writer(std::string_view vm, std::string_view incarnation,
                           claim_writer_options options)
    : m_prefix(std::string(vm) + "/" + std::string(incarnation) + "/")
    , m_options(options)
{
}

std::optional<std::string> claim_writer::submit(const claim_request &request, time_point now)
{
    if (m_entries.size() >= m_options.maxEntries || now >= request.deadline)
        return std::nullopt;
    std::string claimId = m_prefix + std::to_string(m_nextClaim);
    ++m_nextClaim;
    entry added;
    added.request = request;
    added.record = claim_record{ claimId, request.account, request.keyDigest, request.bodyDigest };
    m_entries.emplace(claimId, std::move(added));
    m_queue.push_back(claimId);
    return claimId;
}

std::optional<claim_append> claim_writer::nextAppend(time_point now)
{
    if (m_inFlightNumber != 0 || now < m_notBefore)
        return std::nullopt;
    claim_append append;
    std::size_t bytes = 0;
    while (!m_queue.empty() && append.records.size() < m_options.maxAppendRecords) {
        const auto it = m_entries.find(m_queue.front());
        if (it == m_entries.end() || !it->second.toAppend) {
            m_queue.pop_front();
            continue;
        }
        bytes += bodyBytesOf(it->second.record);
        if (!append.records.empty() && bytes > m_options.maxAppendBytes)
            break;
        it->second.toAppend = false;
        append.records.push_back(it->second.record);
        m_inFlight.push_back(it->first);
        m_inFlightKinds.push_back(it->second.record.index());
        m_queue.pop_front();
    }
    if (append.records.empty())
        return std::nullopt;
    append.number = m_nextAppend;
    m_inFlightNumber = m_nextAppend;
    ++m_nextAppend;
    return append;
}

bool claim_writer::isInFlight(const std::string &claimId) const
{
    return std::find(m_inFlight.begin(), m_inFlight.end(), claimId) != m_inFlight.end();
}

void claim_writer::queue(const std::string &claimId)
{
    entry &queued = m_entries.at(claimId);
    if (queued.toAppend)
        return;
    queued.toAppend = true;
    m_queue.push_back(claimId);
}

void claim_writer::appendEnded(std::uint64_t number, append_outcome outcome, time_point now)
{
    if (number == 0 || number != m_inFlightNumber)
        return;
    const std::vector<std::string> ended = std::exchange(m_inFlight, {});
    const std::vector<std::size_t> kinds = std::exchange(m_inFlightKinds, {});
    m_inFlightNumber = 0;
    if (outcome != append_outcome::Applied)
        m_notBefore = now + m_options.retryDelay;
    for (std::size_t i = 0; i < ended.size(); ++i) {
        const auto it = m_entries.find(ended[i]);
        if (it == m_entries.end() || it->second.record.index() != kinds[i])
            continue;
        if (outcome != append_outcome::NotApplied)
            it->second.mayBeInLog = true;
        if (outcome == append_outcome::Applied)
            continue;
        if (it->second.state == phase::Abandoned) {
            if (!it->second.mayBeInLog)
                m_entries.erase(it);
            continue;
        }
        if (it->second.state != phase::Permitted)
            queue(ended[i]);
    }
}

void claim_writer::replayed(const claim_stream_record &record, claim_effect effect,
                            log_time_ms time, const claim_ledger &ledger, log_time_ms logNow,
                            time_point now)
{
    const auto it = m_entries.find(claimIdOf(record));
    if (it == m_entries.end())
        return;
    if (!std::holds_alternative<claim_record>(record)) {
        // Only this writer appends a finish or release for its claims, so its work is done
        // whatever the record's effect was.
        if (it->second.state == phase::Closing)
            m_entries.erase(it);
        return;
    }
    if (effect != claim_effect::Repeated)
        decideClaim(it, effect, time, ledger, logNow, now);
}

void claim_writer::decideClaim(entry_map::iterator it, claim_effect effect, log_time_ms time,
                               const claim_ledger &ledger, log_time_ms logNow, time_point now)
{
    entry &decided = it->second;
    const bool waiting = decided.state == phase::Claiming;
    if (!waiting && decided.state != phase::Abandoned)
        return;
    const claim_request &request = decided.request;
    const bool inTime = now < request.deadline && logNow - time <= m_options.maxClaimAgeMs;
    if (waiting && inTime && effect == claim_effect::Won) {
        decided.state = phase::Permitted;
        decided.toAppend = false;
        m_decisions.emplace_back(
                dispatch_permission{ request.requestId, it->first, request.deadline });
        return;
    }
    if (effect == claim_effect::Lost) {
        if (waiting) {
            const claim_view view = ledger.lookup(request.account, request.keyDigest,
                                                  request.bodyDigest, logNow);
            m_decisions.emplace_back(claim_lost_reply{ request.requestId, it->first, view });
        }
        m_entries.erase(it);
        return;
    }
    if (waiting)
        m_decisions.emplace_back(not_run_reply{ request.requestId, it->first });
    close(decided, release_record{ it->first });
}

void claim_writer::close(entry &closed, claim_stream_record record)
{
    const std::string claimId = claimIdOf(record);
    closed.state = phase::Closing;
    closed.record = std::move(record);
    closed.toAppend = false;
    queue(claimId);
}

void claim_writer::finished(const std::string &claimId, claim_answer answer)
{
    const auto it = m_entries.find(claimId);
    if (it == m_entries.end() || it->second.state != phase::Permitted)
        return;
    close(it->second, finish_record{ claimId, std::move(answer) });
}

void claim_writer::released(const std::string &claimId)
{
    const auto it = m_entries.find(claimId);
    if (it == m_entries.end() || it->second.state != phase::Permitted)
        return;
    close(it->second, release_record{ claimId });
}

void claim_writer::expire(time_point now)
{
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        entry &checked = it->second;
        if (checked.state == phase::Claiming && now >= checked.request.deadline) {
            checked.state = phase::Abandoned;
            checked.abandonedAt = now;
            checked.toAppend = false;
            m_decisions.emplace_back(not_run_reply{ checked.request.requestId, it->first });
        }
        const bool followed = checked.mayBeInLog || isInFlight(it->first);
        const bool old = now >= checked.abandonedAt + m_options.orphanMemory;
        const bool forget = checked.state == phase::Abandoned && (!followed || old);
        it = forget ? m_entries.erase(it) : std::next(it);
    }
}

std::vector<claim_decision> claim_writer::takeDecisions()
{
    return std::exchange(m_decisions, {});
}

} // namespace burdockhold
