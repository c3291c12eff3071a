#include "StandIn/FaultPair.h"

#include "Core/Error.h"
#include "Http/Address.h"

#include <utility>

namespace Lavendervane::StandIn {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

class FaultPair::Connection : public std::enable_shared_from_this<FaultPair::Connection> {
public:
    Connection(FaultPair& pair, tcp::socket accepted)
        : pair(pair)
        , client(std::move(accepted))
        , target(pair.context)
    {
    }

    // Connects to the target, unless a cut or freeze is active: the connection then waits for its end.
    void connectIfAllowed()
    {
        const FaultSettings& faults = this->pair.currentFaults;
        if (this->isConnectStarted || faults.isCutToTarget || faults.isCutToClient || faults.isFrozen)
            return;
        this->isConnectStarted = true;
        this->target.async_connect(this->pair.targetEndpoint, [self = this->shared_from_this()](error_code error) {
            if (self->isClosed)
                return;
            if (error)
                self->remove();
            else
                self->startPumps();
        });
    }

    void resume()
    {
        this->connectIfAllowed();
        for (const auto& pump : { this->toTarget, this->toClient }) {
            if (pump)
                pump->resume();
        }
    }

    void silence()
    {
        this->isSilenced = true;
        for (const auto& pump : { this->toTarget, this->toClient }) {
            if (pump)
                pump->silence();
        }
    }

    void close()
    {
        this->isClosed = true;
        for (const auto& pump : { this->toTarget, this->toClient }) {
            if (pump)
                pump->stop();
        }
        error_code ignored;
        this->client.close(ignored);
        this->target.close(ignored);
    }

private:
    void startPumps()
    {
        error_code ignored;
        this->client.set_option(tcp::no_delay(true), ignored);
        this->target.set_option(tcp::no_delay(true), ignored);
        const FaultSettings& faults = this->pair.currentFaults;
        const auto onFinished = [this] {
            if (++this->finishedPumps == 2)
                this->remove();
        };
        this->toTarget
            = std::make_shared<FaultPump>(this->client, this->target, faults, faults.isCutToTarget, onFinished);
        this->toClient
            = std::make_shared<FaultPump>(this->target, this->client, faults, faults.isCutToClient, onFinished);
        if (this->isSilenced)
            this->silence();
        this->toTarget->start();
        this->toClient->start();
    }

    void remove()
    {
        const auto self = this->shared_from_this();
        this->close();
        this->pair.connections.remove(self);
    }

    FaultPair& pair;
    tcp::socket client;
    tcp::socket target;
    std::shared_ptr<FaultPump> toTarget;
    std::shared_ptr<FaultPump> toClient;
    int finishedPumps = 0;
    bool isConnectStarted = false;
    bool isSilenced = false;
    bool isClosed = false;
};

FaultPair::FaultPair(asio::io_context& context, FaultPairSettings settings)
    : context(context)
    , pairSettings(std::move(settings))
    , listenEndpoint(parseAddress(this->pairSettings.listen))
    , targetEndpoint(parseAddress(this->pairSettings.target))
    , acceptor(context)
{
    this->listen();
}

FaultPair::~FaultPair()
{
    error_code ignored;
    this->acceptor.close(ignored);
    for (const auto& connection : this->connections)
        connection->close();
}

std::string FaultPair::listenAddress() const { return formatAddress(this->listenEndpoint); }

void FaultPair::listen()
{
    try {
        this->acceptor.open(this->listenEndpoint.protocol());
        this->acceptor.set_option(asio::socket_base::reuse_address(true));
        this->acceptor.bind(this->listenEndpoint);
        this->acceptor.listen(4096);
        // Keeps the port that was assigned, so that a later listen() after `refusesNew` uses it again.
        this->listenEndpoint = this->acceptor.local_endpoint();
    } catch (const boost::system::system_error& error) {
        throw Error("listen", this->pairSettings.listen, error.code().message());
    }
    this->accept();
}

void FaultPair::accept()
{
    this->acceptor.async_accept([this](error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error) {
            this->connections.push_back(std::make_shared<Connection>(*this, std::move(socket)));
            this->connections.back()->connectIfAllowed();
        }
        if (this->acceptor.is_open())
            this->accept();
    });
}

void FaultPair::setFaults(const FaultSettings& faults)
{
    const bool wasRefusing = this->currentFaults.refusesNew;
    this->currentFaults = faults;
    if (faults.refusesNew && !wasRefusing) {
        error_code ignored;
        this->acceptor.close(ignored);
    } else if (!faults.refusesNew && wasRefusing)
        this->listen();
    const auto current = this->connections;
    for (const auto& connection : current)
        connection->resume();
}

void FaultPair::silenceExisting()
{
    for (const auto& connection : this->connections)
        connection->silence();
}

} // namespace Lavendervane::StandIn
