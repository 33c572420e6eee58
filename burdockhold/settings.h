#ifndef BURDOCKHOLD_SETTINGS_H
#define BURDOCKHOLD_SETTINGS_H

// Settings of the daemon, read from an INI file. Every key has a unit, a default and bounds; the
// table that settingRows() returns is the single description of them, and docs/settings.md is
// checked against it. Parsing never half succeeds: the first unknown section or key, missing value,
// bad unit or value out of bounds is reported with file, section and key.
//
// Durations carry a unit (ms, s, min, h), sizes too (B, KiB, MiB, GiB). A number without its unit
// is refused, because a bare "5" has been read as seconds and as milliseconds before.

#include "burdockhold/clock.h"
#include "burdockhold/enum_names.h"
#include "burdockhold/result.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhold {

enum class log_level { Debug, Info, Warn, Error };

template <>
struct enum_names<log_level>
{
    static constexpr std::array<enum_name<log_level>, 4> Table{ {
            { log_level::Debug, "debug" },
            { log_level::Info, "info" },
            { log_level::Warn, "warn" },
            { log_level::Error, "error" },
    } };
};

/// Settings of one daemon. Defaults are those of settingRows().
struct daemon_settings
{
    std::string name; ///< Name of this VM, as in the VM list.
    std::string dataCentre;
    std::string listen;      ///< "http://IP:PORT" for callers; port 0 takes a free one.
    std::string adminListen; ///< "http://IP:PORT" for operators and the balancer's health check.
    std::string peerListen;  ///< "tcp://IP:PORT" for the other VMs.
    duration drainDelay{}; ///< Time between the first failing health check and the refusal of work.
    duration drainTimeout{}; ///< Longest wait for open requests at shutdown.

    std::string logUrl;
    duration logPollWait{};
    duration logTimeout{};
    duration logRetention{};

    std::string vmsUrl;
    duration vmsInterval{};

    std::string logFile; ///< "-" for standard error.
    log_level logLevel = log_level::Info;

    std::int64_t bodyLimitBytes = 0;
    std::int64_t maxOpenRequests = 0;
    std::int64_t headLimitBytes = 0;
    duration headTime{};             ///< From the first byte of a head to its end.
    duration idleTime{};             ///< Of a connection without any progress.
    std::int64_t maxConnections = 0; ///< With running requests; 0: what the descriptors allow.
    std::int64_t memoryBytes = 0;    ///< Of the process.
    duration grantLifetime{};
    duration maxLimitWait{}; ///< Longest wait for granted tokens before a refusal.

    duration firstTokenTimeout{};
    duration interTokenTimeout{};
    duration wholeTimeout{};   ///< Wait for a completion that is not streamed.
    duration serviceTimeout{}; ///< Silence allowed on a call to a plain service.
    duration loadInterval{};

    std::int64_t maxAttempts = 0; ///< Attempts of one request, the first included.
    double retryPercent = 0.0;
    std::int64_t retryMinimum = 0;

    duration maxViewAge{};
    duration heartbeatInterval{};

    duration claimWindow{};
    duration claimDeadline{}; ///< Longest wait for a claim before the refusal "not run".
};

enum class setting_kind { Text, HttpUrl, TcpAddress, Duration, Size, Integer, Percent, Level };

/// One key of the INI file as shown to people.
struct setting_row
{
    std::string_view section;
    std::string_view key;
    setting_kind kind;
    std::string_view defaultText; ///< Empty when the key must be given.
    std::string_view minimum;     ///< In the key's unit; empty when there is no bound.
    std::string_view maximum;
    std::string_view description;
};

enum class settings_error {
    CannotRead,
    Malformed,
    UnknownSection,
    UnknownKey,
    MissingValue,
    BadValue,
    OutOfBounds,
};

/// Parses the text of an INI file. fileName only serves error messages. On failure the error's
/// context is "FILE [SECTION] KEY" as far as these are known.
result<daemon_settings, settings_error> parseSettings(const std::string &text,
                                                      const std::string &fileName);

/// Reads and parses a file. Fails with CannotRead when it can't be opened.
result<daemon_settings, settings_error> readSettings(const std::string &fileName);

/// Returns a description of every key, in the order of the documentation.
std::vector<setting_row> settingRows();

/// Returns docs/settings.md's table in Markdown, one line a key.
std::string formatSettingRows();

/// Parses "250 ms", "5s", "2 min" or "24h". Fails with BadValue on anything else.
result<duration, settings_error> parseDuration(std::string_view text);

/// Parses "512B", "64 KiB", "16MiB" or "1GiB" into bytes. Fails with BadValue on anything else.
result<std::int64_t, settings_error> parseSize(std::string_view text);

} // namespace burdockhold

#endif
