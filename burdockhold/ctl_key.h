#ifndef BURDOCKHOLD_CTL_KEY_H
#define BURDOCKHOLD_CTL_KEY_H

// The key commands of burdockholdctl. A key is printed once, when it is issued; the log gets its
// SHA-256 digest only. A withdrawal goes to the VMs as well as to the log, because either may be
// out of reach; the command says which of them confirmed it.

#include "burdockhold/ctl_context.h"

#include <istream>
#include <string>

namespace burdockhold {

/// `key issue --account A [--label L]`. Prints the key alone on standard output, and only once the
/// log has shown that its digest is in force.
ctl_exit issueKey(ctl_context &context, const std::string &account, const std::string &label);

/// `key withdraw --digest-prefix D`. The prefix must fit one key; a whole digest need not be known
/// and needs no read of the log first, so that it can be withdrawn during an outage.
ctl_exit withdrawKeyByDigest(ctl_context &context, const std::string &prefix);

/// `key withdraw --key-stdin`: reads the key from the first line of input.
ctl_exit withdrawKeyFrom(ctl_context &context, std::istream &input);

/// `key list`: digests, accounts and states; never a key.
ctl_exit listKeys(ctl_context &context);

} // namespace burdockhold

#endif
