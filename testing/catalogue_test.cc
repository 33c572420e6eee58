#define BOOST_TEST_MODULE catalogue
#include <boost/test/unit_test.hpp>

#include "burdockhold/catalogue.h"

using namespace burdockhold;

namespace {

const std::string keyDigest(64, 'a');

struct good_entry
{
    entry_kind kind;
    std::string name;
    std::string text;
};

std::vector<good_entry> goodEntries()
{
    return {
        { entry_kind::Endpoint, "e1",
          R"({"owner":"o","url":"http://127.0.0.1:80","pool":"p","data_centre":"d"})" },
        { entry_kind::ServiceClass, "gold", R"({"owner":"o","priority":9})" },
        { entry_kind::Account, "a",
          R"({"owner":"o","class":"gold","tokens_per_second":5.5,"burst_tokens":5.5})" },
        { entry_kind::Route, "r", R"({"owner":"o","method":"GET","path":"/x/*","pool":"p"})" },
        { entry_kind::Model, "m", R"({"owner":"o","pool":"p","version":"v1"})" },
        { entry_kind::Key, keyDigest, R"({"owner":"o","account":"a"})" },
    };
}

catalogue goodCatalogue()
{
    catalogue state;
    for (const good_entry &entry : goodEntries()) {
        auto parsed = parseEntry(entry.kind, entry.name, entry.text);
        BOOST_REQUIRE(isOk(parsed));
        putEntry(state, entry.name, 1, valueOf(parsed));
    }
    return state;
}

void expectError(entry_kind kind, const std::string &text, catalogue_error code,
                 const std::string &context)
{
    const auto parsed = parseEntry(kind, kind == entry_kind::Key ? keyDigest : "x", text);
    BOOST_TEST_CONTEXT(text)
    {
        BOOST_REQUIRE(!isOk(parsed));
        BOOST_TEST((errorOf(parsed).code == code));
        BOOST_TEST(errorOf(parsed).context == context);
    }
}

} // namespace

// Guards against a field that is written under another name than it is read.
BOOST_AUTO_TEST_CASE(formatIsReadBack)
{
    for (const good_entry &entry : goodEntries()) {
        const auto first = parseEntry(entry.kind, entry.name, entry.text);
        BOOST_REQUIRE(isOk(first));
        const std::string text = formatEntry(valueOf(first));
        const auto second = parseEntry(entry.kind, entry.name, text);
        BOOST_REQUIRE(isOk(second));
        BOOST_TEST(formatEntry(valueOf(second)) == text);
        BOOST_TEST((kindOf(valueOf(second)) == entry.kind));
    }
}

// Guards against a mistyped field or a bad value that takes effect silently.
BOOST_AUTO_TEST_CASE(refusesBadFieldsAndNamesThem)
{
    using error = catalogue_error;
    const auto account = entry_kind::Account;
    expectError(account, "[]", error::Malformed, "account x");
    expectError(account, "{", error::Malformed, "account x");
    expectError(account, R"({"owner":"o","class":"g","burst_tokens":1})", error::MissingField,
                "account x: tokens_per_second");
    expectError(account, R"({"owner":1})", error::WrongType, "account x: owner");
    expectError(account, R"({"owner":"o","class":"g","tokens_per_second":0,"burst_tokens":1})",
                error::OutOfBounds, "account x: tokens_per_second");
    expectError(account, R"({"owner":"o","class":"g","tokens_per_second":2,"burst_tokens":1})",
                error::OutOfBounds, "account x: burst_tokens");
    expectError(account,
                R"({"owner":"o","class":"g","tokens_per_second":1,"burst_tokens":1,"rate":1})",
                error::UnknownField, "account x: rate");
    expectError(entry_kind::ServiceClass, R"({"owner":"o","priority":10})", error::OutOfBounds,
                "class x: priority");
    expectError(entry_kind::ServiceClass, R"({"owner":"o","priority":1.5})", error::WrongType,
                "class x: priority");
    expectError(entry_kind::Route, R"({"owner":"o","method":"get","path":"/","pool":"p"})",
                error::OutOfBounds, "route x: method");
    expectError(entry_kind::Route, R"({"owner":"o","method":"GET","path":"/*/a","pool":"p"})",
                error::OutOfBounds, "route x: path");
    expectError(entry_kind::Key, R"({"owner":"o"})", error::OutOfBounds,
                "key " + keyDigest + ": account");
    BOOST_TEST(!isOk(parseEntry(entry_kind::Key, "short", R"({"owner":"o","account":"a"})")));
}

// Guards against an endpoint address that no connection can be made to.
BOOST_AUTO_TEST_CASE(refusesUrlsThatAreNotAddressAndPort)
{
    for (const char *url : { "http://host:80", "https://127.0.0.1:80", "http://127.0.0.1",
                             "http://127.0.0.1:0", "http://127.0.0.1:65536", "http://1.2.3:80",
                             "http://256.0.0.1:80", "http://127.0.0.1:80/x", "127.0.0.1:80" }) {
        const std::string text = std::string(R"({"owner":"o","pool":"p","data_centre":"d","url":")")
                                 + url + "\"}";
        expectError(entry_kind::Endpoint, text, catalogue_error::OutOfBounds, "endpoint x: url");
    }
}

// Guards against a removal that leaves an entry referring to nothing.
BOOST_AUTO_TEST_CASE(checksReferences)
{
    BOOST_TEST(isOk(checkReferences(goodCatalogue())));
    for (const entry_id &id :
         { entry_id{ entry_kind::Endpoint, "e1" }, entry_id{ entry_kind::ServiceClass, "gold" },
           entry_id{ entry_kind::Account, "a" } }) {
        catalogue state = goodCatalogue();
        eraseEntry(state, id);
        const auto checked = checkReferences(state);
        BOOST_REQUIRE(!isOk(checked));
        BOOST_TEST((errorOf(checked).code == catalogue_error::UnknownReference));
    }
}
