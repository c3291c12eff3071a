#pragma once

#include <chrono>
#include <cstdint>
#include <ostream>

namespace Lavendervane {

struct TrafficBenchSettings {
    uint32_t threads = 2; ///< threads of the traffic server
    uint32_t connections = 64; ///< client connections in the throughput phase
    std::chrono::seconds phaseDuration { 3 };
};

/// Measures reads through one VM and directly at an endpoint, and prints throughput and latencies. The VM, the clients
/// and endpoints that respond immediately all run in this process.
void runTrafficBench(const TrafficBenchSettings&, std::ostream&);

} // namespace Lavendervane
