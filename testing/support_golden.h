#ifndef BURDOCKHOLD_SUPPORT_GOLDEN_H
#define BURDOCKHOLD_SUPPORT_GOLDEN_H

// Golden files of whole sessions. What differs from run to run (request ids, incarnations,
// addresses, times) is made canonical first, so that everything else is compared to the byte.

#include <string>

namespace burdockhold::testing {

/// Replaces each identifier of 32 hexadecimal digits by <id-N>, numbered by first appearance, each
/// loopback address by <address-N>, and the values of known time fields by <time>. Digests of 64
/// digits stay.
std::string canonicalSession(const std::string &text);

/// Returns the lines that differ, "-" for the golden file's and "+" for the session's, with two
/// lines of context. Empty when the texts are equal.
std::string differenceOf(const std::string &golden, const std::string &session);

/// Compares a canonical session with testing/golden/NAME in the source folder and returns the
/// difference. With BURDOCKHOLD_WRITE_GOLDEN set, writes the file instead.
std::string compareWithGolden(const std::string &sourceFolder, const std::string &name,
                              const std::string &session);

} // namespace burdockhold::testing

#endif
