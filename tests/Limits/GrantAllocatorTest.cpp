#include "Limits/GrantAllocator.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace Lavendervane;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(GrantAllocatorTest)

static const OrganisationId desk("desk");
static const VmId self("vm-1");
static const VmId peer("vm-2");
static const DataCentre localDataCentre("dc-0");
static const DataCentre remoteDataCentre("dc-1");

/// An allocator with a table that answers at once unless told otherwise. The limit is 100/s with a burst of 100, of
/// which half belongs to `localDataCentre`.
struct AllocatorFixture {
    AllocatorFixture()
        : allocator({}, self, 5000, localDataCentre)
    {
        this->handle(
            LimitsConfigured { this->now, 1, { localDataCentre, remoteDataCentre }, { { desk, { 100, 100 } } } });
        this->handle(LiveVmsChanged { this->now, { self } });
    }

    std::vector<AllocatorEffect> handle(const AllocatorEvent& event)
    {
        auto effects = this->allocator.handle(event);
        std::vector<AllocatorEffect> all = effects;
        for (const auto& effect : effects) {
            std::optional<AllocatorTableAnswered> answer;
            if (const auto* read = std::get_if<AllocatorRead>(&effect))
                answer = { this->now, read->operation, this->read(read->keys) };
            else if (const auto* write = std::get_if<AllocatorTransact>(&effect))
                answer = { this->now, write->operation, this->transact(write->transaction) };
            if (!answer)
                continue;
            const auto further = this->handle(*answer);
            all.insert(all.end(), further.begin(), further.end());
        }
        return all;
    }

    TableRow row(const std::string& key) const
    {
        const auto found = this->rows.find(key);
        return found == this->rows.end() ? TableRow { key, 0, "" } : found->second;
    }

    TableResult read(const std::vector<std::string>& keys) const
    {
        if (this->status != TableStatus::Done)
            return { this->status, {} };
        TableResult result { TableStatus::Done, {} };
        for (const auto& key : keys)
            result.rows.push_back(this->row(key));
        return result;
    }

    TableResult transact(const TableTransaction& transaction)
    {
        this->lastTransaction = transaction;
        if (this->status == TableStatus::NotSent)
            return { this->status, {} };
        for (const auto& condition : transaction.conditions) {
            if (this->row(condition.key).revision != condition.revision)
                return { TableStatus::Conflict, { this->row(condition.key) } };
        }
        for (const auto& write : transaction.writes)
            this->rows[write.key] = { write.key, this->row(write.key).revision + 1, write.value };
        return { this->status, {} };
    }

    /// Advances in steps of 100 ms.
    void advance(Duration duration)
    {
        for (const Instant end = this->now + duration; this->now < end;) {
            this->now += 100ms;
            this->handle(AllocatorTick { this->now });
        }
    }

    /// A request of the VM; returns the granted capacity, or nothing if it was not accepted.
    std::optional<GrantedCapacity> request(const VmId& vm, uint64_t sequence, Capacity held, Capacity wanted,
        uint64_t incarnation = 1, uint64_t returned = 0)
    {
        const auto effects = this->handle(GrantRequested {
            this->now, { vm, incarnation, this->allocator.epoch(), sequence, { { desk, held, wanted, returned } } } });
        // Recalls of other VMs may come first.
        const auto found = std::find_if(effects.begin(), effects.end(),
            [](const auto& effect) { return std::holds_alternative<AnswerGrant>(effect); });
        const auto& answer = std::get<AnswerGrant>(*found);
        return answer.accepted ? std::optional(answer.response.grants.front()) : std::nullopt;
    }

    void report(const VmId& vm, Capacity held, uint64_t incarnation = 1)
    {
        this->handle(
            ClaimAnswered { this->now, { vm, incarnation, this->allocator.epoch(), 0, { { desk, held, {}, 0 } } } });
    }

    const CapacityPool& pool() const { return this->allocator.pools().at(desk).pool; }

    Instant now { 1h };
    GrantAllocator allocator;
    std::map<std::string, TableRow> rows;
    TableStatus status = TableStatus::Done;
    TableTransaction lastTransaction;
};

