#pragma once

#include <cstdint>
#include <ostream>
#include <string>

namespace Lavendervane {

struct SessionBenchSettings {
    bool isRelayed = false; ///< statements go through a second VM, over TCP
    std::string kind = "read"; ///< "read", "write" or "transaction" (begin, read and commit)
    uint64_t count = 200000; ///< statements or transactions to measure
};

/// Measures the processor time and the allocations of statements of sessions on a primary route, and the messages
/// between VMs. The VMs, the callers and an endpoint that answers immediately all run on one thread of this process.
void runSessionBench(const SessionBenchSettings&, std::ostream&);

} // namespace Lavendervane
