#pragma once

#include <memory>

namespace Lavendervane {

struct DaemonSettings;

/// The proxy process of one VM: runs the control thread, the traffic threads and the servers for peers, operators and
/// metrics.
class Daemon {
public:
    /// Throws Error if an address cannot be used or a file cannot be read.
    explicit Daemon(const DaemonSettings&);
    ~Daemon();

    /// Runs the control loop on the calling thread until SIGTERM or SIGINT has stopped the daemon
    /// (docs/design.md, 5.12). Returns the exit code: 1 if running requests were cut off, else 0.
    int run();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace Lavendervane
