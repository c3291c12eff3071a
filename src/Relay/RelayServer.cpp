#include "Relay/RelayServer.h"

#include "Relay/SharedLink.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace Lavendervane {

/// One link of another VM.
class RelayServer::Guest : public LinkListener, public std::enable_shared_from_this<Guest> {
public:
    Guest(RelayServer& server, Key key, const RelayOpen& request)
        : server(server)
        , key(key)
        , endpoint(request.endpoint)
        , organisation(request.organisation)
    {
    }

    ~Guest() override
    {
        if (this->link)
            this->link->close();
    }

    void open(std::shared_ptr<EndpointPool> pool)
    {
        this->link
            = SharedLink::open(std::move(pool), this->organisation, this->server.numbers, this->server.timers, *this);
    }

    void send(const RelayBatch& batch)
    {
        const Instant deadline = this->server.timers.now() + std::chrono::milliseconds(batch.withinMs);
        for (const Statement& statement : batch.statements) {
            if (!statement.id.empty())
                this->statementId = statement.id;
        }
        this->link->send(batch.statements, deadline);
    }

    bool awaitsAnswer() const { return this->link->awaitsAnswer(); }
    bool busy() const { return this->link->busy(); }

    void fail(LinkFailure failure, AnswerCode code, const std::string& message)
    {
        const auto self = this->shared_from_this();
        this->link->close();
        this->server.transport.send(this->key.first, RelayFailed { this->key.second, failure, code, message });
        this->server.guestEnded(this->key);
    }

    void linkConnected() override { }
    void linkOpened() override { this->server.transport.send(this->key.first, RelayOpened { this->key.second }); }

    void linkAnswered(std::vector<EndpointAnswer> answers) override
    {
        const auto self = this->shared_from_this();
        this->statementId.clear();
        this->server.transport.send(this->key.first, RelayAnswers { this->key.second, std::move(answers) });
        if (this->server.stopping && !this->busy())
            this->fail(LinkFailure::Broken, AnswerCode::Busy, "the owner is stopping");
    }

    void linkFailed(LinkFailure failure, AnswerCode code, const std::string& message) override
    {
        if (!this->statementId.empty())
            this->server.log.relayFailed({ this->statementId, this->organisation, this->endpoint, message });
        this->fail(failure, code, message);
    }

private:
    RelayServer& server;
    Key key;
    EndpointId endpoint;
    OrganisationId organisation;
    std::string statementId; ///< of the batch under way, as the caller gave it
    std::shared_ptr<SharedLink> link;
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

void RelayServer::opened(RelayChannel channel, const RelayOpen& request)
{
    const auto pool = this->stopping ? nullptr : this->pools.find(request.endpoint);
    if (!pool) {
        const AnswerCode code = this->stopping ? AnswerCode::Busy : AnswerCode::WrongEndpoint;
        const std::string reason = this->stopping ? "the owner is stopping" : "the owner knows no such endpoint";
        this->transport.send(channel, RelayFailed { request.link, LinkFailure::Rejected, code, reason });
        return;
    }
    const Key key { channel, request.link };
    const auto guest = std::make_shared<Guest>(*this, key, request);
    this->guests[key] = guest;
    guest->open(pool);
}

void RelayServer::batchReceived(RelayChannel channel, const RelayBatch& batch)
{
    const auto guest = this->guests.find({ channel, batch.link });
    if (guest == this->guests.end())
        return; // the link ended while the batch was on its way; the sender has been told
    if (batch.statements.empty() || guest->second->awaitsAnswer()) {
        LOG(WARNING) << "a peer sent a batch that is empty or out of turn";
        guest->second->fail(LinkFailure::Broken, AnswerCode::Malformed, "the batch is empty or out of turn");
        return;
    }
    guest->second->send(batch);
}

void RelayServer::linkClosed(RelayChannel channel, const RelayClose& request)
{
    // The end of a link may serve others from within, so it is taken out of the map first.
    const auto ended = this->guests.extract({ channel, request.link });
}

void RelayServer::channelClosed(RelayChannel channel)
{
    const auto first = this->guests.lower_bound({ channel, 0 });
    const auto last = this->guests.lower_bound({ channel + 1, 0 });
    const std::vector<std::pair<Key, std::shared_ptr<Guest>>> ended(first, last);
    this->guests.erase(first, last);
}

void RelayServer::beginStop()
{
    this->stopping = true;
    const auto all = this->guests;
    for (const auto& [key, guest] : all) {
        if (!guest->busy())
            guest->fail(LinkFailure::Broken, AnswerCode::Busy, "the owner is stopping");
    }
}

size_t RelayServer::busyLinks() const
{
    return static_cast<size_t>(std::count_if(
        this->guests.begin(), this->guests.end(), [](const auto& entry) { return entry.second->busy(); }));
}

void RelayServer::guestEnded(const Key& key) { this->guests.erase(key); }

} // namespace Lavendervane
