#ifndef BURDOCKHOLD_BURN_REPORT_H
#define BURDOCKHOLD_BURN_REPORT_H

// Service-level burn. An objective says which ratio of events must be good over a window; its error
// budget is the rest. The burn rate is the ratio of bad events divided by the budgeted ratio: at 1
// the budget lasts exactly the window. Events are increases between successive samples of each VM.
// A sample in which any counter fell follows a restart and is counted from zero, so no increase is
// ever negative. VMs that were not reached are named and make the report partial.

#include "burdockhold/clock.h"
#include "burdockhold/enum_names.h"
#include "burdockhold/metrics.h"
#include "burdockhold/result.h"

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhold {

enum class indicator {
    HitRate,           ///< Cached prompt tokens of all prompt tokens.
    TimeToFirstToken,  ///< First tokens in less than the threshold.
    TimeBetweenTokens, ///< Gaps between tokens below the threshold.
    Availability,      ///< Answered requests of those that the router or endpoints had to answer.
    WrongfulRefusals,  ///< Requests not wrongfully refused of those within the account's rate.
    WorstAccountShare, ///< Answered requests of those within the rate, of the worst account.
};

template <>
struct enum_names<indicator>
{
    static constexpr std::array<enum_name<indicator>, 6> Table{ {
            { indicator::HitRate, "hit_rate" },
            { indicator::TimeToFirstToken, "time_to_first_token" },
            { indicator::TimeBetweenTokens, "time_between_tokens" },
            { indicator::Availability, "availability" },
            { indicator::WrongfulRefusals, "wrongful_refusals" },
            { indicator::WorstAccountShare, "worst_account_share" },
    } };
};

enum class objective_scope { All, Account, Route };

template <>
struct enum_names<objective_scope>
{
    static constexpr std::array<enum_name<objective_scope>, 3> Table{ {
            { objective_scope::All, "all" },
            { objective_scope::Account, "account" },
            { objective_scope::Route, "route" },
    } };
};

struct objective
{
    std::string name;
    indicator measure = indicator::Availability;
    double target = 0.0;  ///< Ratio of good events, above 0 and below 1.
    duration threshold{}; ///< Of the two time indicators.
    duration window{};
    objective_scope by = objective_scope::All;
    double weight = 1.0; ///< Order in the report and weight in its total.
};

struct objective_profile
{
    std::string name;
    std::vector<objective> objectives; ///< By falling weight, then by name.
};

enum class objectives_error { Unreadable, UnknownKey, BadValue, MissingValue };

/// Parses an INI profile: section [profile] with `name`, and a section for each objective with
/// `indicator`, `target` (percent), `window` (units ms, s, min, h, d) and, where they apply,
/// `below`, `by` and `weight`. Errors name the file, section and key in their context.
result<objective_profile, objectives_error> parseObjectives(std::string_view text,
                                                            std::string_view fileName);

/// The measures of one VM at one time, or nothing when the VM could not be reached.
struct vm_sample
{
    log_time_ms at = 0;
    std::optional<metric_snapshot> measures;
};

/// The samples of one VM by rising time.
struct vm_history
{
    std::string vm;
    std::vector<vm_sample> samples;
};

/// Burn of one objective for one account or route, or for all.
struct burn_row
{
    std::string objective;
    std::string subject; ///< "all", "account NAME" or "route NAME".
    double target = 0.0;
    double weight = 0.0;
    std::optional<double> ratio; ///< Good events over the covered time; none without events.
    double shortBurn = 0.0;      ///< Over the last 5 min.
    double longBurn = 0.0;       ///< Over the last hour.
    double budgetLeft = 1.0;     ///< Of the window's budget; below 0 when overspent.
    std::optional<double> secondsToExhaustion; ///< At the long burn; none when nothing burns.
};

struct burn_report
{
    std::string profile;
    std::size_t vms = 0;
    std::vector<std::string> unreached; ///< VMs without measures at their latest sample.
    double coveredSeconds = 0.0;        ///< From the earliest sample to the report.
    std::vector<burn_row> rows;         ///< By objective, then by falling long burn.
    double weightedBudgetLeft = 1.0;    ///< Mean over objectives of their worst row, by weight.
};

constexpr duration ShortBurnWindow = std::chrono::minutes(5);
constexpr duration LongBurnWindow = std::chrono::hours(1);

/// Computes the report at time now from the samples of all VMs. An increase between two samples is
/// spread evenly over the time between them. Time before the earliest sample counts as burning
/// nothing.
burn_report buildBurnReport(const objective_profile &profile,
                            const std::vector<vm_history> &histories, log_time_ms now);

/// Returns the report as aligned text for a terminal.
std::string formatBurnText(const burn_report &report);

/// Returns the report as JSON.
std::string formatBurnJson(const burn_report &report);

} // namespace burdockhold

#endif
