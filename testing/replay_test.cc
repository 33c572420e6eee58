#define BOOST_TEST_MODULE replay
#include <boost/test/unit_test.hpp>

#include "burdockhold/replay.h"

#include <random>
#include <set>

using namespace burdockhold;

namespace {

const std::string keyDigest(64, 'c');

std::string classText(int priority)
{
    return R"({"owner":"o","priority":)" + std::to_string(priority) + "}";
}

std::string accountText(const std::string &serviceClass)
{
    return R"({"owner":"o","class":")" + serviceClass
           + R"(","tokens_per_second":1,"burst_tokens":1})";
}

std::string changeText(const std::string &id, std::vector<entry_change> changes)
{
    return formatRecord({ id, change_record{ std::move(changes) } });
}

entry_change classChange(const std::string &name, log_offset base, int priority)
{
    return { { entry_kind::ServiceClass, name }, base, classText(priority) };
}

entry_change accountChange(const std::string &name, log_offset base, const std::string &target)
{
    return { { entry_kind::Account, name }, base, accountText(target) };
}

entry_change keyChange(log_offset base)
{
    return { { entry_kind::Key, keyDigest }, base, R"({"owner":"o","account":"a"})" };
}

std::string withdrawalText(const std::string &id)
{
    return formatRecord({ id, key_withdraw_record{ keyDigest } });
}

/// Appends records at the next offsets of one reader.
class session
{
public:
    std::optional<record_outcome> add(const std::string &data)
    {
        records.push_back({ records.size() + 1, log_time_ms(records.size()) * 1000, data });
        return reader.apply(records.back());
    }

    replay reader;
    std::vector<log_record> records;
};

void expectVoid(const std::optional<record_outcome> &outcome, void_reason reason)
{
    BOOST_REQUIRE(outcome.has_value());
    BOOST_TEST((outcome->kind == outcome_kind::Void));
    BOOST_TEST((outcome->reason == reason), "reason is " << nameOf(outcome->reason));
}

void expectApplied(const std::optional<record_outcome> &outcome)
{
    BOOST_REQUIRE(outcome.has_value());
    BOOST_TEST((outcome->kind == outcome_kind::Applied), outcome->text);
}

/// All entries with their versions, and the offset, as text.
std::string dump(const catalogue &state)
{
    std::string text = "offset " + std::to_string(state.offset) + "\n";
    for (const entry_id &id : entryIds(state)) {
        const auto entry = findEntry(state, id);
        text += std::string(nameOf(id.kind)) + " " + id.name + " " + std::to_string(entry->version)
                + " " + formatEntry(entry->value) + "\n";
    }
    return text;
}

} // namespace

// Guards against a lost race that takes effect, wholly or in part.
BOOST_AUTO_TEST_CASE(changeWithAnOldBaseIsVoidAsAWhole)
{
    session log;
    expectApplied(log.add(changeText("1", { classChange("x", 0, 1), classChange("y", 0, 1) })));
    expectApplied(log.add(changeText("2", { classChange("x", 1, 2) })));
    const auto outcome = log.add(
            changeText("3", { classChange("y", 1, 5), classChange("x", 1, 5) }));
    expectVoid(outcome, void_reason::BaseNotCurrent);
    BOOST_TEST(outcome->entry.name == "x");
    BOOST_TEST(outcome->base == 1U);
    BOOST_TEST(outcome->current == 2U);
    BOOST_TEST(log.reader.state().classes.at("y").value.priority == 1);
    BOOST_TEST(log.reader.state().classes.at("y").version == 1U);
    BOOST_TEST((log.reader.outcomeOf("3")->kind == outcome_kind::Void));
}

// Guards against an invalid change that is applied up to its faulty entry.
BOOST_AUTO_TEST_CASE(invalidChangeLosesNothing)
{
    session log;
    log.add(changeText("1", { classChange("x", 0, 1), accountChange("a", 0, "x") }));
    const std::string before = dump(log.reader.state());
    expectVoid(log.add(changeText("2", { classChange("x", 1, 2), classChange("y", 0, 99) })),
               void_reason::InvalidValue);
    expectVoid(log.add(changeText("3", { classChange("x", 1, 2), accountChange("b", 0, "z") })),
               void_reason::UnknownReference);
    expectVoid(log.add(changeText("4", { { { entry_kind::ServiceClass, "x" }, 1, {} } })),
               void_reason::UnknownReference);
    expectVoid(log.add(changeText("5", { classChange("y", 0, 1), classChange("y", 0, 2) })),
               void_reason::InvalidValue);
    BOOST_TEST((log.add("{\"id\":\"6\"")->kind == outcome_kind::Malformed));
    BOOST_TEST((log.add(R"({"id":"7","kind":"change"})")->kind == outcome_kind::Malformed));
    BOOST_TEST((log.reader.outcomeOf("7")->kind == outcome_kind::Malformed));
    BOOST_TEST(!log.add(R"({"id":"8","kind":"later"})").has_value());
    BOOST_TEST(log.reader.counts().unknownKinds == 1U);
    catalogue after = log.reader.state();
    BOOST_TEST(after.offset == 8U);
    after.offset = 1;
    BOOST_TEST(dump(after) == before);
    expectApplied(log.add(changeText("9", { { { entry_kind::Account, "a" }, 1, {} },
                                            { { entry_kind::ServiceClass, "x" }, 1, {} } })));
    BOOST_TEST(entryIds(log.reader.state()).empty());
}

