#ifndef BURDOCKHOLD_VM_LIST_H
#define BURDOCKHOLD_VM_LIST_H

// The platform's VM list as returned by its HTTP service (design page, section 5).

#include "burdockhold/membership.h"
#include "burdockhold/result.h"

#include <string>
#include <string_view>
#include <vector>

namespace burdockhold {

/// A VM of the list with its addresses.
struct vm_list_entry
{
    listed_vm vm;
    std::string peer;  ///< "tcp://IP:PORT".
    std::string admin; ///< "http://IP:PORT".
};

enum class vm_list_error { Malformed };

/// Largest number of VMs in a list.
constexpr std::size_t MaxListedVms = 4096;

/// Parses the response to GET /vms. Rejects a list with an unknown state, a name that is empty or
/// occurs twice, or more than MaxListedVms rows: an incomplete list would change majorities.
result<std::vector<vm_list_entry>, vm_list_error> parseVmList(std::string_view text);

} // namespace burdockhold

#endif
