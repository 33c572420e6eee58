#ifndef BURDOCKHOLD_CTL_CATALOGUE_H
#define BURDOCKHOLD_CTL_CATALOGUE_H

// The catalogue commands of burdockholdctl. A file is applied as one record: all of its entries
// take effect or none.

#include "burdockhold/catalogue.h"
#include "burdockhold/ctl_context.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhold {

/// One entry of a catalogue file.
struct file_entry
{
    entry_id id;
    std::optional<log_offset> base;   ///< Nothing stands for the version that is current.
    std::optional<std::string> value; ///< JSON text; nothing removes the entry.
};

/// Parses {"entries":[{"entry","name","base","value"}]}; base is optional, a null value removes
/// the entry. Refuses unknown and repeated fields, values that do not parse and entries that occur
/// twice with BadInput; the context names the file and the entry.
ctl_result<std::vector<file_entry>> parseCatalogueFile(std::string_view text,
                                                       const std::string &fileName);

/// `catalogue apply FILE`.
ctl_exit applyCatalogue(ctl_context &context, const std::string &fileName);

/// `catalogue list [KIND]`; an empty kind lists all.
ctl_exit listCatalogue(ctl_context &context, const std::string &kind);

/// `catalogue show KIND NAME`.
ctl_exit showEntry(ctl_context &context, const std::string &kind, const std::string &name);

/// `catalogue remove KIND NAME --base N`.
ctl_exit removeEntry(ctl_context &context, const std::string &kind, const std::string &name,
                     log_offset base);

} // namespace burdockhold

#endif
