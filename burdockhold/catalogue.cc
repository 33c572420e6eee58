#include "burdockhold/catalogue.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <set>

namespace burdockhold {

namespace {

using json = nlohmann::json;
using parse_result = result<entry_value, catalogue_error>;

constexpr std::size_t MaxNameBytes = 256;
constexpr std::size_t DigestDigits = 64;
constexpr std::int64_t MaxCount = std::int64_t(1) << 40;
constexpr double MaxRate = 1e12;

enum class presence { Required, Optional };

struct real_bounds
{
    double above = 0.0; ///< Exclusive.
    double most = MaxRate;
};

struct integer_bounds
{
    std::int64_t least = 1;
    std::int64_t most = MaxCount;
};

/// Fills the fields of an entry from a JSON object. Keeps the first error.
class entry_reader
{
public:
    entry_reader(const json &object, std::string context)
        : m_object(object)
        , m_context(std::move(context))
    {
    }

    void field(const char *name, std::string &value, presence needed = presence::Required)
    {
        const json *item = find(name, needed);
        if (item == nullptr)
            return;
        if (!item->is_string())
            return fail(catalogue_error::WrongType, name, "must be a string");
        value = item->get<std::string>();
        if (needed == presence::Required && value.empty())
            fail(catalogue_error::OutOfBounds, name, "must not be empty");
    }

    void field(const char *name, bool &value)
    {
        const json *item = find(name, presence::Optional);
        if (item == nullptr)
            return;
        if (!item->is_boolean())
            return fail(catalogue_error::WrongType, name, "must be true or false");
        value = item->get<bool>();
    }

    void field(const char *name, double &value, presence needed, real_bounds bounds = {})
    {
        const json *item = find(name, needed);
        if (item == nullptr)
            return;
        if (!item->is_number())
            return fail(catalogue_error::WrongType, name, "must be a number");
        value = item->get<double>();
        if (!(value > bounds.above) || value > bounds.most)
            fail(catalogue_error::OutOfBounds, name,
                 "must be above " + json(bounds.above).dump() + " and at most "
                         + json(bounds.most).dump());
    }

    void field(const char *name, std::int64_t &value, presence needed, integer_bounds bounds = {})
    {
        const json *item = find(name, needed);
        if (item == nullptr)
            return;
        if (!item->is_number_integer())
            return fail(catalogue_error::WrongType, name, "must be a whole number");
        const bool tooLarge = item->is_number_unsigned()
                              && item->get<std::uint64_t>()
                                         > std::uint64_t(std::numeric_limits<std::int64_t>::max());
        value = item->get<std::int64_t>();
        if (tooLarge || value < bounds.least || value > bounds.most)
            fail(catalogue_error::OutOfBounds, name,
                 "must be from " + std::to_string(bounds.least) + " to "
                         + std::to_string(bounds.most));
    }

    template <typename Enum>
    void choice(const char *name, Enum &value)
    {
        const json *item = find(name, presence::Optional);
        if (item == nullptr)
            return;
        if (!item->is_string())
            return fail(catalogue_error::WrongType, name, "must be a string");
        const auto parsed = parseName<Enum>(item->get_ref<const std::string &>());
        if (!parsed)
            return fail(catalogue_error::OutOfBounds, name, "has an unknown value");
        value = *parsed;
    }

    /// Records an error unless an earlier field has one or the condition holds.
    void check(bool holds, const char *name, const std::string &text)
    {
        if (!holds)
            fail(catalogue_error::OutOfBounds, name, text);
    }

    std::optional<basic_error<catalogue_error>> finish()
    {
        for (const auto &item : m_object.items()) {
            if (m_known.count(item.key()) == 0)
                fail(catalogue_error::UnknownField, item.key().c_str(), "is not a known field");
        }
        return m_error;
    }

private:
    const json *find(const char *name, presence needed)
    {
        m_known.insert(name);
        const auto found = m_object.find(name);
        if (found != m_object.end())
            return &*found;
        if (needed == presence::Required)
            fail(catalogue_error::MissingField, name, "is missing");
        return nullptr;
    }

    void fail(catalogue_error code, const std::string &name, const std::string &text)
    {
        if (!m_error)
            m_error = { code, "field " + name + " " + text, m_context + ": " + name };
    }

