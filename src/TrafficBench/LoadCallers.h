#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Lavendervane {

/// Throughput and latencies of one run of measureLoad().
struct LoadResult {
    double rate = 0; ///< responses per second
    std::vector<double> latencies; ///< microseconds, ascending
    uint64_t failures = 0; ///< responses with a status other than 200

    /// Latency in microseconds at the given quantile, from 0 to 1; 0 if there were no responses.
    double quantile(double fraction) const;
};

/// Generates a closed-loop load from two threads for the given duration: each connection sends the request again as
/// soon as it has received the previous response. Throws Error (step "measure") if a connection fails while the load
/// runs.
LoadResult measureLoad(
    const std::string& address, const std::string& request, uint32_t connections, std::chrono::milliseconds duration);

} // namespace Lavendervane
