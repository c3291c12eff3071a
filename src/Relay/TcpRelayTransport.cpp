#include "Relay/TcpRelayTransport.h"

#include "Core/Error.h"
#include "Http/Address.h"
#include "Runtime/StreamSocket.h"

#include <boost/asio/post.hpp>
#include <glog/logging.h>

#include <array>
#include <optional>
#include <utility>

namespace Lavendervane {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

static constexpr size_t lengthPrefixBytes = 4;
// A message contains a statement or an answer of at most 1 MiB and little more.
static constexpr size_t maxFrameBytes = 4 * 1024 * 1024;

static std::string encodeLength(size_t length)
{
    std::string bytes(lengthPrefixBytes, '\0');
    for (size_t index = 0; index < lengthPrefixBytes; ++index)
        bytes[index] = static_cast<char>(length >> (8 * (lengthPrefixBytes - 1 - index)));
    return bytes;
}

static size_t decodeLength(std::string_view bytes)
{
    size_t length = 0;
    for (size_t index = 0; index < lengthPrefixBytes; ++index)
        length = length << 8 | static_cast<unsigned char>(bytes[index]);
    return length;
}

/// Connection to one VM. It can outlive the transport, which detaches itself before it is destroyed.
class TcpRelayTransport::Connection : public StreamSocket {
public:
    Connection(tcp::socket socket, TcpRelayTransport& transport, RelayChannel channel)
        : StreamSocket(std::move(socket))
        , transport(&transport)
        , channel(channel)
    {
    }

    void detachTransport() { this->transport = nullptr; }

private:
    void handleBytes(std::string_view bytes) override
    {
        const auto self = this->shared_from_this();
        this->receiveBuffer.append(bytes);
        size_t start = 0;
        while (this->transport && this->receiveBuffer.size() - start >= lengthPrefixBytes) {
            const std::string_view rest = std::string_view(this->receiveBuffer).substr(start);
            const size_t length = decodeLength(rest);
            if (length > maxFrameBytes) {
                this->transport->closeAndNotify(
                    this->channel, "a message is longer than " + std::to_string(maxFrameBytes) + " bytes");
                return;
            }
            if (rest.size() < lengthPrefixBytes + length)
                break;
            start += lengthPrefixBytes + length;
            this->transport->handleFrame(this->channel, rest.substr(lengthPrefixBytes, length));
        }
        this->receiveBuffer.erase(0, start);
    }

    void handleConnected() override
    {
        if (this->transport && this->transport->listener)
            this->transport->listener->onRelayChannelConnected(this->channel);
    }

    void handleFailure(const error_code& error) override
    {
        if (this->transport)
            this->transport->closeAndNotify(this->channel, error.message());
    }

    TcpRelayTransport* transport;
    RelayChannel channel;
    std::string receiveBuffer; ///< received bytes of incomplete messages
};

static tcp::endpoint parseTcpEndpoint(const std::string& address)
{
    const auto parsed = parseAddress(address);
    return { parsed.address(), parsed.port() };
}

TcpRelayTransport::TcpRelayTransport(asio::io_context& context, const std::string& address)
    : context(context)
    , acceptor(context)
{
    try {
        const tcp::endpoint local = parseTcpEndpoint(address);
        this->acceptor.open(local.protocol());
        this->acceptor.set_option(tcp::acceptor::reuse_address(true));
        this->acceptor.bind(local);
        this->acceptor.listen();
    } catch (const boost::system::system_error& error) {
        throw Error("listen for relays", address, error.what());
    }
    this->accept();
}

TcpRelayTransport::~TcpRelayTransport()
{
    this->listener = nullptr;
    for (const auto& [channel, connection] : std::exchange(this->connections, {})) {
        connection->detachTransport();
        connection->close();
    }
}

void TcpRelayTransport::accept()
{
    this->acceptor.async_accept([this](const error_code& error, tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (error) {
            LOG_EVERY_N(WARNING, 100) << "accept a relay connection: " << error.message();
        } else {
            this->connections.at(this->addConnection(std::move(socket)))->start();
        }
        this->accept();
    });
}

RelayChannel TcpRelayTransport::addConnection(tcp::socket socket)
{
    const RelayChannel channel = ++this->lastChannel;
    this->connections.emplace(channel, std::make_shared<Connection>(std::move(socket), *this, channel));
    return channel;
}

RelayChannel TcpRelayTransport::open(const std::string& address)
{
    const RelayChannel channel = this->addConnection(tcp::socket(this->context));
    try {
        this->connections.at(channel)->connect(parseTcpEndpoint(address), "");
    } catch (const Error& error) {
        asio::post(this->context,
            [this, channel, reason = std::string(error.what())] { this->closeAndNotify(channel, reason); });
    }
    return channel;
}

void TcpRelayTransport::send(RelayChannel channel, const RelayMessage& message)
{
    const auto connection = this->connections.find(channel);
    if (connection == this->connections.end())
        return;
    const std::string body = encodeRelayMessage(message);
    if (body.size() > maxFrameBytes) {
        this->failLinkOf(channel, message);
        return;
    }
    connection->second->write(encodeLength(body.size()) + body);
}

// The other end would close the connection, and with it all links of the two VMs.
void TcpRelayTransport::failLinkOf(RelayChannel channel, const RelayMessage& message)
{
    LOG_EVERY_N(WARNING, 20) << "relay connection " << channel << ": a message is longer than " << maxFrameBytes
                             << " bytes and is not sent";
    RelayFailed failed;
    failed.link = std::visit([](const auto& unsent) { return unsent.link; }, message);
    failed.code = AnswerCode::TooLarge;
    failed.message = "a message to or from the owner VM is too long";
    if (!std::holds_alternative<RelayBatch>(message)) {
        this->send(channel, failed);
        return;
    }
    asio::post(this->context, [this, channel, failed] {
        if (this->listener && this->connections.find(channel) != this->connections.end())
            this->listener->onRelayMessage(channel, failed);
    });
}

void TcpRelayTransport::close(RelayChannel channel)
{
    const auto known = this->connections.find(channel);
    if (known == this->connections.end())
        return;
    const auto connection = known->second;
    this->connections.erase(known);
    connection->detachTransport();
    connection->close();
}

std::string TcpRelayTransport::peerAddress(RelayChannel channel) const
{
    const auto connection = this->connections.find(channel);
    return connection == this->connections.end() ? std::string() : connection->second->peerAddress();
}

void TcpRelayTransport::handleFrame(RelayChannel channel, std::string_view frame)
{
    auto message = decodeRelayMessage(frame);
    if (!message) {
        this->closeAndNotify(channel, "received a malformed message");
        return;
    }
    if (this->listener)
        this->listener->onRelayMessage(channel, std::move(*message));
}

void TcpRelayTransport::closeAndNotify(RelayChannel channel, const std::string& reason)
{
    if (this->connections.find(channel) == this->connections.end())
        return;
    LOG_EVERY_N(INFO, 20) << "relay connection " << channel << " ended: " << reason;
    this->close(channel);
    if (this->listener)
        this->listener->onRelayChannelClosed(channel);
}

} // namespace Lavendervane
