#include "burdockhold/view_message.h"

#include <charconv>
#include <chrono>
#include <optional>
#include <tuple>

namespace burdockhold {

namespace {

constexpr std::string_view Path = "/views/1";
constexpr duration LongestWait = std::chrono::seconds(5); // Far above what any VM asks for.

using report_row = std::tuple<std::string, std::string, std::string, int, bool, std::int64_t,
                              std::map<std::string, std::int64_t>>;

basic_error<view_error> notReadable(const std::string &text)
{
    return { view_error::NotReadable, text, "view" };
}

/// Returns the number of the query's field, or nothing when it is missing or no number.
std::optional<std::uint64_t> numberOf(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const std::size_t end = std::min(query.find('&'), query.size());
        const std::string_view field = query.substr(0, end);
        query.remove_prefix(std::min(end + 1, query.size()));
        const std::size_t equals = field.find('=');
        if (equals == std::string_view::npos || field.substr(0, equals) != name)
            continue;
        std::uint64_t number = 0;
        const char *begin = field.data() + equals + 1;
        const char *last = field.data() + field.size();
        const auto parsed = std::from_chars(begin, last, number);
        if (parsed.ec == std::errc() && parsed.ptr == last)
            return number;
        return std::nullopt;
    }
    return std::nullopt;
}

template <typename T>
result<T, view_error> unpackAs(std::string_view bytes)
{
    try {
        const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size());
        return handle.get().as<T>();
    } catch (const std::exception &error) {
        return notReadable(error.what());
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

std::string encodeViewRequest(const view_request &question)
{
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(question.wait);
    return std::string(Path) + "?reader=" + std::to_string(question.reader)
           + "&operator=" + std::to_string(question.operatorNumber) + "&endpoints="
           + std::to_string(question.endpointNumber) + "&wait_ms=" + std::to_string(wait.count());
}

result<view_request, view_error> decodeViewRequest(std::string_view target)
{
    const std::size_t mark = target.find('?');
    if (target.substr(0, mark) != Path)
        return basic_error<view_error>{ view_error::OtherFormat, "unknown path",
                                        std::string(target.substr(0, mark)) };
    const std::string_view query = mark == std::string_view::npos ? std::string_view()
                                                                  : target.substr(mark + 1);
    const auto reader = numberOf(query, "reader");
    const auto operatorNumber = numberOf(query, "operator");
    const auto endpointNumber = numberOf(query, "endpoints");
    const auto wait = numberOf(query, "wait_ms");
    if (!reader || !operatorNumber || !endpointNumber || !wait)
        return notReadable("a number is missing");
    constexpr auto LongestMs = std::chrono::duration_cast<std::chrono::milliseconds>(LongestWait);
    const auto ms = std::min(*wait, static_cast<std::uint64_t>(LongestMs.count()));
    return view_request{ *reader, *operatorNumber, *endpointNumber, std::chrono::milliseconds(ms) };
}

std::string encodeViewResponse(const view_response &answer)
{
    return packed(answer);
}

result<view_response, view_error> decodeViewResponse(std::string_view body)
{
    return unpackAs<view_response>(body);
}

std::string encodeReport(const endpoint_report &report)
{
    return packed(report_row(report.pool, report.address, report.dataCentre, report.slots,
                             report.leaving, report.incarnation, report.weights));
}

result<endpoint_report, view_error> decodeReport(std::string_view id, std::string_view value)
{
    auto row = unpackAs<report_row>(value);
    if (!isOk(row))
        return errorOf(row);
    endpoint_report report;
    report.id = std::string(id);
    std::tie(report.pool, report.address, report.dataCentre, report.slots, report.leaving,
             report.incarnation, report.weights) = std::move(valueOf(row));
    return report;
}

} // namespace burdockhold
