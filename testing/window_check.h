#ifndef BURDOCKHOLD_TESTING_WINDOW_CHECK_H
#define BURDOCKHOLD_TESTING_WINDOW_CHECK_H

// Reference for invariant 5: checks every window between two admissions.

#include "burdockhold/clock.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace burdockhold::testing {

struct admitted_tokens
{
    time_point at;
    double used = 0.0;
};

/// Returns the largest value, over all windows that begin and end at an admission, of
/// used - rate x time. The invariant holds when it is at most the burst.
inline double largestExcess(std::vector<admitted_tokens> admissions, double rate)
{
    std::stable_sort(admissions.begin(), admissions.end(),
                     [](const auto &a, const auto &b) { return a.at < b.at; });
    double total = 0.0;
    double lowest = std::numeric_limits<double>::infinity();
    double worst = 0.0;
    for (const auto &admission : admissions) {
        const double refill = rate * toSeconds(admission.at.time_since_epoch());
        lowest = std::min(lowest, total - refill);
        total += admission.used;
        worst = std::max(worst, total - refill - lowest);
    }
    return worst;
}

} // namespace burdockhold::testing

#endif
