#include "Promotion/PromotionCoordinator.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

using namespace Lavendervane;
using namespace std::chrono_literals;

namespace {

const GroupId stock("stock");
const EndpointId a("a");
const EndpointId b("b");
const EndpointId c("c");

RegisteredEndpoint endpoint(const EndpointId& id, EndpointRole role, bool draining = false)
{
    RegisteredEndpoint made;
    made.id = id;
    made.group = stock;
    made.role = role;
    made.draining = draining;
    return made;
}

struct CoordinatorFixture {
    CoordinatorFixture()
    {
        this->handle(VmsChanged { { VmId("vm-1") } });
        this->registry(EndpointRole::Primary, EndpointRole::Replica);
    }

    std::vector<PromotionEffect> handle(const PromotionEvent& event)
    {
        this->effects = this->coordinator.handle(event, this->now);
        for (const PromotionEffect& effect : this->effects) {
            if (const auto* timer = std::get_if<SetPromotionTimer>(&effect))
                this->timer = *timer;
        }
        return this->effects;
    }

    void registry(EndpointRole roleOfA, EndpointRole roleOfB, bool drainingA = false)
    {
        this->handle(RegistryUpdated {
            { endpoint(a, roleOfA, drainingA), endpoint(b, roleOfB), endpoint(c, EndpointRole::Replica) },
            { { stock, this->synchronousReplicas } } });
    }

    void evacuate(const std::vector<EndpointId>& evacuated)
    {
        RegistryUpdated update { { endpoint(a, EndpointRole::Primary), endpoint(b, EndpointRole::Replica),
                                     endpoint(c, EndpointRole::Replica) },
            { { stock, this->synchronousReplicas } } };
        for (RegisteredEndpoint& registered : update.endpoints)
            registered.evacuated = std::find(evacuated.begin(), evacuated.end(), registered.id) != evacuated.end();
        this->handle(update);
    }

    void fireTimer()
    {
        this->now = std::max(this->now, this->timer.when);
        this->handle(PromotionTimerFired { this->timer.group, this->timer.attempt });
    }

    template <typename Effect> const Effect* find() const
    {
        for (const PromotionEffect& effect : this->effects) {
            if (const auto* found = std::get_if<Effect>(&effect))
                return found;
        }
        return nullptr;
    }

