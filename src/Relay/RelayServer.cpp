#include "Relay/RelayServer.h"

#include "Relay/PooledLink.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace Lavendervane {

/// A link that another VM has opened through this VM.
class RelayServer::RemoteLink : public LinkListener, public std::enable_shared_from_this<RemoteLink> {
public:
    RemoteLink(RelayServer& server, LinkId id, const RelayOpen& request)
        : server(server)
        , id(id)
        , endpoint(request.endpoint)
        , organisation(request.organisation)
    {
    }

    ~RemoteLink() override
    {
        if (this->link)
            this->link->close();
    }

    void open(std::shared_ptr<EndpointPool> openedPool)
    {
        this->pool = std::move(openedPool);
        this->link = PooledLink::open(this->pool, this->organisation, this->server.numbers, this->server.timers, *this);
    }

    void send(const RelayBatch& batch)
    {
        const Instant deadline = this->server.timers.now() + std::chrono::milliseconds(batch.timeoutMs);
        for (const Statement& statement : batch.statements) {
            if (!statement.id.empty())
                this->statementId = statement.id;
        }
        if (const RegisteredEndpoint& target = this->pool->endpoint(); target.isLeaving() && !this->statementId.empty())
            this->server.log.sentToDraining(
                { this->statementId, target.id, this->server.transport.peerAddress(this->id.first), "",
                    target.remainingWorkTime(this->server.timers.now()) });
        this->link->send(batch.statements, { deadline, static_cast<size_t>(batch.guardCount) });
    }

    bool isAwaitingAnswer() const { return this->link->isAwaitingAnswer(); }
    bool isBusy() const { return this->link->isBusy(); }

    /// Closes a link without a batch or transaction in progress. A batch that is on its way will not run; the other VM
    /// sends it elsewhere if the link was not reported as open.
    void stop()
    {
        this->fail(
            this->opened ? LinkFailure::Broken : LinkFailure::Rejected, AnswerCode::Busy, "the owner VM is stopping");
    }

    void fail(LinkFailure failure, AnswerCode code, const std::string& message)
    {
        const auto self = this->shared_from_this();
        this->link->close();
        this->server.transport.send(
            this->id.first, RelayFailed { this->id.second, failure, code, message, this->pool->outcomesToReport() });
        this->server.removeRemoteLink(this->id);
    }

    void linkConnected() override { }
    void linkOpened() override
    {
        this->opened = true;
        this->server.transport.send(this->id.first, RelayOpened { this->id.second, this->link->guardsBatches() });
    }

    void linkAnswered(std::vector<EndpointAnswer> answers) override
    {
        const auto self = this->shared_from_this();
        this->statementId.clear();
        this->server.transport.send(
            this->id.first, RelayAnswers { this->id.second, std::move(answers), this->pool->outcomesToReport() });
        if (this->server.stopping && !this->isBusy())
            this->stop();
    }

    void linkFailed(LinkFailure failure, AnswerCode code, const std::string& message) override
    {
        if (!this->statementId.empty())
            this->server.log.relayFailed({ this->statementId, this->organisation, this->endpoint, message });
        this->fail(failure, code, message);
    }

private:
    RelayServer& server;
    LinkId id;
    EndpointId endpoint;
    OrganisationId organisation;
    std::string statementId; ///< caller's identifier of the statement in progress, for the log
    std::shared_ptr<EndpointPool> pool;
    std::shared_ptr<PooledLink> link;
    bool opened = false; ///< true once the other VM has been told that the link is open
};

RelayServer::RelayServer(
    Timers& timers, RelayTransport& transport, OwnerPools& pools, PreparedStatementIds& numbers, TrafficLog& log)
    : timers(timers)
    , transport(transport)
    , pools(pools)
    , numbers(numbers)
    , log(log)
{
}

RelayServer::~RelayServer() = default;

void RelayServer::handleOpen(RelayChannel channel, const RelayOpen& request)
{
    const auto pool = this->stopping ? nullptr : this->pools.find(request.endpoint);
    if (!pool) {
        const AnswerCode code = this->stopping ? AnswerCode::Busy : AnswerCode::WrongEndpoint;
        const std::string reason
            = this->stopping ? "the owner VM is stopping" : "the endpoint is not registered at the owner VM";
        this->transport.send(channel, RelayFailed { request.link, LinkFailure::Rejected, code, reason });
        return;
    }
    const LinkId id { channel, request.link };
    const auto remoteLink = std::make_shared<RemoteLink>(*this, id, request);
    this->remoteLinks[id] = remoteLink;
    remoteLink->open(pool);
}

void RelayServer::handleBatch(RelayChannel channel, const RelayBatch& batch)
{
    const auto remoteLink = this->remoteLinks.find({ channel, batch.link });
    if (remoteLink == this->remoteLinks.end())
        return; // the link failed while the batch was in flight, and the sender has been notified
    if (batch.statements.empty() || remoteLink->second->isAwaitingAnswer()) {
        LOG(WARNING) << "relay channel " << channel << ", link " << batch.link
                     << ": received a batch that is empty or was sent before the previous batch was answered";
        remoteLink->second->fail(LinkFailure::Broken, AnswerCode::Malformed,
            "the batch is empty or was sent before the previous batch was answered");
        return;
    }
    remoteLink->second->send(batch);
}

void RelayServer::handleClose(RelayChannel channel, const RelayClose& request)
{
    // Destroying a link can pass its connection to another link, which may then change the map. The link is therefore
    // removed from the map before it is destroyed.
    const auto ended = this->remoteLinks.extract({ channel, request.link });
}

void RelayServer::handleChannelClosed(RelayChannel channel)
{
    const auto first = this->remoteLinks.lower_bound({ channel, 0 });
    const auto last = this->remoteLinks.lower_bound({ channel + 1, 0 });
    const std::vector<std::pair<LinkId, std::shared_ptr<RemoteLink>>> ended(first, last);
    this->remoteLinks.erase(first, last);
}

void RelayServer::beginStop()
{
    this->stopping = true;
    const auto all = this->remoteLinks;
    for (const auto& [id, remoteLink] : all) {
        if (!remoteLink->isBusy())
            remoteLink->stop();
    }
}

size_t RelayServer::busyLinkCount() const
{
    return static_cast<size_t>(std::count_if(
        this->remoteLinks.begin(), this->remoteLinks.end(), [](const auto& entry) { return entry.second->isBusy(); }));
}

void RelayServer::removeRemoteLink(const LinkId& id) { this->remoteLinks.erase(id); }

} // namespace Lavendervane
