#include "testing/support_fleet.h"

#include "burdockhold/hash.h"
#include "testing/support_address.h"
#include "testing/support_http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <stdexcept>

namespace burdockhold::testing {

namespace {

std::filesystem::path makeFolder()
{
    std::string name = (std::filesystem::temp_directory_path() / "burdockhold-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr)
        throw std::runtime_error("cannot make the folder " + name);
    return name;
}

void checkStatus(const http_response &response, const std::string &what)
{
    if (response.status != 200)
        throw std::runtime_error(what + " answered " + std::to_string(response.status) + ": "
                                 + response.body);
}

} // namespace

standin_process startStandin(const std::string &programFolder, const std::string &role,
                             const std::vector<std::string> &arguments)
{
    std::vector<std::string> words{ role, "--port", "0" };
    words.insert(words.end(), arguments.begin(), arguments.end());
    child_process process(programFolder + "/standin", words);
    std::string url = waitForListeningUrl(process);
    return { std::move(process), std::move(url) };
}

std::string settingsText(const daemon_settings &settings)
{
    return "[daemon]\n"
           "name = "
           + settings.name + "\ndata_centre = " + settings.dataCentre
           + "\n"
             "listen = http://127.0.0.1:0\n"
             "admin_listen = http://127.0.0.1:0\n"
             "peer_listen = "
           + settings.peer + "\n\n[log]\nurl = " + settings.logUrl
           + "\npoll_wait = 1s\n\n[vms]\nurl = " + settings.vmsUrl + "\n\n[logging]\nfile = "
           + settings.logFile + "\nlevel = info\n\n[limits]\nbody = 16MiB\n\n" + settings.extra;
}

nlohmann::json changeRecord(const std::string &id, const nlohmann::json &changes)
{
    return { { "id", id }, { "kind", "change" }, { "changes", changes } };
}

nlohmann::json keyIssueRecord(const std::string &id, const std::string &key,
                              const std::string &account)
{
    const nlohmann::json value{
        { "owner", "test" }, { "account", account }, { "label", "" }, { "withdrawn", false }
    };
    const nlohmann::json change{
        { "entry", "key" }, { "name", sha256Hex(key) }, { "base", 0 }, { "value", value }
    };
    return changeRecord(id, nlohmann::json::array({ change }));
}

fleet::fleet(fleet_options options)
    : m_options(std::move(options))
    , m_folder(makeFolder())
    , m_log(startStandin(m_options.programFolder, "log", m_options.log))
    , m_vmList(startStandin(m_options.programFolder, "vmlist", m_options.vmlist))
{
    for (const auto &arguments : m_options.engines)
        m_engines.push_back(startStandin(m_options.programFolder, "engine", arguments));
    for (const auto &arguments : m_options.services)
        m_services.push_back(startStandin(m_options.programFolder, "service", arguments));
}

fleet::~fleet()
{
    m_daemons.clear();
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

void fleet::launch(running_daemon &daemon) const
{
    daemon.process = child_process(m_options.programFolder + "/burdockholdd",
                                   { "--settings", daemon.settingsFile.string() });
    daemon.url = waitForListeningUrl(daemon.process);
    daemon.adminUrl = daemon.process.waitForLine("admin");
}

std::size_t fleet::startDaemon(const std::string &name, const std::string &dataCentre)
{
    const std::filesystem::path file = m_folder / (name + ".ini");
    const daemon_settings settings{ name,
                                    dataCentre,
                                    reserveAddress("tcp://"),
                                    m_log.url,
                                    m_vmList.url,
                                    (m_folder / (name + ".log")).string(),
                                    m_options.extraSettings };
    std::ofstream(file) << settingsText(settings);
    running_daemon daemon{ settings, file, {}, {}, {} };
    launch(daemon);
    m_daemons.push_back(std::move(daemon));
    publishVms();
    return m_daemons.size() - 1;
}

void fleet::restartDaemon(std::size_t index)
{
    running_daemon &daemon = m_daemons.at(index);
    daemon.process.signal(SIGKILL);
    daemon.process.wait(std::chrono::seconds(10));
    launch(daemon);
    publishVms();
}

void fleet::publishVms(const std::vector<std::string> &leaving)
{
    nlohmann::json vms = nlohmann::json::array();
    for (running_daemon &daemon : m_daemons) {
        if (daemon.process.wait(std::chrono::milliseconds(0)))
            continue;
        const std::string &name = daemon.settings.name;
        const bool leaves = std::find(leaving.begin(), leaving.end(), name) != leaving.end();
        vms.push_back({ { "name", name },
                        { "data_centre", daemon.settings.dataCentre },
                        { "peer", daemon.settings.peer },
                        { "admin", daemon.adminUrl },
                        { "state", leaves ? "leaving" : "live" } });
    }
    const nlohmann::json body{ { "vms", vms } };
    checkStatus(httpCall(m_vmList.url, "PUT", "/vms", body.dump()), "the VM list");
}

std::uint64_t fleet::append(const std::string &stream, const std::vector<nlohmann::json> &records)
{
    nlohmann::json texts = nlohmann::json::array();
    for (const nlohmann::json &record : records)
        texts.push_back(record.dump());
    const nlohmann::json body{ { "records", texts } };
    const http_response response = httpCall(m_log.url, "POST", "/streams/" + stream + "/records",
                                            body.dump());
    checkStatus(response, "the log");
    return response.json().at("first_offset").get<std::uint64_t>();
}

std::string fleet::newId()
{
    return "test-record-" + std::to_string(++m_ids);
}

std::int64_t fleet::lastConfigOffset() const
{
    const std::string path = "/streams/config/records?from=1&limit=1&wait_ms=0";
    return httpCall(m_log.url, "GET", path).json().at("next").get<std::int64_t>() - 1;
}

void fleet::loadCatalogue(const nlohmann::json &changes)
{
    append("config", { changeRecord(newId(), changes) });
}

std::string fleet::issueKey(const std::string &account)
{
    const std::string id = newId();
    std::string key = "bk-" + account + "-" + id;
    append("config", { keyIssueRecord(id, key, account) });
    return key;
}

} // namespace burdockhold::testing