    TableReply reply(TableStatus status, uint64_t revision, const std::string& value = "") const
    {
        TableReply made;
        made.result.status = status;
        made.result.rows = { { PromotionCoordinator::leaseKey(stock), revision, value } };
        made.revision = revision;
        made.generation = this->generation;
        made.clock = { 10'000, this->now, this->now };
        return made;
    }

    static EndpointStatus status(uint64_t position, EndpointRole role = EndpointRole::Replica)
    {
        return { role, 1, { { 1, {} }, position } };
    }

    /// Runs an unplanned promotion up to the status query and returns the number of the attempt.
    uint64_t advanceToStatusQuery()
    {
        this->handle(EndpointReachabilityChanged { stock, a, false });
        this->fireTimer();
        const uint64_t attempt = this->find<PollReachability>()->attempt;
        this->handle(ReachabilityPolled { stock, attempt, 9, 2, 7, 0, this->commits });
        this->handle(LeaseReadAnswered {
            stock, attempt, this->reply(TableStatus::Done, this->leaseRow.empty() ? 0 : 40, this->leaseRow) });
        this->handle(LeaseWriteAnswered { stock, attempt, this->reply(TableStatus::Done, 41) });
        return attempt;
    }

    static EndpointStatus paused(uint64_t position, uint64_t heldTerm)
    {
        EndpointStatus made = status(position);
        made.heldTerm = heldTerm;
        return made;
    }

    /// Runs an unplanned promotion with one synchronous replica up to the pause of the replicas.
    uint64_t advanceToPause()
    {
        this->synchronousReplicas = 1;
        this->registry(EndpointRole::Primary, EndpointRole::Replica);
        const uint64_t attempt = this->advanceToStatusQuery();
        this->handle(EndpointStatusesReceived { stock, attempt, { { b, status(53) }, { c, status(52) } } });
        BOOST_REQUIRE(this->find<QueryEndpointStatuses>());
        BOOST_TEST((this->find<QueryEndpointStatuses>()->command == ReplicationCommand::Pause));
        return attempt;
    }

    /// Runs an unplanned promotion of endpoints that are not fenced up to the revocation of the old primary.
    uint64_t advanceToRevocation()
    {
        this->coordinator = makeUnfencedCoordinator();
        this->handle(VmsChanged { { VmId("vm-1") } });
        this->registry(EndpointRole::Primary, EndpointRole::Replica);
        const uint64_t attempt = this->advanceToStatusQuery();
        BOOST_REQUIRE(this->find<ReadFleet>());
        this->handle(
            FleetReadAnswered { stock, attempt, { { { VmId("vm-2"), DataCentre("dc-1"), "10.0.0.2:7560" } } } });
        return attempt;
    }

    static PromotionCoordinator makeUnfencedCoordinator()
    {
        PromotionCoordinatorSettings settings;
        settings.primaryLease = 1500ms;
        return { VmId("vm-1"), "run-1", settings };
    }

    uint32_t synchronousReplicas = 0;
    uint64_t generation = 0; ///< generation of the table
    std::vector<CommitEvidence> commits; ///< what VMs tell in the poll
    std::string leaseRow; ///< the group's row before the attempt; empty if there is none
    PromotionCoordinator coordinator { VmId("vm-1"), "run-1", {} };
    Instant now { 100s };
    std::vector<PromotionEffect> effects;
    SetPromotionTimer timer;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PromotionCoordinatorTest, CoordinatorFixture)

// A promotion discards the commits that the promoted replica lacks, so the replica with the highest position must be
// promoted.
BOOST_AUTO_TEST_CASE(Primary_UnreachableForMost_PromotesReplicaFurthestAhead)
{
    const uint64_t attempt = this->advanceToStatusQuery();
    BOOST_REQUIRE(this->find<QueryEndpointStatuses>());
    this->handle(EndpointStatusesReceived { stock, attempt, { { b, status(50) }, { c, status(52) } } });
    const auto* order = this->find<OrderPromotion>();
    BOOST_REQUIRE(order);
    BOOST_TEST(order->endpoint == c);
    BOOST_TEST(order->token == 41U);
}

// With one synchronous replica, the replica that does not answer may be the only one with an acknowledged commit.
BOOST_AUTO_TEST_CASE(Primary_ReplicaMayHoldMore_IsNotReplacedWithoutIt)
{
    this->synchronousReplicas = 1;
    this->registry(EndpointRole::Primary, EndpointRole::Replica);
    const uint64_t attempt = this->advanceToStatusQuery();
    this->handle(EndpointStatusesReceived { stock, attempt, { { b, status(50) } } });
    BOOST_TEST(!this->find<OrderPromotion>());
    BOOST_TEST(this->find<SetPromotionTimer>());
}

// Guards against an answer that stands for an earlier run of its endpoint, whose log the present one may lack. One that
// knows no term may be that of a run that the registry does not show yet.
BOOST_AUTO_TEST_CASE(Primary_ReplicaHasStartedAgain_IsNotReplacedWithoutEarlierRun)
{
    struct Row {
        std::string runs; ///< of b, as recorded
        uint64_t startedAt; ///< of b, as registered
        EndpointStatus ofB;
        bool isPostponed;
        bool isPostponedLater; ///< also after the time for which outdated replicas are not promoted
    };
    const EndpointStatus empty { EndpointRole::Replica, 0, {} };
    for (const Row& row :
        { Row { R"(["b",1,""])", 1, status(53), false, false }, Row { R"(["b",1,""])", 1, empty, true, false },
            Row { R"(["b",1,""])", 2, empty, true, true }, Row { R"(["b",1,""])", 2, status(40), true, true },
            Row { R"(["b",1,""],["b",2,""])", 2, status(53), true, true },
            Row { R"(["b",2,""])", 2, status(53), false, false }, Row { R"(["b",0,""])", 2, status(53), false, false },
            Row { "", 2, status(53), false, false } }) {
        CoordinatorFixture fixture;
        fixture.synchronousReplicas = 1;
        fixture.leaseRow = R"({"primary":"a","members":{"b":""},"runs":[)" + row.runs + "]}";
        RegistryUpdated update { { endpoint(a, EndpointRole::Primary), endpoint(b, EndpointRole::Replica),
                                     endpoint(c, EndpointRole::Replica) },
            { { stock, 1 } } };
        update.endpoints[1].startedAt = row.startedAt;
        fixture.handle(update);
        for (const bool isPostponed : { row.isPostponed, row.isPostponedLater }) {
            const uint64_t attempt = fixture.advanceToStatusQuery();
            fixture.handle(EndpointStatusesReceived { stock, attempt, { { b, row.ofB }, { c, status(52) } } });
            const auto* pause = fixture.find<QueryEndpointStatuses>();
            BOOST_REQUIRE_MESSAGE((pause != nullptr) != isPostponed, row.runs << " " << row.startedAt);
            if (!isPostponed)
                break;
            BOOST_TEST((fixture.timer.when > fixture.now));
            fixture.now += 10s;
        }
    }
}

// A crashed primary may be back before its successor leads, and acknowledge commits that the successor lacks. Its
// replicas must have stopped receiving before the successor is chosen.
BOOST_AUTO_TEST_CASE(Primary_AllSynchronousReplicasAnswer_PausesThemAndPromotesFurthest)
{
    const uint64_t attempt = this->advanceToPause();
    const auto* pause = this->find<QueryEndpointStatuses>();
    BOOST_TEST(!this->find<OrderPromotion>());
    BOOST_TEST((pause->endpoints == std::vector<EndpointId> { b, c }));
    BOOST_TEST(pause->term == 2U);
    this->handle(EndpointStatusesReceived { stock, attempt, { { b, paused(53, 2) }, { c, paused(52, 2) } } });
    BOOST_REQUIRE(this->find<OrderPromotion>());
    BOOST_TEST(this->find<OrderPromotion>()->endpoint == b);
}

// Guards against a pause that is taken for done by an endpoint that answers the command without its state.
BOOST_AUTO_TEST_CASE(Pause_NotConfirmed_PrimaryIsRevokedAtAllVmsBeforeOrder)
{
    for (const auto& statuses : { std::map<EndpointId, EndpointStatus> {},
             std::map<EndpointId, EndpointStatus> { { b, paused(53, 2) }, { c, status(52) } } }) {
        CoordinatorFixture fresh;
        uint64_t attempt = fresh.advanceToPause();
        fresh.handle(EndpointStatusesReceived { stock, attempt, statuses });
        BOOST_TEST(!fresh.find<OrderPromotion>());
        BOOST_REQUIRE(fresh.find<ReadLease>());
        attempt = fresh.find<ReadLease>()->attempt;
        fresh.handle(LeaseReadAnswered { stock, attempt, fresh.reply(TableStatus::Done, 41, R"({"run":"run-1"})") });
        const RowWrite write = fresh.find<WriteLease>()->transaction.writes.front();
        BOOST_TEST(PromotionCoordinator::storedRevocation({ write.key, 42, write.value })->endpoint == a);
        fresh.handle(LeaseWriteAnswered { stock, attempt, fresh.reply(TableStatus::Done, 42) });
        fresh.handle(FleetReadAnswered { stock, attempt, { { { VmId("vm-2"), DataCentre("dc-1"), "10.0.0.2:1" } } } });
        BOOST_REQUIRE(fresh.find<RevokePrimary>());
        fresh.handle(PrimaryRevocationFinished { stock, attempt, true });
        fresh.handle(EndpointStatusesReceived { stock, attempt, { { b, status(53) }, { c, status(54) } } });
        BOOST_REQUIRE(fresh.find<OrderPromotion>());
        BOOST_TEST(fresh.find<OrderPromotion>()->endpoint == c);
    }
}

// Guards against replicas that stay paused after an attempt was given up, so that no commit is acknowledged, and
// against an order that takes effect after they receive again.
BOOST_AUTO_TEST_CASE(Primary_BackAfterPause_IsRestoredOnceOrdersAreSettled)
{
    const uint64_t attempt = this->advanceToPause();
    this->handle(EndpointStatusesReceived { stock, attempt, { { b, paused(53, 2) }, { c, paused(52, 2) } } });
    const Instant orderedAt = this->now;
    this->handle(PromotionOrderAnswered { stock, attempt, PromotionOrderStatus::Unknown });
    this->handle(EndpointReachabilityChanged { stock, a, true });
    while (!this->find<WriteLease>()) {
        this->fireTimer();
        BOOST_REQUIRE((this->now < orderedAt + 10s));
        if (const auto* read = this->find<ReadLease>())
            this->handle(LeaseReadAnswered {
                stock, read->attempt, this->reply(TableStatus::Done, 41, R"({"run":"run-1","until":9000})") });
    }
    BOOST_TEST((this->now >= orderedAt + 3s));
    const uint64_t restoring = this->find<WriteLease>()->attempt;
    this->handle(LeaseWriteAnswered { stock, restoring, this->reply(TableStatus::Done, 43) });
    this->handle(EndpointStatusesReceived {
        stock, restoring, { { a, status(54, EndpointRole::Primary) }, { b, paused(53, 2) }, { c, paused(52, 2) } } });
    BOOST_REQUIRE(this->find<OrderPromotion>());
    BOOST_TEST(this->find<OrderPromotion>()->endpoint == a);
    BOOST_TEST(this->find<OrderPromotion>()->token == 43U);
    this->handle(PromotionOrderAnswered { stock, restoring, PromotionOrderStatus::Accepted });
    BOOST_REQUIRE(this->find<QueryEndpointStatuses>());
    BOOST_TEST((this->find<QueryEndpointStatuses>()->command == ReplicationCommand::Resume));
    BOOST_TEST((this->find<QueryEndpointStatuses>()->endpoints == std::vector<EndpointId> { b, c }));
}

// Guards against replicas that stay paused because the VM that paused them has ended.
BOOST_AUTO_TEST_CASE(PausedReplicas_OfAnotherVm_PrimaryIsRestored)
{
    this->synchronousReplicas = 1;
    this->registry(EndpointRole::Primary, EndpointRole::Replica);
    this->handle(PausedReplicasFound { stock });
    this->fireTimer();
    BOOST_REQUIRE(this->find<ReadLease>());
    const uint64_t attempt = this->find<ReadLease>()->attempt;
    // The lease of the other VM has expired, but an order that it sent may still take effect.
    this->handle(
        LeaseReadAnswered { stock, attempt, this->reply(TableStatus::Done, 7, R"({"run":"other","until":9000})") });
    BOOST_TEST(!this->find<WriteLease>());
    BOOST_TEST((this->timer.when == this->now + 2s));
}

// Guards against a resumption while an order is under way: a crashed primary is back under another ID.
BOOST_AUTO_TEST_CASE(Primary_BackUnderOtherIdAfterPause_ReplicasStayPaused)
{
    const auto at = [](RegisteredEndpoint made, const char* address) {
        made.address = address;
        return made;
    };
    const auto update = [&](const char* primary) {
        this->handle(RegistryUpdated { { at(endpoint(EndpointId(primary), EndpointRole::Primary), "10.0.0.11:1"),
                                           at(endpoint(b, EndpointRole::Replica), "10.0.0.12:1"),
                                           at(endpoint(c, EndpointRole::Replica), "10.0.0.13:1") },
            { { stock, 1 } } });
    };
    update("a");
    const uint64_t attempt = this->advanceToStatusQuery();
    this->handle(EndpointStatusesReceived { stock, attempt, { { b, status(53) }, { c, status(52) } } });
    this->handle(EndpointStatusesReceived { stock, attempt, { { b, paused(53, 2) }, { c, paused(52, 2) } } });
    BOOST_REQUIRE(this->find<OrderPromotion>());
    update("a2");
    BOOST_TEST(!this->find<QueryEndpointStatuses>());
    BOOST_TEST(this->find<SetPromotionTimer>());
}

// Guards against a promotion without the replica that holds an acknowledged commit, because its entry has lapsed.
BOOST_AUTO_TEST_CASE(Primary_RecordedReplicaIsNotRegistered_IsNotReplacedWithoutIt)
{
    this->synchronousReplicas = 1;
    this->registry(EndpointRole::Primary, EndpointRole::Replica);
    this->leaseRow
        = R"({"members":{"a":"10.0.0.1:1","b":"10.0.0.2:1","c":"10.0.0.3:1","d":"10.0.0.4:1"},"primary":"a"})";
    const uint64_t attempt = this->advanceToStatusQuery();
    this->handle(EndpointStatusesReceived { stock, attempt, { { b, status(50) }, { c, status(50) } } });
    BOOST_TEST(!this->find<OrderPromotion>());
    BOOST_REQUIRE(this->find<ReportBlockedPromotion>());
    BOOST_TEST(this->find<ReportBlockedPromotion>()->blocked);
}

// Guards against a promotion that loses what only a replica holds whose entry has expired, although it goes on
// receiving, and against one that waits for a replica that holds nothing more than the others.
BOOST_AUTO_TEST_CASE(Primary_UnregisteredReplicaAnswers_IsAwaitedIfItHoldsMore)
{
    const EndpointId d("d");
    const std::map<EndpointId, std::string> addresses { { d, "10.0.0.4:1" } };
    this->leaseRow = R"({"runs":[["a",0,""],["b",0,""],["c",0,""],["d",5,"10.0.0.4:1"]],"primary":"a"})";
    this->synchronousReplicas = 1;
    this->registry(EndpointRole::Primary, EndpointRole::Replica);
    uint64_t attempt = this->advanceToStatusQuery();
    BOOST_REQUIRE(this->find<QueryEndpointStatuses>());
    BOOST_TEST((this->find<QueryEndpointStatuses>()->unregistered == addresses));
    this->handle(
        EndpointStatusesReceived { stock, attempt, { { b, status(50) }, { c, status(51) }, { d, status(52) } } });
    BOOST_TEST(!this->find<QueryEndpointStatuses>());
    BOOST_REQUIRE(this->find<ReportBlockedPromotion>());
    attempt = this->advanceToStatusQuery();
    this->handle(
        EndpointStatusesReceived { stock, attempt, { { b, status(50) }, { c, status(52) }, { d, status(52) } } });
    BOOST_REQUIRE(this->find<QueryEndpointStatuses>());
    BOOST_TEST((this->find<QueryEndpointStatuses>()->unregistered == addresses));
    this->handle(EndpointStatusesReceived {
        stock, attempt, { { b, paused(50, 2) }, { c, paused(52, 2) }, { d, paused(52, 2) } } });
    BOOST_REQUIRE(this->find<OrderPromotion>());
    BOOST_TEST(this->find<OrderPromotion>()->endpoint == c);
}

// Guards against a promotion that overlooks a replica that had ended, runs again without an entry, and receives.
BOOST_AUTO_TEST_CASE(Primary_EndedReplicaRunsAgain_IsAwaited)
{
    const EndpointId d("d");
    const std::map<EndpointId, EndpointStatus> registered { { b, status(50) }, { c, status(51) } };
    std::map<EndpointId, EndpointStatus> all = registered;
    all.emplace(d, status(52));
    for (const auto& [event, isAwaited] : { std::pair { EndpointStatusesReceived { stock, 0, all }, true },
             std::pair { EndpointStatusesReceived { stock, 0, registered, {}, { d } }, true },
             std::pair { EndpointStatusesReceived { stock, 0, registered, { d } }, false } }) {
        CoordinatorFixture fixture;
        fixture.leaseRow = R"({"runs":[["b",0,""],["c",0,""]],"ended":[["d",5,"10.0.0.4:1"]],"primary":"a"})";
        fixture.synchronousReplicas = 1;
        fixture.registry(EndpointRole::Primary, EndpointRole::Replica);
        EndpointStatusesReceived statuses = event;
        statuses.attempt = fixture.advanceToStatusQuery();
        BOOST_REQUIRE(fixture.find<QueryEndpointStatuses>());
        BOOST_TEST(fixture.find<QueryEndpointStatuses>()->unregistered.count(d) == 1U);
        fixture.handle(statuses);
        BOOST_TEST((fixture.find<ReportBlockedPromotion>() != nullptr) == isAwaited);
        BOOST_TEST((fixture.find<QueryEndpointStatuses>() != nullptr) != isAwaited);
    }
}

// Guards against a promotion that discards commits of which VMs know that they were acknowledged, whatever the record
// says of the endpoints that may hold them.
BOOST_AUTO_TEST_CASE(Primary_ReplicasLackAcknowledgedCommit_IsNotReplaced)
{
    for (const auto& [term, position, isPostponed] :
        { std::tuple { 1U, 54U, true }, std::tuple { 1U, 53U, false }, std::tuple { 0U, 99U, false } }) {
        CoordinatorFixture fixture;
        fixture.commits = { { { { term, {} }, position }, { { term, {} }, 99 } }, {} };
        fixture.synchronousReplicas = 1;
        fixture.registry(EndpointRole::Primary, EndpointRole::Replica);
        const uint64_t attempt = fixture.advanceToStatusQuery();
        fixture.handle(EndpointStatusesReceived { stock, attempt, { { b, status(53) }, { c, status(52) } } });
        BOOST_TEST((fixture.find<QueryEndpointStatuses>() == nullptr) == isPostponed);
        BOOST_TEST((fixture.find<ReportBlockedPromotion>() != nullptr) == isPostponed);
    }
}

// Guards against a group that stays without a primary because an earlier run of a replica is missing, although the VMs
// know that the other one holds all that they have acknowledged, and against a promotion without that knowledge.
BOOST_AUTO_TEST_CASE(Primary_ReplicaIsMissing_IsReplacedIfNothingBehindItWasAcknowledged)
{
    for (const uint64_t last : { 53, 54, 0 }) {
        CoordinatorFixture fixture;
        fixture.commits = { { { { 1, {} }, 50 }, { { 1, {} }, 53 } } };
        fixture.synchronousReplicas = 1;
        fixture.registry(EndpointRole::Primary, EndpointRole::Replica);
        uint64_t attempt = fixture.advanceToStatusQuery();
        fixture.handle(EndpointStatusesReceived { stock, attempt, { { b, status(53) } } });
        BOOST_REQUIRE(fixture.find<ReadLease>());
        attempt = fixture.find<ReadLease>()->attempt;
        fixture.handle(
            LeaseReadAnswered { stock, attempt, fixture.reply(TableStatus::Done, 41, R"({"run":"run-1"})") });
        fixture.handle(LeaseWriteAnswered { stock, attempt, fixture.reply(TableStatus::Done, 42) });
        fixture.handle(FleetReadAnswered { stock, attempt, std::vector<FleetMember> {} });
        BOOST_REQUIRE(fixture.find<RevokePrimary>());
        BOOST_TEST(fixture.find<RevokePrimary>()->revocation.endpoint == a);
        const auto known = last ? std::optional(LogPosition { { 1, {} }, last }) : std::nullopt;
        fixture.handle(PrimaryRevocationFinished { stock, attempt, true, known });
        fixture.handle(EndpointStatusesReceived { stock, attempt, { { b, status(53) } } });
        BOOST_TEST((fixture.find<OrderPromotion>() != nullptr) == (last == 53));
        BOOST_TEST((fixture.find<ReportBlockedPromotion>() != nullptr) == (last != 53));
    }
    // A VM does not confirm: the promotion does not wait for it once the replica is back.
    CoordinatorFixture blocked;
    blocked.commits = { { { { 1, {} }, 50 }, { { 1, {} }, 53 } } };
    blocked.synchronousReplicas = 1;
    blocked.registry(EndpointRole::Primary, EndpointRole::Replica);
    blocked.handle(EndpointStatusesReceived { stock, blocked.advanceToStatusQuery(), { { b, status(53) } } });
    uint64_t asking = blocked.find<ReadLease>()->attempt;
    blocked.handle(LeaseReadAnswered { stock, asking, blocked.reply(TableStatus::Done, 41, R"({"run":"run-1"})") });
    blocked.handle(LeaseWriteAnswered { stock, asking, blocked.reply(TableStatus::Done, 42) });
    blocked.handle(FleetReadAnswered { stock, asking, std::vector<FleetMember> {} });
    blocked.handle(PrimaryRevocationFinished { stock, asking, false });
    blocked.leaseRow = R"({"revoked":"a"})";
    asking = blocked.advanceToStatusQuery();
    blocked.handle(EndpointStatusesReceived { stock, asking, { { b, status(53) }, { c, status(52) } } });
    BOOST_REQUIRE(blocked.find<QueryEndpointStatuses>());
    BOOST_TEST((blocked.find<QueryEndpointStatuses>()->command == ReplicationCommand::Pause));
    // The VMs that have answered show already that the replica may lack a commit.
    this->commits = { { { { 1, {} }, 50 }, { { 1, {} }, 54 } } };
    this->synchronousReplicas = 1;
    this->registry(EndpointRole::Primary, EndpointRole::Replica);
    this->handle(EndpointStatusesReceived { stock, this->advanceToStatusQuery(), { { b, status(53) } } });
    BOOST_TEST(!this->find<ReadLease>());
    BOOST_TEST(this->find<ReportBlockedPromotion>());
}

// Guards against an endpoint of an earlier term that leads again after all VMs have restarted.
BOOST_AUTO_TEST_CASE(Replica_MissedRecordedTerm_IsNotPromotedWhileAnotherMayAnswer)
{
    this->handle(EndpointStatusesReceived { stock, this->advanceToStatusQuery(), { { b, status(50) } } });
    BOOST_REQUIRE(this->find<RecordLeadership>());
    BOOST_TEST((this->find<RecordLeadership>()->leadership == LeadershipRecord { 2, b, 0 }));
    CoordinatorFixture restarted;
    restarted.leaseRow = R"({"term":2,"promoted":"b"})";
    const uint64_t attempt = restarted.advanceToStatusQuery();
    restarted.handle(EndpointStatusesReceived { stock, attempt, { { c, status(90) } } });
    BOOST_TEST(!restarted.find<OrderPromotion>());
}

// Guards against a wait for a term that no endpoint leads, because the recorded order was not carried out.
BOOST_AUTO_TEST_CASE(Replica_RecordedOrderWasNotCarriedOut_IsPromoted)
{
    this->leaseRow = R"({"term":2,"promoted":"b"})";
    const uint64_t attempt = this->advanceToStatusQuery();
    this->handle(EndpointStatusesReceived { stock, attempt, { { b, status(50) }, { c, status(90) } } });
    BOOST_REQUIRE(this->find<OrderPromotion>());
    BOOST_TEST(this->find<OrderPromotion>()->endpoint == c);
}

// Guards against a step-down that is taken for done by an endpoint that goes on as the primary.
BOOST_AUTO_TEST_CASE(StepDown_NotConfirmed_OrdersNothing)
{
    this->registry(EndpointRole::Primary, EndpointRole::Replica, true);
    this->fireTimer();
    const uint64_t attempt = this->find<ReadLease>()->attempt;
    this->handle(LeaseReadAnswered { stock, attempt, this->reply(TableStatus::Done, 0) });
    this->handle(LeaseWriteAnswered { stock, attempt, this->reply(TableStatus::Done, 5) });
    this->handle(EndpointStatusesReceived { stock, attempt, { { b, status(58) }, { c, status(57) } } });
    this->handle(StepDownAnswered { stock, attempt, status(61, EndpointRole::Primary) });
    BOOST_TEST(!this->find<QueryEndpointStatuses>());
    BOOST_TEST(this->find<SetPromotionTimer>());
}

// If only a minority of VMs cannot reach the primary, it is still running and a promotion would lose acknowledged
// writes.
BOOST_AUTO_TEST_CASE(Primary_UnreachableForFewVms_IsKept)
{
    this->handle(EndpointReachabilityChanged { stock, a, false });
    this->fireTimer();
    const auto* poll = this->find<PollReachability>();
    BOOST_REQUIRE(poll);
    this->handle(ReachabilityPolled { stock, poll->attempt, 9, 5, 4 });
    BOOST_TEST(!this->find<ReadLease>());
    BOOST_TEST(this->find<SetPromotionTimer>());
}

BOOST_AUTO_TEST_CASE(Primary_ReachableAgainBeforeRankDelayEnds_IsKept)
{
    this->handle(EndpointReachabilityChanged { stock, a, false });
    this->handle(EndpointReachabilityChanged { stock, a, true });
    this->fireTimer();
    BOOST_TEST(!this->find<PollReachability>());
}

// In a large fleet only a few VMs have statements in progress on a primary when it fails. The first of them must not
// wait for seconds because its rank is high.
BOOST_AUTO_TEST_CASE(Primary_FewVmsOfLargeFleetNotice_OneActsWithinHalfASecond)
{
    VmsChanged change;
    for (int vm = 0; vm < 95; ++vm)
        change.vms.emplace_back("vm-" + std::to_string(vm));
    Duration total {};
    for (int group = 0; group < 20; ++group) {
        const GroupId name("stock-" + std::to_string(group));
        Duration first = 10s;
        for (int detecting = 0; detecting < 5; ++detecting) {
            const VmId own = change.vms[static_cast<size_t>(detecting * 19 + group) % 95];
            PromotionCoordinator large(own, "run", {});
            large.handle(change, this->now);
            RegisteredEndpoint primary = endpoint(a, EndpointRole::Primary);
            RegisteredEndpoint replica = endpoint(b, EndpointRole::Replica);
            primary.group = name;
            replica.group = name;
            large.handle(RegistryUpdated { { primary, replica }, {} }, this->now);
            const auto started = large.handle(EndpointReachabilityChanged { name, a, false }, this->now);
            BOOST_REQUIRE(!started.empty());
            first = std::min(first, std::get<SetPromotionTimer>(started.front()).when - this->now);
        }
        total += first;
    }
    BOOST_TEST((total / 20 <= 500ms));
}

// Two VMs must not promote replicas of the same group at the same time.
BOOST_AUTO_TEST_CASE(Lease_HeldByAnotherVm_OrdersNothing)
{
    this->handle(EndpointReachabilityChanged { stock, a, false });
    this->fireTimer();
    const uint64_t attempt = this->find<PollReachability>()->attempt;
    this->handle(ReachabilityPolled { stock, attempt, 9, 0, 9 });
    this->handle(
        LeaseReadAnswered { stock, attempt, this->reply(TableStatus::Done, 7, R"({"run":"other","until":12000})") });
    BOOST_TEST(!this->find<WriteLease>());
}

BOOST_AUTO_TEST_CASE(Lease_OfAnotherVmExpired_IsAcquiredOnConditionOfItsRevision)
{
    this->handle(EndpointReachabilityChanged { stock, a, false });
    this->fireTimer();
    const uint64_t attempt = this->find<PollReachability>()->attempt;
    this->handle(ReachabilityPolled { stock, attempt, 9, 0, 9 });
    this->handle(
        LeaseReadAnswered { stock, attempt, this->reply(TableStatus::Done, 7, R"({"run":"other","until":9000})") });
    BOOST_REQUIRE(this->find<WriteLease>());
    BOOST_TEST(this->find<WriteLease>()->transaction.conditions.front().revision == 7U);
}

// If the answer to the lease write is lost, the VM may or may not hold the lease and has no valid fencing token.
BOOST_AUTO_TEST_CASE(Lease_AnswerLost_OrdersNothing)
{
    this->handle(EndpointReachabilityChanged { stock, a, false });
    this->fireTimer();
    const uint64_t attempt = this->find<PollReachability>()->attempt;
    this->handle(ReachabilityPolled { stock, attempt, 9, 0, 9 });
    this->handle(LeaseReadAnswered { stock, attempt, this->reply(TableStatus::Done, 0) });
    this->handle(LeaseWriteAnswered { stock, attempt, this->reply(TableStatus::Unknown, 0) });
    BOOST_TEST(!this->find<QueryEndpointStatuses>());
    BOOST_TEST(this->find<SetPromotionTimer>());
}

// Guards against an order that is refused, or overtaken by an earlier one, because a restored table has assigned a
// revision again.
BOOST_AUTO_TEST_CASE(Token_TableRestored_IsHigherThanBefore)
{
    std::vector<uint64_t> tokens;
    for (const uint64_t generationOfTable : { 1, 2 }) {
        CoordinatorFixture fresh;
        fresh.generation = generationOfTable;
        const uint64_t attempt = fresh.advanceToStatusQuery();
        fresh.handle(EndpointStatusesReceived { stock, attempt, { { b, CoordinatorFixture::status(50) } } });
        BOOST_REQUIRE(fresh.find<OrderPromotion>());
        tokens.push_back(fresh.find<OrderPromotion>()->token);
    }
    BOOST_TEST(tokens[0] < tokens[1]);
    BOOST_TEST(tokens[1] < (uint64_t { 1 } << 53));
}

// Guards against two VMs that promote at the same time, because the lease of one was lost with a restored table.
BOOST_AUTO_TEST_CASE(Lease_TableRestored_IsTakenOnlyAfterLostLeasesHaveExpired)
{
    const Instant restoredAt = this->now;
    this->handle(TableRestored {});
    this->handle(EndpointReachabilityChanged { stock, a, false });
    this->fireTimer();
    this->handle(ReachabilityPolled { stock, this->find<PollReachability>()->attempt, 9, 0, 9 });
    BOOST_TEST(!this->find<ReadLease>());
    this->fireTimer();
    BOOST_TEST((this->now - restoredAt >= std::chrono::milliseconds(PromotionCoordinatorSettings {}.leaseMs)));
    BOOST_REQUIRE(this->find<PollReachability>());
    this->handle(ReachabilityPolled { stock, this->find<PollReachability>()->attempt, 9, 0, 9 });
    BOOST_TEST(this->find<ReadLease>());
}

// Guards against a lease that is taken over that of another VM, because its condition holds for another row.
BOOST_AUTO_TEST_CASE(Lease_Written_NamesGenerationOfItsCondition)
{
    this->generation = 2;
    this->handle(EndpointReachabilityChanged { stock, a, false });
    this->fireTimer();
    const uint64_t attempt = this->find<PollReachability>()->attempt;
    this->handle(ReachabilityPolled { stock, attempt, 9, 0, 9 });
    this->handle(LeaseReadAnswered { stock, attempt, this->reply(TableStatus::Done, 7) });
    BOOST_REQUIRE(this->find<WriteLease>());
    BOOST_TEST(this->find<WriteLease>()->transaction.generation == 2U);
}

// Guards against a row of another program version that ends the process.
BOOST_AUTO_TEST_CASE(Lease_RowUnreadable_IsTakenForExpired)
{
    for (const char* value : { "garbage", "[]", R"({"until":"soon","run":7})", R"({"until":-5})" }) {
        CoordinatorFixture fresh;
        fresh.handle(EndpointReachabilityChanged { stock, a, false });
        fresh.fireTimer();
        const uint64_t attempt = fresh.find<PollReachability>()->attempt;
        fresh.handle(ReachabilityPolled { stock, attempt, 9, 0, 9 });
        fresh.handle(LeaseReadAnswered { stock, attempt, fresh.reply(TableStatus::Done, 7, value) });
        BOOST_TEST(fresh.find<WriteLease>(), value);
    }
}

// A refused token must never be reused, and a lost order may still be executed. Both cases require a new lease.
BOOST_AUTO_TEST_CASE(Order_RefusedOrLost_NeedsNewLease)
{
    for (const PromotionOrderStatus status : { PromotionOrderStatus::Refused, PromotionOrderStatus::Unknown }) {
        CoordinatorFixture fresh;
        const uint64_t attempt = fresh.advanceToStatusQuery();
        fresh.handle(EndpointStatusesReceived { stock, attempt, { { b, CoordinatorFixture::status(50) } } });
        fresh.handle(PromotionOrderAnswered { stock, attempt, status });
        BOOST_TEST(!fresh.find<OrderPromotion>());
        fresh.fireTimer();
        BOOST_REQUIRE(fresh.find<PollReachability>());
        BOOST_TEST(fresh.find<PollReachability>()->attempt != attempt);
    }
}

// A draining primary may hold writes that its replicas lack; a replica must catch up before it is promoted.
BOOST_AUTO_TEST_CASE(Primary_Leaving_StepsDownAndReplicaCatchesUpFirst)
{
    this->registry(EndpointRole::Primary, EndpointRole::Replica, true);
    this->fireTimer();
    const auto* read = this->find<ReadLease>();
    BOOST_REQUIRE(read);
    const uint64_t attempt = read->attempt;
    this->handle(LeaseReadAnswered { stock, attempt, this->reply(TableStatus::Done, 0) });
    this->handle(LeaseWriteAnswered { stock, attempt, this->reply(TableStatus::Done, 5) });
    this->handle(EndpointStatusesReceived {
        stock, attempt, { { a, status(60, EndpointRole::Primary) }, { b, status(58) }, { c, status(57) } } });
    BOOST_REQUIRE(this->find<StepDownPrimary>());
    BOOST_TEST(this->find<StepDownPrimary>()->term == 2U);
    this->handle(StepDownAnswered { stock, attempt, status(61) });
    this->handle(EndpointStatusesReceived { stock, attempt, { { b, status(58) }, { c, status(60) } } });
    BOOST_TEST(!this->find<OrderPromotion>());
    this->fireTimer();
    this->handle(EndpointStatusesReceived { stock, attempt, { { b, status(61) }, { c, status(60) } } });
    BOOST_REQUIRE(this->find<OrderPromotion>());
    BOOST_TEST(this->find<OrderPromotion>()->endpoint == b);
}

// Guards against a leaving primary that is too busy to answer the status query, goes on after the promotion and loses
// the writes that it acknowledges.
BOOST_AUTO_TEST_CASE(Primary_LeavingDoesNotAnswerStatusQuery_IsSteppedDownBeforeOrder)
{
    this->registry(EndpointRole::Primary, EndpointRole::Replica, true);
    this->fireTimer();
    const uint64_t attempt = this->find<ReadLease>()->attempt;
    this->handle(LeaseReadAnswered { stock, attempt, this->reply(TableStatus::Done, 0) });
    this->handle(LeaseWriteAnswered { stock, attempt, this->reply(TableStatus::Done, 5) });
    this->handle(EndpointStatusesReceived { stock, attempt, { { b, status(58) }, { c, status(57) } } });
    BOOST_TEST(!this->find<OrderPromotion>());
    BOOST_REQUIRE(this->find<StepDownPrimary>());
    BOOST_TEST(this->find<StepDownPrimary>()->endpoint == a);
    BOOST_TEST(this->find<StepDownPrimary>()->term == 2U);
    this->handle(StepDownAnswered { stock, attempt, std::nullopt });
    BOOST_TEST(!this->find<OrderPromotion>());
    BOOST_TEST(this->find<SetPromotionTimer>());
}

// Guards against VMs that order promotions in turn while their orders are carried out late: the VM whose order was not
// answered stays the holder of the lease and orders again itself.
BOOST_AUTO_TEST_CASE(Order_NotAnswered_IsRepeatedBySameVmBeforeLeaseExpires)
{
    const uint64_t attempt = this->advanceToStatusQuery();
    const Instant leaseTaken = this->now;
    this->handle(EndpointStatusesReceived { stock, attempt, { { b, status(50) } } });
    BOOST_REQUIRE(this->find<OrderPromotion>());
    this->registry(EndpointRole::Replica, EndpointRole::Replica);
    this->now += 800ms;
    this->handle(PromotionOrderAnswered { stock, attempt, PromotionOrderStatus::Unknown });
    this->fireTimer();
    BOOST_REQUIRE(this->find<ReadLease>());
    BOOST_TEST((this->now < leaseTaken + 3s));
    BOOST_TEST((this->now > leaseTaken + 2s));
}

// Guards against a VM that keeps the others from ordering, although none of its orders arrives.
BOOST_AUTO_TEST_CASE(Order_NeverAnswered_LeaseIsLeftToOthersAfterFourOrders)
{
    uint64_t attempt = this->advanceToStatusQuery();
    this->registry(EndpointRole::Replica, EndpointRole::Replica);
    for (int order = 1; order <= 4; ++order) {
        this->handle(EndpointStatusesReceived { stock, attempt, { { b, status(50) } } });
        BOOST_REQUIRE(this->find<OrderPromotion>());
        this->handle(PromotionOrderAnswered { stock, attempt, PromotionOrderStatus::Unknown });
        const Instant taken = this->now;
        this->fireTimer();
        if (order == 4) {
            BOOST_TEST((this->now >= taken + 3s));
            BOOST_TEST(!this->find<ReadLease>());
            return;
        }
        BOOST_REQUIRE(this->find<ReadLease>());
        attempt = this->find<ReadLease>()->attempt;
        this->handle(LeaseReadAnswered { stock, attempt, this->reply(TableStatus::Done, 41) });
        this->handle(LeaseWriteAnswered { stock, attempt, this->reply(TableStatus::Done, 42) });
    }
}

// Between step-down and promotion the registry shows no primary; that must not start a second promotion.
BOOST_AUTO_TEST_CASE(Registry_PrimaryGoneWhileOrdering_StartsNoSecondOrder)
{
    const uint64_t attempt = this->advanceToStatusQuery();
    this->handle(EndpointStatusesReceived { stock, attempt, { { b, status(50) } } });
    this->registry(EndpointRole::Replica, EndpointRole::Replica);
    BOOST_TEST(!this->find<SetPromotionTimer>());
    this->handle(PromotionOrderAnswered { stock, attempt, PromotionOrderStatus::Accepted });
    BOOST_TEST(this->find<AnnouncePromotion>());
    this->registry(EndpointRole::Replica, EndpointRole::Primary);
    BOOST_TEST((this->coordinator.primaryOf(stock) == b));
    this->fireTimer();
    BOOST_TEST(this->effects.empty());
}

// An old primary that has not noticed its replacement stays registered as primary and must not be used as one.
BOOST_AUTO_TEST_CASE(Registry_TwoPrimaries_UsesTheLaterOne)
{
    this->registry(EndpointRole::Primary, EndpointRole::Primary);
    BOOST_TEST((this->coordinator.primaryOf(stock) == b));
    this->handle(RegistryUpdated { { endpoint(a, EndpointRole::Primary), endpoint(b, EndpointRole::Primary) }, {} });
    BOOST_TEST((this->coordinator.primaryOf(stock) == b));
}

// An old primary that is not fenced goes on. Before another endpoint is promoted, all VMs must have stopped using it,
// including those that the promoting VM did not know of before.
BOOST_AUTO_TEST_CASE(Unfenced_PrimaryUnreachable_IsRevokedAtAllVmsBeforeOrder)
{
    const uint64_t attempt = this->advanceToRevocation();
    const auto* revoke = this->find<RevokePrimary>();
    BOOST_REQUIRE(revoke);
    BOOST_TEST((revoke->revocation == PrimaryRevocation { stock, a, 41 }));
    BOOST_REQUIRE(revoke->members.size() == 1U);
    BOOST_TEST(revoke->members.front().vm == VmId("vm-2"));
    BOOST_TEST(!this->find<QueryEndpointStatuses>());
    this->handle(PrimaryRevocationFinished { stock, attempt, true });
    BOOST_REQUIRE(this->find<QueryEndpointStatuses>());
    this->handle(EndpointStatusesReceived { stock, attempt, { { b, status(50) }, { c, status(52) } } });
    BOOST_REQUIRE(this->find<OrderPromotion>());
    BOOST_TEST(this->find<OrderPromotion>()->endpoint == c);
}

// Guards against a replaced primary that goes on under another ID: a new endpoint takes over its address, log and role
// while the promotion is under way, and does not know of it.
BOOST_AUTO_TEST_CASE(Unfenced_EndpointTakesOverAtRevokedAddress_PromotionGoesOn)
{
    const EndpointId heir("h");
    const auto at = [](RegisteredEndpoint made, const char* address) {
        made.address = address;
        return made;
    };
    const RegisteredEndpoint replica = at(endpoint(b, EndpointRole::Replica), "10.0.0.12:1");
    this->coordinator = makeUnfencedCoordinator();
    this->handle(VmsChanged { { VmId("vm-1") } });
    this->handle(RegistryUpdated { { at(endpoint(a, EndpointRole::Primary), "10.0.0.11:1"), replica }, {} });
    const uint64_t attempt = this->advanceToStatusQuery();
    this->handle(FleetReadAnswered { stock, attempt, { { { VmId("vm-2"), DataCentre("dc-1"), "10.0.0.2:7560" } } } });
    const PrimaryRevocation revocation = this->find<RevokePrimary>()->revocation;
    BOOST_TEST(revocation.address == "10.0.0.11:1");
    this->handle(PrimaryRevocationLearnt { revocation });
    this->handle(RegistryUpdated { { at(endpoint(heir, EndpointRole::Primary), "10.0.0.11:1"), replica }, {} });
    this->handle(PrimaryRevocationFinished { stock, attempt, true });
    BOOST_REQUIRE(this->find<QueryEndpointStatuses>());
    BOOST_TEST((this->find<QueryEndpointStatuses>()->endpoints == std::vector<EndpointId> { b }));
    this->handle(EndpointStatusesReceived { stock, attempt, { { b, status(52) } } });
    BOOST_REQUIRE(this->find<OrderPromotion>());
    this->handle(RegistryUpdated { { at(endpoint(heir, EndpointRole::Primary), "10.0.0.11:1"),
                                       at(endpoint(b, EndpointRole::Primary), "10.0.0.12:1") },
        {} });
    BOOST_TEST((this->coordinator.primaryOf(stock) == b));
}

// Guards against a VM that has just started and promotes at once while the others use a primary whose entry has lapsed.
BOOST_AUTO_TEST_CASE(Unfenced_VmStartsAndRegistryListsNoPrimary_LeavesItToOthersFirst)
{
    this->coordinator = makeUnfencedCoordinator();
    this->handle(VmsChanged { { VmId("vm-1") } });
    this->registry(EndpointRole::Replica, EndpointRole::Replica);
    this->fireTimer();
    BOOST_TEST(!this->find<ReadLease>());
    BOOST_REQUIRE(this->find<SetPromotionTimer>());
    BOOST_TEST((this->timer.when - this->now >= 4500ms));
    this->registry(EndpointRole::Replica, EndpointRole::Replica);
    this->fireTimer();
    BOOST_REQUIRE(this->find<PollReachability>());
    this->handle(ReachabilityPolled { stock, this->find<PollReachability>()->attempt, 9, 0, 5 });
    BOOST_TEST(this->find<ReadLease>());
}

// Guards against a VM that has started, or was cut off, and replaces a primary that the others use, because the
// registry does not list it.
BOOST_AUTO_TEST_CASE(Registry_ListsNoPrimary_OthersReachOne_OrdersNothing)
{
    this->registry(EndpointRole::Replica, EndpointRole::Replica);
    this->fireTimer();
    BOOST_TEST(!this->find<ReadLease>());
    const auto* poll = this->find<PollReachability>();
    BOOST_REQUIRE(poll);
    BOOST_TEST(poll->endpoint.empty());
    this->handle(ReachabilityPolled { stock, poll->attempt, 9, 5, 2 });
    BOOST_TEST(!this->find<ReadLease>());
    BOOST_TEST(this->find<SetPromotionTimer>());
}

// Guards against a group that stays without a primary, and against an order without the agreement of the others.
BOOST_AUTO_TEST_CASE(Registry_ListsNoPrimary_MostOthersReachNone_Promotes)
{
    this->coordinator = { VmId("vm-1"), "run-1", {} };
    this->handle(VmsChanged { { VmId("vm-1") } });
    this->registry(EndpointRole::Replica, EndpointRole::Replica);
    this->fireTimer();
    this->handle(ReachabilityPolled { stock, this->find<PollReachability>()->attempt, 9, 0, 4 });
    BOOST_TEST(!this->find<ReadLease>());
    this->fireTimer();
    this->handle(ReachabilityPolled { stock, this->find<PollReachability>()->attempt, 9, 0, 5 });
    BOOST_TEST(this->find<ReadLease>());
}

// Guards against a former primary that leads again with commits that an earlier promotion has discarded, because it is
// the only one that answers.
BOOST_AUTO_TEST_CASE(Replica_DoesNotKnowNewestTerm_IsNotPromotedWhileAnotherMayAnswer)
{
    this->handle(EndpointReachabilityChanged { stock, a, false });
    const auto advance = [this] {
        this->fireTimer();
        const uint64_t attempt = this->find<PollReachability>()->attempt;
        this->handle(ReachabilityPolled { stock, attempt, 9, 2, 7, 2 });
        this->handle(LeaseReadAnswered { stock, attempt, this->reply(TableStatus::Done, 0) });
        this->handle(LeaseWriteAnswered { stock, attempt, this->reply(TableStatus::Done, 41) });
        return attempt;
    };
    const EndpointStatus ofFirstTerm = status(90);
    EndpointStatus ofSecondTerm = status(50);
    ofSecondTerm.term = 2;
    const uint64_t first = advance();
    this->handle(EndpointStatusesReceived { stock, first, { { b, ofFirstTerm } } });
    BOOST_TEST(!this->find<OrderPromotion>());
    const uint64_t second = advance();
    this->handle(EndpointStatusesReceived { stock, second, { { b, ofFirstTerm }, { c, ofSecondTerm } } });
    BOOST_REQUIRE(this->find<OrderPromotion>());
    BOOST_TEST(this->find<OrderPromotion>()->endpoint == c);
}

// Guards against a group that stays without a primary because no endpoint that knows the newest term comes back.
BOOST_AUTO_TEST_CASE(Replica_DoesNotKnowNewestTermAndNoOtherAnswers_IsPromotedInTheEnd)
{
    this->handle(EndpointReachabilityChanged { stock, a, false });
    const Instant start = this->now;
    while (!this->find<OrderPromotion>()) {
        BOOST_REQUIRE((this->now < start + 12s));
        this->fireTimer();
        const uint64_t attempt = this->find<PollReachability>()->attempt;
        this->handle(ReachabilityPolled { stock, attempt, 9, 2, 7, 2 });
        this->handle(LeaseReadAnswered { stock, attempt, this->reply(TableStatus::Done, 0) });
        this->handle(LeaseWriteAnswered { stock, attempt, this->reply(TableStatus::Done, 41) });
        this->handle(EndpointStatusesReceived { stock, attempt, { { b, status(90) } } });
    }
    BOOST_TEST((this->now >= start + 10s));
}

// The promotion lease records the revocation, so that VMs that start later know of it.
BOOST_AUTO_TEST_CASE(Unfenced_LeaseWritten_RecordsRevocation)
{
    this->coordinator = makeUnfencedCoordinator();
    this->handle(VmsChanged { { VmId("vm-1") } });
    this->registry(EndpointRole::Primary, EndpointRole::Replica);
    this->handle(EndpointReachabilityChanged { stock, a, false });
    this->fireTimer();
    const uint64_t attempt = this->find<PollReachability>()->attempt;
    this->handle(ReachabilityPolled { stock, attempt, 9, 2, 7 });
    this->handle(LeaseReadAnswered { stock, attempt, this->reply(TableStatus::Done, 0) });
    BOOST_REQUIRE(this->find<WriteLease>());
    const RowWrite write = this->find<WriteLease>()->transaction.writes.front();
    const auto stored = PromotionCoordinator::storedRevocation({ write.key, 41, write.value });
    BOOST_REQUIRE(stored.has_value());
    BOOST_TEST((*stored == PrimaryRevocation { stock, a, 41 }));
}

// Guards against a revocation from before a restore that replaces a later one, because its row is still stored.
BOOST_AUTO_TEST_CASE(StoredRevocation_WrittenInEarlierGeneration_HasLowerNumber)
{
    const std::string key = PromotionCoordinator::leaseKey(stock);
    const auto earlier = PromotionCoordinator::storedRevocation({ key, 41, R"({"revoked":"a","generation":1})" });
    const auto later = PromotionCoordinator::storedRevocation({ key, 40, R"({"revoked":"b","generation":2})" });
    BOOST_REQUIRE((earlier && later));
    BOOST_TEST(earlier->number < later->number);
}

// Guards against a replaced primary that is used again after a restart of most VMs, because its revocation was lost
// with a restored table.
BOOST_AUTO_TEST_CASE(RecordAgain_RevocationsMissingInTable_WritesThem)
{
    const std::string key = PromotionCoordinator::leaseKey(stock);
    const TableRow older { key, 41, R"({"revoked":"a","generation":1,"run":"other","until":7000})" };
    const uint64_t storedNumber = PromotionCoordinator::storedRevocation(older)->number;
    const std::map<GroupId, PrimaryRevocation> known { { stock, { stock, b, storedNumber + 1 } } };
    for (const auto& rows : { std::vector<TableRow> {}, std::vector<TableRow> { older } }) {
        const auto transactions = PromotionCoordinator::recordAgain(known, rows, 2);
        BOOST_REQUIRE(transactions.size() == 1U);
        BOOST_TEST(transactions.front().generation == 2U);
        BOOST_TEST(transactions.front().conditions.front().revision == (rows.empty() ? 0U : 41U));
        const RowWrite write = transactions.front().writes.front();
        const auto recorded = PromotionCoordinator::storedRevocation({ write.key, 30, write.value });
        BOOST_REQUIRE(recorded.has_value());
        BOOST_TEST(recorded->endpoint == b);
        BOOST_TEST(recorded->number > storedNumber + 1);
    }
    BOOST_TEST(PromotionCoordinator::recordAgain({ { stock, { stock, a, storedNumber } } }, { older }, 2).empty());
}

// Guards against a lease that seems free, because its row was written again.
BOOST_AUTO_TEST_CASE(RecordAgain_LeaseIsStored_KeepsIt)
{
    const std::string key = PromotionCoordinator::leaseKey(stock);
    const TableRow older { key, 41, R"({"revoked":"a","generation":1,"run":"other","until":12000})" };
    const std::map<GroupId, PrimaryRevocation> known { { stock, { stock, b, uint64_t { 1 } << 42 } } };
    const auto transactions = PromotionCoordinator::recordAgain(known, { older }, 2);
    BOOST_REQUIRE(transactions.size() == 1U);
    this->handle(EndpointReachabilityChanged { stock, a, false });
    this->fireTimer();
    const uint64_t attempt = this->find<PollReachability>()->attempt;
    this->handle(ReachabilityPolled { stock, attempt, 9, 0, 9 });
    this->handle(LeaseReadAnswered {
        stock, attempt, this->reply(TableStatus::Done, 42, transactions.front().writes.front().value) });
    BOOST_TEST(!this->find<WriteLease>());
}

// A row of another version or with unreadable content must not be taken for a revocation or end the process.
BOOST_AUTO_TEST_CASE(StoredRevocation_RowUnreadable_IsNothing)
{
    for (const char* value : { "", "garbage", "[]", "{}", R"({"revoked":7})", "{\"revoked\":" })
        BOOST_TEST(!PromotionCoordinator::storedRevocation({ "promotion/stock", 41, value }), value);
    BOOST_TEST(!PromotionCoordinator::storedRevocation({ "shares", 41, R"({"revoked":"a"})" }));
}

// Without a majority, VMs elsewhere may go on using the old primary.
BOOST_AUTO_TEST_CASE(Unfenced_RevocationFails_OrdersNothing)
{
    const uint64_t attempt = this->advanceToRevocation();
    this->handle(PrimaryRevocationFinished { stock, attempt, false });
    BOOST_TEST(!this->find<QueryEndpointStatuses>());
    BOOST_TEST(this->find<SetPromotionTimer>());
}

// A VM that was suspended while it promoted an endpoint may have been replaced by another VM, whose order an unfenced
// platform would not protect.
BOOST_AUTO_TEST_CASE(Unfenced_PromotionLeaseExpired_OrdersNothing)
{
    const uint64_t attempt = this->advanceToRevocation();
    this->handle(PrimaryRevocationFinished { stock, attempt, true });
    this->now += 5s;
    this->handle(EndpointStatusesReceived { stock, attempt, { { b, status(50) } } });
    BOOST_TEST(!this->find<OrderPromotion>());
    BOOST_TEST(this->find<SetPromotionTimer>());
}

// If the VM that revoked the primary ends, another one must complete the promotion although the primary is reachable.
BOOST_AUTO_TEST_CASE(Unfenced_RevocationOfOtherVm_IsCompletedIfNoPrimaryAppears)
{
    this->coordinator = makeUnfencedCoordinator();
    this->handle(VmsChanged { { VmId("vm-1") } });
    this->registry(EndpointRole::Primary, EndpointRole::Replica);
    this->handle(PrimaryRevocationLearnt { { stock, a, 41 } });
    BOOST_REQUIRE(this->find<SetPromotionTimer>());
    BOOST_TEST((this->timer.when - this->now >= 3s));
    this->fireTimer();
    BOOST_TEST(this->find<ReadLease>());
}

// The entry of an old primary may expire and return while the old primary still takes itself for the primary.
BOOST_AUTO_TEST_CASE(Unfenced_RevokedPrimaryRegistersAgain_IsNotUsed)
{
    this->coordinator = makeUnfencedCoordinator();
    this->handle(PrimaryRevocationLearnt { { stock, a, 41 } });
    this->handle(RegistryUpdated { { endpoint(b, EndpointRole::Primary), endpoint(c, EndpointRole::Replica) }, {} });
    this->registry(EndpointRole::Primary, EndpointRole::Primary);
    BOOST_TEST((this->coordinator.primaryOf(stock) == b));
}

// While an order is being carried out, the old primary may register again as primary. That must neither end the attempt
// nor lift the revocation, since VMs would use the old primary while the new one takes the lead.
BOOST_AUTO_TEST_CASE(Unfenced_RevokedPrimaryRegistersAgainDuringOrder_StaysRevoked)
{
    const uint64_t attempt = this->advanceToRevocation();
    this->handle(PrimaryRevocationLearnt { { stock, a, 41 } });
    this->handle(PrimaryRevocationFinished { stock, attempt, true });
    this->handle(EndpointStatusesReceived { stock, attempt, { { b, status(50) }, { c, status(49) } } });
    this->handle(RegistryUpdated { { endpoint(b, EndpointRole::Replica), endpoint(c, EndpointRole::Replica) }, {} });
    this->handle(PromotionOrderAnswered { stock, attempt, PromotionOrderStatus::Accepted });
    const SetPromotionTimer waiting = this->timer;
    this->registry(EndpointRole::Primary, EndpointRole::Replica);
    BOOST_TEST(!this->find<SetPromotionTimer>());
    BOOST_TEST(this->timer.attempt == waiting.attempt);
    this->registry(EndpointRole::Primary, EndpointRole::Primary);
    BOOST_TEST((this->coordinator.primaryOf(stock) == b));
}

// If the order is lost, the next attempt must revoke the old primary again although it is reachable and would step
// down.
BOOST_AUTO_TEST_CASE(Unfenced_NextAttemptWithRevokedPrimaryReachable_RevokesItAgain)
{
    this->coordinator = makeUnfencedCoordinator();
    this->handle(VmsChanged { { VmId("vm-1") } });
    this->registry(EndpointRole::Primary, EndpointRole::Replica);
    this->handle(PrimaryRevocationLearnt { { stock, a, 41 } });
    this->fireTimer();
    BOOST_REQUIRE(this->find<ReadLease>());
    const uint64_t attempt = this->find<ReadLease>()->attempt;
    this->handle(LeaseReadAnswered { stock, attempt, this->reply(TableStatus::Done, 0) });
    BOOST_REQUIRE(this->find<WriteLease>());
    const RowWrite write = this->find<WriteLease>()->transaction.writes.front();
    BOOST_TEST(PromotionCoordinator::storedRevocation({ write.key, 43, write.value })->endpoint == a);
    this->handle(LeaseWriteAnswered { stock, attempt, this->reply(TableStatus::Done, 43) });
    this->handle(FleetReadAnswered { stock, attempt, { { { VmId("vm-2"), DataCentre("dc-1"), "10.0.0.2:7560" } } } });
    BOOST_REQUIRE(this->find<RevokePrimary>());
    BOOST_TEST((this->find<RevokePrimary>()->revocation == PrimaryRevocation { stock, a, 43 }));
    BOOST_TEST(!this->find<QueryEndpointStatuses>());
}

// A VM that starts while both endpoints are registered as primary learns from the table which one was replaced.
BOOST_AUTO_TEST_CASE(Unfenced_RevocationLearntAfterRegistry_ChangesPrimary)
{
    this->coordinator = makeUnfencedCoordinator();
    this->registry(EndpointRole::Primary, EndpointRole::Primary);
    const EndpointId first = *this->coordinator.primaryOf(stock);
    this->handle(PrimaryRevocationLearnt { { stock, first, 41 } });
    BOOST_TEST((this->coordinator.primaryOf(stock) == (first == a ? b : a)));
}

// An order without an answer may be executed after a later one. Ordering the same endpoint makes that harmless.
BOOST_AUTO_TEST_CASE(Unfenced_OrderUnanswered_IsRepeatedForSameEndpoint)
{
    uint64_t attempt = this->advanceToRevocation();
    this->handle(PrimaryRevocationFinished { stock, attempt, true });
    this->handle(EndpointStatusesReceived { stock, attempt, { { b, status(50) }, { c, status(49) } } });
    this->handle(PromotionOrderAnswered { stock, attempt, PromotionOrderStatus::Unknown });
    this->fireTimer();
    BOOST_REQUIRE(this->find<PollReachability>());
    attempt = this->find<PollReachability>()->attempt;
    this->handle(ReachabilityPolled { stock, attempt, 9, 2, 7 });
    this->handle(LeaseReadAnswered { stock, attempt, this->reply(TableStatus::Done, 0) });
    this->handle(LeaseWriteAnswered { stock, attempt, this->reply(TableStatus::Done, 43) });
    this->handle(FleetReadAnswered { stock, attempt, { { { VmId("vm-2"), DataCentre("dc-1"), "10.0.0.2:7560" } } } });
    this->handle(PrimaryRevocationFinished { stock, attempt, true });
    this->handle(EndpointStatusesReceived { stock, attempt, { { b, status(50) }, { c, status(51) } } });
    BOOST_REQUIRE(this->find<OrderPromotion>());
    BOOST_TEST(this->find<OrderPromotion>()->endpoint == b);
}

// While another VM promotes a replica, this VM must wait until the new primary should have appeared.
BOOST_AUTO_TEST_CASE(Notice_OfAnotherVm_DelaysOwnAttempt)
{
    this->handle(PromotionNoticeReceived { stock });
    this->handle(EndpointReachabilityChanged { stock, a, false });
    BOOST_TEST(!this->find<SetPromotionTimer>());
    BOOST_TEST((this->timer.when - this->now >= 3s));
}

// Guards against a primary that keeps its role in an evacuated data centre.
BOOST_AUTO_TEST_CASE(Registry_PrimaryIsEvacuated_AttemptStartsWithoutPoll)
{
    this->evacuate({ a });
    this->fireTimer();
    BOOST_TEST(this->find<ReadLease>());
    BOOST_TEST(!this->find<PollReachability>());
}

// Guards against a promotion that moves the primary role into a data centre that is evacuated, or out of one while
// nothing else is left.
BOOST_AUTO_TEST_CASE(Registry_AllEndpointsAreEvacuated_NothingIsPromoted)
{
    this->evacuate({ a, b, c });
    BOOST_TEST(!this->find<SetPromotionTimer>());
}

// Guards against the promotion of an evacuated replica that catches up first, and against a promotion that waits for
// ever with synchronous replication, because an evacuated replica does not count as asked.
BOOST_AUTO_TEST_CASE(Statuses_PrimaryAndReplicaAreEvacuated_OtherReplicaIsPromoted)
{
    this->synchronousReplicas = 1;
    this->evacuate({ a, b });
    this->fireTimer();
    const uint64_t attempt = this->find<ReadLease>()->attempt;
    this->handle(LeaseReadAnswered { stock, attempt, this->reply(TableStatus::Done, 0) });
    this->handle(LeaseWriteAnswered { stock, attempt, this->reply(TableStatus::Done, 5) });
    this->handle(EndpointStatusesReceived {
        stock, attempt, { { a, status(60, EndpointRole::Primary) }, { b, status(60) }, { c, status(57) } } });
    this->handle(StepDownAnswered { stock, attempt, status(61) });
    this->handle(EndpointStatusesReceived { stock, attempt, { { b, status(61) }, { c, status(61) } } });
    BOOST_REQUIRE(this->find<OrderPromotion>());
    BOOST_TEST(this->find<OrderPromotion>()->endpoint == c);
}

// Guards against the loss of a commit that only an evacuated replica holds, after the primary has failed.
BOOST_AUTO_TEST_CASE(Statuses_OnlyEvacuatedReplicaHoldsCommit_NothingIsPromoted)
{
    this->synchronousReplicas = 1;
    this->evacuate({ b });
    const uint64_t attempt = this->advanceToStatusQuery();
    this->handle(EndpointStatusesReceived { stock, attempt, { { b, status(61) }, { c, status(60) } } });
    BOOST_TEST(!this->find<OrderPromotion>());
}

BOOST_AUTO_TEST_SUITE_END()
