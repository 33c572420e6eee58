#include "burdockhold/log_service.h"

#include <nlohmann/json.hpp>

namespace burdockhold {

namespace {

using json = nlohmann::json;

basic_error<log_error> badAnswer(const std::string &text)
{
    return { log_error::BadAnswer, text, "" };
}

bool isCount(const json &object, const char *name)
{
    return object.is_object() && object.contains(name) && object[name].is_number_unsigned();
}

bool isRecord(const json &item)
{
    return isCount(item, "offset") && item.contains("time_ms")
           && item["time_ms"].is_number_integer() && item.contains("data")
           && item["data"].is_string();
}

} // namespace

std::string formatAppend(const std::vector<std::string> &records)
{
    const json body = { { "records", records } };
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<append_answer, log_error> parseAppendAnswer(std::string_view text, std::size_t count)
{
    const json body = json::parse(text, nullptr, false);
    if (!isCount(body, "first_offset") || !isCount(body, "count"))
        return badAnswer("the log's answer to an append lacks first_offset or count");
    const append_answer answer{ body["first_offset"].get<log_offset>(),
                                body["count"].get<std::size_t>() };
    if (answer.count != count)
        return badAnswer("the log appended another number of records than it was sent");
    return answer;
}

result<log_page, log_error> parsePage(std::string_view text)
{
    const json body = json::parse(text, nullptr, false);
    if (!isCount(body, "earliest") || !isCount(body, "next") || !body.contains("now_ms")
        || !body["now_ms"].is_number_integer() || !body.contains("records")
        || !body["records"].is_array())
        return badAnswer("the log's answer to a read lacks a field");
    log_page page;
    page.earliest = body["earliest"].get<log_offset>();
    page.next = body["next"].get<log_offset>();
    page.now = body["now_ms"].get<log_time_ms>();
    log_offset previous = 0;
    for (const json &item : body["records"]) {
        if (!isRecord(item))
            return badAnswer("the log's answer to a read has a malformed record");
        page.records.push_back({ item["offset"].get<log_offset>(),
                                 item["time_ms"].get<log_time_ms>(),
                                 item["data"].get<std::string>() });
        if (page.records.back().offset <= previous || page.records.back().offset >= page.next)
            return badAnswer("the log's answer to a read has offsets out of order");
        previous = page.records.back().offset;
    }
    return page;
}

result<log_page, log_error> parseExpired(std::string_view text)
{
    const json body = json::parse(text, nullptr, false);
    if (!isCount(body, "earliest"))
        return badAnswer("the log's answer 410 lacks earliest");
    log_page page;
    page.expired = true;
    page.earliest = body["earliest"].get<log_offset>();
    return page;
}

} // namespace burdockhold
