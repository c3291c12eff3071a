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

/// An allocator and its table, which responds at once. The limit is 100/s with a burst of 100, half of which belongs to
/// `localDataCentre`.
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

    /// Advances the time in steps of 100 ms, with a tick at each step.
    void advance(Duration duration)
    {
        for (const Instant end = this->now + duration; this->now < end;) {
            this->now += 100ms;
            this->handle(AllocatorTick { this->now });
        }
    }

    /// Sends a request of the VM. Returns the grant, or nothing if the request was not accepted.
    std::optional<GrantedCapacity> request(const VmId& vm, uint64_t sequence, Capacity held, Capacity wanted,
        uint64_t incarnation = 1, uint64_t returned = 0)
    {
        const auto effects = this->handle(GrantRequested {
            this->now, { vm, incarnation, this->allocator.epoch(), sequence, { { desk, held, wanted, returned } } } });
        // Recalls to other VMs may precede the answer.
        const auto found = std::find_if(effects.begin(), effects.end(),
            [](const auto& effect) { return std::holds_alternative<AnswerGrant>(effect); });
        const auto& answer = std::get<AnswerGrant>(*found);
        return answer.accepted ? std::optional(answer.response.grants.front()) : std::nullopt;
    }

    /// Sends a claim report of the VM.
    void report(const VmId& vm, Capacity held, uint64_t incarnation = 1)
    {
        this->handle(
            ClaimAnswered { this->now, { vm, incarnation, this->allocator.epoch(), 0, { { desk, held, {}, 0 } } } });
    }

    const CapacityPool& pool() const { return this->allocator.pools().at(desk).pool; }

    Instant now { 1h };
    GrantAllocator allocator;
    std::map<std::string, TableRow> rows;
    TableStatus status = TableStatus::Done; ///< status of the table's responses
    TableTransaction lastTransaction;
};

/// An allocator that holds the lease. `self` and `peer` have reported that they hold nothing.
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

// The limit is exceeded if two data centres use the same share, or if a pool starts full.
BOOST_AUTO_TEST_CASE(Allocator_FirstStart_ClaimsAndStartsEmptyWithTheBaseShare)
{
    LeaseHolderFixture fixture;
    BOOST_TEST(fixture.allocator.epoch() == 1U);
    BOOST_TEST((parseShareRow(fixture.row("share/desk").value).share(localDataCentre) == Capacity { 50'000, 50'000 }));
    BOOST_TEST((fixture.pool().share() == Capacity { 50'000, 50'000 }));
    const auto granted = fixture.request(self, 1, {}, { 10'000, 5'000 });
    BOOST_TEST(granted->capacity.milliRate >= 10'000U);
    // At most half a second has passed since the row was created.
    BOOST_TEST(granted->addedMilliTokens <= 25'000U);
}

// A response to a repeated or old request would make the allocator record less than the VM may hold.
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

// Capacity that a VM may still use must not be granted to another VM until the first reports that it has lowered its
// buckets.
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

// During an outage of the table another VM may have taken the lease, so capacity must not move between VMs. VMs must
// still keep what they hold.
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

// A VM that is believed dead may use its grant until it expires. A later allocator may also count the grant, so the
// capacity becomes free only after a lease renewal.
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

// A restarted process holds nothing, but a later allocator may have counted the grant of the old process.
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

// The next allocator waits only for the reports of VMs that the lease row lists, so a VM must be listed before it gets
// a grant.
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

/// An allocator that has taken the lease from `peer`, which had epoch 3 and had listed itself and vm-3.
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

// Grants of VMs that have not reported may be in use, and the previous allocator may still renew them.
BOOST_AUTO_TEST_CASE(Allocator_TakenOver_LocksWhatIsUnaccountedForTwoHoursAndAMinute)
{
    TakeoverFixture fixture;
    BOOST_TEST(fixture.allocator.epoch() == 4U);
    fixture.report(self, { 10'000, 5'000 });
    fixture.report(VmId("vm-3"), { 20'000, 8'000 });
    fixture.advance(2s);
    BOOST_TEST(fixture.pool().free().empty());
    // The VMs that have reported stay silent from here on, so their grants are freed after a minute.
    fixture.advance(2h + 55s);
    BOOST_TEST((fixture.pool().free() == Capacity { 30'000, 13'000 }));
    fixture.advance(10s);
    BOOST_TEST((fixture.pool().free() == Capacity { 50'000, 50'000 }));
}

// Once every listed VM has reported, all grants are known and the rest of the share can be granted at once.
BOOST_AUTO_TEST_CASE(Allocator_TakenOverAndAllReported_UsesTheRest)
{
    TakeoverFixture fixture;
    fixture.report(self, { 10'000, 5'000 });
    fixture.report(VmId("vm-3"), { 20'000, 8'000 });
    BOOST_TEST(fixture.pool().free().empty());
    fixture.report(peer, {}, 2);
    BOOST_TEST((fixture.pool().free() == Capacity { 20'000, 37'000 }));
}

// An allocator must not take the lease from a live holder, and must step down once a VM has accepted a higher epoch.
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

// The response to a claim may be lost after the claim was committed. Without a check of the change id no VM would act
// as the allocator.
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

// If an allocator wrote the row before it lowered its own share, two data centres would use the same capacity.
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
    // The response is lost and the write may still be committed, so the share stays lowered.
    fixture.handle(AllocatorTableAnswered { fixture.now, write.operation, { TableStatus::Unknown, {} } });
    BOOST_TEST((fixture.pool().share() == written.share(localDataCentre)));
}

// The replay of a trace relies on equal events leading to equal states.
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
