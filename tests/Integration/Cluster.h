#pragma once

#include "Integration/Caller.h"
#include "Integration/ChildProcess.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Lavendervane {

struct ClusterSettings {
    size_t dataCentres = 3;
    size_t vmsPerDataCentre = 1;
    size_t groups = 1;
    uint32_t slots = 8;
    uint32_t connections = 64;
    uint32_t lagMs = 0; ///< replication lag of every replica
    uint32_t rate = 5000; ///< limit of every organisation, in requests per second
    uint32_t burst = 2500; ///< limit of every organisation, in requests at once
    std::vector<std::string> daemonArguments; ///< command-line arguments added for every daemon
};

/// A complete system of separate processes on loopback: platform, endpoints and VMs. The fault proxy is in front of
/// every endpoint (pair "g1-a"), of every VM's peer address ("peer-1") and between every VM and the platform
/// ("platform-1"). The organisations "alpha" and "beta" may write and have an API key; "guest" may read without a key.
class Cluster {
public:
    explicit Cluster(const ClusterSettings&);
    ~Cluster();

    Cluster(const Cluster&) = delete;
    Cluster& operator=(const Cluster&) = delete;

    struct Vm {
        std::string id;
        std::string dataCentre;
        std::string callerAddress; ///< address for callers
        std::string advertisedPeerAddress; ///< address that other VMs use, at the fault proxy
        std::string peerAddress; ///< address on which the daemon listens for other VMs
        std::string operatorAddress; ///< address of the operator service
        std::string metricsAddress; ///< address of the metrics and the readiness check
        std::string platformAddress; ///< address that the VM uses for the platform, at the fault proxy
        std::unique_ptr<ChildProcess> process;
    };
    struct Endpoint {
        std::string name;
        std::string group;
        std::string dataCentre;
        std::string address; ///< address that VMs use, at the fault proxy
        std::string directAddress; ///< address on which the endpoint listens
        std::unique_ptr<ChildProcess> process;
    };

    void startVm(size_t index);
    /// Runs lavendervanectl against all running VMs.
    ProgramResult runOperatorTool(std::vector<std::string> arguments);
    nlohmann::json status();

    /// Returns the name of the endpoint that VMs report as the group's primary with the highest term; empty if there is
    /// none.
    std::string primaryOf(const std::string& group);
    Endpoint& endpoint(const std::string& name);

    /// Sets the faults of one pair of the fault proxy; `{"heal": true}` ends them.
    void setFaults(const std::string& pair, const nlohmann::json& faults);
    void healAll();
    void controlPlatform(const nlohmann::json&);
    void controlEndpoint(const std::string& name, const nlohmann::json&);
    nlohmann::json dumpEndpoint(const std::string& name);

    /// Changes the text of the declaration with `edit`, then applies it.
    ProgramResult apply(const std::function<void(std::string&)>& edit = {});
    std::string createKey(const std::string& organisation);

    bool isReady(size_t vm);
    void waitUntilReady();

    std::vector<Vm> vms;
    std::vector<Endpoint> endpoints;
    std::map<std::string, std::string> keys; ///< API keys by organisation
    std::string directory; ///< folder of this cluster's logs and files

private:
    void allocateAddresses();
    void startStandIns();
    std::vector<std::string> daemonArguments(const Vm&) const;
    std::string makeDeclaration() const;

    ClusterSettings settings;
    std::string proxyControl;
    std::string platformAddress;
    std::string declaration;
    std::unique_ptr<ChildProcess> proxy;
    std::unique_ptr<ChildProcess> platform;
    Caller control { "" };
};

/// Waits until the condition holds. After the limit, throws an error that contains the description.
void waitUntil(const std::string& description, std::chrono::milliseconds limit, const std::function<bool()>& condition);

} // namespace Lavendervane
