#ifndef BURDOCKHOLD_SUPPORT_FLEET_H
#define BURDOCKHOLD_SUPPORT_FLEET_H

// A whole deployment on loopback for tests: stand-ins and daemons as real processes with free
// ports. Every process is ended and the folder with settings and logs removed when the fleet goes
// away. Failures to start throw std::runtime_error or http_failure.

#include "testing/support_process.h"

#include <nlohmann/json.hpp>

#include <filesystem>
#include <string>
#include <vector>

namespace burdockhold::testing {

/// A running stand-in and its URL.
struct standin_process
{
    child_process process;
    std::string url;
};

/// Starts `standin ROLE --port 0 ARGUMENTS` from the folder of built programs.
standin_process startStandin(const std::string &programFolder, const std::string &role,
                             const std::vector<std::string> &arguments = {});

/// What is written into a daemon's settings file.
struct daemon_settings
{
    std::string name;
    std::string dataCentre;
    std::string peer; ///< "tcp://IP:PORT".
    std::string logUrl;
    std::string vmsUrl;
    std::string logFile;
    std::string extra; ///< Further sections, appended as they are.
};

/// Returns the INI text of a daemon's settings. The only place that knows the keys.
std::string settingsText(const daemon_settings &settings);

/// Returns the config record that sets entries; changes are {"entry","name","base","value"}.
nlohmann::json changeRecord(const std::string &id, const nlohmann::json &changes);

/// Returns the config record that issues a key. Only the key's digest is in it.
nlohmann::json keyIssueRecord(const std::string &id, const std::string &key,
                              const std::string &account);

struct running_daemon
{
    daemon_settings settings;
    std::filesystem::path settingsFile;
    child_process process;
    std::string url;      ///< For callers.
    std::string adminUrl; ///< For operators.
};

struct fleet_options
{
    std::string programFolder;                      ///< Where `standin` and `burdockholdd` are.
    std::vector<std::vector<std::string>> engines;  ///< Arguments of each engine stand-in.
    std::vector<std::vector<std::string>> services; ///< Arguments of each service stand-in.
    std::vector<std::string> log;                   ///< Arguments of the log stand-in.
    std::vector<std::string> vmlist;                ///< Arguments of the VM list stand-in.
    std::string extraSettings;                      ///< Appended to every daemon's settings.
};

class fleet
{
public:
    /// Starts the stand-ins; daemons are started by startDaemon().
    explicit fleet(fleet_options options);
    ~fleet();
    fleet(const fleet &) = delete;
    fleet &operator=(const fleet &) = delete;

    standin_process &log() { return m_log; }
    standin_process &vmList() { return m_vmList; }
    std::vector<standin_process> &engines() { return m_engines; }
    std::vector<standin_process> &services() { return m_services; }
    std::vector<running_daemon> &daemons() { return m_daemons; }

    /// Starts a daemon, waits for its addresses and adds it to the VM list. Returns its index.
    std::size_t startDaemon(const std::string &name, const std::string &dataCentre = "dc1");

    /// Kills a daemon and starts it again with the same settings, on new addresses for callers and
    /// operators.
    void restartDaemon(std::size_t index);

    /// Writes all daemons that have not ended to the VM list as live, but those named as leaving.
    void publishVms(const std::vector<std::string> &leaving = {});

    /// Appends records to a stream of the log with one call. Returns the first offset.
    std::uint64_t append(const std::string &stream, const std::vector<nlohmann::json> &records);

    /// Returns the offset of the last record in the config stream.
    std::int64_t lastConfigOffset() const;

    /// Appends a record with new entries (base 0) to the config stream.
    void loadCatalogue(const nlohmann::json &changes);

    /// Appends a new key for an account and returns the key.
    std::string issueKey(const std::string &account);

    const std::filesystem::path &folder() const { return m_folder; }

private:
    void launch(running_daemon &daemon) const;
    std::string newId();

    fleet_options m_options;
    std::filesystem::path m_folder;
    standin_process m_log;
    standin_process m_vmList;
    std::vector<standin_process> m_engines;
    std::vector<standin_process> m_services;
    std::vector<running_daemon> m_daemons;
    int m_ids = 0;
};

} // namespace burdockhold::testing

#endif
