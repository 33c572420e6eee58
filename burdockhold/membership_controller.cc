#include "burdockhold/membership_controller.h"

#include "burdockhold/logging.h"
#include "burdockhold/random_id.h"
#include "burdockhold/task_guard.h"
#include "burdockhold/vm_list.h"

#include <cpprest/http_client.h>

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <iterator>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

namespace burdockhold {

namespace {

constexpr char ConfigStream[] = "config";
constexpr std::string_view Component = "membership";
constexpr duration StepInterval = std::chrono::milliseconds(20);
constexpr duration WithdrawAnswerLimit = std::chrono::seconds(1);
constexpr duration WithdrawResendInterval = std::chrono::milliseconds(250);
constexpr duration AppendRetryInterval = std::chrono::milliseconds(500);

/// The VM that took a withdrawal appends it at once. The others wait this long, so that usually one
/// record is enough.
constexpr duration ForeignAppendDelay = std::chrono::seconds(2);

constexpr std::size_t MaxWithdrawalsPerAppend = 100;

/// The newest VM list and the poll that runs. Shared with the poll's continuation.
struct vm_list_poll
{
    std::mutex mutex; ///< Guards all below.
    bool running = false;
    std::uint64_t errors = 0;
    std::optional<std::vector<vm_list_entry>> fresh; ///< Read and not yet taken.

    void finish(std::optional<std::vector<vm_list_entry>> rows)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        running = false;
        if (rows)
            fresh = std::move(rows);
        else
            ++errors;
    }
};

std::optional<std::vector<vm_list_entry>> rowsOf(const pplx::task<std::string> &body)
{
    try {
        auto rows = parseVmList(body.get());
        if (isOk(rows))
            return std::move(valueOf(rows));
    } catch (...) {
        // The service is away; the last list is kept.
    }
    return std::nullopt;
}

/// Reads the VM list without blocking.
void pollList(const std::string &url, duration timeout, const std::shared_ptr<vm_list_poll> &poll)
{
    namespace client = web::http::client;
    client::http_client_config config;
    config.set_timeout(std::chrono::duration_cast<std::chrono::microseconds>(timeout));
    try {
        const auto http = std::make_shared<client::http_client>(url, config);
        http->request(web::http::methods::GET, "/vms")
                .then([](const web::http::http_response &response) {
                    if (response.status_code() != web::http::status_codes::OK)
                        return pplx::task_from_result(std::string());
                    return response.extract_utf8string(true);
                })
                .then([poll, http](const pplx::task<std::string> &body) {
                    poll->finish(rowsOf(body));
                });
    } catch (...) {
        poll->finish(std::nullopt);
    }
}

/// One kind of append: not while another one runs, and not soon after.
struct append_slot
{
    std::mutex mutex; ///< Guards the members.
    bool running = false;
    time_point next;

    bool tryBegin(time_point now)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        if (running || now < next)
            return false;
        running = true;
        next = now + AppendRetryInterval;
        return true;
    }

    void finish()
    {
        const std::lock_guard<std::mutex> lock(mutex);
        running = false;
    }
};

bool isKeyWithdrawn(const catalogue &config, const std::string &digest)
{
    const auto key = config.keys.find(digest);
    return key != config.keys.end() && key->second.value.withdrawn;
}

} // namespace

class membership_controller::impl
{
public:
    impl(membership_options options, blackboard &board)
        : m_options(std::move(options))
        , m_board(board)
        , m_log(m_options.log)
        , m_proposer({ m_options.self })
        , m_stops(m_options.maxViewAge)
        , m_config(board.config.read())
    {
    }

    ~impl() { stop(); }

    void setHooks(membership_hooks hooks) { m_hooks = std::move(hooks); }

