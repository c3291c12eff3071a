#pragma once

#include "Relay/RelayTransport.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <map>
#include <memory>
#include <string>

namespace Lavendervane {

/// Relay messages over TCP. Each message is preceded by its length as a 32-bit big-endian integer.
class TcpRelayTransport : public RelayTransport {
public:
    /// Accepts connections of other VMs at `address` ("IP:port"). Throws Error (step "listen for relays").
    TcpRelayTransport(boost::asio::io_context&, const std::string& address);
    ~TcpRelayTransport() override;

    RelayChannel open(const std::string& address) override;
    void send(RelayChannel, const RelayMessage&) override;
    void close(RelayChannel) override;
    std::string peerAddress(RelayChannel) const override;
    void setListener(RelayTransportListener* target) override { this->listener = target; }

private:
    class Connection;

    void accept();
    RelayChannel addConnection(boost::asio::ip::tcp::socket);
    void handleFrame(RelayChannel, std::string_view frame);

    /// Reports the link of a message that is too long to be sent as failed, at the VM that uses the link.
    void failLinkOf(RelayChannel, const RelayMessage&);
    void closeAndNotify(RelayChannel, const std::string& reason);

    boost::asio::io_context& context;
    boost::asio::ip::tcp::acceptor acceptor;
    RelayTransportListener* listener = nullptr;
    std::map<RelayChannel, std::shared_ptr<Connection>> connections;
    RelayChannel lastChannel = 0;
};

} // namespace Lavendervane
