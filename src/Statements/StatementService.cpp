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
    , trafficLog(log)
    , stateBudget(this->options.sessionState)
    , requestAdmission(this->limitShares, timers, transport, this->options.vm, this->options.dataCentre,
          this->options.admission, stableHash(this->options.vm.str()))
    , reachabilityPoll(
          timers, transport, this->options.vm, this->options.reachabilityPoll, stableHash(this->options.vm.str()))
    , lease(timers, transport, this->options.vm, this->options.dataCentre, this->options.primaryLease,
          stableHash(this->options.vm.str()), static_cast<PrimaryLeaseListener&>(*this))
    , relay(this->options.vm, timers, connector, relayTransport, static_cast<EndpointObserver&>(*this),
          this->statementIds, log)
{
    transport.setListener(this);
}

StatementService::~StatementService()
{
    this->peers.setListener(nullptr);
    if (this->isolationTimer)
        this->clock.cancel(*this->isolationTimer);
    if (this->transactionEndTimer)
        this->clock.cancel(*this->transactionEndTimer);
}

std::shared_ptr<CallerHandler> StatementService::makeHandler(CallerLink& link)
{
    auto session = std::make_shared<CallerSession>(*this, link);
    this->sessions.insert(session.get());
    this->trafficLog.sessionsChanged(this->sessions.size());
    return session;
}

// Converts an organisation's limit into the token bucket of the whole fleet. The amount by which a window may exceed
// the limit is added to the rate, not to the burst, because operators set the burst as the number of requests that may
// arrive at once.
static Capacity makeFleetCapacity(const RateLimit& limit, const StatementServiceSettings& settings)
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
    this->currentDirectory = std::move(directory);
    std::map<OrganisationId, Capacity> limits;
    for (const SessionOrganisation& organisation : this->currentDirectory->configuration().organisations)
        limits.emplace(organisation.name, makeFleetCapacity(organisation.limit, this->options));
    this->limitShares.setLimits(limits, this->clock.now());

    this->relay.setDirectory(this->currentDirectory);
    std::map<GroupId, std::vector<RegisteredEndpoint>> members;
    this->groupByEndpoint.clear();
    for (const RegisteredEndpoint& endpoint : this->currentDirectory->endpoints()) {
        if (!this->currentDirectory->findGroup(endpoint.group))
            continue;
        members[endpoint.group].push_back(endpoint);
        this->groupByEndpoint[endpoint.id] = endpoint.group;
    }
    std::set<GroupId> synchronousGroups;
    for (const GroupDeclaration& group : this->currentDirectory->configuration().groups) {
        if (group.synchronousReplicas)
            synchronousGroups.insert(group.name);
    }
    this->lease.setGuardedGroups(std::move(synchronousGroups));
    for (const auto& [name, endpoints] : members) {
        auto& group = this->groups[name];
        if (!group)
            group = std::make_unique<GroupTraffic>(name, GroupTrafficSettings { this->options.dataCentre }, this->clock,
                this->connector, this->relay, static_cast<EndpointObserver&>(*this));
        group->update(endpoints, *this->currentDirectory);
    }
    std::erase_if(this->groups, [&members](const auto& entry) {
        if (members.find(entry.first) != members.end())
            return false;
        entry.second->retireAll();
        return true;
    });
    size_t withdrawn = 0;
    size_t pending = 0;
    const auto all = this->sessions;
    for (CallerSession* session : all) {
        withdrawn += session->isKeyWithdrawn();
        pending += session->isKeyWithdrawn() && session->isBusy();
        session->checkTransaction();
    }
    if (withdrawn)
        this->trafficLog.keysWithdrawn(withdrawn, pending);
    this->scheduleTransactionEnd();
    this->checkIsolation();
}

void StatementService::scheduleTransactionEnd()
{
    if (this->transactionEndTimer)
        this->clock.cancel(*std::exchange(this->transactionEndTimer, std::nullopt));
    std::optional<Instant> next;
    for (const RegisteredEndpoint& endpoint : this->currentDirectory->endpoints()) {
        if (endpoint.evacuated && endpoint.acceptsTransactions(this->clock.now()))
            next = std::min(next.value_or(Instant::max()), endpoint.evacuationTimes.transactionEnd);
    }
    if (next)
        this->transactionEndTimer = this->clock.schedule(*next, [this] {
            this->transactionEndTimer.reset();
            this->endEvacuatedTransactions();
        });
}

// A transaction with a pending statement is checked again after the answer.
void StatementService::endEvacuatedTransactions()
{
    const auto all = this->sessions;
    for (CallerSession* session : all)
        session->checkTransaction();
    this->scheduleTransactionEnd();
}

