#pragma once

#include "Adapter/StoreStandIn.h"
#include "CallerStandIn.h"
#include "EndpointStandIn.h"
#include "FaultShares.h"
#include "Integration/ChildProcess.h"
#include "PromiseChecker.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Lavendervane::EntryProcess {

struct FleetSettings {
    std::string program = "lavendervane-entryd"; ///< name in the build folder, or an absolute path
    uint64_t seed = 1;
    size_t callers = 40;
    std::chrono::milliseconds duration { 12'000 }; ///< time in which callers start operations
    std::chrono::milliseconds longestPause { 150 }; ///< of callers between operations
    FaultShares faults;
    uint64_t memoryMegabytes = 182; ///< limit in the settings of the processes
};

/// Three processes of the program on addresses of loopback, one for each data centre, with two groups of three
/// endpoints, the store and callers around them.
class EntryFleet {
public:
    explicit EntryFleet(const FleetSettings&);
    ~EntryFleet();

    EntryFleet(const EntryFleet&) = delete;
    EntryFleet& operator=(const EntryFleet&) = delete;

    /// Returns false if not all processes became ready in time.
    bool waitUntilReady();

    /// Lets the callers run and waits for their last answers.
    void run();

    /// Opens `connections` sessions at the first process. Each sets `values` values of `bytes` bytes, one after the
    /// other, and then stays open. Returns the highest resident memory of the process in bytes.
    size_t keepValues(size_t connections, size_t values, size_t bytes);

    /// Returns false if a process has ended by itself.
    bool areAllRunning();

    const PromiseChecker& result() const { return this->checker; }

    /// Directory with the settings files and the logs.
    const std::string& directory() const { return this->folder; }

    /// Keeps the directory when the fleet is destroyed.
    void keepDirectory() { this->isDirectoryKept = true; }

private:
    struct Vm {
        std::string dataCentre;
        std::string ip;
        std::unique_ptr<ChildProcess> process;
    };

    void addGroups();
    void addRoutes();
    void startVm(const std::string& dataCentre, const std::string& ip);
    void putConfiguration();
    void putRegistryRows();
    void renewRows();
    bool isReady(const Vm&);

    FleetSettings settings;
    SeededRandom random;
    std::string folder;
    bool isDirectoryKept = false;
    std::string ipPrefix;
    boost::asio::io_context context;
    PromiseChecker checker;
    Adapter::StoreStandIn store;
    std::unique_ptr<HttpServer> promotions; ///< refuses all promotions
    boost::asio::steady_timer renewal;
    uint64_t sequence = 0; ///< of the registry rows and the configuration
    GroupLog logs[2];
    std::vector<std::unique_ptr<EndpointStandIn>> endpoints;
    std::vector<Vm> vms;
    CallerSettings callerSettings;
    std::vector<std::unique_ptr<CallerStandIn>> callers;
    std::vector<std::unique_ptr<boost::asio::ip::tcp::socket>> keepers; ///< sessions of `keepValues`
};

} // namespace Lavendervane::EntryProcess