    const json &m_object;
    std::string m_context;
    std::set<std::string> m_known;
    std::optional<basic_error<catalogue_error>> m_error;
};

/// Writes the fields of an entry to a JSON object; the counterpart of entry_reader.
class entry_writer
{
public:
    template <typename T, typename... Rest>
    void field(const char *name, const T &value, const Rest &...)
    {
        m_object[name] = value;
    }

    template <typename Enum>
    void choice(const char *name, Enum value)
    {
        m_object[name] = std::string(nameOf(value));
    }

    void check(bool, const char *, const std::string &) { }

    std::string text() const
    {
        return m_object.dump(-1, ' ', false, json::error_handler_t::replace);
    }

private:
    json m_object = json::object();
};

bool isDigits(std::string_view text, int most)
{
    if (text.empty() || text.size() > 5)
        return false;
    if (!std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; }))
        return false;
    return std::stoi(std::string(text)) <= most;
}

bool isIpv4(std::string_view text)
{
    constexpr int MaxOctet = 255;
    int octets = 0;
    while (true) {
        const auto dot = text.find('.');
        if (!isDigits(text.substr(0, dot), MaxOctet))
            return false;
        ++octets;
        if (dot == std::string_view::npos)
            return octets == 4;
        text.remove_prefix(dot + 1);
    }
}

bool isIpv6(std::string_view text)
{
    if (text.size() < 4 || text.front() != '[' || text.back() != ']')
        return false;
    return text.find(':') != std::string_view::npos
           && text.substr(1, text.size() - 2).find_first_not_of("0123456789abcdefABCDEF:.")
                      == std::string_view::npos;
}

bool isEndpointUrl(std::string_view url)
{
    constexpr std::string_view Scheme = "http://";
    constexpr int MaxPort = 65535;
    if (url.substr(0, Scheme.size()) != Scheme)
        return false;
    url.remove_prefix(Scheme.size());
    const auto colon = url.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    const auto host = url.substr(0, colon);
    const auto port = url.substr(colon + 1);
    return (isIpv4(host) || isIpv6(host)) && isDigits(port, MaxPort) && port.front() != '0';
}

template <typename Visitor>
void visitFields(Visitor &visitor, endpoint_entry &e)
{
    constexpr double MaxWeight = 1000.0;
    visitor.field("owner", e.owner);
    visitor.field("url", e.url);
    visitor.check(isEndpointUrl(e.url), "url", "must be http://IP:PORT without a path");
    visitor.field("pool", e.pool);
    visitor.field("data_centre", e.dataCentre);
    visitor.choice("role", e.role);
    visitor.choice("state", e.state);
    visitor.field("prefill_tokens_per_second", e.prefillTokensPerSecond, presence::Optional);
    visitor.field("weight", e.weight, presence::Optional, real_bounds{ 0.0, MaxWeight });
    visitor.field("max_concurrent", e.maxConcurrent, presence::Optional);
    visitor.field("checks_fencing", e.checksFencing);
}

template <typename Visitor>
void visitFields(Visitor &visitor, account_entry &e)
{
    constexpr double MaxWeight = 1000.0;
    visitor.field("owner", e.owner);
    visitor.field("class", e.serviceClass);
    visitor.field("tokens_per_second", e.tokensPerSecond, presence::Required);
    visitor.field("burst_tokens", e.burstTokens, presence::Required);
    visitor.check(e.burstTokens >= e.tokensPerSecond, "burst_tokens",
                  "must be at least one second of tokens_per_second");
    visitor.field("weight", e.weight, presence::Optional, real_bounds{ 0.0, MaxWeight });
    visitor.field("max_open_requests", e.maxOpenRequests, presence::Optional);
}

bool isUpperCase(std::string_view text)
{
    return !text.empty()
           && std::all_of(text.begin(), text.end(), [](char c) { return c >= 'A' && c <= 'Z'; });
}

bool isRoutePath(std::string_view path)
{
    if (path.empty() || path.front() != '/')
        return false;
    const auto star = path.find('*');
    return star == std::string_view::npos
           || (star + 1 == path.size() && path.substr(star - 1) == "/*");
}

