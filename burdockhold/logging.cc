#include "burdockhold/logging.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include <fstream>
#include <memory>

namespace burdockhold {

namespace {

/// The message is a JSON object itself, so that it is nested, not quoted.
constexpr const char *LinePattern = "{\"time\":\"%d{yyyy-MM-dd HH:mm:ss.SSS}{UTC}Z\","
                                    "\"level\":\"%p\",\"component\":\"%c\",\"data\":%m}%n";

log4cxx::LevelPtr toLevel(log_level level)
{
    switch (level) {
    case log_level::Debug:
        return log4cxx::Level::getDebug();
    case log_level::Warn:
        return log4cxx::Level::getWarn();
    case log_level::Error:
        return log4cxx::Level::getError();
    case log_level::Info:
        break;
    }
    return log4cxx::Level::getInfo();
}

log4cxx::AppenderPtr makeAppender(const std::string &file)
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>(LinePattern);
    if (file == "-")
        return std::make_shared<log4cxx::ConsoleAppender>(layout, "System.err");
    return std::make_shared<log4cxx::FileAppender>(layout, file, true);
}

} // namespace

result<success, logging_error> startLogging(const std::string &file, log_level level)
{
    if (file != "-" && !std::ofstream(file, std::ios::app))
        return basic_error<logging_error>{ logging_error::CannotOpen,
                                           "the log file can't be written", file };
    const log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(makeAppender(file));
    root->setLevel(toLevel(level));
    return success{};
}

void logEvent(log_level level, std::string_view component, std::string_view event,
              const nlohmann::json &fields)
{
    const log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger(std::string(component));
    const log4cxx::LevelPtr wanted = toLevel(level);
    if (!logger->isEnabledFor(wanted))
        return;
    nlohmann::json line = fields;
    line["event"] = event;
    logger->forcedLog(wanted, line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace burdockhold
