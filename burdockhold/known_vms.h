#ifndef BURDOCKHOLD_KNOWN_VMS_H
#define BURDOCKHOLD_KNOWN_VMS_H

// The VMs among which fixed shares of a limit are divided.
//
// Guarantee: a VM that is cut off from the others keeps the list that it had, so that it does not
// take over their shares. A VM that has ended is forgotten by those VMs that still hear the greater
// part of the list.
//
// Load pattern: some VMs of a fleet are partitioned, and each side would divide the whole limit
// among the VMs that it hears.
//
// Time and memory are linear in the number of VMs.

#include <cstdint>
#include <vector>

namespace burdockhold {

class known_vms
{
public:
    /// The list contains this VM from the start; it is identified by the shortHash of its name.
    explicit known_vms(std::uint32_t self);

    /// Sets which other VMs are heard or announced now. Repeated hashes count once.
    void update(std::vector<std::uint32_t> others);

    /// Returns the shortHashes of the VMs' names in ascending order.
    const std::vector<std::uint32_t> &list() const { return m_list; }
    std::uint32_t self() const { return m_self; }

    /// Changes with the list.
    std::uint64_t version() const { return m_version; }

private:
    std::uint32_t m_self;
    std::vector<std::uint32_t> m_list;
    std::uint64_t m_version = 1;
};

} // namespace burdockhold

#endif
