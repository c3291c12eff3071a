#pragma once

#include "StandIn/FaultPump.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <list>
#include <memory>
#include <string>

namespace Lavendervane::StandIn {

/// Name and addresses of one proxy pair.
struct FaultPairSettings {
    std::string name;
    std::string listen; ///< "IP:port"; port 0 selects a free port
    std::string target; ///< "IP:port"
};

/// Forwards the connections of one listening address to one target and injects faults.
class FaultPair {
public:
    /// Throws Error (step "listen" or "parse address").
    FaultPair(boost::asio::io_context&, FaultPairSettings);
    ~FaultPair();

    FaultPair(const FaultPair&) = delete;
    FaultPair& operator=(const FaultPair&) = delete;

    const std::string& name() const { return this->pairSettings.name; }
    std::string listenAddress() const;
    const FaultSettings& faults() const { return this->currentFaults; }
    size_t connectionCount() const { return this->connections.size(); }

    /// Replaces the faults with immediate effect. Connections to the target that a cut or freeze delayed are opened
    /// when it ends.
    void setFaults(const FaultSettings&);

    /// Stops all delivery on the existing connections. New connections are not affected.
    void silenceExisting();

private:
    class Connection;

    void listen();
    void accept();

    boost::asio::io_context& context;
    FaultPairSettings pairSettings;
    FaultSettings currentFaults;
    boost::asio::ip::tcp::endpoint listenEndpoint;
    boost::asio::ip::tcp::endpoint targetEndpoint;
    boost::asio::ip::tcp::acceptor acceptor;
    std::list<std::shared_ptr<Connection>> connections;
};

} // namespace Lavendervane::StandIn
