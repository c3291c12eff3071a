#include "StandIn/EndpointServer.h"

#include "Http/Address.h"
#include "Runtime/BootTime.h"
#include "StandIn/EndpointConnection.h"

#include <utility>

namespace Lavendervane::StandIn {

static HttpServerSettings serverSettings(const EndpointSettings& settings)
{
    HttpServerSettings http;
    http.address = settings.address;
    http.bodyLimit = 16 * 1024 * 1024; // bytes; holds a replication batch of 512 entries
    return http;
}

static int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

EndpointServer::EndpointServer(boost::asio::io_context& context, const EndpointSettings& settings)
    : context(context)
    , settings(settings)
    , slots(context, settings.slots, settings.slotWaitLimit)
    , waiters(context)
    , server(context, serverSettings(settings), [this] { return std::make_shared<EndpointConnection>(*this); })
    , ownAddress(this->determineOwnAddress(settings))
    , endpoint(std::make_unique<EndpointState>(this->ownAddress))
{
    this->switches.lag = settings.lag;
    if (!settings.startsAsPrimary)
        return;
    this->endpoint->startAsFirstPrimary(bootTimeNow());
    this->startReplication(settings.replicas);
}

EndpointServer::~EndpointServer()
{
    this->stopReplication();
    this->server.closeAll();
}

std::string EndpointServer::determineOwnAddress(const EndpointSettings& settings) const
{
    if (!settings.advertisedAddress.empty())
        return settings.advertisedAddress;
    auto address = parseAddress(settings.address);
    address.port(this->server.port());
    return formatAddress(address);
}

void EndpointServer::startReplication(const std::vector<std::string>& members)
{
    this->stopReplication();
    for (const std::string& member : members) {
        if (member == this->ownAddress)
            continue;
        this->replicators.push_back(std::make_shared<Replicator>(
            this->context, *this->endpoint, *this, this->switches.lag, this->ownAddress, member));
        this->replicators.back()->start();
    }
}

void EndpointServer::stopReplication()
{
    for (const auto& replicator : std::exchange(this->replicators, {}))
        replicator->stop();
}

void EndpointServer::handleHigherTerm(const Term& term)
{
    this->endpoint->fence(term);
    this->handleStateChange();
}

void EndpointServer::handleStateChange()
{
    if (!this->endpoint->isPrimary())
        this->stopReplication();
    for (const auto& replicator : this->replicators)
        replicator->handleLogChange();
    this->waiters.recheckConditions();
}

Json EndpointServer::handleFence(const Json& request)
{
    const FenceResponse response = this->endpoint->fence(parseTerm(request.at("term")));
    this->handleStateChange();
    return { { "accepted", response.accepted }, { "promised", toJson(response.promised) },
        { "last_entry_term", toJson(response.lastEntryTerm) }, { "position", response.position } };
}

Json EndpointServer::handlePromote(const Json& request)
{
    const auto members = request.at("members").get<std::vector<std::string>>();
    const bool wasPrimary = this->endpoint->isPrimary();
    const bool accepted = this->endpoint->promote(parseTerm(request.at("term")), bootTimeNow());
    if (accepted && !wasPrimary)
        this->startReplication(members);
    this->handleStateChange();
    return { { "accepted", accepted }, { "position", this->endpoint->position() },
        { "promised", toJson(this->endpoint->promised()) } };
}

Json EndpointServer::handleFollow(const Json& request)
{
    const bool accepted
        = this->endpoint->follow(parseTerm(request.at("term")), request.at("primary").get<std::string>());
    this->handleStateChange();
    return { { "accepted", accepted }, { "promised", toJson(this->endpoint->promised()) } };
}

Json EndpointServer::handleReplicate(const Json& request)
{
    ReplicateRequest parsed;
    parsed.term = parseTerm(request.at("term"));
    parsed.primary = request.at("primary").get<std::string>();
    parsed.previousTerm = parseTerm(request.at("previous").at("term"));
    parsed.previousPosition = request.at("previous").at("position").get<uint64_t>();
    parsed.oldestUnsentAge = Duration(request.at("behind_ns").get<int64_t>());
    parsed.now = bootTimeNow();
    for (const Json& entry : request.at("entries")) {
        parsed.entries.push_back(parseLogEntry(entry));
        parsed.entries.back().created = parsed.now;
    }
    const ReplicateResponse response = this->endpoint->replicate(parsed);
    this->handleStateChange();
    return { { "accepted", response.accepted }, { "promised", toJson(response.promised) },
        { "position", response.position }, { "lag_ms", this->switches.lag.count() } };
}

Json EndpointServer::status() const
{
    const Instant now = bootTimeNow();
    const EndpointState& state = *this->endpoint;
    return { { "promised", toJson(state.promised()) }, { "term", toJson(state.term()) },
        { "role", state.isPrimary() ? "primary" : "replica" }, { "primary", state.primaryAddress() },
        { "position", state.position() }, { "first_position", state.firstPosition() },
        { "last_entry_term", toJson(state.term()) },
        { "primary_heard_ms", milliseconds(state.timeSincePrimaryHeard(now)) },
        { "lag_ms", milliseconds(state.lag(now)) }, { "connections", this->trafficConnections },
        { "busy_slots", this->slots.busy() }, { "waiting", this->slots.waiting() } };
}

Json EndpointServer::handleControl(const Json& request)
{
    const auto number = [&](const char* name, uint64_t current) { return request.value(name, current); };
    this->switches.lag = std::chrono::milliseconds(number("lag_ms", this->switches.lag.count()));
    this->switches.extraServiceTime
        = std::chrono::milliseconds(number("slow_ms", this->switches.extraServiceTime.count()));
    this->switches.answersToDrop = number("drop_answers", this->switches.answersToDrop);
    this->switches.crossNextAnswer = request.value("cross_next", this->switches.crossNextAnswer);
    return { { "lag_ms", this->switches.lag.count() }, { "slow_ms", this->switches.extraServiceTime.count() },
        { "drop_answers", this->switches.answersToDrop }, { "cross_next", this->switches.crossNextAnswer } };
}

Json EndpointServer::dump() const
{
    Json dump = this->endpoint->dump();
    dump["header_names"] = this->recorder.headerNames();
    dump["key_like"] = this->recorder.keyLikeTexts();
    return dump;
}

} // namespace Lavendervane::StandIn
