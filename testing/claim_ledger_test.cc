#define BOOST_TEST_MODULE claim_ledger
#include "burdockhold/claim_ledger.h"
#include "burdockhold/hash.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <memory>
#include <random>
#include <set>

using namespace burdockhold;

namespace {

using std::chrono::milliseconds;

time_point at(std::int64_t ms)
{
    return time_point(milliseconds(ms));
}

claim_record claimFor(const std::string &id, const std::string &account = "a",
                      const std::string &key = "k", const std::string &body = "b")
{
    return { id, account, sha256Hex(key), sha256Hex(body) };
}

claim_state stateOf(const claim_ledger &ledger, const claim_record &claim, log_time_ms now = 0)
{
    return ledger.lookup(claim.account, claim.keyDigest, claim.bodyDigest, now).state;
}

claim_request requestFor(std::uint64_t id, std::int64_t deadlineMs)
{
    return { id, "a", sha256Hex("k"), sha256Hex("b"), at(deadlineMs) };
}

} // namespace

// Guards against bodies or fields that change on their way through the log.
BOOST_AUTO_TEST_CASE(records_survive_the_codec)
{
    std::string bytes;
    for (int i = 0; i < 256; ++i)
        bytes.push_back(static_cast<char>(i));
    const std::vector<claim_stream_record> records{
        claimFor("vm/1/1"),
        finish_record{ "vm/1/1", recordedAnswer(201, "image/png", bytes) },
        finish_record{ "vm/1/1", recordedAnswer(200, "t", std::string(MaxRetainedBodyBytes, 1)) },
        finish_record{ "vm/1/1", {} },
        release_record{ "vm/1/1" },
    };
    for (const auto &record : records) {
        const std::string text = formatClaimRecord(record);
        const auto parsed = parseClaimRecord(text);
        BOOST_REQUIRE(isOk(parsed));
        BOOST_TEST(valueOf(parsed).index() == record.index());
        BOOST_TEST(formatClaimRecord(valueOf(parsed)) == text);
    }
    const auto parsed = parseClaimRecord(formatClaimRecord(records[1]));
    BOOST_TEST((std::get<finish_record>(valueOf(parsed)).answer.body == bytes));
}

// Guards against records that use memory without bound or that some readers accept.
BOOST_AUTO_TEST_CASE(malformed_records_are_refused)
{
    const std::string digest = sha256Hex("x");
    const std::string longId(MaxClaimFieldBytes + 1, 'x');
    const std::vector<std::string> texts{
        "",
        "[]",
        "{}",
        R"({"claim":"c"})",
        R"({"claim":"c","kind":"other"})",
        R"({"claim":"","kind":"release"})",
        R"({"claim":")" + longId + R"(","kind":"release"})",
        R"({"claim":"c","kind":"claim","account":"a","key":"k","body":")" + digest + R"("})",
        R"({"claim":"c","kind":"finish","outcome":"answered","status":7})",
        R"({"claim":"c","kind":"finish","outcome":"answered","status":200,"content_type":"t"})",
        R"({"claim":"c","kind":"finish","outcome":"maybe"})",
        std::string(MaxClaimRecordBytes + 1, ' '),
    };
    for (const auto &text : texts)
        BOOST_TEST(!isOk(parseClaimRecord(text)));
    const auto big = recordedAnswer(200, "t", std::string(MaxRetainedBodyBytes + 1, 'x'));
    BOOST_TEST((big.outcome == finish_outcome::BodyNotRetained));
    BOOST_TEST(big.status == 200);
}