template <typename Visitor>
void visitFields(Visitor &visitor, route_entry &e)
{
    visitor.field("owner", e.owner);
    visitor.field("method", e.method);
    visitor.check(isUpperCase(e.method), "method", "must be in upper case");
    visitor.field("path", e.path);
    visitor.check(isRoutePath(e.path), "path",
                  "must begin with / and have * only as its last segment");
    visitor.field("pool", e.pool);
    visitor.field("open", e.open);
    visitor.field("repeatable", e.repeatable);
    visitor.field("body_limit_bytes", e.bodyLimitBytes, presence::Optional, integer_bounds{ 0 });
}

template <typename Visitor>
void visitFields(Visitor &visitor, class_entry &e)
{
    constexpr double MaxQueueSeconds = 3600.0;
    visitor.field("owner", e.owner);
    visitor.field("priority", e.priority, presence::Required, integer_bounds{ 0, 9 });
    visitor.field("max_queue_seconds", e.maxQueueSeconds, presence::Optional,
                  real_bounds{ 0.0, MaxQueueSeconds });
}

template <typename Visitor>
void visitFields(Visitor &visitor, model_entry &e)
{
    visitor.field("owner", e.owner);
    visitor.field("pool", e.pool);
    visitor.field("adapter", e.adapter, presence::Optional);
    visitor.field("version", e.version);
    visitor.field("max_output_tokens", e.maxOutputTokens, presence::Optional);
    visitor.field("max_prompt_tokens", e.maxPromptTokens, presence::Optional);
}

/// A withdrawn key may lack an account: a withdrawal is kept even for a digest never issued.
template <typename Visitor>
void visitFields(Visitor &visitor, key_entry &e)
{
    visitor.field("owner", e.owner, presence::Optional);
    visitor.field("withdrawn", e.withdrawn);
    visitor.field("account", e.account, presence::Optional);
    visitor.check(e.withdrawn || !e.account.empty(), "account", "must not be empty");
    visitor.check(e.withdrawn || !e.owner.empty(), "owner", "must not be empty");
    visitor.field("label", e.label, presence::Optional);
}

std::string entryContext(entry_kind kind, std::string_view name)
{
    return std::string(nameOf(kind)) + " " + std::string(name);
}

std::optional<std::string> nameFault(entry_kind kind, std::string_view name)
{
    if (name.empty() || name.size() > MaxNameBytes)
        return "the name must have 1 to 256 bytes";
    const auto isPrintable = [](unsigned char c) { return c > ' ' && c != 0x7f; };
    if (!std::all_of(name.begin(), name.end(), isPrintable))
        return "the name must not contain spaces or control characters";
    if (kind == entry_kind::Key && !isKeyDigest(name))
        return "the name must be a SHA-256 digest in lower-case hexadecimal";
    return std::nullopt;
}

template <typename Entry>
parse_result parseAs(const json &object, const std::string &context)
{
    Entry entry;
    entry_reader reader(object, context);
    visitFields(reader, entry);
    if (auto error = reader.finish())
        return *error;
    return entry_value(std::move(entry));
}

template <typename State, typename Function>
auto withMap(State &state, entry_kind kind, Function function)
{
    switch (kind) {
    case entry_kind::Endpoint:
        return function(state.endpoints);
    case entry_kind::Account:
        return function(state.accounts);
    case entry_kind::Route:
        return function(state.routes);
    case entry_kind::ServiceClass:
        return function(state.classes);
    case entry_kind::Model:
        return function(state.models);
    case entry_kind::Key:
        break;
    }
    return function(state.keys);
}

result<success, catalogue_error> expectReference(bool exists, const std::string &context,
                                                 const char *field, const std::string &target)
{
    if (exists)
        return success();
    return basic_error<catalogue_error>{ catalogue_error::UnknownReference,
                                         std::string("field ") + field
                                                 + " refers to an unknown entry: " + target,
                                         context + ": " + field };
}

using pool_names = std::set<std::string, std::less<>>;

pool_names poolsOf(const catalogue &state)
{
    pool_names pools;
    for (const auto &[name, endpoint] : state.endpoints)
        pools.insert(endpoint.value.pool);
    return pools;
}

