#include "TrafficBench/TrafficBench.h"

#include <docopt/docopt.h>

#include <iostream>

static const char usage[] = R"(Compares reads through one VM with reads sent directly to an endpoint, on loopback.

Usage:
  lavendervane-traffic-bench [options]

Options:
  --threads=N        traffic threads [default: 2]
  --connections=N    client connections in the throughput phase [default: 64]
  --seconds=N        duration of each phase [default: 3]
)";

int main(int argc, char** argv)
{
    try {
        auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
        Lavendervane::TrafficBenchSettings settings;
        settings.threads = static_cast<uint32_t>(arguments["--threads"].asLong());
        settings.connections = static_cast<uint32_t>(arguments["--connections"].asLong());
        settings.phaseDuration = std::chrono::seconds(arguments["--seconds"].asLong());
        Lavendervane::runTrafficBench(settings, std::cout);
    } catch (const std::exception& error) {
        std::cerr << "lavendervane-traffic-bench: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
