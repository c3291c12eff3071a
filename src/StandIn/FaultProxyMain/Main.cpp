#include "CommandLine/CommandLine.h"
#include "Core/Error.h"
#include "StandIn/FaultProxy.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>

static const char* const usage
    = R"(Fault-injecting TCP proxy. POST /control at the control address sets the faults of each pair:
{"pairs": {NAME: {"delay_ms": 0, "cut_to_target": false, "cut_to_client": false, "silent": false, "freeze": false,
"refuse_new": false, "heal": false}}}; the name "*" means all pairs. {"heal": true} ends all faults.

Usage:
  fault-proxy --control=ADDRESS (--pair=PAIR)...
  fault-proxy --help

Options:
  --help             Prints this text.
  --control=ADDRESS  IP:port of the control address.
  --pair=PAIR        NAME,LISTEN,TARGET with LISTEN and TARGET as IP:port; may be repeated.
)";

int main(int argc, char** argv)
{
    using namespace Lavendervane;
    return runProgram([=] {
        const CommandLine arguments(usage, argc, argv);
        std::vector<StandIn::FaultPairSettings> pairs;
        for (const std::string& pair : arguments.list("--pair")) {
            const auto parts = split(pair, ',');
            if (parts.size() != 3)
                throw Error("parse arguments", "", "--pair must be NAME,LISTEN,TARGET, not \"" + pair + "\"");
            pairs.push_back({ parts[0], parts[1], parts[2] });
        }

        boost::asio::io_context context(1);
        boost::asio::signal_set signals(context, SIGINT, SIGTERM);
        signals.async_wait([&context](boost::system::error_code, int) { context.stop(); });
        const StandIn::FaultProxy proxy(context, arguments.text("--control"), pairs);
        std::cout << "control on port " << proxy.controlPort() << std::endl;
        context.run();
        return 0;
    });
}