// Groups that evacuations have left without an endpoint are not counted, because no other VM serves them either.
void StatementService::checkIsolation()
{
    const Instant now = this->clock.now();
    size_t groupCount = 0;
    size_t unservedGroups = 0;
    for (const auto& [name, group] : this->groups) {
        if (group->isLeftWithoutEndpoint())
            continue;
        ++groupCount;
        unservedGroups += !this->canUsePrimary(*group);
    }
    this->isolationDetector.update(groupCount, unservedGroups, now);
    if (this->isolationTimer)
        this->clock.cancel(*this->isolationTimer);
    this->isolationTimer.reset();
    if (const auto next = this->isolationDetector.nextChange(now)) {
        this->isolationTimer = this->clock.schedule(*next, [this] {
            this->isolationTimer.reset();
            this->checkIsolation();
        });
    }
    if (this->acceptsCallers != this->isolationDetector.acceptsCallers(now)) {
        this->acceptsCallers = !this->acceptsCallers;
        this->listener.acceptsCallersChanged(this->acceptsCallers);
    }
    if (!this->isolationDetector.shouldCloseSessions(now))
        return;
    const auto all = this->sessions;
    for (CallerSession* session : all)
        session->closeIfIdle();
}

bool StatementService::canUsePrimary(const GroupTraffic& group) const
{
    const auto primary = group.primary();
    return primary && primary->isReachable() && this->lease.mayUse(primary->endpoint());
}

void StatementService::primaryLeaseChanged()
{
    for (const auto& [name, group] : this->groups) {
        if (this->canUsePrimary(*group))
            group->runChangeCallbacks();
    }
    this->checkIsolation();
}

// Statements under way at the revoked endpoint may be committed after another endpoint has been promoted, so their
// answers must not be passed on.
void StatementService::primaryRevoked(const PrimaryRevocation& revocation)
{
    this->listener.primaryRevoked(revocation);
    if (GroupTraffic* group = this->findGroup(revocation.group)) {
        group->interruptIf(
            [&revocation](
                const RegisteredEndpoint& endpoint) { return revocation.applies(endpoint.id, endpoint.address); },
            "the endpoint is being replaced as the primary");
        // Statements may wait for a primary that is not revoked any more.
        if (revocation.endpoint.empty())
            group->runChangeCallbacks();
    }
    this->checkIsolation();
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
        session->closeIfIdle();
}

void StatementService::abortTransactions()
{
    this->isEndingTransactions = true;
    const auto all = this->sessions;
    for (CallerSession* session : all)
        session->checkTransaction();
}

void StatementService::shutDown()
{
    // No group is found from here on, so that nothing is sent again.
    const auto ended = std::exchange(this->groups, {});
    for (const auto& [name, group] : ended) {
        group->interruptIf([](const RegisteredEndpoint&) { return true; }, "the proxy is stopping");
        group->retireAll();
    }
    const auto all = this->sessions;
    for (CallerSession* session : all)
        session->endPendingStatement("the proxy is stopping");
    this->relay.shutDown();
}

SessionCounts StatementService::countSessions() const
{
    SessionCounts counts { this->sessions.size(), 0, 0 };
    for (const CallerSession* session : this->sessions) {
        if (!session->hasOpenTransaction())
            continue;
        ++counts.transactions;
        counts.pendingStatements += session->isBusy();
    }
    return counts;
}

void StatementService::removeSession(CallerSession& session)
{
    if (this->sessions.erase(&session))
        this->stateBudget.replace(session.stateBytes(), 0);
    this->trafficLog.sessionsChanged(this->sessions.size());
}

bool StatementService::makeRoom(const CallerSession& session, size_t total, size_t more)
{
    while (!this->stateBudget.hasRoom(more)) {
        const auto largest = std::max_element(
            this->sessions.begin(), this->sessions.end(), [](const CallerSession* left, const CallerSession* right) {
                return left->stateBytes() < right->stateBytes();
            });
        if (largest == this->sessions.end() || *largest == &session || (*largest)->stateBytes() <= total)
            return false;
        CallerSession& evicted = **largest;
        evicted.evict();
        if (this->sessions.count(&evicted))
            return false;
    }
    return true;
}

