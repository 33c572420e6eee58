#include "burdockhold/vm_list.h"

#include <nlohmann/json.hpp>

#include <set>

namespace burdockhold {

namespace {

basic_error<vm_list_error> malformed(const std::string &text)
{
    return { vm_list_error::Malformed, text, "VM list" };
}

/// Returns the text of a field, or an empty string when it is missing or no text.
std::string textOf(const nlohmann::json &row, const char *field)
{
    const auto found = row.find(field);
    return found != row.end() && found->is_string() ? found->get<std::string>() : std::string();
}

} // namespace

result<std::vector<vm_row>, vm_list_error> parseVmList(std::string_view text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("vms") || !json["vms"].is_array())
        return malformed("the answer has no list of VMs");
    if (json["vms"].size() > MaxListedVms)
        return malformed("the list has too many VMs");
    std::vector<vm_row> rows;
    std::set<std::string> names;
    for (const nlohmann::json &item : json["vms"]) {
        if (!item.is_object())
            return malformed("a VM is no object");
        vm_row row;
        row.vm.name = textOf(item, "name");
        row.vm.dataCentre = textOf(item, "data_centre");
        row.peer = textOf(item, "peer");
        row.admin = textOf(item, "admin");
        const std::string state = textOf(item, "state");
        if (row.vm.name.empty() || !names.insert(row.vm.name).second)
            return malformed("a VM's name is missing or occurs twice");
        if (state != "live" && state != "leaving")
            return malformed("the state of VM " + row.vm.name + " is unknown");
        row.vm.state = state == "live" ? vm_state::Live : vm_state::Leaving;
        rows.push_back(std::move(row));
    }
    return rows;
}

} // namespace burdockhold
