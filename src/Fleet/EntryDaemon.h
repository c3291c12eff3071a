#pragma once

#include "Core/Identifiers.h"
#include "Fleet/DirectoryFeed.h"
#include "Fleet/TableStore.h"
#include "Promotion/PromotionMessages.h"
#include "Statements/CallerLink.h"
#include "Statements/EndpointLink.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <string>

namespace Lavendervane {

/// Accepts connections of callers.
class CallerListener {
public:
    virtual ~CallerListener() = default;
    virtual void stopAccepting() = 0;
};

/// Creates the platform-specific parts of an entry daemon.
class EntryDaemonFactory {
public:
    virtual ~EntryDaemonFactory() = default;

    virtual std::unique_ptr<EndpointConnector> makeConnector(boost::asio::io_context& traffic) = 0;
    virtual std::unique_ptr<CallerListener> makeCallerListener(boost::asio::io_context& traffic, CallerHandlerFactory&)
        = 0;
    virtual std::unique_ptr<TableStore> makeTable(boost::asio::io_context& control) = 0;

    /// Called after `makeTable`. The feed may use the table, which outlives it.
    virtual std::unique_ptr<DirectoryFeed> makeDirectoryFeed(boost::asio::io_context& control) = 0;

    virtual std::unique_ptr<PromotionOrders> makePromotionOrders(boost::asio::io_context& control) = 0;
};

struct EntryDaemonSettings {
    std::chrono::milliseconds limitWindow { 5000 }; ///< window in which an organisation's requests are counted
    double limitTolerance = 0; ///< fraction of the limit by which a window may exceed it
    uint32_t limitSlack = 0; ///< number of requests by which a window may exceed the limit in addition
    /// Time for which a draining endpoint may still receive statements.
    std::chrono::milliseconds endpointDrainTime { 7000 };
    /// Time within which changes of the configuration and the registry must be in force.
    std::chrono::milliseconds changeApplyTime { 3000 };
    /// Time after the start of an evacuation from which on nothing of callers may reach an endpoint in the data centre.
    std::chrono::milliseconds evacuationTime { 5000 };
    std::map<DataCentre, std::string> regions; ///< region of each data centre
    /// True if endpoints give up the lead by themselves when another one is promoted.
    bool endpointsAreFenced = true;
    VmId vm;
    DataCentre dataCentre;
    uint32_t processorMillis = 1000; ///< processor share of this VM in 1/1000 of a core
    uint64_t memoryBytes = 0; ///< memory that the process may use; 0 if it is not known
    std::string runId; ///< identifies this run of the process
    std::string peerAddress; ///< "IP:port" for messages between VMs
    std::string readinessAddress; ///< "IP:port" of the readiness check
    std::string readinessPath;
    std::string metricsAddress; ///< "IP:port"; empty if metrics are not served
    std::chrono::milliseconds stopLimit { 6000 }; ///< time from SIGTERM until the process is killed
    /// Time for the load balancer to detect that this VM is not ready: two checks at intervals of one second.
    std::chrono::milliseconds balancerDetectionTime { 2200 };
    /// Part of `stopLimit` that is reserved for closing connections.
    std::chrono::milliseconds closeReserve { 700 };
};

/// Daemon that serves sessions on one VM, with one control thread and one traffic thread.
class EntryDaemon {
public:
    EntryDaemon(EntryDaemonSettings, EntryDaemonFactory&);
    ~EntryDaemon();

    EntryDaemon(const EntryDaemon&) = delete;
    EntryDaemon& operator=(const EntryDaemon&) = delete;

    /// Serves until SIGTERM or SIGINT. Returns the exit status.
    int run();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace Lavendervane
