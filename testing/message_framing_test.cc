#define BOOST_TEST_MODULE message_framing
#include "burdockhold/message_framing.h"

#include <boost/test/unit_test.hpp>

#include <random>
#include <regex>
#include <string>
#include <vector>

using namespace burdockhold;

namespace {

const std::vector<std::string> codingParts{ "chunked", "Chunked", "gzip", "identity", "xchunked",
                                            "",        " ",       "\t",   ",",        ", " };
const std::vector<std::string> lengthParts{ "0", "4", "12", "+", "-", "0x", ",", " ", "", "a" };

std::string drawn(const std::vector<std::string> &parts, std::mt19937 &random)
{
    std::string text;
    for (std::size_t count = random() % 5; count > 0; --count)
        text += parts[random() % parts.size()];
    return text;
}

std::vector<std::string> drawnValues(const std::vector<std::string> &parts, std::mt19937 &random)
{
    std::vector<std::string> values;
    for (std::size_t count = random() % 3; count > 0; --count)
        values.push_back(drawn(parts, random));
    return values;
}

std::string joined(const std::vector<std::string> &values)
{
    std::string text;
    for (const std::string &value : values)
        text += (text.empty() && &value == &values.front() ? "" : ",") + value;
    return text;
}

/// The rules as regular expressions over the joined lists.
int reference(bool allowsCodings, const std::vector<std::string> &codings,
              const std::vector<std::string> &lengths)
{
    static const std::regex oneChunked("[ \t]*chunked[ \t]*", std::regex::icase);
    static const std::regex lastChunked(".*,[ \t]*chunked[ \t]*", std::regex::icase);
    static const std::regex earlierChunked("(.*,)?[ \t]*chunked[ \t]*,.*", std::regex::icase);
    static const std::regex length("[ \t]*[0-9]+[ \t]*");
    if (lengths.size() > 1 || (lengths.size() == 1 && !std::regex_match(lengths[0], length)))
        return 400;
    if (codings.empty())
        return 0;
    if (!allowsCodings || !lengths.empty())
        return 400;
    const std::string list = joined(codings);
    if (std::regex_match(list, oneChunked))
        return 0;
    return std::regex_match(list, lastChunked) && !std::regex_match(list, earlierChunked) ? 501
                                                                                          : 400;
}

} // namespace

// Guards against a message whose body another implementation reads with another length.
BOOST_AUTO_TEST_CASE(onlyOneCertainLengthIsAccepted)
{
    std::mt19937 random(38);
    int accepted = 0;
    for (int round = 0; round < 20000; ++round) {
        const bool allowsCodings = random() % 4 != 0;
        const auto codings = drawnValues(codingParts, random);
        const auto lengths = drawnValues(lengthParts, random);
        const framing_fields fields{ allowsCodings,
                                     { codings.begin(), codings.end() },
                                     { lengths.begin(), lengths.end() } };
        const int status = statusForFraming(fields);
        accepted += status == 0 ? 1 : 0;
        BOOST_TEST(status == reference(allowsCodings, codings, lengths),
                   "codings " << joined(codings) << " lengths " << joined(lengths));
    }
    BOOST_TEST(accepted > 1000);
}

// Guards against a response in an unknown coding that is delivered as text.
BOOST_AUTO_TEST_CASE(codingsAreToldApart)
{
    BOOST_CHECK(transferCodingOf({}) == transfer_coding::None);
    BOOST_CHECK(transferCodingOf({ " CHUNKED\t" }) == transfer_coding::Chunked);
    BOOST_CHECK(transferCodingOf({ "gzip, chunked" }) == transfer_coding::Unsupported);
    BOOST_CHECK(transferCodingOf({ "gzip", "chunked" }) == transfer_coding::Unsupported);
    BOOST_CHECK(transferCodingOf({ "chunked, gzip" }) == transfer_coding::Ambiguous);
    BOOST_CHECK(transferCodingOf({ "chunked", "chunked" }) == transfer_coding::Ambiguous);
    BOOST_CHECK(transferCodingOf({ "" }) == transfer_coding::Ambiguous);
}
