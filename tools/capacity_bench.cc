// Measures what each decision module costs for each unit of its size (entry, claim, account, VM,
// endpoint, block, event, label value), in processor time and allocated memory. Every case runs at
// several sizes over at least two decades; the program prints the points and a least-squares line
// through them. Memory is what the allocator handed out, not a sum of type sizes. docs/CAPACITY.md
// uses the slopes.

#include "burdockhold/account_limits.h"
#include "burdockhold/cache_view.h"
#include "burdockhold/claim_ledger.h"
#include "burdockhold/clock.h"
#include "burdockhold/deployment_history.h"
#include "burdockhold/hash.h"
#include "burdockhold/heat.h"
#include "burdockhold/membership.h"
#include "burdockhold/metrics.h"
#include "burdockhold/move_evidence.h"
#include "burdockhold/peer_message.h"
#include "burdockhold/placement.h"
#include "burdockhold/prefix.h"
#include "burdockhold/replay.h"

#include <boost/program_options.hpp>

#include <malloc.h>
#include <time.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

using namespace burdockhold;

namespace {

constexpr double MinimumSeconds = 0.01; ///< Work is repeated for at least this long.
constexpr std::size_t DataCentres = 11;
constexpr std::size_t MintersPerDataCentre = 4;
const time_point start{ std::chrono::hours(1) };
double sink = 0.0; ///< Keeps results alive, so that the compiler cannot drop the work.

/// Bytes that the allocator has handed out.
double allocatedBytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

/// Processor time of this thread, so that other programs on the machine count little.
double processorSeconds()
{
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) + 1e-9 * static_cast<double>(now.tv_nsec);
}

double secondsOnce(const std::function<void()> &work)
{
    const double begin = processorSeconds();
    work();
    return processorSeconds() - begin;
}

/// Returns the mean processor time of one run of work, which must not change what later runs cost.
double secondsOf(const std::function<void()> &work)
{
    double total = 0.0;
    int runs = 0;
    while (total < MinimumSeconds) {
        total += secondsOnce(work);
        ++runs;
    }
    return total / runs;
}

struct point
{
    double size = 0.0;
    double value = 0.0;
};

/// A measure of one case: microseconds or bytes at several sizes.
struct series
{
    std::string name;
    std::string unit;
    std::vector<point> points;
};

struct line
{
    double slope = 0.0;
    double intercept = 0.0;
    double determination = 0.0; ///< R squared.
};

line fit(const std::vector<point> &points)
{
    const auto n = static_cast<double>(points.size());
    double meanX = 0.0;
    double meanY = 0.0;
    for (const point &p : points) {
        meanX += p.size / n;
        meanY += p.value / n;
    }
    double xx = 0.0;
    double xy = 0.0;
    double yy = 0.0;
    for (const point &p : points) {
        xx += (p.size - meanX) * (p.size - meanX);
        xy += (p.size - meanX) * (p.value - meanY);
        yy += (p.value - meanY) * (p.value - meanY);
    }
    line result;
    result.slope = xx > 0.0 ? xy / xx : 0.0;
    result.intercept = meanY - result.slope * meanX;
    result.determination = yy > 0.0 ? result.slope * xy / yy : 1.0;
    return result;
}

void print(const series &measured)
{
    std::printf("%-28s %-7s", measured.name.c_str(), measured.unit.c_str());
    for (const point &p : measured.points)
        std::printf(" %.0f:%.4g", p.size, p.value);
    const line fitted = fit(measured.points);
    std::printf(" | slope %.4g, intercept %.4g, R2 %.4f\n", fitted.slope, fitted.intercept,
                fitted.determination);
    std::fflush(stdout);
}

