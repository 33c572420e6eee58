#ifndef BURDOCKHOLD_SUPPORT_GOLDEN_H
#define BURDOCKHOLD_SUPPORT_GOLDEN_H

// Golden files of whole sessions. Values that vary between runs (request ids, incarnations,
// addresses, times) are replaced by placeholders first, so that all other text is compared byte for
// byte.

#include <string>

namespace burdockhold::testing {

/// Replaces each identifier of 32 hexadecimal digits by <id-N>, each loopback address with a port
/// by <address-N>, both numbered by first appearance, and the values of known time fields by
/// <time>. Digests of 64 digits are kept.
std::string canonicalizeSession(const std::string &text);

/// Returns a line diff with two lines of context: "-" marks lines of the golden file and "+" lines
/// of the session. Returns an empty string if the texts are equal.
std::string diffLines(const std::string &golden, const std::string &session);

/// Compares a canonical session with testing/golden/NAME in the source folder and returns the diff.
/// If the environment variable BURDOCKHOLD_WRITE_GOLDEN is set, writes the file instead and returns
/// an empty string.
std::string diffWithGolden(const std::string &sourceFolder, const std::string &name,
                           const std::string &session);

} // namespace burdockhold::testing

#endif
