#ifndef BURDOCKHOLD_EVACUATIONS_H
#define BURDOCKHOLD_EVACUATIONS_H

// Which data centres the operator has evacuated.
//
// Guarantees:
// - A record takes effect when it is read, so the bound on an evacuation is the age of the view.
// - A list of records that lacks an evacuation ends it only once the list is known to be newer than
//   the last record of the evacuation: the view of another VM may be older.
// - A record that changes nothing has no effect. It is reported once.
//
// Failure behaviour: while the log is unreachable, the state last read holds.
//
// Load pattern: an operator moves all traffic out of a data centre, also while the log is unstable.
//
// At most maxDataCentres are kept. Lookups are logarithmic in the evacuated data centres; there are
// few.

#include "burdockhold/clock.h"
#include "burdockhold/enum_names.h"

#include <array>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhold {

enum class evacuation_outcome {
    Started,
    Ended,
    Unchanged,      ///< Reported before.
    AlreadyInForce, ///< The evacuation was given twice.
    NotInForce,     ///< The evacuation was ended without having been given.
    BadName,        ///< The name of the data centre is empty or too long.
    TooMany,        ///< maxDataCentres are evacuated.
};

template <>
struct enum_names<evacuation_outcome>
{
    static constexpr std::array<enum_name<evacuation_outcome>, 7> Table{ {
            { evacuation_outcome::Started, "started" },
            { evacuation_outcome::Ended, "ended" },
            { evacuation_outcome::Unchanged, "unchanged" },
            { evacuation_outcome::AlreadyInForce, "already_in_force" },
            { evacuation_outcome::NotInForce, "not_in_force" },
            { evacuation_outcome::BadName, "bad_name" },
            { evacuation_outcome::TooMany, "too_many" },
    } };
};

struct evacuation_options
{
    std::size_t maxDataCentres = 256;
    std::size_t maxNameBytes = 128;
};

/// All times are on the boot-time clock.
class evacuations
{
public:
    explicit evacuations(evacuation_options options = {});

    /// Records that a record of the evacuation was read from the log or another VM's view.
    evacuation_outcome recordRead(const std::string &dataCentre, duration now);

    /// Records that the deletion of the evacuation's record was read.
    evacuation_outcome deletionRead(const std::string &dataCentre);

    /// Records a complete list of the evacuated data centres.
    void listed(const std::set<std::string> &dataCentres);

    /// Records that the view of the records was that of the log at the given time. Returns the data
    /// centres whose evacuation has ended.
    std::vector<std::string> confirmView(duration at);

    bool isEvacuated(std::string_view dataCentre) const
    {
        return m_inForce.find(dataCentre) != m_inForce.end();
    }

    /// Returns how long the evacuation has been in force at this VM; zero if it is not.
    duration inForceFor(std::string_view dataCentre, duration now) const;

    bool empty() const { return m_inForce.empty(); }

private:
    struct evacuation
    {
        duration since = duration::zero();
        duration lastRecordAt = duration::zero();
        bool isListed = true;       ///< The last list contains it.
        bool reportedTwice = false; ///< AlreadyInForce has been returned.
    };

    evacuation_options m_options;
    std::map<std::string, evacuation, std::less<>> m_inForce;
};

} // namespace burdockhold

#endif