/// Collects the series of one case by name, in order of first use.
class recorder
{
public:
    void add(const std::string &name, const std::string &unit, double size, double value)
    {
        for (series &known : m_series) {
            if (known.name == name) {
                known.points.push_back({ size, value });
                return;
            }
        }
        m_series.push_back({ name, unit, { { size, value } } });
    }
    void time(const std::string &name, std::size_t size, double seconds)
    {
        add(name, "us", static_cast<double>(size), 1e6 * seconds);
    }
    void bytes(const std::string &name, std::size_t size, double count)
    {
        add(name, "bytes", static_cast<double>(size), count);
    }
    void printAll() const
    {
        for (const series &measured : m_series)
            print(measured);
    }

private:
    std::vector<series> m_series;
};

std::string vmName(std::size_t number)
{
    return "vm-dc" + std::to_string(number % DataCentres) + "-" + std::to_string(10000 + number);
}

std::string accountName(std::size_t number)
{
    return "account-" + std::to_string(1000 + number);
}

std::vector<epoch_vm> makeVms(std::size_t count)
{
    std::vector<epoch_vm> vms;
    for (std::size_t i = 0; i < count; ++i)
        vms.push_back({ vmName(i), "dc" + std::to_string(i % DataCentres) });
    std::sort(vms.begin(), vms.end(),
              [](const epoch_vm &a, const epoch_vm &b) { return a.name < b.name; });
    return vms;
}

// Configuration: replay, publication, refresh.

std::string endpointValue(std::size_t number)
{
    endpoint_entry entry;
    entry.owner = "platform";
    entry.url = "http://10.20." + std::to_string(number / 250) + "." + std::to_string(number % 250)
                + ":8000";
    entry.pool = "pool-" + std::to_string(number % 13);
    entry.dataCentre = "dc" + std::to_string(number % DataCentres);
    return formatEntry(entry);
}

log_record changeOf(log_offset offset, entry_kind kind, const std::string &name, log_offset base,
                    const std::optional<std::string> &value)
{
    const config_record record{ "change-0123456789abcdef0123456789-" + std::to_string(offset),
                                change_record{ { { { kind, name }, base, value } } } };
    return { offset, static_cast<log_time_ms>(offset), formatRecord(record) };
}

std::string keyValue()
{
    key_entry key;
    key.owner = "platform";
    key.account = "account";
    key.label = "label";
    return formatEntry(key);
}

void prepareAccount(replay &target)
{
    class_entry serviceClass;
    serviceClass.owner = "platform";
    account_entry account;
    account.owner = "platform";
    account.serviceClass = "standard";
    account.tokensPerSecond = 1000.0;
    account.burstTokens = 2000.0;
    target.apply(changeOf(1, entry_kind::ServiceClass, "standard", 0, formatEntry(serviceClass)));
    target.apply(changeOf(2, entry_kind::Account, "account", 0, formatEntry(account)));
}

void measureRefresh(recorder &out, std::size_t size, const replay &full)
{
    std::vector<log_record> texts;
    const double format = secondsOnce([&] {
        log_offset offset = full.lastOffset();
        for (const config_record &record : full.makeRefresh("refresh"))
            texts.push_back({ ++offset, 1, formatRecord(record) });
    });
    out.time("config.refresh_write", size, format);
    double bytes = 0.0;
    for (const log_record &text : texts)
        bytes += static_cast<double>(text.data.size());
    out.bytes("config.refresh_size", size, bytes);
    replay follower = full;
    out.time("config.refresh_follow", size, secondsOnce([&] {
                 for (const log_record &text : texts)
                     follower.apply(text);
             }));
    replay late(texts.front().offset);
    out.time("config.refresh_start", size, secondsOnce([&] {
                 for (const log_record &text : texts)
                     late.apply(text);
             }));
    sink += static_cast<double>(follower.lastOffset() + late.lastOffset());
}

