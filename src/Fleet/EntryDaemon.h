#pragma once

#include "Core/Identifiers.h"
#include "Fleet/DirectoryFeed.h"
#include "Fleet/TableStore.h"
#include "Promotion/PromotionMessages.h"
#include "Statements/CallerLink.h"
#include "Statements/EndpointLink.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <memory>
#include <string>

namespace Lavendervane {

/// Accepts callers until told to stop.
class CallerListener {
public:
    virtual ~CallerListener() = default;
    virtual void stopAccepting() = 0;
};

/// Makes the parts of an entry daemon that speak to the outside.
class EntryDaemonFactory {
public:
    virtual ~EntryDaemonFactory() = default;

    virtual std::unique_ptr<EndpointConnector> makeConnector(boost::asio::io_context& traffic) = 0;
    virtual std::unique_ptr<CallerListener> makeCallerListener(boost::asio::io_context& traffic, CallerHandlerFactory&)
        = 0;
    virtual std::unique_ptr<TableStore> makeTable(boost::asio::io_context& control) = 0;

    /// Called after makeTable; the feed may use the table, which outlives it.
    virtual std::unique_ptr<DirectoryFeed> makeDirectoryFeed(boost::asio::io_context& control) = 0;

    virtual std::unique_ptr<PromotionOrders> makePromotionOrders(boost::asio::io_context& control) = 0;
};

struct EntryDaemonSettings {
    std::chrono::milliseconds limitWindow { 5000 }; ///< window in which requests of organisations are counted
    double limitTolerance = 0; ///< part by which a window may exceed its limit
    uint32_t limitSlack = 0; ///< requests by which a window may exceed its limit besides
    /// Time after the news that an endpoint leaves in which it may still get work.
    std::chrono::milliseconds endpointDrainTime { 7000 };
    VmId vm;
    DataCentre dataCentre;
    uint32_t processorMillis = 1000; ///< part of one core, in 1/1000
    std::string runId; ///< differs in each run of the process
    std::string peerAddress; ///< "IP:port" for messages between VMs
    std::string readinessAddress; ///< "IP:port"
    std::string readinessPath;
    std::string metricsAddress; ///< "IP:port"; empty for no metrics
    std::chrono::milliseconds stopLimit { 6000 }; ///< from the request to stop until the process is killed
    /// Time until the balancer has noticed that this VM is not ready: two questions, one a second.
    std::chrono::milliseconds balancerDetectionTime { 2200 };
    /// Part of the stop limit that is kept for closing connections.
    std::chrono::milliseconds closeReserve { 700 };
};

/// One VM that serves sessions: one control thread, one traffic thread.
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
