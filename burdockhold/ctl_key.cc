#include "burdockhold/ctl_key.h"

#include "burdockhold/ctl_session.h"
#include "burdockhold/ctl_vms.h"
#include "burdockhold/hash.h"

#include <nlohmann/json.hpp>

namespace burdockhold {

namespace {

using ordered_json = nlohmann::ordered_json;

constexpr std::size_t KeyBytes = 32; ///< 256 random bits.
constexpr std::size_t RecordIdBytes = 16;
constexpr std::string_view KeyMark = "bk-"; ///< Lets scanners for leaked secrets recognise a key.
/// Digits of a digest shown in tables. 64 bits tell 10^6 keys apart with probability 1 - 3 10^-8.
constexpr std::size_t ShownDigits = 16;

ctl_error noRandomness()
{
    return { ctl_exit::Refused, "the system's random generator failed; nothing was sent", "" };
}

std::string shortDigest(const std::string &digest)
{
    return digest.substr(0, ShownDigits);
}

config_record issueRecord(const std::string &id, const std::string &digest,
                          const std::string &account, const std::string &owner,
                          const std::string &label)
{
    const key_entry entry{ owner, account, label, false };
    change_record change;
    change.changes.push_back({ { entry_kind::Key, digest }, 0, formatEntry(entry) });
    return { id, std::move(change) };
}

bool isHexPrefix(const std::string &text)
{
    return !text.empty() && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

/// Returns the only known digest that starts with the prefix.
ctl_result<std::string> findDigest(ctl_context &context, const std::string &prefix)
{
    if (isKeyDigest(prefix))
        return prefix;
    if (!isHexPrefix(prefix))
        return ctl_error{ ctl_exit::BadInput,
                          "is no prefix of a digest (lower-case hexadecimal digits)", prefix };
    config_session session(context);
    const auto read = session.readToTail();
    if (!isOk(read)) {
        ctl_error error = errorOf(read);
        error.text += "; a whole digest or --key-stdin can be withdrawn without reading the log";
        return error;
    }
    const auto &keys = session.state().keys;
    const auto first = keys.lower_bound(prefix);
    const auto fits = [&](auto key) {
        return key != keys.end() && key->first.compare(0, prefix.size(), prefix) == 0;
    };
    if (!fits(first))
        return ctl_error{ ctl_exit::NotFound, "no key's digest starts so; nothing was sent",
                          prefix };
    if (fits(std::next(first)))
        return ctl_error{ ctl_exit::BadInput, "several keys' digests start so; nothing was sent",
                          prefix };
    return first->first;
}

/// What became of a withdrawal at the VMs.
struct vm_part
{
    std::size_t confirmed = 0;
    std::size_t called = 0;
    ctl_exit exit = ctl_exit::Done;
    std::vector<vm_failure> failed;
};

vm_part withdrawAtVms(ctl_context &context, const std::string &digest)
{
    vm_part part;
    if (context.vmsUrl.empty())
        return part;
    const auto vms = readVmList(context);
    if (!isOk(vms)) {
        part.exit = reportError(context, errorOf(vms));
        return part;
    }
    const std::string body = nlohmann::json{ { "digest", digest } }.dump();
    const vm_answers answers = callVms(context, valueOf(vms), "POST", "/withdraw", body);
    part.called = valueOf(vms).size();
    part.confirmed = answers.answered.size();
    part.failed = answers.failed;
    for (vm_failure &failure : part.failed)
        failure.reason = "did not confirm the withdrawal: " + failure.reason;
    part.exit = reportFailures(context, part.failed);
    return part;
}

void printWithdrawal(ctl_context &context, const std::string &digest, const vm_part &vms,
                     const ctl_result<log_offset> &version)
{
    if (context.json) {
        ordered_json result;
        result["digest"] = digest;
        result["version"] = isOk(version) ? ordered_json(valueOf(version)) : ordered_json();
        result["vms_called"] = vms.called;
        result["vms_confirmed"] = vms.confirmed;
        result["unconfirmed"] = ordered_json::array();
        for (const vm_failure &failure : vms.failed)
            result["unconfirmed"].push_back({ { "vm", failure.vm }, { "reason", failure.reason } });
        context.out << result.dump() << '\n';
        return;
    }
    if (vms.called > 0)
        context.out << vms.confirmed << " of " << vms.called << " VMs confirmed\n";
    if (isOk(version))
        context.out << "withdrawn in the log as version " << valueOf(version) << '\n';
}

ctl_exit withdrawDigest(ctl_context &context, const std::string &digest)
{
    const config_record record{ context.randomHex(RecordIdBytes), key_withdraw_record{ digest } };
    if (record.id.empty())
        return reportError(context, noRandomness());
    if (context.log == nullptr)
        return reportError(context, { ctl_exit::Usage,
                                      "no address of the log: give --log URL or set "
                                      "BURDOCKHOLD_LOG; nothing was sent",
                                      "" });
    // The VMs come first: the log may take the whole deadline when it is slow.
    const vm_part vms = withdrawAtVms(context, digest);
    config_session session(context);
    const auto version = session.submitWithdrawal(record);
    printWithdrawal(context, digest, vms, version);
    if (isOk(version))
        return vms.exit;
    reportError(context, errorOf(version));
    reportRemark(context, "the withdrawal is not known to be in the log; repeat the command");
    return errorOf(version).code;
}

} // namespace

ctl_exit issueKey(ctl_context &context, const std::string &account, const std::string &label)
{
    config_session session(context);
    const auto read = session.readToTail();
    if (!isOk(read))
        return reportError(context, errorOf(read));
    const auto found = session.state().accounts.find(account);
    if (found == session.state().accounts.end())
        return reportError(context, { ctl_exit::NotFound, "no such account; nothing was sent",
                                      "account " + account });
    const std::string secret = context.randomHex(KeyBytes);
    const std::string id = context.randomHex(RecordIdBytes);
    if (secret.empty() || id.empty())
        return reportError(context, noRandomness());
    const std::string key = std::string(KeyMark) + secret;
    const std::string digest = sha256Hex(key);
    const auto version = session.submit(
            issueRecord(id, digest, account, found->second.value.owner, label));
    if (!isOk(version)) {
        const ctl_exit code = reportError(context, errorOf(version));
        if (code == ctl_exit::OutcomeUnknown)
            reportRemark(context,
                         "the key is not shown; withdraw digest " + digest + " and issue another");
        return code;
    }
    if (context.json) {
        ordered_json result;
        result["key"] = key;
        result["digest"] = digest;
        result["account"] = account;
        result["version"] = valueOf(version);
        context.out << result.dump() << '\n';
        return ctl_exit::Done;
    }
    context.out << key << '\n';
    reportRemark(context, "key with digest " + shortDigest(digest) + "... issued for account "
                                  + account + " as version " + std::to_string(valueOf(version))
                                  + "; it is not shown again");
    return ctl_exit::Done;
}

ctl_exit withdrawKeyByDigest(ctl_context &context, const std::string &prefix)
{
    const auto digest = findDigest(context, prefix);
    if (!isOk(digest))
        return reportError(context, errorOf(digest));
    return withdrawDigest(context, valueOf(digest));
}

ctl_exit withdrawKeyFrom(ctl_context &context, std::istream &input)
{
    std::string key;
    std::getline(input, key);
    key.erase(key.find_last_not_of(" \t\r\n") + 1);
    key.erase(0, key.find_first_not_of(" \t"));
    if (key.empty())
        return reportError(context,
                           { ctl_exit::BadInput, "the first line has no key; nothing was sent",
                             "standard input" });
    return withdrawDigest(context, sha256Hex(key));
}

ctl_exit listKeys(ctl_context &context)
{
    config_session session(context);
    const auto read = session.readToTail();
    if (!isOk(read))
        return reportError(context, errorOf(read));
    ordered_json list = ordered_json::array();
    std::vector<std::vector<std::string>> rows{ { "DIGEST", "ACCOUNT", "STATE", "VERSION",
                                                  "LABEL" } };
    for (const auto &[digest, key] : session.state().keys) {
        const char *state = key.value.withdrawn ? "withdrawn" : "valid";
        list.push_back({ { "digest", digest },
                         { "account", key.value.account },
                         { "state", state },
                         { "version", key.version },
                         { "label", key.value.label } });
        rows.push_back({ shortDigest(digest), key.value.account, state, std::to_string(key.version),
                         key.value.label });
    }
    context.out << (context.json ? list.dump() + "\n" : formatTable(rows));
    return ctl_exit::Done;
}

} // namespace burdockhold