    void start(peer_link &link)
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_link = &link;
        }
        m_thread = std::thread([this] { run(); });
    }

    void stop()
    {
        std::vector<open_withdrawal> open;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_stopped = true;
            open.swap(m_open);
        }
        m_wakeUp.notify_all();
        if (m_thread.joinable())
            m_thread.join();
        for (const open_withdrawal &item : open)
            item.done(resultOf(item.digest));
    }

    peer_body serve(const peer_message &message)
    {
        std::vector<std::string> added;
        peer_body reply = heartbeat_message();
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            if (const auto *beat = std::get_if<heartbeat_message>(&message.body)) {
                added = take(message.sender, beat->withdrawals);
                reply = makeHeartbeat();
            } else if (const auto *order = std::get_if<withdraw_message>(&message.body)) {
                added = take(message.sender, { order->digest });
                reply = withdraw_message{ order->digest, m_pending.contains(order->digest) };
            }
        }
        cancelAll(added);
        return reply;
    }

    void withdraw(const std::string &digest, withdrawal_callback done)
    {
        withdrawal_callback refused;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_pending.add(digest);
            if (!m_pending.contains(digest) || m_stopped) {
                refused = std::move(done);
            } else {
                const time_point now = steadyNow();
                m_appendFrom[digest] = now;
                publishWithdrawals({ digest });
                m_open.push_back({ digest, now + WithdrawAnswerLimit, now + WithdrawResendInterval,
                                   std::move(done) });
                sendWithdrawal(digest);
            }
        }
        if (refused)
            refused({});
        else
            cancelAll({ digest });
    }

    membership_status status() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        membership_status status;
        status.epoch = m_epochs.current();
        status.epochKnown = m_epochsKnown;
        status.vms = m_vms.size();
        status.pendingWithdrawals = m_pending.pending().size();
        status.unsettled = m_epochs.unsettledVms();
        const std::lock_guard<std::mutex> pollLock(m_poll->mutex);
        status.listErrors = m_poll->errors;
        return status;
    }

    void onConfigRecord(const log_record &record)
    {
        const auto parsed = parseMembershipRecord(record.data);
        if (!isOk(parsed))
            return; // Another kind; replay counts malformed ones.
        const std::lock_guard<std::mutex> lock(m_recordMutex);
        m_records.push_back({ record.offset, valueOf(parsed) });
    }

    void onConfigRestart()
    {
        const std::lock_guard<std::mutex> lock(m_recordMutex);
        m_recordsLost = true;
    }

