#include "burdockhold/crash_records.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>

namespace burdockhold {

namespace {

constexpr duration CallTimeout = std::chrono::seconds(2);
constexpr duration RetryInterval = std::chrono::milliseconds(700);
constexpr int StatusOk = 200;
constexpr std::size_t MaxCrashes = 12; // As many as a fingerprint keeps by default.
constexpr int HexBase = 16;
constexpr std::size_t MaxKeyDigits = 16;

std::int64_t timeOfDayMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
}

} // namespace

std::string encodeCrashRecord(const crash_row &row, std::int64_t timeOfDayMs)
{
    nlohmann::json crashes = nlohmann::json::array();
    for (const crash_report_row &crash : row.crashes)
        crashes.push_back({ { "crash", crash.crash }, { "at", timeOfDayMs - crash.ageMs } });
    return nlohmann::json{ { "crashes", std::move(crashes) } }.dump();
}

result<crash_row, crash_record_error> decodeCrashRecord(std::string_view key,
                                                        std::string_view value,
                                                        std::int64_t timeOfDayMs)
{
    using error = basic_error<crash_record_error>;
    crash_row row;
    const char *keyEnd = key.data() + key.size();
    const auto parsed = std::from_chars(key.data(), keyEnd, row.fingerprint, HexBase);
    if (key.size() > MaxKeyDigits || parsed.ec != std::errc() || parsed.ptr != keyEnd)
        return error{ crash_record_error::Invalid, "the key is not a fingerprint",
                      std::string(key) };
    const auto body = nlohmann::json::parse(value, nullptr, false);
    const bool hasCrashes = body.is_object() && body.contains("crashes")
                            && body["crashes"].is_array();
    if (!hasCrashes)
        return error{ crash_record_error::NotReadable, "no list of crashes", std::string(key) };
    for (const auto &crash : body["crashes"]) {
        const bool isValid = crash.is_object() && crash.contains("crash") && crash.contains("at")
                             && crash["crash"].is_number_unsigned()
                             && crash["at"].is_number_unsigned() && crash["at"] <= INT64_MAX;
        if (!isValid)
            return error{ crash_record_error::Invalid, "a crash lacks its id or time",
                          std::string(key) };
        if (row.crashes.size() == MaxCrashes)
            break;
        const auto age = std::clamp<std::int64_t>(timeOfDayMs - crash["at"].get<std::int64_t>(), 0,
                                                  UINT32_MAX);
        row.crashes.push_back(
                { crash["crash"].get<std::uint32_t>(), static_cast<std::uint32_t>(age) });
    }
    return row;
}

crash_records::crash_records(boost::asio::io_context &context, router_board &board,
                             const boost::asio::ip::tcp::endpoint &logServer)
    : m_board(board)
    , m_connection(std::make_shared<log_connection>(context, logServer, &board.storeEra))
{
}

void crash_records::load()
{
    m_loadDue = true;
    step(steadyNow());
}

void crash_records::step(time_point now)
{
    if (m_callInProgress || now < m_nextCallAt)
        return;
    if (m_loadDue)
        readPage({});
    else if (!m_board.crashRecordsDue.empty())
        write(*m_board.crashRecordsDue.begin());
}

void crash_records::readPage(const std::string &after)
{
    m_callInProgress = true;
    m_connection->call(platform::newestCall(platform::CrashTopic, after), CallTimeout,
                       [this](const log_response &response) { pageReceived(response); });
}

void crash_records::pageReceived(const log_response &response)
{
    m_callInProgress = false;
    const auto page = platform::decodeNewest(response.body);
    if (response.status != StatusOk || !isOk(page)) {
        m_nextCallAt = steadyNow() + RetryInterval;
        return;
    }
    for (const platform::keyed_record &record : valueOf(page).records)
        applyRecord(record);
    if (valueOf(page).hasMore && !valueOf(page).records.empty()) {
        readPage(valueOf(page).records.back().key);
        return;
    }
    m_loadDue = false;
}

void crash_records::applyRecord(const platform::keyed_record &record)
{
    if (!record.value)
        return;
    const time_point now = steadyNow();
    const auto row = decodeCrashRecord(record.key, *record.value, timeOfDayMs());
    if (!isOk(row)) {
        if (m_board.log.accepts(log_priority::StateChange, now))
            m_board.log.write(log_event::CrashRecordRefused,
                              { { "key", record.key }, { "reason", errorOf(row).text } }, now);
        return;
    }
    const fingerprint suspect = valueOf(row).fingerprint;
    if (m_board.crashes.applyPeerRow(valueOf(row), now))
        m_board.logFingerprintBlocked(suspect, "log", now);
    const auto isExpired = [](const crash_report_row &crash) {
        return std::chrono::milliseconds(crash.ageMs) >= crash_fingerprint_options().strikeLifetime;
    };
    const auto &crashes = valueOf(row).crashes;
    if (std::all_of(crashes.begin(), crashes.end(), isExpired))
        m_board.crashRecordsDue.insert(suspect); // Deletes the record.
}

/// Writes the record of a blocked fingerprint, and deletes that of any other.
void crash_records::write(fingerprint suspect)
{
    m_callInProgress = true;
    const time_point now = steadyNow();
    platform::keyed_record record{ formatFingerprint(suspect), std::nullopt };
    if (m_board.crashes.isBlocked(suspect, now))
        record.value = encodeCrashRecord(m_board.crashes.rowOf(suspect, now), timeOfDayMs());
    m_board.crashRecordsDue.erase(suspect); // A change during the call makes it due again.
    m_connection->call(
            platform::appendKeyedCall(platform::CrashTopic, record), CallTimeout,
            [this, suspect](const log_response &response) { writeCompleted(suspect, response); });
}

void crash_records::writeCompleted(fingerprint suspect, const log_response &response)
{
    m_callInProgress = false;
    if (response.status == StatusOk)
        return;
    m_board.crashRecordsDue.insert(suspect);
    m_nextCallAt = steadyNow() + RetryInterval;
}

} // namespace burdockhold
