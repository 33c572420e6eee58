#ifndef BURDOCKHOLD_CATALOGUE_H
#define BURDOCKHOLD_CATALOGUE_H

// The catalogue: what operators configure while traffic runs. Every entry has a name, an owner and
// a version, which is the log offset of the record that last changed it. A catalogue is a plain
// value; it is built by replaying the config stream (see replay.h) and published as an immutable
// snapshot. Parsing refuses unknown fields, wrong types and values out of bounds, and names the
// entry and the field.

#include "burdockhold/clock.h"
#include "burdockhold/enum_names.h"
#include "burdockhold/result.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

namespace burdockhold {

enum class entry_kind {
    Endpoint,
    Account,
    Route,
    ServiceClass,
    Model,
    Key,
};

template <>
struct enum_names<entry_kind>
{
    static constexpr std::array<enum_name<entry_kind>, 6> Table{ {
            { entry_kind::Endpoint, "endpoint" },
            { entry_kind::Account, "account" },
            { entry_kind::Route, "route" },
            { entry_kind::ServiceClass, "class" },
            { entry_kind::Model, "model" },
            { entry_kind::Key, "key" },
    } };
};

/// A model engine caches prefixes and streams tokens; a service answers plain HTTP calls.
enum class endpoint_role { Engine, Service };

template <>
struct enum_names<endpoint_role>
{
    static constexpr std::array<enum_name<endpoint_role>, 2> Table{ {
            { endpoint_role::Engine, "engine" },
            { endpoint_role::Service, "service" },
    } };
};

/// A leaving endpoint finishes what it runs and gets no new work.
enum class endpoint_state { Active, Leaving };

template <>
struct enum_names<endpoint_state>
{
    static constexpr std::array<enum_name<endpoint_state>, 2> Table{ {
            { endpoint_state::Active, "active" },
            { endpoint_state::Leaving, "leaving" },
    } };
};

/// A back end that requests are sent to.
struct endpoint_entry
{
    std::string owner;
    std::string url;  ///< "http://IP:PORT", no path.
    std::string pool; ///< Name shared by the endpoints that serve the same models or routes.
    std::string dataCentre;
    endpoint_role role = endpoint_role::Engine;
    endpoint_state state = endpoint_state::Active;
    double prefillTokensPerSecond = 20000.0; ///< Rate of recomputing prompt tokens.
    double weight = 1.0;                     ///< Relative capacity within the pool.
    std::int64_t maxConcurrent = 64;         ///< Requests in flight that one VM may have here.
    bool checksFencing = false; ///< Whether it refuses orders with an old fencing number.
};

/// A tenant with limits that hold over all VMs together.
struct account_entry
{
    std::string owner;
    std::string serviceClass;
    double tokensPerSecond = 0.0; ///< Sustained rate, prompt and output tokens.
    double burstTokens = 0.0; ///< Tokens that may be admitted at once; at least one second of rate.
    double weight = 1.0;      ///< Share under overload, relative to accounts of the same class.
    std::int64_t maxOpenRequests = 1000; ///< Requests in flight on one VM.
};

/// Requests by method and path.
struct route_entry
{
    std::string owner;
    std::string method; ///< Upper case.
    std::string path;   ///< Exact path, or a prefix when it ends in "/*".
    std::string pool;
    bool open = false;       ///< True when no key is needed.
    bool repeatable = false; ///< True when a call may be retried (idempotent).
    std::int64_t bodyLimitBytes = 1 << 20;
};

/// A class of service. Lower priority numbers go first.
struct class_entry
{
    std::string owner;
    std::int64_t priority = 0;     ///< 0 (highest) to 9.
    double maxQueueSeconds = 10.0; ///< Longest wait for an endpoint before a refusal.
};

/// A model that completion calls name.
struct model_entry
{
    std::string owner;
    std::string pool;
    std::string adapter; ///< Empty when none.
    std::string version; ///< Weights version that serves traffic.
    std::int64_t maxOutputTokens =
            4096; ///< Used when a request names no max_tokens, and its bound.
    std::int64_t maxPromptTokens = 1000000;
};

/// A caller's key. The entry's name is the SHA-256 digest of the key; the key itself is not kept.
struct key_entry
{
    std::string owner;
    std::string account;
    std::string label;      ///< For people, to tell keys apart.
    bool withdrawn = false; ///< Once true, never false again.
};

using entry_value = std::variant<endpoint_entry, account_entry, route_entry, class_entry,
                                 model_entry, key_entry>;

/// An entry and the log offset of the record that last changed it.
template <typename Entry>
struct versioned
{
    log_offset version = 0;
    Entry value;
};

template <typename Entry>
using entry_map = std::map<std::string, versioned<Entry>, std::less<>>;

/// All entries after the config stream has been replayed up to and including `offset`.
struct catalogue
{
    log_offset offset = 0;
    entry_map<endpoint_entry> endpoints;
    entry_map<account_entry> accounts;
    entry_map<route_entry> routes;
    entry_map<class_entry> classes;
    entry_map<model_entry> models;
    entry_map<key_entry> keys; ///< By digest.
};

enum class catalogue_error {
    Malformed,
    UnknownField,
    WrongType,
    OutOfBounds,
    MissingField,
    UnknownReference,
};

/// Parses the JSON text of one entry. Errors name the entry and the field in their context.
result<entry_value, catalogue_error> parseEntry(entry_kind kind, std::string_view name,
                                                std::string_view json);

/// Returns the JSON text of an entry, which parseEntry() reads back to an equal value.
std::string formatEntry(const entry_value &entry);

/// Returns the kind that an entry's alternative stands for.
entry_kind kindOf(const entry_value &entry);

/// Returns whether text has the form of a key entry's name: 64 lower-case hexadecimal digits.
bool isKeyDigest(std::string_view text);

/// Names one entry of a catalogue.
struct entry_id
{
    entry_kind kind = entry_kind::Endpoint;
    std::string name;
};

inline bool operator<(const entry_id &left, const entry_id &right)
{
    return std::tie(left.kind, left.name) < std::tie(right.kind, right.name);
}

/// Returns an entry with its version, or nothing when the catalogue has none of that name.
std::optional<versioned<entry_value>> findEntry(const catalogue &state, const entry_id &id);

/// Sets or replaces an entry. Checks nothing.
void putEntry(catalogue &state, const std::string &name, log_offset version, entry_value value);

/// Removes an entry if it is there.
void eraseEntry(catalogue &state, const entry_id &id);

/// Returns the names of all entries, by kind, then by name.
std::vector<entry_id> entryIds(const catalogue &state);

/// Checks that what one entry refers to exists: an account's class, a model's or route's pool (at
/// least one endpoint), a key's account. A withdrawn key need not refer to anything.
result<success, catalogue_error> checkReferences(const catalogue &state, const std::string &name,
                                                 const entry_value &entry);

/// Checks the references of all entries; the first error is returned.
result<success, catalogue_error> checkReferences(const catalogue &state);

} // namespace burdockhold

#endif
