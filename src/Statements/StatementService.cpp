#include "Statements/StatementService.h"

#include "Core/Rendezvous.h"
#include "Statements/CallerSession.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace Lavendervane {

StatementService::StatementService(StatementServiceSettings settings, Timers& timers, EndpointConnector& connector,
    PeerTransport& transport, RelayTransport& relayTransport, TrafficListener& trafficListener, TrafficLog& log)
    : options(std::move(settings))
    , clock(timers)
    , connector(connector)
    , peers(transport)
    , listener(trafficListener)
    , events(log)
    , admissions(this->limitShares, timers, transport, this->options.vm, this->options.dataCentre,
          this->options.admission, stableHash(this->options.vm.str()))
    , poll(timers, transport, this->options.vm, this->options.reachabilityPoll, stableHash(this->options.vm.str()))
    , relay(this->options.vm, timers, connector, relayTransport, static_cast<EndpointObserver&>(*this), this->numbers,
          log)
{
    transport.setListener(this);
}

StatementService::~StatementService()
{
    this->peers.setListener(nullptr);
    if (this->isolationTimer)
        this->clock.cancel(*this->isolationTimer);
}

std::shared_ptr<CallerHandler> StatementService::makeHandler(CallerLink& link)
{
    auto session = std::make_shared<CallerSession>(*this, link);
    this->sessions.insert(session.get());
    this->events.sessionsChanged(this->sessions.size());
    return session;
}

// Limit of all VMs together as a token bucket. What a window may hold beyond the stated limit goes into the rate,
// because the burst is the operators' statement of how much may come at once.
static Capacity capacityOf(const RateLimit& limit, const StatementServiceSettings& settings)
{
    const double seconds = std::chrono::duration<double>(settings.limitWindow).count();
    const double stated = limit.burst + limit.rate * seconds;
    const double beyond = stated * settings.limitTolerance / 2 + settings.limitSlack / 2.0;
    const double rate = limit.rate + beyond / seconds;
    return { static_cast<uint64_t>(rate * static_cast<double>(milliTokensPerRequest)),
        limit.burst * milliTokensPerRequest };
}

void StatementService::setDirectory(std::shared_ptr<const Directory> directory)
{
    this->current = std::move(directory);
    std::map<OrganisationId, Capacity> limits;
    for (const SessionOrganisation& organisation : this->current->configuration().organisations)
        limits.emplace(organisation.name, capacityOf(organisation.limit, this->options));
    this->limitShares.setLimits(limits, this->clock.now());

    this->relay.setDirectory(this->current);
    std::map<GroupId, std::vector<RegisteredEndpoint>> members;
    this->groupOf.clear();
    for (const RegisteredEndpoint& endpoint : this->current->endpoints()) {
        if (!this->current->findGroup(endpoint.group))
            continue;
        members[endpoint.group].push_back(endpoint);
        this->groupOf[endpoint.id] = endpoint.group;
    }
    for (const auto& [name, endpoints] : members) {
        auto& group = this->groups[name];
        if (!group)
            group = std::make_unique<GroupTraffic>(name,
                GroupTrafficSettings { this->options.dataCentre, this->options.drainLimit }, this->clock,
                this->connector, this->relay, static_cast<EndpointObserver&>(*this));
        group->update(endpoints, *this->current);
    }
    std::erase_if(this->groups, [&members](const auto& entry) {
        if (members.find(entry.first) != members.end())
            return false;
        entry.second->retireAll();
        return true;
    });
    const auto all = this->sessions;
    for (CallerSession* session : all)
        session->directoryChanged();
    this->checkIsolation();
}

void StatementService::checkIsolation()
{
    const Instant now = this->clock.now();
    const auto unserved = std::count_if(this->groups.begin(), this->groups.end(), [](const auto& entry) {
        const auto primary = entry.second->primary();
        return !primary || !primary->isReachable();
    });
    this->isolation.update(this->groups.size(), static_cast<size_t>(unserved), now);
    if (this->isolationTimer)
        this->clock.cancel(*this->isolationTimer);
    this->isolationTimer.reset();
    if (const auto next = this->isolation.nextChange(now)) {
        this->isolationTimer = this->clock.schedule(*next, [this] {
            this->isolationTimer.reset();
            this->checkIsolation();
        });
    }
    if (this->wantsCallers != this->isolation.wantsCallers(now)) {
        this->wantsCallers = !this->wantsCallers;
        this->listener.acceptsCallersChanged(this->wantsCallers);
    }
    if (!this->isolation.shedsSessions(now))
        return;
    const auto all = this->sessions;
    for (CallerSession* session : all)
        session->closeWhenIdle();
}