void replayEntries(recorder &out, std::size_t size, entry_kind kind, const std::string &prefix)
{
    std::vector<log_record> records;
    double text = 0.0;
    for (std::size_t i = 0; i < size; ++i) {
        const std::string name = kind == entry_kind::Key ? sha256Hex(std::to_string(i))
                                                         : "engine-" + std::to_string(100000 + i);
        records.push_back(changeOf(i + 3, kind, name, 0,
                                   kind == entry_kind::Key ? keyValue() : endpointValue(i)));
        text += static_cast<double>(records.back().data.size());
    }
    const double before = allocatedBytes();
    replay target;
    prepareAccount(target);
    out.time(prefix + ".replay", size, secondsOnce([&] {
                 for (const log_record &record : records)
                     target.apply(record);
             }));
    out.bytes(prefix + ".replay_state", size, allocatedBytes() - before);
    out.bytes(prefix + ".record_text", size, text);
    const double beforeCopy = allocatedBytes();
    catalogue copy;
    out.time(prefix + ".publish_copy", size, secondsOf([&] {
                 copy = catalogue();
                 copy = target.state();
             }));
    out.bytes(prefix + ".published", size, allocatedBytes() - beforeCopy);
    if (kind != entry_kind::Endpoint)
        return;
    measureRefresh(out, size, target);
    const log_record removal = changeOf(target.lastOffset() + 1, kind, "engine-100000", 3,
                                        std::nullopt);
    out.time("config.removal", size, secondsOnce([&] { target.apply(removal); }));
}

void measureConfig(recorder &out)
{
    for (const std::size_t size : { 100, 300, 1000, 3000, 10000, 30000 }) {
        replayEntries(out, size, entry_kind::Endpoint, "config");
        replayEntries(out, size, entry_kind::Key, "keys");
    }
}

// Claims.

claim_record makeClaim(std::size_t number)
{
    claim_record claim;
    claim.claimId = vmName(number % 1300) + "-0123456789abcdef-" + std::to_string(number);
    claim.account = accountName(number % 580);
    claim.keyDigest = sha256Hex("key" + std::to_string(number));
    claim.bodyDigest = sha256Hex("body" + std::to_string(number));
    return claim;
}

void measureClaimsOfBody(recorder &out, const std::string &name, std::size_t bodyBytes)
{
    for (const std::size_t size : { 900, 3000, 9000, 30000, 90000 }) {
        std::vector<std::string> texts;
        double bytes = 0.0;
        for (std::size_t i = 0; i < size; ++i) {
            const claim_record claim = makeClaim(i);
            texts.push_back(formatClaimRecord(claim));
            const claim_answer answer = recordedAnswer(200, "application/json",
                                                       std::string(bodyBytes, 'x'));
            texts.push_back(formatClaimRecord(finish_record{ claim.claimId, answer }));
            bytes += static_cast<double>(texts[2 * i].size() + texts[2 * i + 1].size());
        }
        const double before = allocatedBytes();
        claim_ledger ledger;
        log_offset offset = 0;
        out.time(name + ".replay", size, secondsOnce([&] {
                     for (const std::string &text : texts) {
                         const auto record = parseClaimRecord(text);
                         ledger.apply(++offset, 1, valueOf(record));
                     }
                 }));
        out.bytes(name + ".held", size, allocatedBytes() - before);
        out.bytes(name + ".text", size, bytes);
        const claim_record probe = makeClaim(size / 2);
        out.time(name + ".lookup_at_size", size, secondsOf([&] {
                     const claim_view view = ledger.lookup(probe.account, probe.keyDigest,
                                                           probe.bodyDigest, 2);
                     sink += view.retryAfterSeconds;
                 }));
    }
}

void measureClaims(recorder &out)
{
    measureClaimsOfBody(out, "claims_no_body", 0);
    measureClaimsOfBody(out, "claims_100_bytes", 100);
}

// Account limits.

std::vector<std::string> someMinters()
{
    std::vector<std::string> minters;
    for (std::size_t i = 0; i < DataCentres * MintersPerDataCentre; ++i)
        minters.push_back(vmName(i));
    return minters;
}