// Guards against a later claim, another body, another account or a stale record taking a key.
BOOST_AUTO_TEST_CASE(the_lowest_offset_holds_the_key)
{
    claim_ledger ledger;
    BOOST_TEST((ledger.apply(1, 0, claimFor("1")) == claim_effect::Won));
    BOOST_TEST((ledger.apply(2, 0, claimFor("2")) == claim_effect::Lost));
    BOOST_TEST((ledger.apply(3, 0, claimFor("1")) == claim_effect::Repeated));
    BOOST_TEST((ledger.apply(4, 0, claimFor("3", "other")) == claim_effect::Won));
    BOOST_TEST((stateOf(ledger, claimFor("", "a", "k", "c")) == claim_state::BodyConflict));
    BOOST_TEST((ledger.apply(5, 0, release_record{ "2" }) == claim_effect::Ignored));
    const finish_record loser{ "2", recordedAnswer(200, "", "no") };
    BOOST_TEST((ledger.apply(6, 0, loser) == claim_effect::Ignored));
    BOOST_TEST((stateOf(ledger, claimFor("")) == claim_state::InProgress));
    BOOST_TEST((ledger.apply(7, 0, release_record{ "1" }) == claim_effect::Released));
    // A late copy of a released claim must not hold the key again.
    BOOST_TEST((ledger.apply(8, 0, claimFor("1")) == claim_effect::Repeated));
    BOOST_TEST((stateOf(ledger, claimFor("")) == claim_state::Free));
    BOOST_TEST((ledger.apply(9, 0, claimFor("4")) == claim_effect::Won));
    const finish_record finish{ "4", recordedAnswer(200, "t", "yes") };
    BOOST_TEST((ledger.apply(10, 0, finish) == claim_effect::Finished));
    BOOST_TEST((ledger.apply(11, 0, finish) == claim_effect::Repeated));
    BOOST_TEST((ledger.apply(12, 0, release_record{ "4" }) == claim_effect::Ignored));
    BOOST_TEST(ledger.lookup("a", sha256Hex("k"), sha256Hex("b"), 0).answer.body == "yes");
}

// Guards against a call whose VM died being shown as in progress for ever.
BOOST_AUTO_TEST_CASE(a_silent_claim_becomes_unknown)
{
    claim_ledger ledger;
    ledger.apply(1, 1000, claimFor("1"));
    BOOST_TEST(ledger.lookup("a", sha256Hex("k"), sha256Hex("b"), 1000).retryAfterSeconds > 0);
    BOOST_TEST((stateOf(ledger, claimFor(""), 120999) == claim_state::InProgress));
    BOOST_TEST((stateOf(ledger, claimFor(""), 121000) == claim_state::OutcomeUnknown));
}

// Guards against VMs that started at different offsets freeing a key at different times.
BOOST_AUTO_TEST_CASE(keys_are_forgotten_alike)
{
    claim_ledger_options options;
    options.claimWindowMs = 100;
    claim_ledger early(options);
    claim_ledger late(options);
    early.apply(1, 0, claimFor("1"));
    for (claim_ledger *ledger : { &early, &late })
        ledger->apply(2, 90, claimFor("2"));
    for (claim_ledger *ledger : { &early, &late })
        BOOST_TEST((ledger->apply(3, 150, claimFor("3")) == claim_effect::Lost));
    for (claim_ledger *ledger : { &early, &late })
        BOOST_TEST((ledger->apply(4, 250, claimFor("4")) == claim_effect::Won));
    BOOST_TEST(early.claimIdCount() == 1U);
    BOOST_TEST(late.claimIdCount() == 1U);
}

// Guards against memory growth, and against a full ledger letting a dropped claim's key run twice.
BOOST_AUTO_TEST_CASE(a_full_ledger_permits_nothing)
{
    claim_ledger_options options;
    options.claimWindowMs = 100;
    options.maxClaims = 20;
    options.maxBodyBytes = 10;
    claim_ledger ledger(options);
    for (log_offset i = 1; i <= 20; ++i)
        ledger.apply(i, static_cast<log_time_ms>(i),
                     claimFor(std::to_string(i), "a", std::to_string(i)));
    BOOST_TEST(ledger.isNearlyFull());
    BOOST_TEST((ledger.apply(21, 50, claimFor("x", "a", "x")) == claim_effect::Full));
    BOOST_TEST((ledger.apply(22, 110, claimFor("y", "a", "x")) == claim_effect::Full));
    BOOST_TEST(ledger.claimIdCount() <= 20U);
    ledger.apply(23, 110, finish_record{ "19", recordedAnswer(200, "", "12345678") });
    ledger.apply(24, 110, finish_record{ "20", recordedAnswer(200, "", "12345678") });
    BOOST_TEST(ledger.retainedBodyBytes() == 8U);
    const auto view = ledger.lookup("a", sha256Hex("19"), sha256Hex("b"), 110);
    BOOST_TEST((view.answer.outcome == finish_outcome::BodyNotRetained));
    BOOST_TEST(view.answer.status == 200);
    // "y" held the key from 110 on, without permission, and expires at 210.
    BOOST_TEST((ledger.apply(25, 300, claimFor("z", "a", "x")) == claim_effect::Won));
}

