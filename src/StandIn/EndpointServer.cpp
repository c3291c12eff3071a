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
    http.bodyLimit = 16 * 1024 * 1024; // bytes; must hold a batch of 512 replicated entries
    return http;
}

static int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

EndpointServer::EndpointServer(boost::asio::io_context& context, const EndpointSettings& settings)
    : context(context)
    , settings(settings)
    , slots(context, settings.slots, settings.slotWait)
    , waiters(context)
    , server(context, serverSettings(settings), [this] { return std::make_shared<EndpointConnection>(*this); })
    , ownAddress(this->uniqueAddress(settings))
    , endpoint(std::make_unique<EndpointState>(this->ownAddress))
{
    this->switches.lag = settings.lag;
    if (!settings.firstPrimary)
        return;
    this->endpoint->startAsFirstPrimary(bootTimeNow());
    this->startReplication(settings.replicas);
}

EndpointServer::~EndpointServer()
{
    this->stopReplication();
    this->server.closeAll();
}

std::string EndpointServer::uniqueAddress(const EndpointSettings& settings) const
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

void EndpointServer::onHigherTermSeen(const Term& term)
{
    this->endpoint->fence(term);
    this->onStateChanged();
}

void EndpointServer::onStateChanged()
{
    if (!this->endpoint->primary())
        this->stopReplication();
    for (const auto& replicator : this->replicators)
        replicator->onLogChanged();
    this->waiters.onLogChanged();
}

Json EndpointServer::fence(const Json& request)
{
    const FenceAnswer answer = this->endpoint->fence(parseTerm(request.at("term")));
    this->onStateChanged();
    return { { "accepted", answer.accepted }, { "promised", toJson(answer.promised) },
        { "last_entry_term", toJson(answer.lastEntryTerm) }, { "position", answer.position } };
}

Json EndpointServer::promote(const Json& request)
{
    const auto members = request.at("members").get<std::vector<std::string>>();
    const bool wasPrimary = this->endpoint->primary();
    const bool accepted = this->endpoint->promote(parseTerm(request.at("term")), bootTimeNow());
    if (accepted && !wasPrimary)
        this->startReplication(members);
    this->onStateChanged();
    return { { "accepted", accepted }, { "position", this->endpoint->position() },
        { "promised", toJson(this->endpoint->promised()) } };
}

Json EndpointServer::follow(const Json& request)
{
    const bool accepted
        = this->endpoint->follow(parseTerm(request.at("term")), request.at("primary").get<std::string>());
    this->onStateChanged();
    return { { "accepted", accepted }, { "promised", toJson(this->endpoint->promised()) } };
}

Json EndpointServer::replicate(const Json& request)
{
    ReplicateRequest parsed;
    parsed.term = parseTerm(request.at("term"));
    parsed.primary = request.at("primary").get<std::string>();
    parsed.previousTerm = parseTerm(request.at("previous").at("term"));
    parsed.previousPosition = request.at("previous").at("position").get<uint64_t>();
    parsed.behind = Duration(request.at("behind_ns").get<int64_t>());
    parsed.now = bootTimeNow();
    for (const Json& entry : request.at("entries")) {
        parsed.entries.push_back(parseLogEntry(entry));
        parsed.entries.back().created = parsed.now;
    }
    const ReplicateAnswer answer = this->endpoint->replicate(parsed);
    this->onStateChanged();
    return { { "accepted", answer.accepted }, { "promised", toJson(answer.promised) }, { "position", answer.position },
        { "lag_ms", this->switches.lag.count() } };
}

Json EndpointServer::status() const
{
    const Instant now = bootTimeNow();
    const EndpointState& state = *this->endpoint;
    return { { "promised", toJson(state.promised()) }, { "term", toJson(state.term()) },
        { "role", state.primary() ? "primary" : "replica" }, { "primary", state.primaryAddress() },
        { "position", state.position() }, { "first_position", state.firstPosition() },
        { "last_entry_term", toJson(state.term()) },
        { "primary_heard_ms", milliseconds(state.timeSincePrimaryContact(now)) },
        { "lag_ms", milliseconds(state.lag(now)) }, { "connections", this->trafficConnections },
        { "busy_slots", this->slots.busy() }, { "waiting", this->slots.waiting() } };
}

Json EndpointServer::control(const Json& request)
{
    const auto number = [&](const char* name, uint64_t current) { return request.value(name, current); };
    this->switches.lag = std::chrono::milliseconds(number("lag_ms", this->switches.lag.count()));
    this->switches.slow = std::chrono::milliseconds(number("slow_ms", this->switches.slow.count()));
    this->switches.dropAnswers = number("drop_answers", this->switches.dropAnswers);
    this->switches.crossNext = request.value("cross_next", this->switches.crossNext);
    return { { "lag_ms", this->switches.lag.count() }, { "slow_ms", this->switches.slow.count() },
        { "drop_answers", this->switches.dropAnswers }, { "cross_next", this->switches.crossNext } };
}

Json EndpointServer::dump() const
{
    Json dump = this->endpoint->dump();
    dump["header_names"] = this->seen.headerNames();
    dump["key_like"] = this->seen.keyLikeTexts();
    return dump;
}

} // namespace Lavendervane::StandIn
