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

    // Connects to the target unless a cut or freeze is active.
    void connectIfAllowed()
    {
        const FaultSettings& faults = this->pair.currentFaults;
        if (this->started || faults.cutToTarget || faults.cutToClient || faults.freeze)
            return;
        this->started = true;
        this->target.async_connect(this->pair.targetEndpoint, [self = this->shared_from_this()](error_code error) {
            if (self->removed)
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
        this->silent = true;
        for (const auto& pump : { this->toTarget, this->toClient }) {
            if (pump)
                pump->silence();
        }
    }

    void close()
    {
        this->removed = true;
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
        const auto finished = [this] {
            if (++this->finishedPumps == 2)
                this->remove();
        };
        this->toTarget = std::make_shared<FaultPump>(this->client, this->target, faults, faults.cutToTarget, finished);
        this->toClient = std::make_shared<FaultPump>(this->target, this->client, faults, faults.cutToClient, finished);
        if (this->silent)
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
    bool started = false;
    bool silent = false;
    bool removed = false;
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
        // Keeps the selected port, so that listening can resume on it after connections were refused.
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
    const bool refused = this->currentFaults.refuseNew;
    this->currentFaults = faults;
    if (faults.refuseNew && !refused) {
        error_code ignored;
        this->acceptor.close(ignored);
    } else if (!faults.refuseNew && refused)
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