// Guards against moving a pool's last endpoint away from the routes that use the pool.
BOOST_AUTO_TEST_CASE(poolKeepsAnEndpoint)
{
    const auto endpoint = [](const std::string &pool) {
        return R"({"owner":"o","url":"http://127.0.0.1:80","data_centre":"d","pool":")" + pool
               + "\"}";
    };
    const entry_id id{ entry_kind::Endpoint, "e" };
    session log;
    expectApplied(log.add(changeText(
            "1", { { { entry_kind::Model, "m" }, 0, R"({"owner":"o","pool":"p","version":"1"})" },
                   { id, 0, endpoint("p") } })));
    expectVoid(log.add(changeText("2", { { id, 1, endpoint("q") } })),
               void_reason::UnknownReference);
    expectVoid(log.add(changeText("3", { { id, 1, {} } })), void_reason::UnknownReference);
    BOOST_TEST(log.reader.state().endpoints.at("e").value.pool == "p");
}

// Guards against a record that takes effect twice when its writer appends it again.
BOOST_AUTO_TEST_CASE(repeatedIdIsDropped)
{
    session log;
    const std::string create = changeText("1", { classChange("x", 0, 1) });
    expectApplied(log.add(create));
    expectApplied(log.add(changeText("2", { { { entry_kind::ServiceClass, "x" }, 1, {} } })));
    BOOST_TEST((log.add(create)->kind == outcome_kind::Duplicate));
    BOOST_TEST(log.reader.state().classes.empty());
    BOOST_TEST((log.reader.outcomeOf("1")->kind == outcome_kind::Applied));
    BOOST_TEST(log.reader.outcomeOf("1")->offset == 1U);
}

// Guards against readers that disagree on how long an id is remembered, and against ids that are
// kept without limit.
BOOST_AUTO_TEST_CASE(idsAreRememberedForTheWindow)
{
    session log;
    const std::string text = changeText("first", { classChange("x", 0, 1) });
    log.add(text);
    for (log_offset i = 2; i < DuplicateWindow; ++i)
        log.add(R"({"id":")" + std::to_string(i) + R"(","kind":"later"})");
    BOOST_TEST((log.add(text)->kind == outcome_kind::Duplicate));
    expectVoid(log.add(text), void_reason::BaseNotCurrent);
}

// Guards against a withdrawn key that works again.
BOOST_AUTO_TEST_CASE(withdrawnKeyStaysWithdrawn)
{
    session log;
    log.add(changeText("1", { classChange("x", 0, 1), accountChange("a", 0, "x") }));
    expectApplied(log.add(changeText("2", { keyChange(0) })));
    expectVoid(log.add(changeText("3", { { { entry_kind::Key, keyDigest }, 2, {} } })),
               void_reason::KeyRemoval);
    expectApplied(log.add(withdrawalText("4")));
    expectVoid(log.add(changeText("5", { keyChange(4) })), void_reason::KeyWithdrawn);
    expectVoid(log.add(changeText("6", { keyChange(0) })), void_reason::KeyWithdrawn);
    expectVoid(log.add(changeText("7", { { { entry_kind::Key, keyDigest }, 4, {} } })),
               void_reason::KeyWithdrawn);
    expectApplied(log.add(withdrawalText("8")));
    BOOST_TEST(log.reader.state().keys.at(keyDigest).value.withdrawn);
    BOOST_TEST(log.reader.state().keys.at(keyDigest).version == 4U);
}

// Guards against a withdrawal that is lost because it arrives before the key's issue.
BOOST_AUTO_TEST_CASE(unknownKeyCanBeWithdrawn)
{
    session log;
    log.add(changeText("1", { classChange("x", 0, 1), accountChange("a", 0, "x") }));
    expectApplied(log.add(withdrawalText("2")));
    expectVoid(log.add(changeText("3", { keyChange(0) })), void_reason::KeyWithdrawn);
    for (const config_record &record : log.reader.makeRefresh("r"))
        log.add(formatRecord(record));
    replay later(3);
    for (std::size_t i = 2; i < log.records.size(); ++i)
        later.apply(log.records[i]);
    BOOST_REQUIRE(later.isComplete());
    BOOST_TEST(later.state().keys.at(keyDigest).value.withdrawn);
}