result<success, catalogue_error> checkEntry(const catalogue &state, const pool_names &pools,
                                            const std::string &name, const entry_value &entry)
{
    const std::string context = entryContext(kindOf(entry), name);
    const auto pool = [&](const std::string &target) {
        return expectReference(pools.count(target) != 0, context, "pool", target);
    };
    return std::visit(
            overloaded{
                    [&](const account_entry &e) {
                        return expectReference(state.classes.count(e.serviceClass) != 0, context,
                                               "class", e.serviceClass);
                    },
                    [&](const route_entry &e) { return pool(e.pool); },
                    [&](const model_entry &e) { return pool(e.pool); },
                    [&](const key_entry &e) {
                        return expectReference(e.withdrawn || state.accounts.count(e.account) != 0,
                                               context, "account", e.account);
                    },
                    [](const auto &) -> result<success, catalogue_error> { return success(); } },
            entry);
}

} // namespace

result<entry_value, catalogue_error> parseEntry(entry_kind kind, std::string_view name,
                                                std::string_view text)
{
    const std::string context = entryContext(kind, name);
    if (const auto fault = nameFault(kind, name))
        return basic_error<catalogue_error>{ catalogue_error::OutOfBounds, *fault, context };
    const json object = json::parse(text, nullptr, false);
    if (!object.is_object())
        return basic_error<catalogue_error>{ catalogue_error::Malformed,
                                             "the value is not a JSON object", context };
    switch (kind) {
    case entry_kind::Endpoint:
        return parseAs<endpoint_entry>(object, context);
    case entry_kind::Account:
        return parseAs<account_entry>(object, context);
    case entry_kind::Route:
        return parseAs<route_entry>(object, context);
    case entry_kind::ServiceClass:
        return parseAs<class_entry>(object, context);
    case entry_kind::Model:
        return parseAs<model_entry>(object, context);
    case entry_kind::Key:
        break;
    }
    return parseAs<key_entry>(object, context);
}

std::string formatEntry(const entry_value &entry)
{
    entry_writer writer;
    entry_value copy = entry;
    std::visit([&](auto &value) { visitFields(writer, value); }, copy);
    return writer.text();
}

bool isKeyDigest(std::string_view text)
{
    return text.size() == DigestDigits
           && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

entry_kind kindOf(const entry_value &entry)
{
    return static_cast<entry_kind>(entry.index());
}

std::optional<versioned<entry_value>> findEntry(const catalogue &state, const entry_id &id)
{
    return withMap(state, id.kind,
                   [&](const auto &entries) -> std::optional<versioned<entry_value>> {
                       const auto found = entries.find(id.name);
                       if (found == entries.end())
                           return std::nullopt;
                       return versioned<entry_value>{ found->second.version, found->second.value };
                   });
}

void putEntry(catalogue &state, const std::string &name, log_offset version, entry_value value)
{
    std::visit(
            [&](auto &entry) {
                using entry_type = std::decay_t<decltype(entry)>;
                withMap(state, kindOf(value), [&](auto &entries) {
                    using map_type = std::decay_t<decltype(entries)>;
                    if constexpr (std::is_same_v<map_type, entry_map<entry_type>>)
                        entries[name] = { version, std::move(entry) };
                });
            },
            value);
}

void eraseEntry(catalogue &state, const entry_id &id)
{
    withMap(state, id.kind, [&](auto &entries) { entries.erase(id.name); });
}

std::vector<entry_id> entryIds(const catalogue &state)
{
    std::vector<entry_id> ids;
    for (const auto &row : enum_names<entry_kind>::Table) {
        withMap(state, row.value, [&](const auto &entries) {
            for (const auto &item : entries)
                ids.push_back({ row.value, item.first });
        });
    }
    return ids;
}

result<success, catalogue_error> checkReferences(const catalogue &state, const std::string &name,
                                                 const entry_value &entry)
{
    const bool needsPools = std::holds_alternative<route_entry>(entry)
                            || std::holds_alternative<model_entry>(entry);
    return checkEntry(state, needsPools ? poolsOf(state) : pool_names(), name, entry);
}

result<success, catalogue_error> checkReferences(const catalogue &state)
{
    const pool_names pools = poolsOf(state);
    for (const entry_id &id : entryIds(state)) {
        const auto entry = findEntry(state, id);
        auto checked = checkEntry(state, pools, id.name, entry->value);
        if (!isOk(checked))
            return checked;
    }
    return success();
}

} // namespace burdockhold