GroupTraffic* StatementService::findGroup(const GroupId& name)
{
    const auto found = this->groups.find(name);
    return found == this->groups.end() ? nullptr : found->second.get();
}

void StatementService::closeIdleSessions()
{
    this->isClosing = true;
    this->relay.beginStop();
    const auto all = this->sessions;
    for (CallerSession* session : all)
        session->closeWhenIdle();
}

void StatementService::abortTransactions()
{
    const auto all = this->sessions;
    for (CallerSession* session : all)
        session->abortTransaction("the proxy is stopping");
}

void StatementService::shutDown()
{
    for (auto& [name, group] : this->groups)
        group->retireAll();
    this->groups.clear();
    this->relay.shutDown();
}

void StatementService::sessionEnded(CallerSession& session)
{
    this->sessions.erase(&session);
    this->events.sessionsChanged(this->sessions.size());
}

void StatementService::onPeerMessage(const std::string& sender, const PeerMessage& message)
{
    if (const auto* request = std::get_if<TokenRequest>(&message)) {
        this->admissions.tokensRequested(sender, *request);
    } else if (const auto* reply = std::get_if<TokenReply>(&message)) {
        this->admissions.tokensReceived(sender, *reply);
    } else if (const auto* question = std::get_if<ReachabilityRequest>(&message)) {
        GroupTraffic* group = this->findGroup(question->group);
        const auto reachability
            = group ? group->reachability(question->endpoint, this->clock.now()) : Reachability::Unknown;
        this->peers.send(sender, ReachabilityReply { question->requestId, question->endpoint, reachability });
    } else if (const auto* answer = std::get_if<ReachabilityReply>(&message)) {
        this->poll.replyReceived(sender, *answer);
    } else if (const auto* notice = std::get_if<PromotionNotice>(&message)) {
        if (GroupTraffic* group = this->findGroup(notice->group))
            group->primaryExpected = this->clock.now() + std::chrono::milliseconds(notice->expectedInMs);
        this->listener.promotionNoticeReceived(notice->group);
    }
}

void StatementService::setPeers(const std::vector<FleetMember>& vms)
{
    this->admissions.setPeers(vms);
    this->poll.setPeers(vms);
    this->relay.setMembers(vms);
}

// Questions of the proxy itself concern no organisation; any that is declared may be named in the opening.
OrganisationId StatementService::anyOrganisation() const
{
    const auto& organisations = this->current->configuration().organisations;
    return organisations.empty() ? OrganisationId() : organisations.front().name;
}

void StatementService::inspect(
    const GroupId& name, const std::vector<EndpointId>& endpoints, const StatusesCallback& callback)
{
    GroupTraffic* group = this->findGroup(name);
    if (!group) {
        callback({});
        return;
    }
    inspectEndpoints(
        *group, endpoints, this->anyOrganisation(), this->clock.now() + this->options.inspectionTimeout, callback);
}

void StatementService::stepDown(const GroupId& name, const EndpointId& endpoint, uint64_t term,
    const std::function<void(std::optional<EndpointStatus>)>& callback)
{
    GroupTraffic* group = this->findGroup(name);
    if (!group) {
        callback(std::nullopt);
        return;
    }
    stepDownPrimary(
        *group, endpoint, term, this->anyOrganisation(), this->clock.now() + this->options.inspectionTimeout, callback);
}

void StatementService::pollReachability(
    const GroupId& group, const EndpointId& endpoint, ReachabilityPoll::Callback callback)
{
    this->poll.ask(group, endpoint, std::move(callback));
}

void StatementService::announcePromotion(const GroupId& name, const EndpointId& endpoint, Duration expectedIn)
{
    const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(std::max(expectedIn, Duration {}));
    if (GroupTraffic* group = this->findGroup(name))
        group->primaryExpected = this->clock.now() + time;
    for (const std::string& address : this->poll.peers())
        this->peers.send(address, PromotionNotice { name, endpoint, static_cast<uint64_t>(time.count()) });
}

void StatementService::endpointReachabilityChanged(const EndpointId& endpoint, bool reachable)
{
    this->events.endpointChanged(endpoint, reachable ? "reachable" : "unreachable");
    const auto group = this->groupOf.find(endpoint);
    if (group == this->groupOf.end())
        return;
    this->listener.endpointReachabilityChanged(group->second, endpoint, reachable);
    if (GroupTraffic* traffic = this->findGroup(group->second); traffic && reachable)
        traffic->notifyChanged();
    this->checkIsolation();
}

} // namespace Lavendervane