/// Holds the lease; `self` and `peer` have reported that they hold nothing.
struct LeaseHolderFixture : AllocatorFixture {
    LeaseHolderFixture()
    {
        this->advance(100ms);
        this->report(self, {});
        this->handle(LiveVmsChanged { this->now, { self, peer } });
        this->advance(100ms);
        this->report(peer, {});
    }
};

// Two data centres that both count a share as theirs, or a pool that starts full, would exceed the limit.
BOOST_AUTO_TEST_CASE(Allocator_FirstStart_ClaimsAndStartsEmptyWithTheBaseShare)
{
    LeaseHolderFixture fixture;
    BOOST_TEST(fixture.allocator.epoch() == 1U);
    BOOST_TEST((parseShareRow(fixture.row("share/desk").value).share(localDataCentre) == Capacity { 50'000, 50'000 }));
    BOOST_TEST((fixture.pool().share() == Capacity { 50'000, 50'000 }));
    const auto granted = fixture.request(self, 1, {}, { 10'000, 5'000 });
    BOOST_TEST(granted->capacity.milliRate >= 10'000U);
    // Half a second at most has passed since the row was created.
    BOOST_TEST(granted->addedMilliTokens <= 25'000U);
}

// Answering a request twice, or an old one, would record less than the VM may hold.
BOOST_AUTO_TEST_CASE(Allocator_RepeatedOrForeignRequest_IsNotAnswered)
{
    LeaseHolderFixture fixture;
    BOOST_TEST(fixture.request(peer, 7, {}, { 10'000, 5'000 }).has_value());
    BOOST_TEST(!fixture.request(peer, 7, {}, { 10'000, 5'000 }).has_value());
    BOOST_TEST(!fixture.request(peer, 6, {}, { 10'000, 5'000 }).has_value());
    BOOST_TEST(!fixture.request(peer, 8, {}, { 10'000, 5'000 }, 0).has_value());
    const auto effects = fixture.handle(GrantRequested { fixture.now, { peer, 1, 2, 9, {} } });
    BOOST_TEST(!std::get<AnswerGrant>(effects.front()).accepted);
}

// What a VM may still use must not be granted to another until the VM reports that it has lowered itself.
BOOST_AUTO_TEST_CASE(Allocator_LoweredHolder_CountsInFullUntilItReports)
{
    LeaseHolderFixture fixture;
    const Capacity held = fixture.request(peer, 1, {}, { 40'000, 30'000 })->capacity;
    const auto lower = fixture.request(peer, 2, held, { 1'000, 1'000 });
    fixture.request(self, 1, {}, { 40'000, 1'000 });
    const Capacity outstanding = fixture.pool().outstanding(peer);
    BOOST_TEST((outstanding == held));
    const auto lowered = fixture.request(peer, 3, held, { 1'000, 1'000 });
    BOOST_TEST(lowered->capacity.milliRate < held.milliRate);
    fixture.request(peer, 4, lowered->capacity, { 1'000, 1'000 });
    BOOST_TEST(fixture.pool().outstanding(peer).milliRate < held.milliRate);
    BOOST_TEST(lower.has_value());
}

// During an outage nothing may move, since another VM may have taken the lease, but nobody may lose what it holds.
BOOST_AUTO_TEST_CASE(Allocator_TableDown_RenewsUnchangedForTwoHours)
{
    LeaseHolderFixture fixture;
    const Capacity held = fixture.request(peer, 1, {}, { 10'000, 5'000 })->capacity;
    fixture.status = TableStatus::NotSent;
    fixture.advance(9s);
    BOOST_TEST((fixture.request(peer, 2, held, { 40'000, 30'000 })->capacity != held));
    const Capacity raised = fixture.pool().outstanding(peer);
    for (uint64_t sequence = 3; sequence < 121; ++sequence) {
        fixture.advance(60s - 100ms);
        const auto granted = fixture.request(peer, sequence, raised, { 1'000, 1'000 });
        BOOST_TEST((granted->capacity == raised));
        BOOST_TEST(granted->addedMilliTokens == 0U);
    }
    fixture.advance(180s);
    BOOST_TEST(!fixture.request(peer, 200, raised, { 1'000, 1'000 }).has_value());
}

// A dead VM uses its grant until it expires; and if the lease was lost meanwhile, a later allocator counts it.
BOOST_AUTO_TEST_CASE(Allocator_DeadHolder_ReturnsAfterExpiryAndARenewal)
{
    LeaseHolderFixture fixture;
    fixture.request(peer, 1, {}, { 40'000, 30'000 });
    const uint64_t free = fixture.pool().free().milliRate;
    fixture.advance(60s);
    BOOST_TEST(fixture.pool().free().milliRate == free);
    fixture.status = TableStatus::NotSent;
    fixture.advance(3s);
    BOOST_TEST(fixture.pool().outstanding(peer).empty());
    BOOST_TEST(fixture.pool().free().milliRate == free);
    fixture.status = TableStatus::Done;
    fixture.advance(4s);
    BOOST_TEST((fixture.pool().free() == Capacity { 50'000, 50'000 }));
}

// The new process holds nothing, but a later allocator may have counted the grant of the old one.
BOOST_AUTO_TEST_CASE(Allocator_RestartedHolder_ReturnsAtTheNextRenewal)
{
    LeaseHolderFixture fixture;
    fixture.request(peer, 1, {}, { 40'000, 30'000 });
    const uint64_t free = fixture.pool().free().milliRate;
    fixture.report(peer, {}, 2);
    BOOST_TEST(fixture.pool().free().milliRate == free);
    fixture.advance(4s);
    BOOST_TEST((fixture.pool().free() == Capacity { 50'000, 50'000 }));
}

// The next allocator does not wait for the report of a VM that the row does not list.
BOOST_AUTO_TEST_CASE(Allocator_NewVm_GetsNothingBeforeTheRowListsIt)
{
    LeaseHolderFixture fixture;
    const VmId fresh("vm-9");
    fixture.status = TableStatus::NotSent;
    fixture.handle(LiveVmsChanged { fixture.now, { self, peer, fresh } });
    fixture.advance(1s);
    BOOST_TEST(fixture.request(fresh, 1, {}, { 10'000, 5'000 })->capacity.empty());
    fixture.status = TableStatus::Done;
    fixture.advance(4s);
    BOOST_TEST(parseLeaseRow(fixture.row(leaseKey(localDataCentre)).value).vms.contains(fresh));
    BOOST_TEST(!fixture.request(fresh, 2, {}, { 10'000, 5'000 })->capacity.empty());
}

/// A VM that has taken over from `peer`, which had epoch 3 and listed itself and vm-3.
struct TakeoverFixture : AllocatorFixture {
    TakeoverFixture()
    {
        const LeaseRow lease { 3, peer, "vm-2/1/1", { peer, VmId("vm-3") } };
        this->rows[leaseKey(localDataCentre)] = { leaseKey(localDataCentre), 8, toJson(lease) };
        this->rows[shareKey(desk)]
            = { shareKey(desk), 1, toJson(makeBaseShares(1, { 100, 100 }, { localDataCentre, remoteDataCentre })) };
        this->advance(100ms);
    }
};

// Grants of VMs that have not reported may be in use, and may be renewed by the earlier allocator.
BOOST_AUTO_TEST_CASE(Allocator_TakenOver_LocksWhatIsUnaccountedForTwoHoursAndAMinute)
{
    TakeoverFixture fixture;
    BOOST_TEST(fixture.allocator.epoch() == 4U);
    fixture.report(self, { 10'000, 5'000 });
    fixture.report(VmId("vm-3"), { 20'000, 8'000 });
    fixture.advance(2s);
    BOOST_TEST(fixture.pool().free().empty());
    // The VMs that have reported are silent from now on, so that their grants return after a minute.
    fixture.advance(2h + 55s);
    BOOST_TEST((fixture.pool().free() == Capacity { 30'000, 13'000 }));
    fixture.advance(10s);
    BOOST_TEST((fixture.pool().free() == Capacity { 50'000, 50'000 }));
}

// Once every listed VM has reported, nothing is unknown and the rest can be used at once.
BOOST_AUTO_TEST_CASE(Allocator_TakenOverAndAllReported_UsesTheRest)
{
    TakeoverFixture fixture;
    fixture.report(self, { 10'000, 5'000 });
    fixture.report(VmId("vm-3"), { 20'000, 8'000 });
    BOOST_TEST(fixture.pool().free().empty());
    fixture.report(peer, {}, 2);
    BOOST_TEST((fixture.pool().free() == Capacity { 20'000, 37'000 }));
}

// A lease must not be taken from a live holder, nor kept after a VM has accepted a higher epoch.
BOOST_AUTO_TEST_CASE(Allocator_LiveHolderOrHigherEpoch_DoesNotActAsAllocator)
{
    AllocatorFixture fixture;
    fixture.rows[leaseKey(localDataCentre)]
        = { leaseKey(localDataCentre), 8, toJson(LeaseRow { 3, peer, "vm-2/1/1", { peer } }) };
    fixture.handle(LiveVmsChanged { fixture.now, { self, peer } });
    fixture.advance(10s);
    BOOST_TEST(!fixture.allocator.holdsLease());

    LeaseHolderFixture holding;
    holding.handle(EpochObserved { holding.now, 2 });
    BOOST_TEST(!holding.allocator.holdsLease());
}

// The answer to the claim may be lost after it has taken effect; without the change id nobody would act.
BOOST_AUTO_TEST_CASE(Allocator_AnswerToClaimLost_SettlesByChangeId)
{
    AllocatorFixture fixture;
    fixture.status = TableStatus::Unknown;
    fixture.transact({ "", {}, {} });
    const auto effects = fixture.allocator.handle(AllocatorTick { fixture.now });
    const auto& read = std::get<AllocatorRead>(effects.front());
    fixture.handle(AllocatorTableAnswered { fixture.now, read.operation,
        { TableStatus::Done, { fixture.row(leaseKey(localDataCentre)), fixture.row(shareKey(desk)) } } });
    BOOST_TEST(!fixture.allocator.holdsLease());
    BOOST_TEST(parseLeaseRow(fixture.row(leaseKey(localDataCentre)).value).holder == self);
    fixture.status = TableStatus::Done;
    fixture.advance(4s);
    BOOST_TEST(fixture.allocator.holdsLease());
    BOOST_TEST(fixture.allocator.epoch() == 1U);
}

// Between the write of the row and the lowering of the own use, two data centres would use the same share.
BOOST_AUTO_TEST_CASE(Allocator_OtherDataCentreNeedsMore_LowersItsShareBeforeItWrites)
{
    LeaseHolderFixture fixture;
    ShareRow row = parseShareRow(fixture.row(shareKey(desk)).value);
    row.shares[remoteDataCentre].wantedMilliRate = 90'000;
    fixture.rows[shareKey(desk)] = { shareKey(desk), 50, toJson(row) };
    fixture.status = TableStatus::Done;
    std::vector<AllocatorEffect> effects;
    while (effects.empty()) {
        fixture.now += 100ms;
        effects = fixture.allocator.handle(AllocatorTick { fixture.now });
        std::erase_if(effects, [](const auto& effect) { return !std::holds_alternative<AllocatorRead>(effect); });
    }
    const auto& read = std::get<AllocatorRead>(effects.front());
    const auto writes
        = fixture.allocator.handle(AllocatorTableAnswered { fixture.now, read.operation, fixture.read(read.keys) });
    const auto& write = std::get<AllocatorTransact>(writes.front());
    BOOST_TEST(write.transaction.conditions.front().key == leaseKey(localDataCentre));
    const ShareRow written = parseShareRow(write.transaction.writes.front().value);
    BOOST_TEST(written.share(remoteDataCentre).milliRate > 50'000U);
    BOOST_TEST((written.share(localDataCentre).milliRate + written.share(remoteDataCentre).milliRate == 100'000U));
    BOOST_TEST((fixture.pool().share() == written.share(localDataCentre)));
    // The answer is lost: the write may still take effect, so the share stays lowered.
    fixture.handle(AllocatorTableAnswered { fixture.now, write.operation, { TableStatus::Unknown, {} } });
    BOOST_TEST((fixture.pool().share() == written.share(localDataCentre)));
}

// A trace can be replayed only if equal events lead to equal states.
BOOST_AUTO_TEST_CASE(Allocator_SameEvents_GiveEqualStates)
{
    LeaseHolderFixture one;
    LeaseHolderFixture two;
    one.request(peer, 1, {}, { 10'000, 5'000 });
    BOOST_TEST((one.allocator != two.allocator));
    two.request(peer, 1, {}, { 10'000, 5'000 });
    BOOST_TEST((one.allocator == two.allocator));
}

BOOST_AUTO_TEST_SUITE_END()