// Guards against a reader that takes an incomplete or an outdated refresh for the whole state.
BOOST_AUTO_TEST_CASE(startsOnlyFromACompleteRefresh)
{
    session log;
    for (int i = 0; i < 5; ++i)
        log.add(changeText(std::to_string(i), { classChange("c" + std::to_string(i), 0, i) }));
    const auto parts = log.reader.makeRefresh("r", 2);
    BOOST_REQUIRE(parts.size() == 3U);
    log.add(changeText("late", { classChange("c0", 1, 7) }));
    for (const config_record &part : parts)
        log.add(formatRecord(part));
    for (log_offset earliest = 2; earliest <= log.records.size(); ++earliest) {
        replay later(earliest);
        for (log_offset offset = earliest; offset <= log.records.size(); ++offset) {
            BOOST_TEST(!later.isComplete());
            later.apply(log.records[offset - 1]);
        }
        BOOST_TEST_CONTEXT("earliest " << earliest)
        {
            BOOST_TEST(later.isComplete() == (earliest <= 6));
            if (later.isComplete())
                BOOST_TEST(dump(later.state()) == dump(log.reader.state()));
        }
    }
}

// Guards against a refresh that brings back a removed entry or an earlier version in a reader that
// follows the stream.
BOOST_AUTO_TEST_CASE(refreshNeverReverts)
{
    session log;
    log.add(changeText("1", { classChange("x", 0, 1), classChange("y", 0, 1) }));
    const auto stale = log.reader.makeRefresh("r");
    log.add(changeText("2", { { { entry_kind::ServiceClass, "x" }, 1, {} } }));
    log.add(changeText("3", { classChange("y", 1, 2) }));
    log.add(formatRecord(stale.front()));
    BOOST_TEST(log.reader.state().classes.count("x") == 0U);
    BOOST_TEST(log.reader.state().classes.at("y").version == 3U);
}

// Guards against entries that fall out of retention because no refresh was due in time, and
// against a refresh by every VM.
BOOST_AUTO_TEST_CASE(refreshIsDueAtHalfTheRetention)
{
    constexpr log_time_ms Retention = 10000;
    session log;
    log.add(changeText("1", { classChange("x", 0, 1) }));
    log.add(changeText("2", { classChange("x", 1, 2) }));
    BOOST_TEST(log.reader.dueForRefresh(4999, Retention).empty());
    BOOST_TEST(log.reader.dueForRefresh(5000, Retention).size() == 1U);
    for (const config_record &record : log.reader.makeRefresh("r"))
        log.add(formatRecord(record));
    BOOST_TEST(log.reader.dueForRefresh(6999, Retention).empty());
    BOOST_TEST(log.reader.dueForRefresh(7000, Retention).size() == 1U);
    BOOST_TEST(!replay().isRefreshDue(7000, Retention));
}

namespace {

/// The rules in their simplest form: the whole state is copied for each change. Knows classes,
/// accounts and one key; its input is the record as the operator meant it, not its text.
struct reference_model
{
    struct value
    {
        log_offset version;
        std::string text;
        std::string target;
    };

    using state_map = std::map<entry_id, value>;

    static bool isSound(const state_map &candidate)
    {
        for (const auto &[id, entry] : candidate) {
            if (entry.text.find("99") != std::string::npos)
                return false;
            if (!entry.target.empty()
                && candidate.count({ entry_kind::ServiceClass, entry.target }) == 0)
                return false;
        }
        return true;
    }

    void apply(log_offset offset, const std::string &id, const change_record &change)
    {
        if (!ids.insert(id).second)
            return;
        state_map candidate = state;
        for (const entry_change &item : change.changes) {
            const auto found = state.find(item.entry);
            const log_offset current = found == state.end() ? 0 : found->second.version;
            if (item.base != current || (!item.value && current == 0))
                return;
            candidate.erase(item.entry);
            if (!item.value)
                continue;
            const bool isAccount = item.entry.kind == entry_kind::Account;
            const std::string mark = R"("class":")";
            const auto begin = item.value->find(mark) + mark.size();
            candidate[item.entry] = { offset, *item.value,
                                      isAccount ? item.value->substr(begin, 2) : "" };
        }
        if (isSound(candidate))
            state = candidate;
    }

    state_map state;
    std::set<std::string> ids;
};

std::string dump(const reference_model &model, log_offset offset)
{
    catalogue state;
    state.offset = offset;
    for (const auto &[id, entry] : model.state) {
        auto value = parseEntry(id.kind, id.name, entry.text);
        if (isOk(value))
            putEntry(state, id.name, entry.version, valueOf(value));
    }
    return dump(state);
}