void StatementService::onPeerMessage(const std::string& sender, const PeerMessage& message)
{
    if (const auto* request = std::get_if<TokenRequest>(&message)) {
        this->requestAdmission.handleTokenRequest(sender, *request);
    } else if (const auto* reply = std::get_if<TokenReply>(&message)) {
        this->requestAdmission.handleTokenReply(sender, *reply);
    } else if (const auto* returned = std::get_if<TokenReturn>(&message)) {
        this->requestAdmission.handleTokenReturn(sender, *returned);
    } else if (const auto* question = std::get_if<ReachabilityRequest>(&message)) {
        GroupTraffic* group = this->findGroup(question->group);
        ReachabilityReply reply { question->requestId, question->endpoint };
        if (group) {
            reply.reachability = group->primaryReachability(question->endpoint, this->clock.now());
            reply.newestTerm = group->newestTerm();
            reply.commits = group->commitEvidence();
        }
        this->peers.send(sender, reply);
    } else if (const auto* answer = std::get_if<ReachabilityReply>(&message)) {
        this->reachabilityPoll.handleReply(sender, *answer);
    } else if (const auto* notice = std::get_if<PromotionNotice>(&message)) {
        this->expectPrimary(notice->group, notice->endpoint, std::chrono::milliseconds(notice->expectedInMs));
        this->listener.promotionNoticeReceived(notice->group);
    } else if (const auto* leaseRequest = std::get_if<LeaseRequest>(&message)) {
        this->lease.handle(sender, *leaseRequest);
    } else if (const auto* leaseReply = std::get_if<LeaseReply>(&message)) {
        this->lease.handle(sender, *leaseReply);
    } else if (const auto* confirmationRequest = std::get_if<ConfirmationRequest>(&message)) {
        this->lease.handle(sender, *confirmationRequest);
    } else if (const auto* confirmationReply = std::get_if<ConfirmationReply>(&message)) {
        this->lease.handle(sender, *confirmationReply);
    } else if (const auto* revocationRequest = std::get_if<RevocationRequest>(&message)) {
        this->lease.handle(sender, *revocationRequest);
    } else if (const auto* revocationReply = std::get_if<RevocationReply>(&message)) {
        this->lease.handle(sender, *revocationReply);
    } else if (const auto* announcement = std::get_if<MemberAnnouncement>(&message)) {
        this->listener.memberAnnounced(announcement->member);
    } else if (const auto* confirmed = std::get_if<TablesConfirmed>(&message)) {
        this->listener.tablesConfirmed(*confirmed);
    }
}

void StatementService::setPeers(const std::vector<FleetMember>& vms)
{
    this->requestAdmission.setPeers(vms);
    this->reachabilityPoll.setPeers(vms);
    this->lease.setMembers(vms);
    this->relay.setMembers(vms);
}

// Queries of the proxy itself are not made for an organisation, but a connection must be opened for one. Any declared
// organisation will do.
OrganisationId StatementService::anyOrganisation() const
{
    const auto& organisations = this->currentDirectory->configuration().organisations;
    return organisations.empty() ? OrganisationId() : organisations.front().name;
}

void StatementService::inspect(
    const GroupId& name, const InspectionRequest& request, const InspectionCallback& callback)
{
    GroupTraffic* group = this->findGroup(name);
    if (!group) {
        callback({});
        return;
    }
    inspectEndpoints(*group, this->connector, this->clock, request, this->anyOrganisation(),
        this->clock.now() + this->options.inspectionTimeout, callback);
}

void StatementService::pollReachability(
    const GroupId& group, const EndpointId& endpoint, ReachabilityPoll::Callback callback)
{
    this->reachabilityPoll.start(
        group, endpoint, [this, group, callback = std::move(callback)](ReachabilityCounts counts) {
            counts.commits.push_back(this->commitEvidence(group));
            callback(std::move(counts));
        });
}

CommitEvidence StatementService::commitEvidence(const GroupId& name)
{
    const GroupTraffic* group = this->findGroup(name);
    return group ? group->commitEvidence() : CommitEvidence {};
}

void StatementService::announcePromotion(const GroupId& name, const EndpointId& endpoint, Duration expectedIn)
{
    const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(std::max(expectedIn, Duration {}));
    this->expectPrimary(name, endpoint, time);
    for (const std::string& address : this->reachabilityPoll.peers())
        this->peers.send(address, PromotionNotice { name, endpoint, static_cast<uint64_t>(time.count()) });
}

// A primary whose replicas are paused acknowledges nothing, so that what it runs would be rolled back.
void StatementService::expectPrimary(const GroupId& name, const EndpointId& endpoint, Duration expectedIn)
{
    GroupTraffic* group = this->findGroup(name);
    if (!group)
        return;
    group->primaryExpectedAt = this->clock.now() + expectedIn;
    const GroupDeclaration* declared = this->currentDirectory->findGroup(name);
    if (declared && declared->synchronousReplicas && !endpoint.empty())
        group->awaitSuccessor(endpoint, *group->primaryExpectedAt + this->options.successorGrace);
}

void StatementService::announceMember(const FleetMember& member, const std::vector<std::string>& addresses)
{
    for (const std::string& address : addresses)
        this->peers.send(address, MemberAnnouncement { member });
}

void StatementService::confirmTables(const TablesConfirmed& message, const std::vector<std::string>& addresses)
{
    for (const std::string& address : addresses)
        this->peers.send(address, message);
}

void StatementService::endpointReachabilityChanged(const EndpointId& endpoint, bool reachable)
{
    this->trafficLog.endpointChanged(endpoint, reachable ? "reachable" : "unreachable");
    const auto group = this->groupByEndpoint.find(endpoint);
    if (group == this->groupByEndpoint.end())
        return;
    this->listener.endpointReachabilityChanged(group->second, endpoint, reachable);
    if (GroupTraffic* traffic = this->findGroup(group->second); traffic && reachable)
        traffic->runChangeCallbacks();
    this->checkIsolation();
}

} // namespace Lavendervane
