#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Lavendervane {

/// Settings of the daemon, from flags and environment variables.
struct DaemonSettings {
    std::string vm;
    std::string dataCentre;
    std::string callerAddress;
    std::string peerAddress;
    std::string advertisedPeerAddress; ///< address that other VMs use; defaults to `peerAddress`
    std::string operatorAddress;
    std::string metricsAddress;
    std::string platformAddress; ///< empty: the platform is not used
    std::vector<std::string> seedPeers;

    std::string peerSecret;
    std::string operatorSecret;
    std::string digestSecret;
    std::string sessionSecret;

    std::string tlsCertificateFile;
    std::string tlsKeyFile;
    std::string traceFile; ///< empty: no trace is written

    uint32_t trafficThreads = 0;
    uint32_t queueLimit = 0;
    std::chrono::milliseconds defaultTimeout {};
    std::chrono::milliseconds admissionWait {};
    std::chrono::milliseconds drainGrace {};
    std::chrono::milliseconds drainLimit {};
    std::chrono::seconds maxConfigurationAge {};
    std::chrono::seconds grantOutageLimit {};
};

/// Parsed command line of the daemon.
struct DaemonArguments {
    enum class Action {
        Run,
        Check, ///< validate the settings and exit
        Help,
        Version,
    };
    Action action = Action::Run;
    DaemonSettings settings; ///< set for Run and Check only
};

/// Returns the text of `--help`.
std::string daemonUsage();

/// Parses the arguments, which exclude the program's name. Flags take precedence over environment variables.
/// Throws Error (step "read settings") that names the invalid setting.
DaemonArguments parseDaemonArguments(const std::vector<std::string>& arguments);

} // namespace Lavendervane
