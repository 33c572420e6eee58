#include "burdockhold/view_message.h"

#include <charconv>
#include <chrono>
#include <optional>
#include <utility>

namespace burdockhold {

namespace {

constexpr std::string_view Path = "/views/2";
constexpr duration MaxWait = std::chrono::seconds(5); // Far above any wait that VMs request.

/// The fields of a report. Those after the weights are missing in reports of older builds.
struct report_row
{
    std::string pool;
    std::string address;
    std::string dataCentre;
    int slots = 1;
    bool leaving = false;
    std::int64_t incarnation = 0;
    std::map<std::string, std::int64_t> weights;
    std::string softwareVersion;
    std::int64_t coldMs = NoTime; ///< Remaining cold time when the reader read the entry.
    bool isSilent = false;
    static constexpr std::int64_t NoTime = -1;
    static constexpr std::uint32_t RequiredFields = 7;
    MSGPACK_DEFINE_ARRAY(pool, address, dataCentre, slots, leaving, incarnation, weights,
                         softwareVersion, coldMs, isSilent)
};

basic_error<view_error> malformed(const std::string &text)
{
    return { view_error::NotReadable, text, "view" };
}

/// Returns the value of a query field, or nothing if it is missing.
std::optional<std::string_view> queryField(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const std::size_t end = std::min(query.find('&'), query.size());
        const std::string_view field = query.substr(0, end);
        query.remove_prefix(std::min(end + 1, query.size()));
        const std::size_t equals = field.find('=');
        if (equals != std::string_view::npos && field.substr(0, equals) == name)
            return field.substr(equals + 1);
    }
    return std::nullopt;
}

/// Returns the value of a numeric query field, or nothing if it is missing or not a number.
std::optional<std::uint64_t> numericField(std::string_view query, std::string_view name)
{
    const auto text = queryField(query, name);
    if (!text)
        return std::nullopt;
    std::uint64_t number = 0;
    const char *last = text->data() + text->size();
    const auto parsed = std::from_chars(text->data(), last, number);
    if (parsed.ec == std::errc() && parsed.ptr == last)
        return number;
    return std::nullopt;
}

/// Decodes an array of at least this many fields.
template <typename T>
result<T, view_error> unpackAs(std::string_view bytes, std::uint32_t requiredFields = 0)
{
    try {
        const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size());
        const msgpack::object &object = handle.get();
        if (object.type == msgpack::type::ARRAY && object.via.array.size < requiredFields)
            return malformed("a field is missing");
        return handle.get().as<T>();
    } catch (const std::exception &error) {
        return malformed(error.what());
    }
}

template <typename T>
std::string packed(const T &value)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, value);
    return { buffer.data(), buffer.size() };
}

} // namespace

std::string encodeViewRequest(const view_request &request)
{
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(request.wait);
    return std::string(Path) + "?reader=" + std::to_string(request.reader)
           + "&operator=" + std::to_string(request.operatorSequenceNumber)
           + "&endpoints=" + std::to_string(request.endpointSequenceNumber)
           + (request.deploymentVersion
                      ? "&deployment=" + std::to_string(*request.deploymentVersion)
                      : std::string())
           + "&wait_ms=" + std::to_string(wait.count());
}

result<view_request, view_error> decodeViewRequest(std::string_view target)
{
    const std::size_t queryMark = target.find('?');
    if (target.substr(0, queryMark) != Path)
        return basic_error<view_error>{ view_error::UnsupportedFormat, "unknown path",
                                        std::string(target.substr(0, queryMark)) };
    const std::string_view query = queryMark == std::string_view::npos
                                           ? std::string_view()
                                           : target.substr(queryMark + 1);
    const auto reader = numericField(query, "reader");
    const auto operatorSequenceNumber = numericField(query, "operator");
    const auto endpointSequenceNumber = numericField(query, "endpoints");
    const auto wait = numericField(query, "wait_ms");
    const auto deployment = numericField(query, "deployment");
    const bool isDeploymentMalformed = !deployment && queryField(query, "deployment");
    if (!reader || !operatorSequenceNumber || !endpointSequenceNumber || !wait
        || isDeploymentMalformed)
        return malformed("a numeric query field is missing or malformed");
    constexpr auto MaxWaitMs = std::chrono::duration_cast<std::chrono::milliseconds>(MaxWait);
    const auto ms = std::min(*wait, static_cast<std::uint64_t>(MaxWaitMs.count()));
    return view_request{ *reader, *operatorSequenceNumber, *endpointSequenceNumber, deployment,
                         std::chrono::milliseconds(ms) };
}

std::string encodeViewResponse(const view_response &response)
{
    return encodeViewResponseHead(response, response.deploymentUpdate.size())
           + response.deploymentUpdate;
}

std::string encodeViewResponseHead(const view_response &response, std::size_t updateBytes)
{
    constexpr std::uint32_t Fields = 4;
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(Fields);
    packer.pack(response.reader);
    packer.pack(response.operatorTopic);
    packer.pack(response.endpointTopic);
    packer.pack_str(static_cast<std::uint32_t>(updateBytes));
    return { buffer.data(), buffer.size() };
}

result<view_response, view_error> decodeViewResponse(std::string_view body)
{
    return unpackAs<view_response>(body);
}

std::string encodeReport(const endpoint_report &report)
{
    const duration cold = report.coldLeft.value_or(std::chrono::milliseconds(report_row::NoTime));
    return packed(report_row{
            report.pool, report.address, report.dataCentre, report.slots, report.leaving,
            report.incarnation, report.weights, report.softwareVersion,
            std::chrono::duration_cast<std::chrono::milliseconds>(cold).count(), report.isSilent });
}

result<endpoint_report, view_error> decodeReport(std::string_view id, std::string_view value)
{
    auto decoded = unpackAs<report_row>(value, report_row::RequiredFields);
    if (!isOk(decoded))
        return errorOf(decoded);
    report_row &row = valueOf(decoded);
    // A reader of an older build hands on entries that it should have refused.
    if (row.slots < 1 || row.slots > MaxEndpointSlots)
        return malformed("the slots are out of bounds");
    if (row.incarnation < 0 || row.incarnation > MaxIncarnationMs)
        return malformed("the start time is out of bounds");
    endpoint_report report;
    report.id = std::string(id);
    report.pool = std::move(row.pool);
    report.address = std::move(row.address);
    report.dataCentre = std::move(row.dataCentre);
    report.softwareVersion = std::move(row.softwareVersion);
    report.slots = row.slots;
    report.leaving = row.leaving;
    report.incarnation = row.incarnation;
    report.weights = std::move(row.weights);
    if (row.coldMs >= 0 && row.coldMs <= MaxColdMs)
        report.coldLeft = std::chrono::milliseconds(row.coldMs);
    report.coldTimeRefused = row.coldMs < report_row::NoTime || row.coldMs > MaxColdMs;
    report.isSilent = row.isSilent;
    return report;
}

} // namespace burdockhold