// Guards against a retry under another record id and against two permissions for one claim.
BOOST_AUTO_TEST_CASE(a_lost_answer_repeats_the_same_record)
{
    claim_ledger ledger;
    claim_writer writer("vm", "1");
    const auto id = writer.submit(requestFor(7, 5000), at(0));
    BOOST_REQUIRE(id);
    auto first = writer.nextAppend(at(0));
    BOOST_REQUIRE(first);
    BOOST_TEST(!writer.nextAppend(at(0)));
    writer.appendEnded(first->number, append_outcome::Unknown, at(10));
    BOOST_TEST(!writer.nextAppend(at(20)));
    auto second = writer.nextAppend(at(400));
    BOOST_REQUIRE(second);
    BOOST_TEST(formatClaimRecord(first->records[0]) == formatClaimRecord(second->records[0]));
    writer.appendEnded(second->number, append_outcome::Applied, at(410));
    // Both copies took effect; only the first gives a permission.
    for (log_offset offset : { 1, 2 }) {
        const auto effect = ledger.apply(offset, 0, first->records[0]);
        writer.replayed(first->records[0], effect, 0, ledger, 0, at(500));
    }
    const auto decisions = writer.takeDecisions();
    BOOST_REQUIRE(decisions.size() == 1U);
    BOOST_TEST(std::get<dispatch_permission>(decisions[0]).claimId == *id);
    // A finish is appended until it has been seen, and only one outcome counts.
    writer.finished(*id, recordedAnswer(200, "", "yes"));
    writer.released(*id);
    const auto third = writer.nextAppend(at(1000));
    BOOST_REQUIRE(third);
    BOOST_TEST(std::holds_alternative<finish_record>(third->records[0]));
    writer.appendEnded(third->number, append_outcome::NotApplied, at(1000));
    const auto fourth = writer.nextAppend(at(2000));
    BOOST_REQUIRE(fourth);
    const auto effect = ledger.apply(3, 0, fourth->records[0]);
    writer.replayed(fourth->records[0], effect, 0, ledger, 0, at(2000));
    writer.appendEnded(fourth->number, append_outcome::Unknown, at(2000));
    BOOST_TEST(writer.entryCount() == 0U);
    BOOST_TEST(!writer.nextAppend(at(9000)));
}

// Guards against a dispatch after "not run", and against a key that stays held by a claim that
// will never run.
BOOST_AUTO_TEST_CASE(an_orphan_claim_is_released)
{
    claim_ledger ledger;
    claim_writer writer("vm", "1");
    writer.submit(requestFor(7, 1000), at(0));
    const auto append = writer.nextAppend(at(0));
    BOOST_REQUIRE(append);
    writer.expire(at(1000));
    BOOST_TEST(std::holds_alternative<not_run_reply>(writer.takeDecisions().at(0)));
    writer.appendEnded(append->number, append_outcome::Unknown, at(1100));
    BOOST_TEST(!writer.nextAppend(at(5000)));
    const auto effect = ledger.apply(1, 0, append->records[0]);
    writer.replayed(append->records[0], effect, 0, ledger, 0, at(6000));
    BOOST_TEST(writer.takeDecisions().empty());
    const auto release = writer.nextAppend(at(6000));
    BOOST_REQUIRE(release);
    BOOST_TEST((ledger.apply(2, 0, release->records[0]) == claim_effect::Released));
}