account_limits makeLimits(std::size_t accounts, double share)
{
    account_limits_options options;
    options.self = vmName(0);
    options.incarnation = 7;
    account_limits limits(options);
    limits.setFreshUntil(start + std::chrono::hours(24));
    for (std::size_t i = 0; i < accounts; ++i)
        limits.setAccount(accountName(i), { 1e6, 2e6, share, someMinters() }, start);
    return limits;
}

/// Answers all requests for grants in full, as minters with enough tokens do. Returns the number of
/// messages sent both ways.
std::size_t answerAsks(account_limits &limits, time_point now)
{
    std::size_t messages = 0;
    for (const addressed_grant_message &sent : limits.takeMessages()) {
        ++messages;
        const auto *request = std::get_if<grant_request>(&sent.message);
        if (request == nullptr)
            continue;
        ++messages;
        const grant_reply reply{ request->account,   request->borrowerIncarnation,
                                 request->requestId, 9,
                                 request->tokens,    1e6 };
        limits.receive(sent.to, reply, now);
    }
    return messages;
}

/// Admits requests of 275 tokens from grants, 92 a second over all accounts in turn, each settled
/// at once. Returns the number of messages.
std::size_t borrowAndSettle(account_limits &limits, std::size_t requests, std::size_t accounts)
{
    std::size_t messages = 0;
    time_point now = start + std::chrono::seconds(1);
    for (std::size_t i = 0; i < requests; ++i) {
        now += std::chrono::milliseconds(11);
        std::vector<std::uint64_t> admitted;
        const admission first = limits.admit(accountName(i % accounts), 275.0, now);
        if (first.outcome == admission_outcome::Admitted)
            admitted.push_back(first.ticket);
        messages += answerAsks(limits, now);
        for (const admission &decision : limits.takeDecisions())
            admitted.push_back(decision.ticket);
        for (const std::uint64_t ticket : admitted)
            limits.settle(ticket, 200.0, now);
        limits.step(now);
        messages += answerAsks(limits, now);
    }
    return messages;
}

void measureLimits(recorder &out)
{
    for (const std::size_t size : { 10, 30, 100, 300, 1000, 3000 }) {
        const double before = allocatedBytes();
        account_limits limits = makeLimits(size, 1.0 / 44.0);
        out.bytes("limits.accounts", size, allocatedBytes() - before);
        time_point now = start;
        out.time("limits.step_idle", size, secondsOf([&] {
                     now += std::chrono::milliseconds(10);
                     limits.step(now);
                 }));
    }
    constexpr std::size_t Accounts = 580;
    for (const std::size_t size : { 20, 60, 200, 600, 2000 }) {
        account_limits own = makeLimits(Accounts, 1.0);
        const double before = allocatedBytes();
        out.time("limits.admit_own", size, secondsOnce([&] {
                     for (std::size_t i = 0; i < size; ++i) {
                         const time_point now = start + std::chrono::seconds(2);
                         const admission done = own.admit(accountName(i % Accounts), 10.0, now);
                         own.settle(done.ticket, 5.0, now);
                     }
                 }));
        out.bytes("limits.after_admit_own", size, allocatedBytes() - before);
        account_limits borrowing = makeLimits(Accounts, 0.0);
        std::size_t messages = 0;
        out.time("limits.borrow_580_accounts", size,
                 secondsOnce([&] { messages = borrowAndSettle(borrowing, size, Accounts); }));
        out.add("limits.borrow_messages", "count", static_cast<double>(size),
                static_cast<double>(messages));
        account_limits few = makeLimits(Accounts, 0.0);
        out.time("limits.borrow_5_accounts", size,
                 secondsOnce([&] { messages = borrowAndSettle(few, size, 5); }));
        out.add("limits.borrow_messages_5", "count", static_cast<double>(size),
                static_cast<double>(messages));
    }
}

// Peer messages.

