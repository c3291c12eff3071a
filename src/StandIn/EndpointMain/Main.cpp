#include "CommandLine/CommandLine.h"
#include "StandIn/EndpointServer.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>

static const char* const usage = R"(Simulates one database server of a group, in memory.

Usage:
  standin-endpoint --address=ADDRESS [options]
  standin-endpoint --help

Options:
  --help                   Prints this text.
  --address=ADDRESS        IP:port to listen on.
  --advertise=ADDRESS      Address that other processes use, if the endpoint is behind a proxy.
  --primary                Starts as primary in term {1, ""}; at most one member of a group.
  --replicas=ADDRESSES     Addresses of the other members, separated by commas; used with --primary.
  --slots=N                Requests that run at the same time [default: 1000].
  --slot-wait-ms=MS        Longest wait for a slot, then "busy" [default: 1000].
  --connections=N          Connections with client requests; further ones get "too_many_connections" [default: 10000].
  --connection-cost-ms=MS  Delay of the first client request on a connection [default: 0].
  --service-time-us=US     Time for which a request holds a slot [default: 0].
  --lag-ms=MS              Replication delay to this replica, or from this primary [default: 0].
)";

int main(int argc, char** argv)
{
    using namespace Lavendervane;
    return runProgram([=] {
        const CommandLine arguments(usage, argc, argv);
        StandIn::EndpointSettings settings;
        settings.address = arguments.text("--address");
        settings.advertisedAddress = arguments.text("--advertise");
        settings.startsAsPrimary = arguments.isGiven("--primary");
        settings.replicas = split(arguments.text("--replicas"), ',');
        settings.slots = static_cast<uint32_t>(arguments.number("--slots"));
        settings.slotWaitLimit = std::chrono::milliseconds(arguments.number("--slot-wait-ms"));
        settings.maxTrafficConnections = static_cast<uint32_t>(arguments.number("--connections"));
        settings.connectionCost = std::chrono::milliseconds(arguments.number("--connection-cost-ms"));
        settings.serviceTime = std::chrono::microseconds(arguments.number("--service-time-us"));
        settings.lag = std::chrono::milliseconds(arguments.number("--lag-ms"));

        boost::asio::io_context context(1);
        boost::asio::signal_set signals(context, SIGINT, SIGTERM);
        signals.async_wait([&context](boost::system::error_code, int) { context.stop(); });
        const StandIn::EndpointServer server(context, settings);
        std::cout << "listening on " << server.address() << std::endl;
        context.run();
        return 0;
    });
}
