#include "CommandLine/CommandLine.h"
#include "Core/Error.h"
#include "StandIn/PlatformServer.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>

static const char* const usage
    = R"(Simulates the platform: a table with transactions, an object store and the VM list, in memory.

Usage:
  standin-platform --address=ADDRESS [--vm=VM]...
  standin-platform --help

Options:
  --help             Prints this text.
  --address=ADDRESS  IP:port to listen on.
  --vm=VM            VM in the initial VM list: ID,IP:port,DATA_CENTRE; may be repeated.
)";

int main(int argc, char** argv)
{
    using namespace Lavendervane;
    return runProgram([=] {
        const CommandLine arguments(usage, argc, argv);
        StandIn::Json vms = StandIn::Json::array();
        for (const std::string& vm : arguments.list("--vm")) {
            const auto parts = split(vm, ',');
            if (parts.size() != 3)
                throw Error("parse arguments", "", "--vm must be ID,IP:port,DATA_CENTRE, not \"" + vm + "\"");
            vms.push_back(
                { { "id", parts[0] }, { "address", parts[1] }, { "data_centre", parts[2] }, { "state", "live" } });
        }

        boost::asio::io_context context(1);
        boost::asio::signal_set signals(context, SIGINT, SIGTERM);
        signals.async_wait([&context](boost::system::error_code, int) { context.stop(); });
        const StandIn::PlatformServer server(context, arguments.text("--address"), std::move(vms));
        std::cout << "listening on port " << server.port() << std::endl;
        context.run();
        return 0;
    });
}