void measureMessage(recorder &out, const std::string &name, const peer_body &body)
{
    const peer_message message{ vmName(7), 0x1234567890abcdef, 0x123456, body };
    const std::string bytes = valueOf(formatPeerMessage(message));
    for (const std::size_t size : { 100, 1000, 10000 }) {
        out.bytes(name + ".size", size, static_cast<double>(size * bytes.size()));
        out.time(name + ".format", size, secondsOf([&] {
                     for (std::size_t i = 0; i < size; ++i)
                         sink += static_cast<double>(valueOf(formatPeerMessage(message)).size());
                 }));
        out.time(name + ".decode", size, secondsOf([&] {
                     for (std::size_t i = 0; i < size; ++i)
                         sink += static_cast<double>(valueOf(decodePeerMessage(bytes)).messageId);
                 }));
    }
}

void measureMessages(recorder &out)
{
    const std::string account = accountName(1);
    constexpr std::uint64_t Incarnation = 0x1234567890abcdef;
    measureMessage(out, "grant_request", grant_request{ account, Incarnation, 123456, 275.5 });
    measureMessage(out, "grant_reply",
                   grant_reply{ account, Incarnation, 123456, Incarnation, 275.5, 1234.5 });
    measureMessage(out, "grant_return",
                   grant_return{ account, Incarnation, 123456, Incarnation, 75.5 });
    measureMessage(out, "heartbeat", heartbeat_message{ 123456, {}, {} });
    for (const std::size_t size : { 10, 30, 100, 300, 1000 }) {
        heartbeat_message heartbeat{ 123456, {}, {} };
        for (std::size_t i = 0; i < size; ++i)
            heartbeat.suspects.push_back(sha256Hex(std::to_string(i)));
        const peer_message message{ vmName(7), Incarnation, 1, heartbeat };
        const std::string bytes = valueOf(formatPeerMessage(message));
        out.bytes("heartbeat.digests_size", size, static_cast<double>(bytes.size()));
        out.time("heartbeat.digests_format", size,
                 secondsOf([&] { sink += valueOf(formatPeerMessage(message)).size(); }));
        out.time("heartbeat.digests_decode", size,
                 secondsOf([&] { sink += valueOf(decodePeerMessage(bytes)).messageId; }));
    }
}

// Membership.

epoch_history settledEpochs(std::size_t vms)
{
    epoch_history history(share_policy{ MintersPerDataCentre });
    history.apply(10, { "epoch-1", 0, makeVms(vms) });
    for (const epoch_vm &vm : makeVms(vms))
        history.noteStopped(vm.name, 10);
    return history;
}

std::vector<epoch_vm> withoutOneCentre(std::size_t vms)
{
    std::vector<epoch_vm> rest;
    for (const epoch_vm &vm : makeVms(vms)) {
        if (vm.dataCentre != "dc3")
            rest.push_back(vm);
    }
    return rest;
}

double sharesOfAll(const epoch_history &history, std::size_t accounts)
{
    double sum = 0.0;
    const std::string self = vmName(0);
    for (std::size_t i = 0; i < accounts; ++i)
        sum += history.usableShare(accountName(i), self);
    return sum;
}

void measureEpochs(recorder &out)
{
    for (const std::size_t size : { 13, 40, 130, 400, 1300, 4000 }) {
        const std::string text = formatMembershipRecord(
                epoch_record{ "epoch-2", 10, makeVms(size) });
        out.bytes("epoch.record_text", size, static_cast<double>(text.size()));
        out.time("epoch.parse", size,
                 secondsOf([&] { sink += isOk(parseMembershipRecord(text)) ? 1.0 : 0.0; }));
        const double before = allocatedBytes();
        epoch_history history = settledEpochs(size);
        out.bytes("epoch.state", size, allocatedBytes() - before);
        out.time("epoch.share_one_account", size,
                 secondsOf([&] { sink += sharesOfAll(history, 1); }));
        history.apply(20, { "epoch-2", history.current(), withoutOneCentre(size) });
        out.time("epoch.share_unsettled", size,
                 secondsOf([&] { sink += sharesOfAll(history, 1); }));
        out.time("epoch.one_ack", size, secondsOf([&] {
                     history.apply(epoch_ack_record{ "ack", 20, vmName(0) });
                 }));
    }
    const epoch_history target = settledEpochs(1300);
    for (const std::size_t accounts : { 6, 19, 58, 190, 580 })
        out.time("epoch.shares_1300_vms", accounts,
                 secondsOnce([&] { sink += sharesOfAll(target, accounts); }));
}

