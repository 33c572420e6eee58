#include "burdockhold/membership.h"

#include "burdockhold/hash.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace burdockhold {

namespace {

using json_value = nlohmann::json;

basic_error<membership_error> makeError(membership_error code, const std::string &text,
                                        const std::string &field)
{
    return { code, text, field };
}

bool isName(const json_value &object, const char *field)
{
    const auto value = object.find(field);
    return value != object.end() && value->is_string()
           && !value->get_ref<const std::string &>().empty();
}

bool isOffset(const json_value &object, const char *field)
{
    const auto value = object.find(field);
    return value != object.end() && value->is_number_unsigned();
}

result<membership_record, membership_error> parseEpoch(const json_value &object)
{
    if (!isOffset(object, "based_on"))
        return makeError(membership_error::WrongType, "an offset is needed", "based_on");
    const auto vms = object.find("vms");
    if (vms == object.end() || !vms->is_array())
        return makeError(membership_error::WrongType, "a list of VMs is needed", "vms");
    if (vms->empty() || vms->size() > MaxEpochVms)
        return makeError(membership_error::OutOfBounds, "the number of VMs is out of bounds",
                         "vms");
    epoch_record record{ object["id"].get<std::string>(),
                         object["based_on"].get<log_offset>(),
                         {} };
    for (const auto &vm : *vms) {
        if (!vm.is_object() || !isName(vm, "name") || !isName(vm, "data_centre"))
            return makeError(membership_error::WrongType, "name and data_centre are needed", "vms");
        record.vms.push_back(
                { vm["name"].get<std::string>(), vm["data_centre"].get<std::string>() });
    }
    const auto notAscending = [](const epoch_vm &a, const epoch_vm &b) { return a.name >= b.name; };
    if (std::adjacent_find(record.vms.begin(), record.vms.end(), notAscending) != record.vms.end())
        return makeError(membership_error::OutOfBounds, "VMs must be sorted and unique", "vms");
    return membership_record(std::move(record));
}

result<membership_record, membership_error> parseAck(const json_value &object)
{
    if (!isOffset(object, "epoch"))
        return makeError(membership_error::WrongType, "an offset is needed", "epoch");
    if (!isName(object, "vm"))
        return makeError(membership_error::WrongType, "a VM name is needed", "vm");
    return membership_record(epoch_ack_record{ object["id"].get<std::string>(),
                                               object["epoch"].get<log_offset>(),
                                               object["vm"].get<std::string>() });
}

/// Returns the share of vm when these minters, sorted by name, have equal shares.
double shareAmong(const std::vector<std::string> &minters, const std::string &vm)
{
    if (!std::binary_search(minters.begin(), minters.end(), vm))
        return 0.0;
    return 1.0 / static_cast<double>(minters.size());
}

json_value toJson(const epoch_record &record)
{
    json_value vms = json_value::array();
    for (const auto &vm : record.vms)
        vms.push_back({ { "name", vm.name }, { "data_centre", vm.dataCentre } });
    return { { "id", record.id },
             { "kind", "epoch" },
             { "based_on", record.basedOn },
             { "vms", std::move(vms) } };
}

json_value toJson(const epoch_ack_record &record)
{
    return {
        { "id", record.id }, { "kind", "epoch_ack" }, { "epoch", record.epoch }, { "vm", record.vm }
    };
}

} // namespace

std::string formatMembershipRecord(const membership_record &record)
{
    return std::visit(
            [](const auto &r) {
                return toJson(r).dump(-1, ' ', false, json_value::error_handler_t::replace);
            },
            record);
}

result<membership_record, membership_error> parseMembershipRecord(std::string_view json)
{
    const json_value object = json_value::parse(json, nullptr, false);
    if (!object.is_object())
        return makeError(membership_error::Malformed, "the record is not a JSON object", "");
    if (!isName(object, "id"))
        return makeError(membership_error::WrongType, "a record id is needed", "id");
    if (!isName(object, "kind"))
        return makeError(membership_error::WrongType, "a kind is needed", "kind");
    const auto kind = object["kind"].get<std::string>();
    if (kind == "epoch")
        return parseEpoch(object);
    if (kind == "epoch_ack")
        return parseAck(object);
    return makeError(membership_error::UnknownKind, "the kind is not a membership record", kind);
}