// Guards against a permission after the deadline, after a suspension that stopped the steady clock,
// and by a writer of another incarnation.
BOOST_AUTO_TEST_CASE(late_and_foreign_claims_are_not_permitted)
{
    for (const bool suspended : { false, true }) {
        claim_ledger ledger;
        claim_writer writer("vm", "1");
        claim_writer restarted("vm", "2");
        writer.submit(requestFor(7, 1000), at(0));
        const auto append = writer.nextAppend(at(0));
        const auto effect = ledger.apply(1, 0, append->records[0]);
        restarted.replayed(append->records[0], effect, 0, ledger, 0, at(1));
        BOOST_TEST(restarted.takeDecisions().empty());
        writer.replayed(append->records[0], effect, 0, ledger, suspended ? 100000 : 0,
                        at(suspended ? 10 : 1000));
        const auto decisions = writer.takeDecisions();
        BOOST_REQUIRE(decisions.size() == 1U);
        BOOST_TEST(std::holds_alternative<not_run_reply>(decisions[0]));
        writer.appendEnded(append->number, append_outcome::Applied, at(1000));
        const auto release = writer.nextAppend(at(1000));
        BOOST_REQUIRE(release);
        BOOST_TEST(std::holds_alternative<release_record>(release->records[0]));
    }
}

// Guards against claims that never reached the log being followed for ever.
BOOST_AUTO_TEST_CASE(a_refused_append_leaves_nothing_behind)
{
    claim_writer_options options;
    options.maxEntries = 1;
    claim_writer writer("vm", "1", options);
    BOOST_REQUIRE(writer.submit(requestFor(1, 1000), at(0)));
    BOOST_TEST(!writer.submit(requestFor(2, 1000), at(0)));
    const auto append = writer.nextAppend(at(0));
    BOOST_REQUIRE(append);
    writer.appendEnded(append->number, append_outcome::NotApplied, at(10));
    writer.expire(at(1000));
    BOOST_TEST(writer.entryCount() == 0U);
    BOOST_TEST(!writer.submit(requestFor(3, 1000), at(1000)));
}

namespace {

constexpr std::int64_t StepMs = 20;
constexpr std::int64_t LoadMs = 40000;
constexpr std::int64_t EndMs = 100000;
constexpr std::int64_t DeadlineMs = 1500;
constexpr std::size_t VmCount = 4;
constexpr auto OrphanMemory = std::chrono::seconds(30); // Longer than any late effect or pause.

/// What the simulation does without one of the rules, to show that the checker notices.
enum class variation { None, NoClaimRule, DispatchAfterNotRun };

/// One call as callers send it, possibly several times and with another body.
struct call_key
{
    std::string account;
    std::string key;
    friend bool operator<(const call_key &a, const call_key &b)
    {
        return std::tie(a.account, a.key) < std::tie(b.account, b.key);
    }
};

std::string answerTo(const call_key &call)
{
    return "answer for " + call.account + " " + call.key;
}

/// Watches executions and replies; the rules it checks do not depend on the ledger.
struct claim_checker
{
    std::map<call_key, int> executions;
    std::set<std::string> executedClaims;
    std::set<std::string> notRunClaims;
    std::vector<std::string> faults;
    int answers = 0;
    int lost = 0;
    int conflicts = 0;

    void executed(const call_key &call, const std::string &claimId)
    {
        if (++executions[call] > 1)
            faults.push_back("executed twice: " + call.account + " " + call.key);
        if (!executedClaims.insert(claimId).second || notRunClaims.count(claimId) > 0)
            faults.push_back("claim executed twice or after not run: " + claimId);
    }

    void notRun(const std::string &claimId)
    {
        notRunClaims.insert(claimId);
        if (executedClaims.count(claimId) > 0)
            faults.push_back("not run is false: " + claimId);
    }