void measureViews(recorder &out)
{
    for (const std::size_t size : { 13, 40, 130, 400, 1300, 4000 }) {
        std::vector<listed_vm> list;
        for (const epoch_vm &vm : makeVms(size))
            list.push_back({ vm.name, vm.dataCentre, vm_state::Live });
        const double before = allocatedBytes();
        view_tracker tracker;
        tracker.noteApplied(100);
        for (const listed_vm &vm : list)
            tracker.noteHeartbeat(vm.name, start, 100, 100);
        out.bytes("view.state", size, allocatedBytes() - before);
        out.time("view.all_heartbeats", size, secondsOf([&] {
                     for (const listed_vm &vm : list)
                         tracker.noteHeartbeat(vm.name, start, 100, 100);
                 }));
        out.time("view.as_of", size,
                 secondsOf([&] { sink += tracker.asOf(list, vmName(0), start) ? 1.0 : 0.0; }));
        const double beforeSet = allocatedBytes();
        pending_withdrawals withdrawals;
        for (const listed_vm &vm : list)
            withdrawals.merge(vm.name, { sha256Hex("key") });
        out.bytes("withdrawal.holders", size, allocatedBytes() - beforeSet);
    }
}

// Placement and prefixes.

std::vector<placement_endpoint> makeEndpoints(std::size_t count)
{
    std::vector<placement_endpoint> endpoints(count);
    for (std::size_t i = 0; i < count; ++i) {
        endpoints[i].name = "engine-" + std::to_string(100000 + i);
        endpoints[i].key = endpointKey(endpoints[i].name);
        endpoints[i].weightsVersion = "v1";
        endpoints[i].queuedTokens = static_cast<std::int64_t>(hash64(endpoints[i].name) % 20000);
        endpoints[i].loadAsOf = start;
    }
    return endpoints;
}

prompt_prefix promptOf(std::size_t number, std::size_t levels)
{
    std::string text = "prompt " + std::to_string(number);
    text.resize(8000 * levels, 'x');
    return cutPrompt(text, 1);
}

/// Mean time of a decision with its bookkeeping, as a request makes it.
double decisionSeconds(std::size_t endpoints, std::size_t levels)
{
    constexpr std::size_t Decisions = 500;
    const std::vector<placement_endpoint> all = makeEndpoints(endpoints);
    std::vector<prompt_prefix> prompts;
    for (std::size_t i = 0; i < 50; ++i)
        prompts.push_back(promptOf(i, levels));
    heat_sketch heat;
    recent_requests recent;
    const rendezvous_weights weights;
    const std::uint64_t pool = hash64("pool");
    time_point now = start;
    const auto decide = [&](std::size_t i) {
        const prompt_prefix &prompt = prompts[i * i % prompts.size()];
        now += std::chrono::milliseconds(11);
        recordHeat(heat, prompt, pool, now);
        const placement_view view{ &all, &heat, &recent, &weights, pool, 1300, now };
        placement_request request;
        request.prompt = &prompt;
        request.weightsVersion = "v1";
        const auto chosen = choosePlacement(view, request);
        if (!isOk(chosen))
            return;
        const placement_endpoint &endpoint = all[valueOf(chosen).chosen.endpoint];
        recent.recordSent(prompt, endpoint.key, 0, valueOf(chosen).workSeconds, now);
    };
    return secondsOnce([&] {
               for (std::size_t i = 0; i < Decisions; ++i)
                   decide(i);
           })
           / Decisions;
}