private:
    struct read_record
    {
        log_offset offset = 0;
        membership_record record;
    };

    struct open_withdrawal
    {
        std::string digest;
        time_point deadline;
        time_point resend;
        withdrawal_callback done;
    };

    /// What a step found to do after the lock is released.
    struct step_actions
    {
        std::vector<std::string> cancelled;
        std::vector<std::pair<withdrawal_callback, withdrawal_result>> answers;
        bool stale = false;
    };

    void run()
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        while (!m_stopped) {
            lock.unlock();
            const bool whole = step();
            lock.lock();
            m_wakeUp.wait_for(lock, whole ? StepInterval : FailedRoundDelay,
                              [this] { return m_stopped; });
        }
    }

    /// Returns false if a part of the round failed.
    bool step()
    {
        step_actions actions;
        const bool whole = runStep(Component, "", [&] { findActions(actions); });
        carryOut(actions);
        return whole;
    }

    void findActions(step_actions &actions)
    {
        const time_point now = steadyNow();
        // In this order: the catalogue and the records contain all that the tail read showed.
        const view_freshness tail = m_hooks.logFreshness();
        auto config = m_board.config.read();
        const std::lock_guard<std::mutex> lock(m_mutex);
        takeRecords();
        takeCatalogue(std::move(config), actions);
        takeList(now);
        m_synced = tail.synced;
        if (tail.synced)
            m_view.noteTailRead(tail.asOf);
        m_view.noteApplied(m_config->offset);
        m_stops.update(m_epochs, m_proposer, isEpochWidelyKnown(), now);
        applyShares();
        actions.stale = publishFreshness(now);
        sendHeartbeats(now);
        if (!actions.stale)
            appendEpochRecords(now);
        appendWithdrawals(now);
        answerWithdrawals(now, actions);
    }

    /// Requests of withdrawn keys are cancelled even if the rest of the round failed: the next
    /// round does not find these keys again.
    void carryOut(const step_actions &actions) const
    {
        cancelAll(actions.cancelled);
        if (actions.stale)
            runStep(Component, "", m_hooks.cancelKeyed);
        for (const auto &[done, outcome] : actions.answers)
            runStep(Component, "", [&done = done, &outcome = outcome] { done(outcome); });
    }

    void takeRecords()
    {
        std::deque<read_record> records;
        bool lost = false;
        {
            const std::lock_guard<std::mutex> lock(m_recordMutex);
            records.swap(m_records);
            lost = m_recordsLost;
        }
        m_sharesChanged = m_sharesChanged || !records.empty() || lost == m_epochsKnown;
        m_epochsKnown = !lost;
        for (const read_record &item : records) {
            if (const auto *epoch = std::get_if<epoch_record>(&item.record))
                m_epochs.apply(item.offset, *epoch);
            else
                m_epochs.apply(std::get<epoch_ack_record>(item.record));
        }
    }

    /// Finds keys that the config stream has withdrawn since the last catalogue.
    void takeCatalogue(std::shared_ptr<const catalogue> config, step_actions &actions)
    {
        if (config == m_config)
            return;
        for (const auto &[digest, key] : config->keys) {
            if (!key.value.withdrawn || isKeyWithdrawn(*m_config, digest))
                continue;
            actions.cancelled.push_back(digest);
            m_pending.noteLogged(digest);
        }
        m_config = std::move(config);
        m_sharesChanged = true;
    }

    void takeList(time_point now)
    {
        std::optional<std::vector<vm_list_entry>> rows;
        bool begin = false;
        {
            const std::lock_guard<std::mutex> lock(m_poll->mutex);
            rows = std::exchange(m_poll->fresh, std::nullopt);
            begin = !m_poll->running && now >= m_nextPoll;
            m_poll->running = m_poll->running || begin;
        }
        if (begin) {
            m_nextPoll = now + m_options.vmsInterval;
            pollList(m_options.vmsUrl, m_options.log.readTimeout, m_poll);
        }
        if (!rows)
            return;
        m_vms.clear();
        std::map<std::string, std::string> peers;
        for (const vm_list_entry &row : *rows) {
            m_vms.push_back(row.vm);
            if (row.vm.name != m_options.self)
                peers[row.vm.name] = row.peer;
        }
        m_proposer.observe(m_vms, now);
        m_sharesChanged = m_sharesChanged || peers != m_peers;
        if (peers != m_peers)
            m_link->setPeers(peers);
        m_peers = std::move(peers);
    }

    bool isEpochWidelyKnown() const
    {
        return m_epochs.current() != 0
               && m_view.majorityApplied(m_epochs.current(), m_vms, m_options.self,
                                         m_config->offset);
    }

    void applyShares()
    {
        // An epoch that is not settled may become so by a VM's absence, without a record.
        if (!m_sharesChanged && m_epochs.unsettled() == 0)
            return;
        m_sharesChanged = false;
        share_view shares{ m_epochsKnown, m_epochs, {} };
        for (const auto &item : m_peers)
            shares.peers.push_back(item.first);
        m_hooks.applyShares(*m_config, shares);
    }

    /// Publishes how fresh the view is. Returns whether it is too old to serve keyed requests.
    bool publishFreshness(time_point now)
    {
        const auto asOf = m_view.asOf(m_vms, m_options.self, now);
        view_freshness fresh;
        fresh.synced = m_synced && asOf.has_value();
        if (asOf)
            fresh.asOf = *asOf;
        m_board.freshness.publish(fresh);
        if (fresh.synced)
            m_hooks.setFreshUntil(fresh.asOf + m_options.maxViewAge);
        return !fresh.synced || now - fresh.asOf > m_options.maxViewAge;
    }

    heartbeat_message makeHeartbeat() const
    {
        return { m_synced ? m_config->offset : 0, m_pending.pending(), {} };
    }

    peer_message message(peer_body body)
    {
        return { m_options.self, m_options.incarnation, ++m_lastMessage, std::move(body) };
    }

    void sendHeartbeats(time_point now)
    {
        if (now < m_nextHeartbeat)
            return;
        m_nextHeartbeat = now + m_options.heartbeatInterval;
        for (const auto &item : m_peers) {
            const std::string peer = item.first;
            const time_point sentAt = steadyNow();
            m_link->send(peer, message(makeHeartbeat()),
                         [this, peer, sentAt](const peer_reply &reply) {
                             if (isOk(reply))
                                 takeHeartbeat(peer, sentAt, valueOf(reply));
                         });
        }
    }

    void takeHeartbeat(const std::string &peer, time_point sentAt, const peer_message &reply)
    {
        const auto *beat = std::get_if<heartbeat_message>(&reply.body);
        if (beat == nullptr || reply.sender != peer)
            return;
        std::vector<std::string> added;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            added = take(peer, beat->withdrawals);
            // A peer that has not read the log knows nothing that could confirm this view.
            if (beat->applied > 0)
                m_view.noteHeartbeat(peer, sentAt, beat->applied, m_config->offset);
        }
        cancelAll(added);
    }

    /// Merges withdrawals that a peer holds and publishes the new ones. Returns the new ones.
    std::vector<std::string> take(const std::string &peer, const std::vector<std::string> &digests)
    {
        std::vector<std::string> valid;
        std::copy_if(digests.begin(), digests.end(), std::back_inserter(valid), isKeyDigest);
        // A record with any other text is malformed, and would be appended again without end.
        if (valid.size() < digests.size())
            logEvent(log_level::Warn, Component, "withdrawals of a peer are no digests of keys",
                     { { "peer", peer }, { "ignored", digests.size() - valid.size() } });
        auto added = m_pending.merge(peer, valid);
        for (const std::string &digest : added) {
            m_appendFrom[digest] = steadyNow() + ForeignAppendDelay;
            if (isKeyWithdrawn(*m_config, digest))
                m_pending.noteLogged(digest);
        }
        publishWithdrawals(added);
        return added;
    }

    void publishWithdrawals(const std::vector<std::string> &digests)
    {
        if (digests.empty())
            return;
        m_withdrawn.digests.insert(digests.begin(), digests.end());
        m_board.withdrawals.publish(m_withdrawn);
    }

    void cancelAll(const std::vector<std::string> &digests) const
    {
        for (const std::string &digest : digests)
            runStep(Component, "", [&] { m_hooks.cancelKey(digest); });
    }

    void sendWithdrawal(const std::string &digest)
    {
        if (m_link == nullptr)
            return;
        for (const std::string &peer : m_pending.unconfirmed(digest, m_vms, m_options.self)) {
            m_link->send(peer, message(withdraw_message{ digest, true }),
                         [this, peer, digest](const peer_reply &reply) {
                             if (isOk(reply))
                                 takeConfirmation(peer, digest, valueOf(reply));
                         });
        }
    }

    void takeConfirmation(const std::string &peer, const std::string &digest,
                          const peer_message &reply)
    {
        const auto *answer = std::get_if<withdraw_message>(&reply.body);
        if (answer == nullptr || !answer->held || answer->digest != digest || reply.sender != peer)
            return;
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_pending.merge(peer, { digest });
    }

    withdrawal_result resultOf(const std::string &digest) const
    {
        withdrawal_result outcome;
        outcome.held = true;
        outcome.vms = m_vms.size();
        outcome.unconfirmed = m_pending.unconfirmed(digest, m_vms, m_options.self);
        outcome.holders = m_vms.size() - outcome.unconfirmed.size();
        outcome.accepted = m_pending.isAccepted(digest, m_vms, m_options.self);
        return outcome;
    }

    void answerWithdrawals(time_point now, step_actions &actions)
    {
        std::vector<open_withdrawal> waiting;
        for (open_withdrawal &item : m_open) {
            withdrawal_result outcome = resultOf(item.digest);
            if ((outcome.accepted && outcome.unconfirmed.empty()) || now >= item.deadline) {
                actions.answers.emplace_back(std::move(item.done), std::move(outcome));
                continue;
            }
            if (now >= item.resend) {
                item.resend = now + WithdrawResendInterval;
                sendWithdrawal(item.digest);
            }
            waiting.push_back(std::move(item));
        }
        m_open.swap(waiting);
    }

    /// Appends without waiting. A lost answer does no harm: the record is appended again, and
    /// replay drops the second one.
    void append(const std::vector<std::string> &records, const std::shared_ptr<append_slot> &slot)
    {
        const auto send = [&] {
            m_log.append(ConfigStream, records)
                    .then([slot](const result<append_answer, log_error> &) { slot->finish(); });
        };
        if (!runStep(Component, "", send))
            slot->finish();
    }

    void appendWithdrawals(time_point now)
    {
        std::vector<std::string> records;
        for (const std::string &digest : m_pending.pending()) {
            if (records.size() < MaxWithdrawalsPerAppend && now >= m_appendFrom[digest])
                records.push_back(
                        formatRecord({ "withdraw-" + digest, key_withdraw_record{ digest } }));
        }
        if (!records.empty() && m_withdrawSlot->tryBegin(now))
            append(records, m_withdrawSlot);
    }

    void appendEpochRecords(time_point now)
    {
        if (!m_epochsKnown)
            return;
        // applyShares() has put the epoch in force, so it may be acknowledged.
        const log_offset epoch = m_epochs.toAcknowledge(m_options.self);
        if (epoch != 0 && m_ackSlot->tryBegin(now))
            append({ formatMembershipRecord(
                           epoch_ack_record{ randomHex(16), epoch, m_options.self }) },
                   m_ackSlot);
        auto proposal = m_proposer.propose(m_epochs, now);
        if (proposal && m_epochSlot->tryBegin(now)) {
            proposal->id = randomHex(16);
            append({ formatMembershipRecord(*proposal) }, m_epochSlot);
        }
    }

    const membership_options m_options;
    blackboard &m_board;
    const log_client m_log;

    std::mutex m_recordMutex; ///< Guards the two below. Taken under the follower's lock.
    std::deque<read_record> m_records;
    bool m_recordsLost = false;

    const std::shared_ptr<vm_list_poll> m_poll = std::make_shared<vm_list_poll>();
    const std::shared_ptr<append_slot> m_withdrawSlot = std::make_shared<append_slot>();
    const std::shared_ptr<append_slot> m_ackSlot = std::make_shared<append_slot>();
    const std::shared_ptr<append_slot> m_epochSlot = std::make_shared<append_slot>();

    membership_hooks m_hooks;   ///< Set before the threads that use it start.
    mutable std::mutex m_mutex; ///< Guards the members below.
    peer_link *m_link = nullptr;
    epoch_history m_epochs;
    bool m_epochsKnown = true;
    bool m_sharesChanged = true;
    epoch_proposer m_proposer;
    stop_detector m_stops;
    view_tracker m_view;
    pending_withdrawals m_pending;
    withdrawn_keys m_withdrawn;
    std::map<std::string, time_point> m_appendFrom;
    std::vector<open_withdrawal> m_open;
    std::vector<listed_vm> m_vms;
    std::map<std::string, std::string> m_peers;
    std::shared_ptr<const catalogue> m_config;
    bool m_synced = false;
    std::uint64_t m_lastMessage = 0;
    time_point m_nextPoll;
    time_point m_nextHeartbeat;
    bool m_stopped = false;
    std::condition_variable m_wakeUp;
    std::thread m_thread;
};

membership_controller::membership_controller(membership_options options, blackboard &board)
    : m_impl(std::make_unique<impl>(std::move(options), board))
{
}

membership_controller::~membership_controller() = default;

void membership_controller::setHooks(membership_hooks hooks)
{
    m_impl->setHooks(std::move(hooks));
}

void membership_controller::start(peer_link &link)
{
    m_impl->start(link);
}

void membership_controller::stop()
{
    m_impl->stop();
}

peer_body membership_controller::serve(const peer_message &message)
{
    return m_impl->serve(message);
}

void membership_controller::withdraw(const std::string &digest, withdrawal_callback done)
{
    m_impl->withdraw(digest, std::move(done));
}

membership_status membership_controller::status() const
{
    return m_impl->status();
}

void membership_controller::onConfigRecord(const log_record &record)
{
    m_impl->onConfigRecord(record);
}

void membership_controller::onConfigRestart(log_offset /*earliest*/)
{
    m_impl->onConfigRestart();
}

} // namespace burdockhold
