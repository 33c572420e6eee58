#include "burdockhold/message_framing.h"

#include "burdockhold/text_trim.h"

#include <algorithm>
#include <cctype>

namespace burdockhold {

namespace {

constexpr int StatusBadRequest = 400;
constexpr int StatusNotImplemented = 501;

bool isChunked(std::string_view coding)
{
    constexpr std::string_view Chunked = "chunked";
    return std::equal(coding.begin(), coding.end(), Chunked.begin(), Chunked.end(),
                      [](unsigned char a, char b) { return std::tolower(a) == b; });
}

std::vector<std::string_view> listItems(const std::vector<std::string_view> &values)
{
    std::vector<std::string_view> items;
    for (std::string_view list : values) {
        for (std::size_t comma = list.find(','); comma != std::string_view::npos;
             comma = list.find(',')) {
            items.push_back(trimmed(list.substr(0, comma)));
            list.remove_prefix(comma + 1);
        }
        items.push_back(trimmed(list));
    }
    return items;
}

bool isDecimal(std::string_view text)
{
    return !text.empty()
           && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

} // namespace

transfer_coding transferCodingOf(const std::vector<std::string_view> &values)
{
    if (values.empty())
        return transfer_coding::None;
    const std::vector<std::string_view> codings = listItems(values);
    const auto chunked = std::count_if(codings.begin(), codings.end(), isChunked);
    if (!isChunked(codings.back()) || chunked > 1)
        return transfer_coding::Ambiguous;
    return codings.size() == 1 ? transfer_coding::Chunked : transfer_coding::Unsupported;
}

int statusForFraming(const framing_fields &fields)
{
    const transfer_coding coding = transferCodingOf(fields.codings);
    const bool hasCoding = coding != transfer_coding::None;
    if (coding == transfer_coding::Ambiguous || (hasCoding && !fields.allowsCodings))
        return StatusBadRequest;
    if (fields.lengths.size() > 1 || (hasCoding && !fields.lengths.empty()))
        return StatusBadRequest;
    if (!fields.lengths.empty() && !isDecimal(trimmed(fields.lengths.front())))
        return StatusBadRequest;
    return coding == transfer_coding::Unsupported ? StatusNotImplemented : 0;
}

} // namespace burdockhold
