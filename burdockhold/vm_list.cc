#include "burdockhold/vm_list.h"

#include <nlohmann/json.hpp>

#include <set>

namespace burdockhold {

namespace {

basic_error<vm_list_error> malformed(const std::string &text)
{
    return { vm_list_error::Malformed, text, "VM list" };
}

/// Returns the value of a string field, or an empty string if it is missing or not a string.
std::string stringField(const nlohmann::json &row, const char *field)
{
    const auto found = row.find(field);
    return found != row.end() && found->is_string() ? found->get<std::string>() : std::string();
}

} // namespace

result<std::vector<vm_list_entry>, vm_list_error> parseVmList(std::string_view text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("vms") || !json["vms"].is_array())
        return malformed("the response has no array \"vms\"");
    if (json["vms"].size() > MaxListedVms)
        return malformed("the VM list exceeds the maximum number of VMs");
    std::vector<vm_list_entry> rows;
    std::set<std::string> names;
    for (const nlohmann::json &item : json["vms"]) {
        if (!item.is_object())
            return malformed("an entry of the VM list is not an object");
        vm_list_entry row;
        row.vm.name = stringField(item, "name");
        row.vm.dataCentre = stringField(item, "data_centre");
        row.peer = stringField(item, "peer");
        row.admin = stringField(item, "admin");
        const std::string state = stringField(item, "state");
        if (row.vm.name.empty() || !names.insert(row.vm.name).second)
            return malformed("a VM name is missing or occurs twice");
        if (state != "live" && state != "leaving")
            return malformed("the state of VM " + row.vm.name + " is unknown");
        row.vm.state = state == "live" ? vm_state::Live : vm_state::Leaving;
        rows.push_back(std::move(row));
    }
    return rows;
}

} // namespace burdockhold