    void answered(const call_key &call, const claim_answer &answer)
    {
        ++answers;
        if (executions[call] != 1 || answer.body != answerTo(call))
            faults.push_back("wrong stored answer: " + call.account + " " + call.key);
    }
};

struct logged_record
{
    std::int64_t time;
    std::string text;
};

struct sim_call
{
    call_key call;
    std::string body;
};

struct sim_vm
{
    std::string name;
    int incarnation = 0;
    std::int64_t blockedUntil = 0; ///< Paused until then.
    std::unique_ptr<claim_ledger> ledger;
    std::unique_ptr<claim_writer> writer;
    std::map<std::string, sim_call> submitted; ///< By claim id.
    std::uint64_t requests = 0;
};

class simulation
{
public:
    simulation(std::uint32_t seed, variation v)
        : m_random(seed)
        , m_vmsDie(seed % 3 != 0)
        , m_variation(v)
        , m_vms(VmCount)
    {
        for (std::size_t i = 0; i < VmCount; ++i) {
            m_vms[i].name = "vm" + std::to_string(i);
            restart(m_vms[i]);
        }
        for (int i = 0; i < 4; ++i) {
            const std::int64_t start = below(LoadMs);
            m_outages.emplace_back(start, start + 500 + below(4000));
        }
    }

    void run()
    {
        for (m_now = 0; m_now < EndMs; m_now += StepMs) {
            runEvents();
            if (m_now < LoadMs)
                disturb();
            for (auto &vm : m_vms) {
                if (m_now >= vm.blockedUntil)
                    step(vm);
            }
        }
        checkEnd();
    }

    claim_checker checker;

private:
    std::int64_t below(std::int64_t bound)
    {
        return static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(bound));
    }

    bool chance(int permille) { return below(1000) < permille; }

    bool isLogDown() const
    {
        return std::any_of(m_outages.begin(), m_outages.end(), [&](const auto &outage) {
            return m_now >= outage.first && m_now < outage.second;
        });
    }

    void schedule(std::int64_t delayMs, std::function<void()> action)
    {
        m_events.emplace(m_now + delayMs, std::move(action));
    }

    void runEvents()
    {
        while (!m_events.empty() && m_events.begin()->first <= m_now) {
            const auto action = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            action();
        }
    }

    void restart(sim_vm &vm)
    {
        ++vm.incarnation;
        vm.ledger = std::make_unique<claim_ledger>();
        claim_writer_options options;
        options.orphanMemory = OrphanMemory;
        vm.writer = std::make_unique<claim_writer>(vm.name, std::to_string(vm.incarnation),
                                                   options);
        vm.submitted.clear();
    }

    /// Runs the action on the VM once it is not paused, unless it has died since.
    void onVm(sim_vm &vm, std::int64_t delayMs, const std::function<void()> &action)
    {
        const int incarnation = vm.incarnation;
        schedule(delayMs, [this, &vm, incarnation, action] {
            if (vm.incarnation != incarnation)
                return;
            if (m_now < vm.blockedUntil)
                onVm(vm, vm.blockedUntil - m_now, action);
            else
                action();
        });
    }

    void disturb()
    {
        if (chance(60))
            startCall();
        if (m_vmsDie && chance(4))
            restart(m_vms[static_cast<std::size_t>(below(VmCount))]);
        if (chance(4))
            m_vms[static_cast<std::size_t>(below(VmCount))].blockedUntil = m_now + 200
                                                                           + below(4000);
    }

    void startCall()
    {
        const sim_call call{ { "account" + std::to_string(below(3)),
                               "key" + std::to_string(below(40)) },
                             chance(50) ? "other body" : "body" };
        send(call, below(4));
        if (chance(300))
            send(call, below(4)); // The same call at two VMs at once.
        if (chance(400))
            schedule(below(4000), [this, call] { send(call, below(2)); });
    }

    void send(const sim_call &sent, std::int64_t resends)
    {
        sim_vm &vm = m_vms[static_cast<std::size_t>(below(VmCount))];
        onVm(vm, below(60), [this, &vm, sent] { receive(vm, sent); });
        if (resends > 0)
            schedule(300 + below(3000), [this, sent, resends] { send(sent, resends - 1); });
    }

