#ifndef BURDOCKHOLD_LOGGING_H
#define BURDOCKHOLD_LOGGING_H

// The process's log through log4cxx. Every line is one JSON object: time (UTC), level,
// component and either the event with its fields or, for logger "access", the request's decision.
// Keys and bodies of callers are never written.

#include "burdockhold/settings.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace burdockhold {

enum class logging_error { CannotOpen };

/// Sets up log4cxx: lines of at least `level` go to `file`, "-" for standard error.
result<success, logging_error> startLogging(const std::string &file, log_level level);

/// Writes one line. component is the module's name, event a short sentence, fields an object.
void logEvent(log_level level, std::string_view component, std::string_view event,
              const nlohmann::json &fields = nlohmann::json::object());

} // namespace burdockhold

#endif
