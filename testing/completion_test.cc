#define BOOST_TEST_MODULE completion
#include <boost/test/unit_test.hpp>

#include "burdockhold/completion.h"

using namespace burdockhold;

namespace {

struct bad_body
{
    completion_kind kind;
    std::string body;
    completion_error code;
    std::string field;
};

} // namespace

// Guards against lost fields: what the router does not know belongs to the engine.
BOOST_AUTO_TEST_CASE(keepsUnknownFields)
{
    const auto parsed = parseCompletion(completion_kind::Text, R"({"model":"m","prompt":"p",
        "stream":true,"max_tokens":5,"logit_bias":{"7":1}})");
    BOOST_REQUIRE(isOk(parsed));
    const completion_request &request = valueOf(parsed);
    BOOST_TEST(request.model == "m");
    BOOST_TEST(request.prompt == "p");
    BOOST_TEST(request.stream);
    BOOST_TEST((request.maxTokens == 5));
    const auto sent = nlohmann::json::parse(upstreamBody(request, 9));
    BOOST_TEST(sent["logit_bias"]["7"] == 1);
    BOOST_TEST(sent["max_tokens"] == 9);
}

// Guards against prefixes that differ for conversations that begin alike, or agree for
// conversations that do not.
BOOST_AUTO_TEST_CASE(flattensMessagesByPrefix)
{
    const auto prompt = [](const std::string &messages) {
        const auto parsed = parseCompletion(completion_kind::Chat,
                                            R"({"model":"m","messages":[)" + messages + "]}");
        BOOST_REQUIRE(isOk(parsed));
        return valueOf(parsed).prompt;
    };
    const std::string system = R"({"role":"system","content":"be brief"})";
    const std::string first = prompt(system);
    const std::string longer = prompt(system + R"(,{"role":"user","content":[{"text":"hi"}]})");
    BOOST_TEST(longer.compare(0, first.size(), first) == 0);
    BOOST_TEST(longer.size() > first.size());
    BOOST_TEST(prompt(R"({"role":"user","content":"be brief"})") != first);
}

// Guards against crashes and unclear errors on malformed bodies; nesting must not exhaust the
// stack.
BOOST_AUTO_TEST_CASE(refusesBadBodies)
{
    const auto text = completion_kind::Text;
    const auto chat = completion_kind::Chat;
    const std::vector<bad_body> bodies{
        { text, "", completion_error::NotJson, "" },
        { text, "[]", completion_error::NotJson, "" },
        { text, "{\"model\":\"\xff\"}", completion_error::NotJson, "" },
        { text, std::string(1000000, '['), completion_error::TooDeep, "" },
        { text, R"({"prompt":"p"})", completion_error::MissingField, "model" },
        { text, R"({"model":1,"prompt":"p"})", completion_error::WrongType, "model" },
        { text, R"({"model":"m"})", completion_error::MissingField, "prompt" },
        { text, R"({"model":"m","prompt":["p"]})", completion_error::WrongType, "prompt" },
        { text, R"({"model":"m","prompt":"p","max_tokens":0})", completion_error::OutOfBounds,
          "max_tokens" },
        { text, R"({"model":"m","prompt":"p","max_tokens":18446744073709551615})",
          completion_error::OutOfBounds, "max_tokens" },
        { text, R"({"model":"m","prompt":"p","max_tokens":1.5})", completion_error::WrongType,
          "max_tokens" },
        { text, R"({"model":"m","prompt":"p","n":2})", completion_error::OutOfBounds, "n" },
        { text, R"({"model":"m","prompt":"p","stream":"yes"})", completion_error::WrongType,
          "stream" },
        { chat, R"({"model":"m","messages":[]})", completion_error::WrongType, "messages" },
        { chat, R"({"model":"m","messages":[{"content":"x"}]})", completion_error::WrongType,
          "messages.role" },
        { chat, R"({"model":"m","messages":[{"role":"user","content":3}]})",
          completion_error::WrongType, "messages.content" },
    };
    for (const bad_body &bad : bodies) {
        const auto parsed = parseCompletion(bad.kind, bad.body);
        BOOST_TEST_CONTEXT(bad.body.substr(0, 80))
        {
            BOOST_REQUIRE(!isOk(parsed));
            BOOST_TEST((errorOf(parsed).code == bad.code));
            BOOST_TEST(errorOf(parsed).context == bad.field);
        }
    }
}

// Guards against brackets inside strings that count as nesting.
BOOST_AUTO_TEST_CASE(ignoresBracketsInStrings)
{
    const std::string prompt = std::string(200, '[') + "\\\"" + std::string(200, '{');
    BOOST_TEST(isOk(
            parseCompletion(completion_kind::Text, R"({"model":"m","prompt":")" + prompt + "\"}")));
}

// Guards against error bodies that clients cannot read, also when a message holds invalid UTF-8.
BOOST_AUTO_TEST_CASE(formatsErrors)
{
    const auto body = nlohmann::json::parse(
            formatError({ 401, error_type::Authentication, "invalid_key", "bad \xff key", "" }));
    BOOST_TEST(body["error"]["type"] == "authentication_error");
    BOOST_TEST(body["error"]["code"] == "invalid_key");
    BOOST_TEST(body["error"]["param"].is_null());
}

// Guards against a first attempt that claims to resume.
BOOST_AUTO_TEST_CASE(resumeHeaderOnlyWhenResuming)
{
    BOOST_TEST(upstreamHeaders({ "r", "s", 0, 0 }).size() == 4u);
    const auto resumed = upstreamHeaders({ "r", "s", 0, 12 });
    BOOST_TEST(resumed.back().name == "X-Resume-From");
    BOOST_TEST(resumed.back().value == "12");
}