    void receive(sim_vm &vm, const sim_call &sent)
    {
        const std::string key = sha256Hex(sent.call.key);
        const std::string body = sha256Hex(sent.body);
        const claim_view view = vm.ledger->lookup(sent.call.account, key, body, m_now);
        if (view.state != claim_state::Free) {
            reply(sent, view);
            return;
        }
        const claim_request request{ ++vm.requests, sent.call.account, key, body,
                                     at(m_now + DeadlineMs) };
        if (const auto id = vm.writer->submit(request, at(m_now)))
            vm.submitted.emplace(*id, sent);
    }

    void reply(const sim_call &sent, const claim_view &view)
    {
        if (view.state == claim_state::Answered)
            checker.answered(sent.call, view.answer);
        if (view.state == claim_state::BodyConflict)
            ++checker.conflicts;
    }

    void step(sim_vm &vm)
    {
        if (!isLogDown())
            readLog(vm);
        vm.writer->expire(at(m_now));
        for (const auto &decision : vm.writer->takeDecisions())
            decide(vm, decision);
        if (const auto append = vm.writer->nextAppend(at(m_now)))
            sendAppend(vm, *append);
    }

    void readLog(sim_vm &vm)
    {
        while (vm.ledger->lastOffset() < m_log.size()) {
            const logged_record &logged = m_log[vm.ledger->lastOffset()];
            if (chance(200))
                return; // The rest is read later.
            const auto parsed = parseClaimRecord(logged.text);
            BOOST_REQUIRE(isOk(parsed));
            const auto &record = valueOf(parsed);
            auto effect = vm.ledger->apply(vm.ledger->lastOffset() + 1, logged.time, record);
            if (m_variation == variation::NoClaimRule && effect == claim_effect::Lost)
                effect = claim_effect::Won;
            vm.writer->replayed(record, effect, logged.time, *vm.ledger, m_now, at(m_now));
        }
    }

    void decide(sim_vm &vm, const claim_decision &decision)
    {
        std::visit(overloaded{
                           [&](const dispatch_permission &p) { permitted(vm, p); },
                           [&](const not_run_reply &r) {
                               checker.notRun(r.claimId);
                               if (m_variation == variation::DispatchAfterNotRun)
                                   checker.executed(vm.submitted.at(r.claimId).call, r.claimId);
                           },
                           [&](const claim_lost_reply &r) {
                               ++checker.lost;
                               checker.notRun(r.claimId);
                               BOOST_TEST((r.view.state != claim_state::Free));
                               reply(vm.submitted.at(r.claimId), r.view);
                           },
                   },
                   decision);
    }

    void permitted(sim_vm &vm, const dispatch_permission &permission)
    {
        const sim_call sent = vm.submitted.at(permission.claimId);
        onVm(vm, below(100), [this, &vm, permission, sent] {
            if (at(m_now) >= permission.deadline || chance(50)) {
                checker.notRun(permission.claimId); // No connection to an endpoint was made.
                vm.writer->released(permission.claimId);
                return;
            }
            checker.executed(sent.call, permission.claimId);
            const bool answered = !chance(100);
            onVm(vm, below(800), [&vm, permission, sent, answered] {
                vm.writer->finished(permission.claimId,
                                    answered ? recordedAnswer(200, "t", answerTo(sent.call))
                                             : claim_answer{});
            });
        });
    }

    void takeEffect(const claim_append &append)
    {
        for (const auto &record : append.records)
            m_log.push_back({ m_now, formatClaimRecord(record) });
    }

    void sendAppend(sim_vm &vm, const claim_append &append)
    {
        const auto tell = [&](append_outcome outcome, std::int64_t delayMs) {
            onVm(vm, delayMs, [this, &vm, number = append.number, outcome] {
                vm.writer->appendEnded(number, outcome, at(m_now));
            });
        };
        const auto effect = [&](std::int64_t delayMs) {
            schedule(delayMs, [this, append] { takeEffect(append); });
        };
        const bool disturbed = m_now < LoadMs;
        if (isLogDown()) {
            const bool definite = chance(500);
            tell(definite ? append_outcome::NotApplied : append_outcome::Unknown, below(500));
            if (!definite && chance(300))
                effect(below(3000)); // Accepted before the outage, applied after the time limit.
            return;
        }
        if (disturbed && chance(150)) {
            tell(append_outcome::Unknown, 100 + below(400));
            if (chance(700))
                effect(below(2500)); // Possibly after the next attempt.
            return;
        }
        effect(below(40));
        if (disturbed && chance(50))
            effect(below(3000)); // A duplicate made by the network.
        tell(append_outcome::Applied, 40 + below(60));
    }