std::vector<std::string> mintersOf(const std::vector<epoch_vm> &vms, std::string_view account,
                                   const share_policy &policy)
{
    std::map<std::string, std::vector<std::pair<std::uint64_t, std::string>>> byCentre;
    for (const auto &vm : vms)
        byCentre[vm.dataCentre].emplace_back(hash64(account, hash64(vm.name)), vm.name);
    std::vector<std::string> minters;
    for (auto &centre : byCentre) {
        auto &ranked = centre.second;
        std::sort(ranked.rbegin(), ranked.rend());
        if (policy.mintersPerDataCentre > 0 && ranked.size() > policy.mintersPerDataCentre)
            ranked.resize(policy.mintersPerDataCentre);
        for (const auto &vm : ranked)
            minters.push_back(vm.second);
    }
    std::sort(minters.begin(), minters.end());
    return minters;
}

bool epoch_history::apply(log_offset offset, const epoch_record &record)
{
    if (record.basedOn != current() || offset <= current())
        return false;
    if (m_epochs.empty())
        m_epochs.push_back({}); // No VM has a share before the first epoch.
    m_epochs.push_back({ offset, record.vms });
    dropSettled();
    return true;
}

void epoch_history::apply(const epoch_ack_record &record)
{
    log_offset &latest = m_acknowledged[record.vm];
    latest = std::max(latest, record.epoch);
    dropSettled();
}

void epoch_history::noteStopped(const std::string &vm, log_offset offset)
{
    log_offset &latest = m_stopped[vm];
    latest = std::max(latest, offset);
    dropSettled();
}

log_offset epoch_history::current() const
{
    return m_epochs.empty() ? 0 : m_epochs.back().offset;
}

std::vector<epoch_vm> epoch_history::vms() const
{
    return m_epochs.empty() ? std::vector<epoch_vm>() : m_epochs.back().vms;
}

std::vector<std::string> epoch_history::minters(std::string_view account) const
{
    return mintersOf(vms(), account, m_policy);
}

double epoch_history::usableShare(std::string_view account, const std::string &vm) const
{
    if (m_epochs.empty())
        return 0.0;
    std::vector<std::vector<std::string>> chosen;
    chosen.reserve(m_epochs.size());
    for (const auto &e : m_epochs)
        chosen.push_back(mintersOf(e.vms, account, m_policy));
    double share = 1.0;
    for (std::size_t i = m_epochs.size(); i-- > 0;) {
        share = std::min(share, shareAmong(chosen[i], vm));
        if (isSettled(i, chosen))
            break;
    }
    return share;
}

log_offset epoch_history::toAcknowledge(const std::string &vm) const
{
    if (m_epochs.size() < 2 || hasConfirmed(vm, current()))
        return 0;
    return vmsBefore(m_epochs.size() - 1).count(vm) != 0 ? current() : 0;
}

std::vector<std::string> epoch_history::unsettledVms() const
{
    std::vector<std::string> waiting;
    if (m_epochs.empty())
        return waiting;
    for (const auto &vm : vmsBefore(m_epochs.size() - 1)) {
        if (!hasConfirmed(vm, current()))
            waiting.push_back(vm);
    }
    return waiting;
}

bool epoch_history::hasConfirmed(const std::string &vm, log_offset offset) const
{
    const auto reached = [&](const std::map<std::string, log_offset> &table) {
        const auto entry = table.find(vm);
        return entry != table.end() && entry->second >= offset;
    };
    return reached(m_acknowledged) || reached(m_stopped);
}

bool epoch_history::isSettled(std::size_t index,
                              const std::vector<std::vector<std::string>> &chosen) const
{
    if (index == 0)
        return true;
    for (const auto &vm : vmsBefore(index)) {
        if (hasConfirmed(vm, m_epochs[index].offset))
            continue;
        const double share = shareAmong(chosen[index], vm);
        for (std::size_t i = 0; i < index; ++i) {
            if (shareAmong(chosen[i], vm) > share)
                return false;
        }
    }
    return true;
}

