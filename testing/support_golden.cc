#include "testing/support_golden.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <map>
#include <regex>
#include <sstream>
#include <stdexcept>
#include <vector>

namespace burdockhold::testing {

namespace {

constexpr std::size_t ContextLines = 2;

/// Replaces each match of a pattern by <NAME-N>. Equal matches get the same number, and numbers are
/// given by first appearance.
std::string replaceByNumber(const std::string &text, const std::regex &pattern,
                            const std::string &name)
{
    std::map<std::string, std::size_t> numbers;
    std::string canonical;
    auto remaining = text.cbegin();
    for (std::sregex_iterator it(text.begin(), text.end(), pattern), end; it != end; ++it) {
        const std::size_t number = numbers.emplace(it->str(), numbers.size() + 1).first->second;
        canonical.append(remaining, text.cbegin() + it->position());
        canonical += "<" + name + "-" + std::to_string(number) + ">";
        remaining = text.cbegin() + it->position() + it->length();
    }
    canonical.append(remaining, text.cend());
    return canonical;
}

std::vector<std::string> splitLines(const std::string &text)
{
    std::vector<std::string> lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);)
        lines.push_back(line);
    return lines;
}

/// A line of a diff. The mark is ' ' for a line in both texts, '-' for one only in the golden file
/// and '+' for one only in the session.
struct diff_line
{
    char mark;
    std::string text;
};

/// Aligns two texts along their longest common subsequence of lines.
std::vector<diff_line> alignLines(const std::vector<std::string> &a,
                                  const std::vector<std::string> &b)
{
    std::vector<std::vector<std::size_t>> commonLength(a.size() + 1,
                                                       std::vector<std::size_t>(b.size() + 1));
    for (std::size_t i = a.size(); i-- > 0;) {
        for (std::size_t j = b.size(); j-- > 0;)
            commonLength[i][j] = a[i] == b[j]
                                         ? commonLength[i + 1][j + 1] + 1
                                         : std::max(commonLength[i + 1][j], commonLength[i][j + 1]);
    }
    std::vector<diff_line> lines;
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < a.size() || j < b.size()) {
        if (i < a.size() && j < b.size() && a[i] == b[j]) {
            lines.push_back({ ' ', a[i++] });
            ++j;
        } else if (j == b.size()
                   || (i < a.size() && commonLength[i + 1][j] >= commonLength[i][j + 1])) {
            lines.push_back({ '-', a[i++] });
        } else {
            lines.push_back({ '+', b[j++] });
        }
    }
    return lines;
}

} // namespace

std::string canonicalizeSession(const std::string &text)
{
    static const std::regex id("\\b[0-9a-f]{32}\\b");
    static const std::regex address("127\\.0\\.0\\.1:[0-9]+");
    static const std::regex durationField("\"(queue_s|first_token_s|total_s|score_s)\":[0-9.e+-]+");
    static const std::regex timestampField("\"(time|time_ms)\":(\"[^\"]*\"|[0-9]+)");
    std::string canonical = replaceByNumber(text, id, "id");
    canonical = replaceByNumber(canonical, address, "address");
    canonical = std::regex_replace(canonical, durationField, "\"$1\":<time>");
    return std::regex_replace(canonical, timestampField, "\"$1\":<time>");
}

std::string diffLines(const std::string &golden, const std::string &session)
{
    if (golden == session)
        return "";
    const std::vector<diff_line> lines = alignLines(splitLines(golden), splitLines(session));
    std::string difference;
    for (std::size_t i = 0; i < lines.size(); ++i) {
        const std::size_t first = i - std::min(i, ContextLines);
        const std::size_t last = std::min(lines.size(), i + ContextLines + 1);
        const bool nearDifference = std::any_of(
                lines.begin() + static_cast<std::ptrdiff_t>(first),
                lines.begin() + static_cast<std::ptrdiff_t>(last),
                [](const diff_line &line) { return line.mark != ' '; });
        if (nearDifference)
            difference += lines[i].mark + (" " + lines[i].text) + "\n";
    }
    return difference.empty() ? "the texts differ only in the newline at the end\n" : difference;
}

std::string diffWithGolden(const std::string &sourceFolder, const std::string &name,
                           const std::string &session)
{
    const std::string path = sourceFolder + "/testing/golden/" + name;
    if (std::getenv("BURDOCKHOLD_WRITE_GOLDEN") != nullptr) {
        std::ofstream(path) << session;
        return "";
    }
    std::ifstream file(path);
    if (!file)
        throw std::runtime_error("cannot read testing/golden/" + name);
    std::ostringstream golden;
    golden << file.rdbuf();
    return diffLines(golden.str(), session);
}

} // namespace burdockhold::testing
