#pragma once

#include "Peers/PeerTransport.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <string>

namespace Lavendervane {

/// Messages between VMs as UDP datagrams. A request and its reply take two datagrams and no connection, so any VM can
/// query any other at low cost.
class DatagramPeers : public PeerTransport {
public:
    /// Receives messages at `address` ("IP:port"). Throws Error (step "listen for peers").
    DatagramPeers(boost::asio::io_context&, const std::string& address);

    void send(const std::string& address, const PeerMessage&) override;
    void setListener(PeerListener*) override;

private:
    void receive();
    void readDatagrams();

    boost::asio::ip::udp::socket socket;
    PeerListener* listener = nullptr;
};

} // namespace Lavendervane
