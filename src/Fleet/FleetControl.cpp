#include "Fleet/FleetControl.h"

#include "Limits/LimitShares.h"
#include "Metrics/SessionMetrics.h"
#include "Security/Digest.h"

#include <algorithm>
#include <utility>

namespace Lavendervane {

// Delay before the stored revocations are read again after a failure.
static constexpr Duration storedRevocationsRetryDelay = std::chrono::milliseconds(300);

// Delay before a promotion is recorded again after a failure.
static constexpr Duration leadershipRetryDelay = std::chrono::milliseconds(300);

// Upper bound of the random delay before revocations are recorded again that a restored table has lost.
static constexpr Duration revocationRecordJitter = std::chrono::milliseconds(1500);

// Time in which several changes of the list of VMs are combined.
static constexpr Duration memberListDelay = std::chrono::milliseconds(200);

// Length of the random key with which this process computes digests of callers' keys.
static constexpr size_t digestKeyBytes = 32;

static std::string millisecondsText(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

FleetControl::FleetControl(FleetControlSettings settings, Timers& timers, TableStore& table, PromotionOrders& orders,
    TrafficPort& traffic, StructuredLog& log, SessionMetrics& metrics)
    : settings(std::move(settings))
    , timers(timers)
    , table(table)
    , orders(orders)
    , traffic(traffic)
    , log(log)
    , metrics(metrics)
    , membership(this->settings.self, this->settings.membership, this->settings.seed)
    , promotionCoordinator(this->settings.self.vm, this->settings.runId, this->settings.promotion)
    , replicaRecorder(this->settings.self.vm, this->settings.replicaRecorder)
    , random(this->settings.seed)
    , digestKey(randomBytes(digestKeyBytes))
    , drainClock(this->settings.drainLimit)
    , evacuations(this->settings.evacuation)
    , feedMonitor(this->settings.feedMonitor, this->settings.seed)
    , confirmationPeers(this->settings.self.vm, this->settings.seed)
    , lifetime(std::make_shared<int>(0))
{
}

FleetControl::~FleetControl()
{
    if (this->shareTimer)
        this->timers.cancel(*this->shareTimer);
    if (this->lapseTimer)
        this->timers.cancel(*this->lapseTimer);
    if (this->memberListTimer)
        this->timers.cancel(*this->memberListTimer);
    if (this->membershipTimer)
        this->timers.cancel(*this->membershipTimer);
    if (this->evacuationTimer)
        this->timers.cancel(*this->evacuationTimer);
    if (this->revocationTimer)
        this->timers.cancel(*this->revocationTimer);
    if (this->feedMonitorTimer)
        this->timers.cancel(*this->feedMonitorTimer);
    if (this->recorderTimer)
        this->timers.cancel(*this->recorderTimer);
}

void FleetControl::follow(DirectoryFeed& followed)
{
    this->feed = &followed;
    followed.start(*this);
}

void FleetControl::start()
{
    this->table.onRestored([this, guard = std::weak_ptr<int>(this->lifetime)](uint64_t generation) {
        if (!guard.expired())
            this->handleTableRestore(generation);
    });
    for (const MembershipEffect& effect : this->membership.start())
        this->executeMembershipEffect(effect);
}

void FleetControl::handleTableRestore(uint64_t generation)
{
    this->log.write("store_restored", { { "generation", std::to_string(generation) } });
    this->handlePromotionEvent(TableRestored {});
    this->handleRecorderEvent(TableRestored {});
    for (const auto& [group, leadership] : this->leaderships)
        this->readRowForLeadership(group, leadership);
    this->handleMembershipEvent(TableRestored {});
    if (this->shareLeaseManager)
        this->executeShareEffects(this->shareLeaseManager->handle(TableRestored {}, this->timers.now()));
    // Usually the first VM records what is missing for all.
    this->scheduleRevocationRecords(this->random.below(revocationRecordJitter));
}

void FleetControl::scheduleRevocationRecords(Duration delay)
{
    if (this->revocations.empty())
        return;
    if (this->revocationTimer)
        this->timers.cancel(*this->revocationTimer);
    this->revocationTimer = this->timers.schedule(this->timers.now() + delay, [this] {
        this->revocationTimer.reset();
        this->recordRevocationsAgain();
    });
}

// A VM that starts later knows of a revocation only what the table holds, or what a majority of the VMs tells it.
void FleetControl::recordRevocationsAgain()
{
    const std::weak_ptr<int> guard = this->lifetime;
    this->table.readRows(PromotionCoordinator::leaseKeyPrefix, [this, guard](const TableReply& reply) {
        if (guard.expired())
            return;
        if (reply.result.status != TableStatus::Done) {
            this->scheduleRevocationRecords(storedRevocationsRetryDelay);
            return;
        }
        for (const TableTransaction& transaction :
            PromotionCoordinator::recordAgain(this->revocations, reply.result.rows, reply.generation)) {
            this->table.transact(transaction, [this, guard](const TableReply& written) {
                if (guard.expired())
                    return;
                const TableStatus status = written.result.status;
                this->log.write("revocation_recorded_again",
                    { { "recorded", status == TableStatus::Done ? "true" : "false" }, { "reason", written.reason } });
                if (status == TableStatus::NotSent || status == TableStatus::Unknown)
                    this->scheduleRevocationRecords(storedRevocationsRetryDelay);
            });
        }
    });
}

void FleetControl::onMemberAnnounced(const FleetMember& member)
{
    this->handleMembershipEvent(MemberAnnounced { member });
}

void FleetControl::handleMembershipEvent(const MembershipEvent& event)
{
    for (const MembershipEffect& effect : this->membership.handle(event, this->timers.now()))
        this->executeMembershipEffect(effect);
}

void FleetControl::executeMembershipEffect(const MembershipEffect& effect)
{
    const std::weak_ptr<int> guard = this->lifetime;
    const auto answer = [this, guard](const MembershipEvent& event) {
        if (!guard.expired())
            this->handleMembershipEvent(event);
    };
    if (std::holds_alternative<ReadMembers>(effect)) {
        this->table.readRows(
            FleetMembership::keyPrefix, [answer](const TableReply& reply) { answer(MembersRead { reply }); });
    } else if (const auto* write = std::get_if<WriteMember>(&effect)) {
        this->table.transact(write->transaction, [this, guard, answer](const TableReply& reply) {
            if (!guard.expired() && reply.result.status != TableStatus::Done)
                this->log.write("member_not_written", { { "reason", reply.reason } });
            answer(MemberWritten { reply });
        });
    } else if (const auto* announce = std::get_if<AnnounceMember>(&effect)) {
        this->traffic.announceMember(*announce);
    } else if (const auto* timer = std::get_if<SetMembershipTimer>(&effect)) {
        if (this->membershipTimer)
            this->timers.cancel(*this->membershipTimer);
        this->membershipTimer = this->timers.schedule(timer->when, [this, answer] {
            this->membershipTimer.reset();
            answer(MembershipTimerFired {});
        });
    } else if (const auto* list = std::get_if<PublishMembers>(&effect)) {
        this->handleMemberList(*list);
    }
}

// While many VMs join, the list changes many times a second. The first list and the one after the fleet has settled are
// used at once, because this VM waits for them.
void FleetControl::handleMemberList(const PublishMembers& list)
{
    const bool isExpected = !this->memberList || list.settled != this->memberList->settled;
    this->memberList = list;
    if (isExpected) {
        this->handleFleetChange(list);
        return;
    }
    if (this->memberListTimer)
        return;
    this->memberListTimer = this->timers.schedule(this->timers.now() + memberListDelay, [this] {
        this->memberListTimer.reset();
        this->handleFleetChange(*this->memberList);
    });
}

void FleetControl::onConfigurationRead(SessionConfiguration read)
{
    if (this->configuration && read.version <= this->configuration->version) {
        if (read.version < this->configuration->version)
            this->log.write("configuration_ignored",
                { { "version", std::to_string(read.version) },
                    { "newer_version", std::to_string(this->configuration->version) } });
        return;
    }
    this->log.write("configuration_applied",
        { { "version", std::to_string(read.version) }, { "routes", std::to_string(read.routes.size()) },
            { "organisations", std::to_string(read.organisations.size()) } });
    this->metrics.setConfigurationVersion(read.version);
    if (this->configuration)
        this->logLimitChanges(*this->configuration, read);
    this->configuration = std::make_shared<const SessionConfiguration>(std::move(read));
    this->publishDirectory();
}

void FleetControl::logLimitChanges(const SessionConfiguration& before, const SessionConfiguration& after)
{
    std::map<OrganisationId, RateLimit> known;
    for (const SessionOrganisation& organisation : before.organisations)
        known.emplace(organisation.name, organisation.limit);
    for (const SessionOrganisation& organisation : after.organisations) {
        const auto previous = known.find(organisation.name);
        if (previous == known.end() || previous->second == organisation.limit)
            continue;
        this->log.write("limit_changed",
            { { "organisation", organisation.name.str() }, { "rate", std::to_string(organisation.limit.rate) },
                { "burst", std::to_string(organisation.limit.burst) },
                { "rate_before", std::to_string(previous->second.rate) },
                { "burst_before", std::to_string(previous->second.burst) } });
    }
}

void FleetControl::onEvacuationsRead(const EvacuationsRead& read)
{
    const EvacuationChanges changes = this->evacuations.update(read, this->timers.now());
    for (const DataCentre& dataCentre : changes.unconfirmed)
        this->log.write("evacuation_unconfirmed",
            { { "data_centre", dataCentre.str() }, { "generation", std::to_string(read.generation) } });
    this->handleEvacuationChanges(changes);
}

void FleetControl::handleEvacuationChanges(const EvacuationChanges& changes)
{
    const Instant now = this->timers.now();
    for (const DataCentre& dataCentre : changes.started) {
        const auto start = this->evacuations.earliestStart(dataCentre);
        this->log.write("evacuation_started",
            { { "data_centre", dataCentre.str() }, { "source", start ? "change" : "first_read" },
                { "since_ms", start ? millisecondsText(now - *start) : std::string("unknown") },
                { "transactions_end_in_ms",
                    start ? millisecondsText(*start + this->settings.evacuation.transactions - now)
                          : std::string("ended") } });
    }
    for (const DataCentre& dataCentre : changes.ended)
        this->log.write("evacuation_ended", { { "data_centre", dataCentre.str() } });
    if (this->evacuationTimer)
        this->timers.cancel(*std::exchange(this->evacuationTimer, std::nullopt));
    if (const auto next = this->evacuations.nextExpiry())
        this->evacuationTimer = this->timers.schedule(*next, [this] {
            this->evacuationTimer.reset();
            this->handleEvacuationChanges(this->evacuations.expire(this->timers.now()));
        });
    if (changes.empty())
        return;
    this->metrics.setEvacuatedDataCentres(this->evacuations.count());
    this->publishDirectory();
}

void FleetControl::reportLostGroups(const std::vector<RegisteredEndpoint>& endpoints)
{
    std::vector<GroupId> lost = groupsWithoutEndpoint(endpoints);
    if (lost == this->lostGroups)
        return;
    for (const GroupId& group : lost) {
        if (std::find(this->lostGroups.begin(), this->lostGroups.end(), group) == this->lostGroups.end())
            this->log.write("evacuation_leaves_no_endpoint", { { "group", group.str() } });
    }
    this->lostGroups = std::move(lost);
    this->metrics.setGroupsWithoutEndpoint(this->lostGroups.size());
}

bool FleetControl::onRegistryRead(const RegistryRead& read)
{
    this->updateColdTimes(read.entries);
    this->updateRegistry(this->registryFilter.update(read), read);
    const size_t unconfirmed = this->registryFilter.unconfirmedCount();
    if (unconfirmed)
        this->log.write("registry_unconfirmed",
            { { "entries", std::to_string(unconfirmed) }, { "generation", std::to_string(read.generation) } });
    return unconfirmed > 0;
}

// An entry may be old when it is read, so the time counts from the first read of a run, or from a later one if that
// gives an earlier end.
void FleetControl::updateColdTimes(const std::vector<RegistryEntry>& entries)
{
    std::map<EndpointId, ColdTime> present;
    for (const RegistryEntry& entry : entries) {
        const RegisteredEndpoint& endpoint = entry.endpoint;
        ColdTime time { endpoint.startedAt, this->timers.now() + entry.coldRemaining };
        if (const auto known = this->coldTimes.find(endpoint.id);
            known != this->coldTimes.end() && endpoint.startedAt && known->second.startedAt == endpoint.startedAt)
            time.until = std::min(time.until, known->second.until);
        present.emplace(endpoint.id, time);
    }
    this->coldTimes = std::move(present);
}

void FleetControl::updateRegistry(std::vector<RegisteredEndpoint> endpoints, const RegistryRead& read)
{
    this->hasRegistry = true;
    const Instant now = this->timers.now();
    const auto newlyDraining = this->drainClock.update(endpoints, read.earliestChanges, now);
    std::map<EndpointId, RegisteredEndpoint> present;
    for (RegisteredEndpoint& endpoint : endpoints) {
        const EndpointId id = endpoint.id;
        present.emplace(id, std::move(endpoint));
    }
    for (const auto& [id, endpoint] : this->registry) {
        if (present.find(id) != present.end())
            continue;
        // If another endpoint has registered the address, the old endpoint is certainly gone and needs no grace time.
        const std::string& address = endpoint.address;
        const bool addressTaken = std::any_of(
            present.begin(), present.end(), [&address](const auto& other) { return other.second.address == address; });
        if (!addressTaken && this->lapseTimes.emplace(id, now).second)
            this->log.write("endpoint_lapsed", { { "endpoint", id.str() }, { "group", endpoint.group.str() } });
    }
    for (const auto& [id, endpoint] : present) {
        const auto known = this->registry.find(id);
        this->lapseTimes.erase(id);
        if (known == this->registry.end() || known->second != endpoint)
            this->log.write("endpoint_registered",
                { { "endpoint", id.str() }, { "group", endpoint.group.str() },
                    { "role", endpoint.role == EndpointRole::Primary ? "primary" : "replica" },
                    { "state", endpoint.draining ? "draining" : "ready" } });
    }
    std::erase_if(this->registry,
        [this](const auto& entry) { return this->lapseTimes.find(entry.first) == this->lapseTimes.end(); });
    for (auto& [id, endpoint] : present)
        this->registry.insert_or_assign(id, std::move(endpoint));
    for (const EndpointId& id : newlyDraining)
        this->logDraining(this->registry.at(id));
    this->dropLapsedEndpoints();
    this->publishDirectory();
}

void FleetControl::logDraining(const RegisteredEndpoint& endpoint)
{
    const Instant now = this->timers.now();
    const auto start = this->drainClock.earliestStart(endpoint);
    this->log.write("endpoint_draining",
        { { "endpoint", endpoint.id.str() }, { "group", endpoint.group.str() },
            { "source", start ? "change" : "first_read" },
            { "since_ms", start ? millisecondsText(now - *start) : std::string("unknown") },
            { "work_ends_in_ms",
                start ? millisecondsText(*start + this->settings.drainLimit - now) : std::string("ended") } });
}

// Removes endpoints whose grace time is over and schedules the next check.
void FleetControl::dropLapsedEndpoints()
{
    const Instant now = this->timers.now();
    std::optional<Instant> next;
    bool dropped = false;
    for (auto lapsed = this->lapseTimes.begin(); lapsed != this->lapseTimes.end();) {
        const Instant end = lapsed->second + this->settings.lapseGrace;
        if (end > now) {
            next = next ? std::min(*next, end) : end;
            ++lapsed;
            continue;
        }
        this->log.write("endpoint_gone", { { "endpoint", lapsed->first.str() } });
        this->registry.erase(lapsed->first);
        lapsed = this->lapseTimes.erase(lapsed);
        dropped = true;
    }
    if (this->lapseTimer)
        this->timers.cancel(*this->lapseTimer);
    this->lapseTimer.reset();
    if (next) {
        this->lapseTimer = this->timers.schedule(*next, [this] {
            this->lapseTimer.reset();
            this->dropLapsedEndpoints();
        });
    }
    if (dropped)
        this->publishDirectory();
}

void FleetControl::onSourceAvailabilityChanged(const std::string& reason)
{
    this->metrics.setStoreAvailable(reason.empty());
    if (reason.empty())
        this->log.write("dependency_regained", { { "dependency", "store" } });
    else
        this->log.write("dependency_lost", { { "dependency", "store" }, { "reason", reason } });
}

void FleetControl::onFeedStep(const FeedStep& step)
{
    if (step.generation)
        this->metrics.setStoreGeneration(step.generation);
    this->log.write("feed_" + step.name,
        { { "table", step.table }, { "after", std::to_string(step.after) },
            { "revision", std::to_string(step.revision) }, { "generation", std::to_string(step.generation) },
            { "waited_ms", millisecondsText(step.waited) } });
}

void FleetControl::onTableAnswered(const TableAnswered& answered) { this->handleFeedMonitorEvent(answered); }

void FleetControl::onTablesConfirmed(const TablesConfirmed& message)
{
    this->handleFeedMonitorEvent(ConfirmationReceived { message });
}

void FleetControl::handleFeedMonitorEvent(const FeedMonitorEvent& event)
{
    for (const FeedMonitorEffect& effect : this->feedMonitor.handle(event, this->timers.now()))
        this->executeFeedMonitorEffect(effect);
}

void FleetControl::executeFeedMonitorEffect(const FeedMonitorEffect& effect)
{
    if (const auto* recheck = std::get_if<RecheckTable>(&effect)) {
        if (!this->feed || !this->feed->recheck(recheck->table, recheck->confirmedAt))
            return;
        this->metrics.feedRechecked(recheck->reason);
        this->log.write("feed_rechecked",
            { { "table", recheck->table }, { "reason", recheck->reason },
                { "confirmed_ms_ago", millisecondsText(this->timers.now() - recheck->confirmedAt) } });
    } else if (const auto* confirmation = std::get_if<SpreadConfirmation>(&effect)) {
        this->traffic.confirmTables(confirmation->message, this->confirmationPeers.choose());
    } else if (const auto* wait = std::get_if<LimitFeedWait>(&effect)) {
        if (this->feed)
            this->feed->limitWait(wait->limit);
    } else if (const auto* timer = std::get_if<SetFeedMonitorTimer>(&effect)) {
        if (this->feedMonitorTimer)
            this->timers.cancel(*this->feedMonitorTimer);
        this->feedMonitorTimer = this->timers.schedule(timer->when, [this] {
            this->feedMonitorTimer.reset();
            this->handleFeedMonitorEvent(FeedMonitorTimerFired {});
        });
    }
}

void FleetControl::publishDirectory()
{
    if (!this->configuration || !this->hasRegistry)
        return;
    std::vector<RegisteredEndpoint> endpoints;
    for (const auto& [id, endpoint] : this->registry) {
        endpoints.push_back(endpoint);
        endpoints.back().workEnd = this->drainClock.workEnd(endpoint);
        if (const auto region = this->settings.regions.find(endpoint.dataCentre);
            region != this->settings.regions.end())
            endpoints.back().region = region->second;
    }
    for (RegisteredEndpoint& endpoint : endpoints) {
        if (const auto cold = this->coldTimes.find(endpoint.id); cold != this->coldTimes.end())
            endpoint.coldUntil = cold->second.until;
    }
    this->evacuations.apply(endpoints);
    this->reportLostGroups(endpoints);
    RegistryUpdated update { endpoints, {} };
    for (const GroupDeclaration& group : this->configuration->groups)
        update.synchronousReplicas[group.name] = group.synchronousReplicas;
    this->handlePromotionEvent(update);
    this->handleRecorderEvent(update);
    this->readStoredRevocationsIfNeeded();
    // The traffic thread must see at most one primary in each group.
    for (RegisteredEndpoint& endpoint : endpoints) {
        if (endpoint.role == EndpointRole::Primary
            && this->promotionCoordinator.primaryOf(endpoint.group) != endpoint.id)
            endpoint.role = EndpointRole::Replica;
    }
    // An endpoint that is not used as the primary gets no work for the time in which one is replaced.
    this->evacuations.apply(endpoints);
    this->traffic.setDirectory(std::make_shared<const Directory>(
        ++this->directoryNumber, this->configuration, std::move(endpoints), this->position, this->digestKey));
}

void FleetControl::onShareTimer()
{
    if (this->shareLeaseManager)
        this->executeShareEffects(this->shareLeaseManager->handle(ShareTimerFired {}, this->timers.now()));
}

void FleetControl::setShareTimer(Instant when)
{
    if (this->shareTimer)
        this->timers.cancel(*this->shareTimer);
    this->shareTimer = this->timers.schedule(when, [this] {
        this->shareTimer.reset();
        this->onShareTimer();
    });
}

static std::string_view toString(PromotionOrderStatus status)
{
    switch (status) {
    case PromotionOrderStatus::Accepted:
        return "accepted";
    case PromotionOrderStatus::Refused:
        return "refused";
    case PromotionOrderStatus::NotCarriedOut:
        return "not_carried_out";
    case PromotionOrderStatus::Unknown:
        break;
    }
    return "unknown";
}

void FleetControl::executeShareEffects(std::vector<ShareEffect> effects)
{
    const std::weak_ptr<int> guard = this->lifetime;
    for (ShareEffect& effect : effects) {
        if (std::holds_alternative<ReadLedger>(effect)) {
            this->table.readRow(ShareLeaseManager::ledgerKey(), [this, guard](TableReply reply) {
                if (!guard.expired() && this->shareLeaseManager)
                    this->executeShareEffects(
                        this->shareLeaseManager->handle(LedgerReadCompleted { std::move(reply) }, this->timers.now()));
            });
        } else if (const auto* write = std::get_if<WriteLedger>(&effect)) {
            this->table.transact(write->transaction, [this, guard](TableReply reply) {
                if (guard.expired() || !this->shareLeaseManager)
                    return;
                if (reply.result.status == TableStatus::NotSent || reply.result.status == TableStatus::Unknown)
                    this->log.write("shares_not_renewed", { { "reason", reply.reason } });
                this->executeShareEffects(
                    this->shareLeaseManager->handle(LedgerWriteCompleted { std::move(reply) }, this->timers.now()));
            });
        } else if (const auto* apply = std::get_if<ApplyShare>(&effect)) {
            if (!this->hasShares)
                this->log.write("share_obtained", { { "parts", std::to_string(apply->share) } });
            this->hasShares = true;
            this->metrics.setLimitShare(static_cast<double>(apply->share) / fullShare);
            this->traffic.applyShare(apply->share, apply->expiry);
        } else if (const auto* timer = std::get_if<SetShareTimer>(&effect)) {
            this->setShareTimer(timer->when);
        } else if (this->onStopped) {
            std::exchange(this->onStopped, nullptr)();
        } else {
            this->shareLeaseManager.reset();
            if (this->shareHolders.count(this->settings.self.vm))
                this->startShareLease();
            return;
        }
    }
}

void FleetControl::handlePromotionEvent(const PromotionEvent& event)
{
    for (PromotionEffect& effect : this->promotionCoordinator.handle(event, this->timers.now()))
        this->executePromotionEffect(effect);
}

void FleetControl::executePromotionEffect(PromotionEffect& effect)
{
    const std::weak_ptr<int> guard = this->lifetime;
    const auto answer = [this, guard](auto event) {
        if (!guard.expired())
            this->handlePromotionEvent(std::move(event));
    };
    if (const auto* poll = std::get_if<PollReachability>(&effect)) {
        this->traffic.pollReachability(*poll, answer);
    } else if (const auto* read = std::get_if<ReadLease>(&effect)) {
        this->table.readRow(read->key, [answer, group = read->group, attempt = read->attempt](TableReply reply) {
            answer(LeaseReadAnswered { group, attempt, std::move(reply) });
        });
    } else if (const auto* write = std::get_if<WriteLease>(&effect)) {
        this->table.transact(
            write->transaction, [answer, group = write->group, attempt = write->attempt](TableReply reply) {
                answer(LeaseWriteAnswered { group, attempt, std::move(reply) });
            });
    } else if (const auto* fleet = std::get_if<ReadFleet>(&effect)) {
        this->table.readRows(FleetMembership::keyPrefix,
            [this, guard, answer, group = fleet->group, attempt = fleet->attempt](const TableReply& reply) {
                FleetReadAnswered read { group, attempt, std::nullopt };
                if (guard.expired())
                    return;
                if (reply.result.status == TableStatus::Done)
                    read.members = this->mergeKnownMembers(FleetMembership::parseRows(
                        reply.result.rows, reply.clock.lowerBound(this->timers.now()), this->settings.membership));
                answer(std::move(read));
            });
    } else if (const auto* revoke = std::get_if<RevokePrimary>(&effect)) {
        this->traffic.revokePrimary(*revoke, answer);
    } else if (const auto* query = std::get_if<QueryEndpointStatuses>(&effect)) {
        this->traffic.queryStatuses(*query, answer);
    } else if (const auto* stepDown = std::get_if<StepDownPrimary>(&effect)) {
        this->traffic.stepDown(*stepDown, answer);
    } else if (const auto* order = std::get_if<OrderPromotion>(&effect)) {
        this->orders.promote(order->group, order->endpoint, this->settings.self.vm, order->token,
            [this, answer, group = order->group, attempt = order->attempt](PromotionOrderStatus status) {
                this->log.write(
                    "promotion_answered", { { "group", group.str() }, { "status", std::string(toString(status)) } });
                this->metrics.promotionOrdered(toString(status));
                answer(PromotionOrderAnswered { group, attempt, status });
            });
    } else if (const auto* record = std::get_if<RecordLeadership>(&effect)) {
        this->leaderships[record->group] = record->leadership;
        this->recordLeadership(record->group, record->leadership, record->row, record->generation);
    } else if (const auto* report = std::get_if<ReportBlockedPromotion>(&effect)) {
        if (report->blocked)
            this->blockedGroups.insert(report->group);
        else
            this->blockedGroups.erase(report->group);
        this->metrics.setBlockedPromotions(this->blockedGroups.size());
        this->log.write(
            report->blocked ? "promotion_blocked" : "promotion_unblocked", { { "group", report->group.str() } });
    } else if (const auto* announce = std::get_if<AnnouncePromotion>(&effect)) {
        this->traffic.announcePromotion(*announce);
    } else if (const auto* timer = std::get_if<SetPromotionTimer>(&effect)) {
        this->timers.schedule(timer->when, [answer, group = timer->group, attempt = timer->attempt] {
            answer(PromotionTimerFired { group, attempt });
        });
    } else if (const auto* line = std::get_if<LogPromotionStep>(&effect)) {
        this->log.write(line->step, { { "group", line->group.str() }, { "detail", line->detail } });
    }
}

// The row may have been written meanwhile by a VM that renews the lease or records replicas.
void FleetControl::recordLeadership(
    const GroupId& group, const LeadershipRecord& leadership, const TableRow& current, uint64_t generation)
{
    GroupRecord record = GroupRecord::parse(current);
    if (record.leadership == leadership || record.leadership.term > leadership.term
        || this->leaderships[group] != leadership)
        return;
    record.leadership = leadership;
    record.generation = generation;
    this->table.transact(record.replaceRow(current.key, current.revision, generation),
        [this, guard = std::weak_ptr<int>(this->lifetime), group, leadership](const TableReply& reply) {
            if (guard.expired() || reply.result.status == TableStatus::Done)
                return;
            if (reply.result.status == TableStatus::Conflict && !reply.result.rows.empty()) {
                this->recordLeadership(group, leadership, reply.result.rows.front(), reply.generation);
                return;
            }
            this->log.write("promotion_not_recorded", { { "group", group.str() }, { "reason", reply.reason } });
            this->timers.schedule(this->timers.now() + leadershipRetryDelay, [this, guard, group, leadership] {
                if (!guard.expired())
                    this->readRowForLeadership(group, leadership);
            });
        });
}

void FleetControl::readRowForLeadership(const GroupId& group, const LeadershipRecord& leadership)
{
    this->table.readRow(PromotionCoordinator::leaseKey(group),
        [this, guard = std::weak_ptr<int>(this->lifetime), group, leadership](const TableReply& reply) {
            if (guard.expired())
                return;
            if (reply.result.status == TableStatus::Done && !reply.result.rows.empty()) {
                this->recordLeadership(group, leadership, reply.result.rows.front(), reply.generation);
                return;
            }
            this->timers.schedule(this->timers.now() + leadershipRetryDelay, [this, guard, group, leadership] {
                if (!guard.expired())
                    this->readRowForLeadership(group, leadership);
            });
        });
}

void FleetControl::handleRecorderEvent(const RecorderEvent& event)
{
    for (const RecorderEffect& effect : this->replicaRecorder.handle(event, this->timers.now()))
        this->executeRecorderEffect(effect);
}

void FleetControl::executeRecorderEffect(const RecorderEffect& effect)
{
    const std::weak_ptr<int> guard = this->lifetime;
    const auto answer = [this, guard](const RecorderEvent& event) {
        if (!guard.expired())
            this->handleRecorderEvent(event);
    };
    if (const auto* read = std::get_if<ReadGroupRecord>(&effect)) {
        this->table.readRow(read->key, [answer, group = read->group](TableReply reply) {
            answer(GroupRecordAnswered { group, std::move(reply) });
        });
    } else if (const auto* write = std::get_if<WriteGroupRecord>(&effect)) {
        this->table.transact(write->transaction, [answer, group = write->group](TableReply reply) {
            answer(GroupRecordAnswered { group, std::move(reply) });
        });
    } else if (const auto* query = std::get_if<QueryEndpointStatuses>(&effect)) {
        this->traffic.queryStatuses(*query,
            [answer](EndpointStatusesReceived statuses) { answer(ReplicaStatusesReceived { std::move(statuses) }); });
    } else if (const auto* timer = std::get_if<SetRecorderTimer>(&effect)) {
        if (this->recorderTimer)
            this->timers.cancel(*this->recorderTimer);
        this->recorderTimer = this->timers.schedule(timer->when, [this] {
            this->recorderTimer.reset();
            this->handleRecorderEvent(RecorderTimerFired {});
        });
    } else if (const auto* paused = std::get_if<PausedReplicasFound>(&effect)) {
        this->handlePromotionEvent(*paused);
    } else if (const auto* line = std::get_if<LogPromotionStep>(&effect)) {
        this->log.write(line->step, { { "group", line->group.str() }, { "detail", line->detail } });
    }
}

// The rows of VMs that hold a lease may be missing after a restore of the table.
std::vector<FleetMember> FleetControl::mergeKnownMembers(std::vector<FleetMember> read) const
{
    if (!this->memberList)
        return read;
    std::set<VmId> listed;
    for (const FleetMember& member : read)
        listed.insert(member.vm);
    for (const FleetMember& member : this->memberList->members) {
        if (!listed.count(member.vm))
            read.push_back(member);
    }
    return read;
}

void FleetControl::handleFleetChange(const PublishMembers& list)
{
    std::vector<FleetMember> vms = list.members;
    markShareHolders(vms, this->settings.shares.ledger);
    this->traffic.setPeers(vms);
    this->confirmationPeers.setMembers(vms);
    this->handleFeedMonitorEvent(MonitorRankChanged { this->confirmationPeers.rank() });
    VmsChanged change;
    for (const FleetMember& peer : vms)
        change.vms.push_back(peer.vm);
    this->handlePromotionEvent(change);
    this->handleRecorderEvent(change);
    this->hasJoinedFleet = true;
    this->readStoredRevocationsIfNeeded();
    // While many VMs join at the same time, none of them knows yet which ones are to hold the shares.
    if (list.settled)
        this->updateShareHolding(vms);
    const auto own = std::find(change.vms.begin(), change.vms.end(), this->settings.self.vm);
    const FleetPosition now { static_cast<uint32_t>(own - change.vms.begin()),
        static_cast<uint32_t>(change.vms.size()) };
    if (now == this->position)
        return;
    this->position = now;
    this->publishDirectory();
}

void FleetControl::startShareLease()
{
    this->shareLeaseManager.emplace(
        ShareLedger::Holder { this->settings.self, this->settings.runId }, this->settings.shares, this->settings.seed);
    this->executeShareEffects(this->shareLeaseManager->start(this->timers.now()));
}

// Starts to hold a share of the limits, or gives it back, as the list of VMs demands.
void FleetControl::updateShareHolding(const std::vector<FleetMember>& vms)
{
    const Instant now = this->timers.now();
    std::set<VmId> holders;
    for (const FleetMember& vm : vms) {
        if (vm.holdsShare)
            holders.insert(vm.vm);
    }
    const bool holds = holders.count(this->settings.self.vm) > 0;
    if (holds && !this->shareLeaseManager) {
        this->startShareLease();
    } else if (holds && holders != this->shareHolders) {
        this->executeShareEffects(this->shareLeaseManager->handle(ShareHoldersChanged {}, now));
    }
    this->shareHolders = holders;
    if (holds)
        return;
    // A VM without a share serves with tokens that others lend.
    this->hasShares = true;
    this->metrics.setLimitShare(0);
    this->traffic.applyShare(0, now + std::chrono::milliseconds(this->settings.shares.ledger.lifetimeMs));
    if (this->shareLeaseManager)
        this->executeShareEffects(this->shareLeaseManager->handle(ShareStopRequested { true }, now));
}

// Primaries are revoked if they are not fenced, and where a commit must not be acknowledged while they are replaced.
bool FleetControl::usesRevocations() const
{
    if (this->settings.promotion.primaryLease > Duration {})
        return true;
    return this->configuration
        && std::any_of(this->configuration->groups.begin(), this->configuration->groups.end(),
            [](const GroupDeclaration& group) { return group.synchronousReplicas > 0; });
}

void FleetControl::readStoredRevocationsIfNeeded()
{
    if (!this->hasJoinedFleet || !this->usesRevocations() || std::exchange(this->readsStoredRevocations, true))
        return;
    this->readStoredRevocations();
}

// A promotion stores its revocation before it reads the ledger, so a VM that reads the revocations after it has been
// listed there misses none.
void FleetControl::readStoredRevocations()
{
    this->table.readRows(
        PromotionCoordinator::leaseKeyPrefix, [this, guard = std::weak_ptr<int>(this->lifetime)](TableReply reply) {
            if (guard.expired())
                return;
            if (reply.result.status != TableStatus::Done) {
                this->log.write("stored_revocations_not_read", { { "reason", reply.reason } });
                this->timers.schedule(this->timers.now() + storedRevocationsRetryDelay, [this, guard] {
                    if (!guard.expired())
                        this->readStoredRevocations();
                });
                return;
            }
            std::vector<PrimaryRevocation> stored;
            for (const TableRow& row : reply.result.rows) {
                const auto revocation = PromotionCoordinator::storedRevocation(row);
                if (!revocation)
                    continue;
                stored.push_back(*revocation);
                this->noteRevocation(*revocation);
            }
            this->log.write("stored_revocations_read", { { "count", std::to_string(stored.size()) } });
            this->traffic.startPrimaryLease(std::move(stored));
        });
}

void FleetControl::noteRevocation(const PrimaryRevocation& revocation)
{
    PrimaryRevocation& newest = this->revocations[revocation.group];
    if (newest.number < revocation.number)
        newest = revocation;
}

void FleetControl::onPrimaryRevoked(const PrimaryRevocation& revocation)
{
    this->log.write("primary_revoked",
        { { "group", revocation.group.str() }, { "endpoint", revocation.endpoint.str() },
            { "address", revocation.address }, { "number", std::to_string(revocation.number) } });
    this->noteRevocation(revocation);
    this->handlePromotionEvent(PrimaryRevocationLearnt { revocation });
    this->publishDirectory();
}

void FleetControl::stop(std::function<void()> done)
{
    if (!this->shareLeaseManager) {
        done();
        return;
    }
    this->onStopped = std::move(done);
    this->executeShareEffects(this->shareLeaseManager->handle(ShareStopRequested {}, this->timers.now()));
}

} // namespace Lavendervane
