#include "SessionBench/SessionBench.h"

#include <docopt/docopt.h>

#include <iostream>

static const char usage[] = R"(Measures statements of sessions on a primary route, without contention.

Usage:
  lavendervane-session-bench [--relayed] [--kind=KIND] [--count=N]

Options:
  --relayed    send the statements through a second VM
  --kind=KIND  read, write or transaction [default: read]
  --count=N    statements or transactions to measure [default: 200000]
)";

int main(int argc, char** argv)
{
    try {
        auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
        Lavendervane::SessionBenchSettings settings;
        settings.isRelayed = arguments["--relayed"].asBool();
        settings.kind = arguments["--kind"].asString();
        settings.count = static_cast<uint64_t>(arguments["--count"].asLong());
        Lavendervane::runSessionBench(settings, std::cout);
    } catch (const std::exception& error) {
        std::cerr << "lavendervane-session-bench: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