std::set<std::string> epoch_history::vmsBefore(std::size_t index) const
{
    std::set<std::string> names;
    for (std::size_t i = 0; i < index; ++i) {
        for (const auto &vm : m_epochs[i].vms)
            names.insert(vm.name);
    }
    return names;
}

void epoch_history::dropSettled()
{
    for (std::size_t i = m_epochs.size(); i-- > 1;) {
        const auto names = vmsBefore(i);
        const bool settled = std::all_of(names.begin(), names.end(), [&](const std::string &vm) {
            return hasConfirmed(vm, m_epochs[i].offset);
        });
        if (settled) {
            m_epochs.erase(m_epochs.begin(), m_epochs.begin() + static_cast<std::ptrdiff_t>(i));
            return;
        }
    }
}

void epoch_proposer::observe(const std::vector<listed_vm> &vms, time_point now)
{
    m_list = vms;
    if (!m_firstList)
        m_firstList = now;
    for (const auto &vm : vms)
        m_lastListed[vm.name] = now;
}

bool epoch_proposer::isAbsent(const std::string &vm, time_point now) const
{
    const bool listed = std::any_of(m_list.begin(), m_list.end(),
                                    [&](const listed_vm &l) { return l.name == vm; });
    if (!m_firstList || listed)
        return false;
    const auto last = m_lastListed.find(vm);
    const time_point since = last == m_lastListed.end() ? *m_firstList : last->second;
    return now - since >= m_options.hold;
}

std::vector<epoch_vm> epoch_proposer::wanted(const epoch_history &history, time_point now) const
{
    std::map<std::string, epoch_vm> chosen;
    for (const auto &vm : history.vms()) {
        if (!isAbsent(vm.name, now))
            chosen[vm.name] = vm;
    }
    for (const auto &vm : m_list) {
        if (vm.state == vm_state::Live)
            chosen[vm.name] = { vm.name, vm.dataCentre };
        else
            chosen.erase(vm.name);
    }
    std::vector<epoch_vm> vms;
    vms.reserve(chosen.size());
    for (const auto &entry : chosen)
        vms.push_back(entry.second);
    return vms;
}

duration epoch_proposer::delayOf(log_offset basedOn) const
{
    const auto score = [&](const std::string &vm) { return hash64(vm, basedOn + 1); };
    const auto before = std::count_if(m_list.begin(), m_list.end(), [&](const listed_vm &vm) {
        return vm.name != m_options.self && score(vm.name) > score(m_options.self);
    });
    const auto jitter = static_cast<double>(score(m_options.self) % 1000) / 2000.0;
    return fromSeconds(toSeconds(m_options.turn) * (static_cast<double>(before) + jitter));
}

std::optional<epoch_record> epoch_proposer::propose(const epoch_history &history, time_point now)
{
    const auto vms = m_firstList ? wanted(history, now) : history.vms();
    if (vms.empty() || vms == history.vms() || vms.size() > MaxEpochVms
        || history.unsettled() >= MaxUnsettledEpochs) {
        m_due.reset();
        return std::nullopt;
    }
    if (!m_due || vms != m_pending || history.current() != m_pendingBase) {
        m_pending = vms;
        m_pendingBase = history.current();
        m_due = now + delayOf(m_pendingBase);
    }
    if (now < *m_due)
        return std::nullopt;
    m_due = now + m_options.turn * static_cast<std::int64_t>(m_list.size() + 1);
    return epoch_record{ {}, m_pendingBase, vms };
}

void view_tracker::noteTailRead(time_point sentAt)
{
    if (!m_tailRead || *m_tailRead < sentAt)
        m_tailRead = sentAt;
}

void view_tracker::noteHeartbeat(const std::string &peer, time_point sentAt, log_offset offset,
                                 log_offset applied)
{
    peer_view &view = m_peers[peer];
    view.highest = std::max(view.highest, offset);
    // A peer's offset only grows, so an exchange confirms the view once all that it was ever known
    // to hold is applied here.
    if (view.highest <= applied) {
        if (!view.confirmed || *view.confirmed < sentAt)
            view.confirmed = sentAt;
        view.pendingOffset = 0;
    } else if (view.pendingOffset == 0 || view.pendingSince < sentAt) {
        view.pendingSince = sentAt;
        view.pendingOffset = view.highest;
    }
}