/// A log with racing operators whose answers get lost, and a retention counted in records.
class history
{
public:
    explicit history(unsigned seed)
        : m_random(seed)
    {
        m_views.push_back(m_reader.state());
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i) {
            step();
            if (m_reader.isRefreshDue(now(), Retention * 1000))
                refresh();
            if (pick(25) == 0)
                checkLateReader();
        }
    }

    std::uint64_t applied() const { return m_reader.counts().applied; }
    std::uint64_t voided() const { return m_reader.counts().voided; }
    std::uint64_t duplicates() const { return m_reader.counts().duplicates; }
    int lateReaders() const { return m_lateReaders; }

private:
    static constexpr log_offset Retention = 120;

    struct sent_record
    {
        std::string id;
        change_record change;
    };

    unsigned pick(unsigned n) { return unsigned(m_random() % n); }
    log_time_ms now() const { return log_time_ms(m_log.size()) * 1000; }

    void append(const std::string &data)
    {
        m_log.push_back({ m_log.size() + 1, now() + 1000, data });
        m_reader.apply(m_log.back());
        checkVersions();
        m_views.push_back(m_reader.state());
    }

    entry_change randomChange(const catalogue &view)
    {
        entry_change change;
        const bool isClass = pick(2) == 0;
        change.entry.kind = isClass ? entry_kind::ServiceClass : entry_kind::Account;
        change.entry.name = (isClass ? "c" : "a") + std::to_string(pick(6));
        const auto current = findEntry(view, change.entry);
        change.base = current ? current->version : 0;
        if (pick(4) == 0)
            return change;
        const bool isBad = pick(20) == 0;
        change.value = isClass ? classText(isBad ? 99 : int(pick(10)))
                               : accountText("c" + std::to_string(pick(6)));
        return change;
    }

    /// One operator acts on a view that others may have overtaken.
    void step()
    {
        if (!m_sent.empty() && pick(5) == 0)
            return send(m_sent[pick(unsigned(m_sent.size()))]);
        if (pick(30) == 0)
            return append(pick(2) == 0 ? "{"
                                       : R"({"id":"k)" + std::to_string(m_log.size())
                                                 + R"(","kind":"later"})");
        const std::size_t lag = pick(4);
        const catalogue &view = m_views[m_views.size() - 1 - std::min(lag, m_views.size() - 1)];
        sent_record record;
        record.id = "id" + std::to_string(m_log.size());
        std::set<entry_id> touched;
        for (unsigned n = 1 + pick(3); n > 0; --n) {
            entry_change change = randomChange(view);
            if (touched.insert(change.entry).second)
                record.change.changes.push_back(change);
        }
        m_sent.push_back(record);
        send(record);
    }

    void send(const sent_record &record)
    {
        append(changeText(record.id, record.change.changes));
        m_model.apply(m_log.size(), record.id, record.change);
        BOOST_REQUIRE_EQUAL(dump(m_reader.state()), dump(m_model, m_log.size()));
    }

    /// Writes a refresh; other records get in between its parts.
    void refresh()
    {
        const auto parts = m_reader.makeRefresh("r" + std::to_string(m_log.size()), 3);
        for (const config_record &part : parts) {
            if (pick(2) == 0)
                step();
            append(formatRecord(part));
            if (pick(4) == 0)
                append(formatRecord(part));
        }
    }

    void checkLateReader()
    {
        const log_offset tail = m_log.size();
        const log_offset earliest = tail > Retention ? tail - Retention + 1 : 1;

        replay late(earliest);
        for (log_offset offset = earliest; offset <= tail; ++offset)
            late.apply(m_log[offset - 1]);
        BOOST_REQUIRE(late.isComplete());
        BOOST_REQUIRE_EQUAL(dump(late.state()), dump(m_reader.state()));
        m_lateReaders += earliest > 1 ? 1 : 0;
    }

    void checkVersions()
    {
        for (const entry_id &id : entryIds(m_reader.state())) {
            const log_offset version = findEntry(m_reader.state(), id)->version;
            BOOST_REQUIRE(version >= m_versions[id]);
            m_versions[id] = version;
        }
    }

    std::mt19937 m_random;
    std::vector<log_record> m_log;
    std::vector<catalogue> m_views;
    std::vector<sent_record> m_sent;
    replay m_reader;
    reference_model m_model;
    std::map<entry_id, log_offset> m_versions;
    int m_lateReaders = 0;
};

} // namespace

// Guards against readers that disagree after races, lost answers, refreshes and late starts, and
// against configuration that reverts.
BOOST_AUTO_TEST_CASE(randomHistoriesMatchTheReference)
{
    for (unsigned seed = 1; seed <= 30; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            history run(seed);
            run.run(500);
            BOOST_TEST(run.applied() > 50U);
            BOOST_TEST(run.voided() > 50U);
            BOOST_TEST(run.duplicates() > 50U);
            BOOST_TEST(run.lateReaders() > 5);
        }
    }
}