    /// After a quiet time, all VMs agree, and no claim of a live writer is left open.
    void checkEnd()
    {
        for (const auto &vm : m_vms) {
            if (vm.ledger->lastOffset() != m_log.size())
                checker.faults.emplace_back("a VM has not read the whole log");
            if (vm.writer->entryCount() != 0)
                checker.faults.emplace_back("a claim was left open");
            // A key without execution is held only by a writer that died.
            if (!m_vmsDie && vm.ledger->keyCount() != checker.executions.size())
                checker.faults.emplace_back("an orphan claim was not released");
        }
        for (const auto &[call, count] : checker.executions) {
            const std::string key = sha256Hex(call.key);
            std::set<claim_state> states;
            for (const auto &vm : m_vms) {
                for (const char *body : { "body", "other body" }) {
                    const auto view = vm.ledger->lookup(call.account, key, sha256Hex(body), m_now);
                    if (view.state == claim_state::BodyConflict)
                        continue;
                    states.insert(view.state);
                    if (view.state == claim_state::Answered)
                        checker.answered(call, view.answer);
                }
            }
            if (states.size() != 1 || states.count(claim_state::Free) > 0)
                checker.faults.emplace_back("VMs disagree or the key is free after execution");
        }
    }

    std::mt19937 m_random;
    bool m_vmsDie;
    variation m_variation;
    std::vector<sim_vm> m_vms;
    std::vector<std::pair<std::int64_t, std::int64_t>> m_outages;
    std::vector<logged_record> m_log;
    std::multimap<std::int64_t, std::function<void()>> m_events;
    std::int64_t m_now = 0;
};

constexpr std::uint32_t SeedCount = 60;

} // namespace

// Guards against a second execution, a false "not run", a wrong or foreign stored answer and VMs
// that disagree, under log outages, lost answers, duplicates, VM death and pauses.
BOOST_AUTO_TEST_CASE(simulated_calls_run_at_most_once)
{
    std::size_t executed = 0;
    std::size_t notRun = 0;
    int answers = 0;
    int lost = 0;
    int conflicts = 0;
    for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
        simulation sim(seed, variation::None);
        sim.run();
        for (const auto &fault : sim.checker.faults)
            BOOST_ERROR("seed " << seed << ": " << fault);
        executed += sim.checker.executedClaims.size();
        notRun += sim.checker.notRunClaims.size();
        answers += sim.checker.answers;
        lost += sim.checker.lost;
        conflicts += sim.checker.conflicts;
    }
    BOOST_TEST_MESSAGE("executed " << executed << ", not run " << notRun << ", answers " << answers
                                   << ", lost " << lost << ", conflicts " << conflicts);
    // The simulation would prove nothing if one of these never happened.
    BOOST_TEST(executed > SeedCount);
    BOOST_TEST(notRun > SeedCount);
    BOOST_TEST(answers > 0);
    BOOST_TEST(lost > 0);
    BOOST_TEST(conflicts > 0);
}

// Guards against a checker that cannot fail: each rule left out must be noticed.
BOOST_AUTO_TEST_CASE(the_checker_notices_missing_rules)
{
    for (const auto v : { variation::NoClaimRule, variation::DispatchAfterNotRun }) {
        std::uint32_t caught = 0;
        for (std::uint32_t seed = 1; seed <= SeedCount; ++seed) {
            simulation sim(seed, v);
            sim.run();
            if (!sim.checker.faults.empty())
                ++caught;
        }
        BOOST_TEST_MESSAGE("variation caught with " << caught << " of " << SeedCount << " seeds");
        BOOST_TEST(caught > 0U);
    }
}
