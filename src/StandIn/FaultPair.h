#pragma once

#include "StandIn/FaultPump.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <list>
#include <memory>
#include <string>

namespace Lavendervane::StandIn {

/// Name and addresses of one pair.
struct FaultPairSettings {
    std::string name; ///< name of the pair in control requests
    std::string listen; ///< address that clients connect to, "IP:port"; port 0 selects a free port
    std::string target; ///< address that connections are forwarded to, "IP:port"
};

/// Forwards the connections at one listening address to one target address and injects faults.
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

    /// Takes effect at once. At the end of a cut or freeze, connections accepted in the meantime are connected to the
    /// target.
    void setFaults(const FaultSettings&);

    /// Drops all further bytes of the existing connections, permanently. New connections are not affected.
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