void view_tracker::noteApplied(log_offset applied)
{
    for (auto &entry : m_peers) {
        peer_view &view = entry.second;
        if (view.pendingOffset == 0 || view.pendingOffset > applied)
            continue;
        if (!view.confirmed || *view.confirmed < view.pendingSince)
            view.confirmed = view.pendingSince;
        view.pendingOffset = 0;
    }
}

std::optional<time_point> view_tracker::asOf(const std::vector<listed_vm> &vms,
                                             const std::string &self, time_point now) const
{
    std::vector<time_point> confirmed;
    for (const auto &vm : vms) {
        const auto peer = m_peers.find(vm.name);
        if (vm.name == self)
            confirmed.push_back(now);
        else if (peer != m_peers.end() && peer->second.confirmed)
            confirmed.push_back(*peer->second.confirmed);
    }
    std::sort(confirmed.rbegin(), confirmed.rend());
    const std::size_t last = vms.size() / 2; // Index of the VM that completes a majority.
    std::optional<time_point> latest = m_tailRead;
    if (vms.size() > 1 && confirmed.size() > last && (!latest || *latest < confirmed[last]))
        latest = confirmed[last];
    return latest;
}

bool view_tracker::majorityApplied(log_offset offset, const std::vector<listed_vm> &vms,
                                   const std::string &self, log_offset applied) const
{
    const auto count = std::count_if(vms.begin(), vms.end(), [&](const listed_vm &vm) {
        if (vm.name == self)
            return applied >= offset;
        const auto peer = m_peers.find(vm.name);
        return peer != m_peers.end() && peer->second.highest >= offset;
    });
    return static_cast<std::size_t>(count) * 2 > vms.size();
}

void stop_detector::update(epoch_history &history, const epoch_proposer &proposer,
                           bool majorityApplied, time_point now)
{
    if (m_epoch != history.current()) {
        m_epoch = history.current();
        m_majorityAt.reset();
    }
    if (majorityApplied && !m_majorityAt)
        m_majorityAt = now;
    if (!m_majorityAt || now - *m_majorityAt <= m_maxViewAge)
        return;
    for (const auto &vm : history.unsettledVms()) {
        if (proposer.isAbsent(vm, now))
            history.noteStopped(vm, m_epoch);
    }
}

bool pending_withdrawals::add(const std::string &digest)
{
    if (contains(digest) || m_holders.size() >= MaxPendingWithdrawals)
        return false;
    m_holders[digest];
    return true;
}

std::vector<std::string> pending_withdrawals::merge(const std::string &peer,
                                                    const std::vector<std::string> &digests)
{
    std::vector<std::string> added;
    for (const auto &digest : digests) {
        if (add(digest))
            added.push_back(digest);
        const auto holders = m_holders.find(digest);
        if (holders != m_holders.end())
            holders->second.insert(peer);
    }
    return added;
}

void pending_withdrawals::noteLogged(const std::string &digest)
{
    if (contains(digest))
        m_logged.insert(digest);
}

bool pending_withdrawals::isAccepted(const std::string &digest, const std::vector<listed_vm> &vms,
                                     const std::string &self) const
{
    if (m_logged.count(digest) != 0)
        return true;
    const std::size_t missing = unconfirmed(digest, vms, self).size();
    return contains(digest) && (vms.size() - missing) * 2 > vms.size();
}

std::vector<std::string> pending_withdrawals::unconfirmed(const std::string &digest,
                                                          const std::vector<listed_vm> &vms,
                                                          const std::string &self) const
{
    const auto holders = m_holders.find(digest);
    std::vector<std::string> missing;
    for (const auto &vm : vms) {
        const bool here = vm.name == self && holders != m_holders.end();
        if (!here && (holders == m_holders.end() || holders->second.count(vm.name) == 0))
            missing.push_back(vm.name);
    }
    return missing;
}

std::vector<std::string> pending_withdrawals::pending() const
{
    std::vector<std::string> digests;
    for (const auto &entry : m_holders) {
        if (m_logged.count(entry.first) == 0)
            digests.push_back(entry.first);
    }
    return digests;
}

} // namespace burdockhold