void measurePlacement(recorder &out)
{
    for (const std::size_t size : { 8, 25, 77, 250, 770, 2500 })
        out.time("placement.decision", size, decisionSeconds(size, 4));
    for (const std::size_t size : { 1, 2, 6, 20, 64, 100 })
        out.time("placement.levels_770", size, decisionSeconds(770, size));
    for (const std::size_t size : { 100, 300, 1000, 3000, 10000 }) {
        const double before = allocatedBytes();
        const std::vector<placement_endpoint> all = makeEndpoints(size);
        out.bytes("placement.endpoints", size, allocatedBytes() - before);
        sink += static_cast<double>(all.size());
    }
    for (const std::size_t size : { 0, 1, 2, 6, 20, 64 }) {
        const std::string text(8000 * size, 'x');
        out.time("prefix.cut_blocks", size,
                 secondsOf([&] { sink += static_cast<double>(cutPrompt(text, 1).levels.size()); }));
    }
    for (const std::size_t size : { 80, 250, 800, 2500, 8192 }) {
        const double before = allocatedBytes();
        recent_requests recent;
        for (std::size_t i = 0; i < size; ++i)
            recent.recordSent(promptOf(i, 1), i % 770, 1, 0.1, start);
        out.bytes("placement.recent", size, allocatedBytes() - before);
    }
}

void measureHeat(recorder &out)
{
    for (const std::size_t size : { 16, 64, 256, 1024, 4096 }) {
        heat_options options;
        options.capacity = size;
        const double before = allocatedBytes();
        heat_sketch heat(options);
        for (std::size_t i = 0; i < size; ++i)
            heat.record(hash64(std::to_string(i)), start);
        out.bytes("heat.state", size, allocatedBytes() - before);
        std::size_t next = size;
        out.time("heat.new_prefix", size,
                 secondsOf([&] { heat.record(hash64(std::to_string(++next)), start); }));
        out.time("heat.export", size,
                 secondsOf([&] { sink += static_cast<double>(heat.exportEntries(start).size()); }));
    }
}

void measureCacheEvents(recorder &out)
{
    for (const std::size_t size : { 80, 250, 800, 2500, 8000 }) {
        const double before = allocatedBytes();
        cache_view view;
        view.begin(1, 1);
        out.time("cache_events.apply", size, secondsOnce([&] {
                     for (std::size_t i = 0; i < size; ++i)
                         view.apply(1, 1, { i + 1, cache_event_kind::Added, hash64("b", i) });
                 }));
        out.bytes("cache_events.blocks", size, allocatedBytes() - before);
    }
}

// Metrics and evidence.

void measureMetrics(recorder &out)
{
    for (const std::size_t size : { 6, 19, 58, 190, 580, 1000 }) {
        const double before = allocatedBytes();
        metrics measures;
        const auto observeAll = [&] {
            for (std::size_t i = 0; i < size; ++i) {
                const std::string account = accountName(i);
                for (const auto &which : enum_names<timing>::Table)
                    measures.observe(which.value, account, "POST /v1/completions",
                                     std::chrono::milliseconds(28));
            }
        };
        observeAll();
        out.bytes("metrics.three_timings", size, allocatedBytes() - before);
        out.time("metrics.three_observations", size, secondsOf(observeAll));
        out.time("metrics.scrape", size, secondsOf([&] {
                     sink += static_cast<double>(formatMetrics(measures.snapshot()).size());
                 }));
        out.bytes("metrics.text", size,
                  static_cast<double>(formatMetrics(measures.snapshot()).size()));
    }
}

move_evidence evidenceOf(std::size_t vms)
{
    move_evidence evidence;
    for (std::size_t i = 0; i < vms; ++i) {
        for (const bool isNew : { false, true }) {
            const evidence_key key{ vmName(i), 1, 5, 1, "POST /v1/completions", isNew };
            evidence[key] = { 100 + i, i % 3, 90 + i, i % 5 };
        }
    }
    return evidence;
}

