#ifndef BURDOCKHOLD_FENCING_TOKEN_H
#define BURDOCKHOLD_FENCING_TOKEN_H

// The fencing token of a duty: a number that an order carries, so that engines refuse the orders of
// a former holder.
//
// Promises:
// - Tokens of different VMs differ, whatever eras and generations the log gives out: the low bits
//   are a hash of the VM's name. Two names share them with a probability of 2^-VmBits.
// - Tokens grow with the era of the log, and within an era with the generation of the duty's group.
//   So no token of a log that has returned from a copy is below one that it gave out before, if the
//   log states its era.
// - Tokens are positive and at most 2^53 - 1, which JSON carries exactly. Of larger eras and
//   generations the low bits count, so tokens start from the beginning where an era passes a
//   multiple of 4,096 or a generation one of 33 million.

#include <cstdint>

namespace burdockhold {

struct fencing_token
{
    static constexpr int EraBits = 12;
    static constexpr int GenerationBits = 25;
    static constexpr int VmBits = 16;
    static_assert(EraBits + GenerationBits + VmBits == 53);

    std::int64_t era = 0;        ///< Of the log; 0 if it states none.
    std::int64_t generation = 0; ///< Of the duty's group, or higher after a refusal.
    std::uint32_t vm = 0;        ///< shortHash of the VM's name.

    std::int64_t value() const
    {
        const auto lowBits = [](std::uint64_t number, int bits) {
            return number & ((std::uint64_t(1) << bits) - 1);
        };
        const std::uint64_t group = lowBits(static_cast<std::uint64_t>(era), EraBits)
                                            << GenerationBits
                                    | lowBits(static_cast<std::uint64_t>(generation),
                                              GenerationBits);
        return static_cast<std::int64_t>(group << VmBits | lowBits(vm, VmBits));
    }
};

} // namespace burdockhold

#endif
