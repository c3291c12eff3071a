#include "Peers/DatagramPeers.h"

#include "Core/Error.h"
#include "Http/Address.h"

#include <glog/logging.h>

namespace Lavendervane {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

// Maximum size of a datagram; larger ones are fragmented on common links.
static constexpr size_t maxDatagramBytes = 1400;
// Maximum number of datagrams that are read before other handlers of the thread run.
static constexpr int maxDatagramsPerWakeup = 32;

static udp::endpoint parseUdpEndpoint(const std::string& address)
{
    const auto parsed = parseAddress(address);
    return { parsed.address(), parsed.port() };
}

DatagramPeers::DatagramPeers(asio::io_context& context, const std::string& address)
    : socket(context)
{
    try {
        const udp::endpoint local = parseUdpEndpoint(address);
        this->socket.open(local.protocol());
        this->socket.bind(local);
        this->socket.non_blocking(true);
    } catch (const boost::system::system_error& error) {
        throw Error("listen for peers", address, error.what());
    }
    this->receive();
}

void DatagramPeers::setListener(PeerListener* target) { this->listener = target; }

void DatagramPeers::send(const std::string& address, const PeerMessage& message)
{
    // Addresses come from rows and messages of other VMs.
    if (!isConnectable(address)) {
        LOG_EVERY_N(WARNING, 100) << "send to peer " << address << ": not an address";
        return;
    }
    error_code error;
    this->socket.send_to(asio::buffer(encodePeerMessage(message)), parseUdpEndpoint(address), 0, error);
    if (error) {
        LOG_EVERY_N(WARNING, 100) << "send to peer " << address << ": " << error.message();
    }
}

void DatagramPeers::receive()
{
    this->socket.async_wait(udp::socket::wait_read, [this](const error_code& error) {
        if (error)
            return;
        this->readDatagrams();
        this->receive();
    });
}

void DatagramPeers::readDatagrams()
{
    std::array<char, maxDatagramBytes> bytes {};
    for (int count = 0; count < maxDatagramsPerWakeup; ++count) {
        udp::endpoint sender;
        error_code error;
        const size_t length = this->socket.receive_from(asio::buffer(bytes), sender, 0, error);
        if (error == asio::error::would_block)
            return;
        if (error) {
            // The error reports that an earlier datagram was sent to a closed port; it does not affect later datagrams.
            LOG_EVERY_N(WARNING, 1000) << "receive from peers: " << error.message();
            continue;
        }
        const auto message = decodePeerMessage({ bytes.data(), length });
        if (!message) {
            LOG_EVERY_N(WARNING, 100) << "received a malformed or unknown message from peer " << sender;
            continue;
        }
        if (this->listener)
            this->listener->onPeerMessage(formatAddress({ sender.address(), sender.port() }), *message);
    }
}

} // namespace Lavendervane