void measureEvidence(recorder &out)
{
    for (const std::size_t size : { 13, 40, 130, 400, 1300, 4000 }) {
        const double before = allocatedBytes();
        const move_evidence all = evidenceOf(size);
        out.bytes("evidence.one_move", size, allocatedBytes() - before);
        move_evidence target = all;
        out.time("evidence.merge", size, secondsOf([&] { mergeEvidence(target, all); }));
        out.time("evidence.judge", size, secondsOf([&] {
                     sink += static_cast<double>(judgeStage(target, 5, 1, evidence_options()));
                 }));
    }
}

deployment deploymentOf(std::uint64_t version, std::size_t routes)
{
    deployment source;
    source.version = version;
    for (std::size_t i = 0; i < routes; ++i) {
        deployment_route route;
        route.name = "route-" + std::to_string(i);
        route.host = "host" + std::to_string(i % 20) + ".example";
        route.pathPrefix = "/prefix" + std::to_string(i) + "/";
        route.pools = { { "pool", 1.0 } };
        source.routes.push_back(std::move(route));
    }
    return source;
}

/// The cost of a version that changes nothing, and of one that adds 1,400 routes, at the VM that
/// reads the log ("put") and at the others ("apply"), by the routes that the deployment has.
void measureDeployments(recorder &out)
{
    constexpr std::size_t Added = 1400;
    for (const std::size_t size : { 1400, 2800, 5600, 11200, 22400 }) {
        const double before = allocatedBytes();
        deployment_history history;
        history.put(deploymentOf(1, size));
        out.bytes("deployment.state", size, allocatedBytes() - before);
        const deployment_history replica = history;
        out.bytes("deployment.snapshot", size,
                  static_cast<double>(encodeDeploymentUpdate(history.since({})).size()));
        for (const std::size_t added : { std::size_t(0), Added }) {
            const std::string name = "deployment.add_" + std::to_string(added);
            const deployment next = deploymentOf(2, size + added);
            deployment_history reader = history;
            out.time(name + ".put", size, secondsOnce([&] { reader.put(next); }));
            const deployment_update update = reader.since(1);
            out.bytes(name + ".update", size,
                      static_cast<double>(encodeDeploymentUpdate(update).size()));
            deployment_history follower = replica;
            out.time(name + ".apply", size,
                     secondsOnce([&] { sink += isOk(follower.apply(update)) ? 1.0 : 0.0; }));
        }
    }
}

struct bench_case
{
    const char *name;
    void (*run)(recorder &out);
};

constexpr std::array<bench_case, 12> Cases{ {
        { "config", measureConfig },
        { "claims", measureClaims },
        { "limits", measureLimits },
        { "messages", measureMessages },
        { "epochs", measureEpochs },
        { "views", measureViews },
        { "placement", measurePlacement },
        { "heat", measureHeat },
        { "cache_events", measureCacheEvents },
        { "metrics", measureMetrics },
        { "evidence", measureEvidence },
        { "deployments", measureDeployments },
} };

} // namespace

int main(int argc, char **argv)
{
    namespace options_lib = boost::program_options;
    std::string only;
    options_lib::options_description description("capacity_bench options");
    auto add = description.add_options();
    add("help", "print this text");
    add("only", options_lib::value(&only), "run the case of this name");
    options_lib::variables_map values;
    try {
        options_lib::store(options_lib::parse_command_line(argc, argv, description), values);
        options_lib::notify(values);
    } catch (const options_lib::error &error) {
        std::cerr << "capacity_bench: " << error.what() << "\n";
        return 2;
    }
    if (values.count("help") > 0) {
        std::cout << description;
        return 0;
    }
    std::printf("name, unit, size:value ... | least-squares line through the points\n");
    for (const bench_case &one : Cases) {
        if (!only.empty() && only != one.name)
            continue;
        recorder out;
        one.run(out);
        out.printAll();
    }
    return sink < 0.0 ? 1 : 0;
}
