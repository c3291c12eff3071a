#include "Limits/ShareLeaseManager.h"

#include "Limits/LimitShares.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <set>

using namespace Lavendervane;
using namespace std::chrono_literals;

namespace {

struct ManagerFixture {
    ShareLeaseManager manager { { { VmId("vm-1"), DataCentre("dc"), "10.0.0.1:1" }, "run-1" }, {}, 1 };
    Instant now { 100s };

    template <typename Effect> static const Effect* find(const std::vector<ShareEffect>& effects)
    {
        for (const ShareEffect& effect : effects) {
            if (const auto* found = std::get_if<Effect>(&effect))
                return found;
        }
        return nullptr;
    }

    TableReply reply(TableStatus status, uint64_t revision, const std::string& value) const
    {
        TableReply made;
        made.result.status = status;
        made.result.rows = { { ShareLeaseManager::ledgerKey(), revision, value } };
        made.revision = revision;
        made.clock = { 5000, this->now, this->now };
        return made;
    }

    /// Reads an empty ledger and returns the effects of the first write.
    std::vector<ShareEffect> firstWrite()
    {
        this->manager.start(this->now);
        this->manager.handle(LedgerReadCompleted { this->reply(TableStatus::Done, 0, "") }, this->now);
        return this->manager.handle(ShareTimerFired {}, this->now);
    }
};

/// Simulates the share lease managers of VMs in four data centres with one table, whose calls take 4 ms each way.
class ShareTableModel {
public:
    explicit ShareTableModel(size_t vms)
    {
        for (size_t vm = 0; vm < vms; ++vm) {
            const std::string name = "vm-" + std::to_string(vm);
            FleetMember member { VmId(name), DataCentre("dc-" + std::to_string(vm % 4)), name + ":1" };
            this->managers.emplace_back(ShareLedger::Holder { member, "run-1" }, ShareLeaseSettings {}, vm + 1);
            this->scheduleAt(
                Instant(100s) + 3ms * vm, [this, vm] { this->applyEffects(vm, this->managers[vm].start(this->now)); });
        }
    }

    /// Makes a VM release its share, and starts it again later.
    void restartAt(size_t vm, Duration stopAfter, Duration startAfter)
    {
        this->scheduleAt(Instant(100s) + stopAfter, [this, vm] {
            this->applyEffects(vm, this->managers[vm].handle(ShareStopRequested { true }, this->now));
            this->shares.erase(vm);
        });
        this->scheduleAt(Instant(100s) + startAfter, [this, vm] {
            const std::string name = "vm-" + std::to_string(vm);
            FleetMember member { VmId(name), DataCentre("dc-" + std::to_string(vm % 4)), name + ":1" };
            this->managers[vm] = ShareLeaseManager({ member, "run-2" }, {}, vm + 100);
            ++this->runs[vm];
            this->applyEffects(vm, this->managers[vm].start(this->now));
        });
    }

    /// Returns the table to its content at `copiedAfter`. Each VM learns of it within 1.5 s with its next answer.
    void restoreAt(Duration copiedAfter, Duration restoredAfter)
    {
        this->scheduleAt(Instant(100s) + copiedAfter, [this] { this->copy = this->row; });
        this->scheduleAt(Instant(100s) + restoredAfter, [this] {
            this->row = this->copy;
            ++this->generation;
            for (size_t vm = 0; vm < this->managers.size(); ++vm) {
                this->scheduleAt(this->now + 1500ms * vm / this->managers.size(),
                    [this, vm] { this->applyEffects(vm, this->managers[vm].handle(TableRestored {}, this->now)); });
            }
        });
    }

    size_t holders() const
    {
        size_t count = 0;
        for (const auto& [vm, share] : this->shares)
            count += share > 0;
        return count;
    }

    uint64_t largestTotal = 0; ///< largest sum of the shares that all VMs used at the same time

    void run(Duration duration)
    {
        const Instant end = Instant(100s) + duration;
        while (!this->events.empty() && this->events.begin()->first <= end) {
            this->now = this->events.begin()->first;
            const auto action = std::move(this->events.begin()->second);
            this->events.erase(this->events.begin());
            action();
        }
    }

    uint64_t tableCalls = 0; ///< calls to the table by all VMs

    size_t vmsWithShares() const { return this->vmsThatAppliedShares.size(); }
    ShareLedger ledger() const { return ShareLedger::parse(this->row.value); }

private:
    static constexpr Duration oneWay = 4ms;

    void scheduleAt(Instant when, std::function<void()> action) { this->events.emplace(when, std::move(action)); }

    void applyEffects(size_t vm, const std::vector<ShareEffect>& effects)
    {
        for (const ShareEffect& effect : effects) {
            if (std::holds_alternative<ReadLedger>(effect))
                this->call(
                    vm, [] { return TableStatus::Done; }, false);
            else if (const auto* write = std::get_if<WriteLedger>(&effect))
                this->call(
                    vm, [this, transaction = write->transaction] { return this->transact(transaction); }, true);
            else if (const auto* timer = std::get_if<SetShareTimer>(&effect))
                this->scheduleAt(timer->when,
                    [this, vm] { this->applyEffects(vm, this->managers[vm].handle(ShareTimerFired {}, this->now)); });
            else if (const auto* apply = std::get_if<ApplyShare>(&effect))
                this->useShare(vm, apply->share);
        }
    }

    void useShare(size_t vm, uint32_t share)
    {
        this->vmsThatAppliedShares.insert(vm);
        this->shares[vm] = share;
        uint64_t total = 0;
        for (const auto& [other, used] : this->shares)
            total += used;
        this->largestTotal = std::max(this->largestTotal, total);
    }

    void call(size_t vm, std::function<TableStatus()> work, bool write)
    {
        const Instant sent = this->now;
        ++this->tableCalls;
        this->scheduleAt(this->now + oneWay, [this, vm, run = this->runs[vm], work = std::move(work), write, sent] {
            TableReply reply;
            reply.result.status = work();
            reply.result.rows = { this->row };
            reply.revision = this->row.revision;
            reply.generation = this->generation;
            const auto milliseconds
                = std::chrono::duration_cast<std::chrono::milliseconds>(this->now.time_since_epoch());
            reply.clock = { static_cast<uint64_t>(milliseconds.count()), sent, this->now + oneWay };
            this->scheduleAt(this->now + oneWay, [this, vm, run, reply, write] {
                if (run != this->runs[vm])
                    return;
                const ShareEvent event
                    = write ? ShareEvent(LedgerWriteCompleted { reply }) : ShareEvent(LedgerReadCompleted { reply });
                this->applyEffects(vm, this->managers[vm].handle(event, this->now));
            });
        });
    }

    TableStatus transact(const TableTransaction& transaction)
    {
        if (transaction.conditions.front().revision != this->row.revision)
            return TableStatus::Conflict;
        if (transaction.generation != this->generation)
            return TableStatus::Unknown;
        this->row = { ShareLeaseManager::ledgerKey(), this->row.revision + 1, transaction.writes.front().value };
        return TableStatus::Done;
    }

    std::deque<ShareLeaseManager> managers;
    std::multimap<Instant, std::function<void()>> events;
    std::set<size_t> vmsThatAppliedShares;
    std::map<size_t, uint32_t> shares; ///< share that each VM uses
    std::map<size_t, uint32_t> runs; ///< number of restarts of each VM
    uint64_t generation = 1;
    TableRow copy;
    TableRow row { ShareLeaseManager::ledgerKey(), 0, "" };
    Instant now {};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ShareLeaseManagerTest, ManagerFixture)

BOOST_AUTO_TEST_CASE(Start_EmptyTable_WritesThenApplies)
{
    const auto writing = this->firstWrite();
    const auto* write = find<WriteLedger>(writing);
    BOOST_REQUIRE(write);
    BOOST_TEST(write->transaction.conditions.front().revision == 0U);
    BOOST_TEST(!find<ApplyShare>(writing));
    const auto applied
        = this->manager.handle(LedgerWriteCompleted { this->reply(TableStatus::Done, 9, "") }, this->now);
    BOOST_REQUIRE(find<ApplyShare>(applied));
    BOOST_TEST(find<ApplyShare>(applied)->share > 0U);
}

// A share must not be used before the table has confirmed it. A lost response confirms nothing.
BOOST_AUTO_TEST_CASE(Write_AnswerLost_ReadsAgainBeforeNextWrite)
{
    this->firstWrite();
    const auto lost
        = this->manager.handle(LedgerWriteCompleted { this->reply(TableStatus::Unknown, 0, "") }, this->now);
    BOOST_TEST(!find<ApplyShare>(lost));
    BOOST_REQUIRE(find<SetShareTimer>(lost));
    BOOST_TEST(find<ReadLedger>(this->manager.handle(ShareTimerFired {}, this->now + 1s)));
}

// A conflict returns the current row, so the next write needs no read.
BOOST_AUTO_TEST_CASE(Write_Conflict_WritesOnCurrentRevision)
{
    this->firstWrite();
    ShareLedger other;
    other.renew({ { VmId("vm-2"), DataCentre("dc"), "10.0.0.2:1" }, "run" }, 5000, {});
    this->manager.handle(LedgerWriteCompleted { this->reply(TableStatus::Conflict, 12, other.serialise()) }, this->now);
    const auto again = this->manager.handle(ShareTimerFired {}, this->now + 50ms);
    BOOST_REQUIRE(find<WriteLedger>(again));
    BOOST_TEST(find<WriteLedger>(again)->transaction.conditions.front().revision == 12U);
}

// A shrinking share must be applied locally before other VMs can learn that the difference is free.
BOOST_AUTO_TEST_CASE(Write_ShareShrinks_AppliesBeforeAnswer)
{
    this->firstWrite();
    this->manager.handle(LedgerWriteCompleted { this->reply(TableStatus::Done, 9, "") }, this->now);
    ShareLedger crowded;
    crowded.renew({ { VmId("vm-1"), DataCentre("dc"), "" }, "run-1" }, 5000, {});
    // These VMs precede vm-1 in the order of VM ids, so they keep their shares.
    for (int vm = 1; vm <= 40; ++vm)
        crowded.renew({ { VmId("other-" + std::to_string(vm)), DataCentre("dc"), "" }, "run-1" }, 5000, {});
    this->manager.handle(ShareTimerFired {}, this->now + 3s);
    this->manager.handle(
        LedgerWriteCompleted { this->reply(TableStatus::Conflict, 20, crowded.serialise()) }, this->now + 3s);
    const auto writing = this->manager.handle(ShareTimerFired {}, this->now + 4s);
    BOOST_REQUIRE(find<WriteLedger>(writing));
    BOOST_REQUIRE(find<ApplyShare>(writing));
    BOOST_TEST(find<ApplyShare>(writing)->share <= fullShare / 40);
}

// Guards against write conflicts that delay the start: when 95 VMs started within 0.3 s, most writes conflicted and 59
// VMs had no share after 14 s.
BOOST_AUTO_TEST_CASE(Start_ManyVmsAtOnce_AllHaveJoinedWithinFiveSeconds)
{
    ShareTableModel model(95);
    model.run(5s);
    BOOST_TEST(model.vmsWithShares() == 95U);
    BOOST_TEST(model.ledger().members().size() == 95U);
    BOOST_TEST(model.ledger().totalShare() <= fullShare);
}

// In a large fleet an even share would be less than one request, so a few VMs of each data centre hold the whole limit.
BOOST_AUTO_TEST_CASE(Start_ManyVmsAtOnce_FewHoldTheWholeLimit)
{
    ShareTableModel model(95);
    model.run(40s);
    std::map<DataCentre, uint32_t> holders;
    for (const FleetMember& member : model.ledger().members())
        holders[member.dataCentre] += member.holdsShare;
    for (const auto& [dataCentre, count] : holders)
        BOOST_TEST(count == 3U);
    BOOST_TEST(model.ledger().totalShare() >= fullShare * 99 / 100);
}

// Every call to the store costs money. VMs without a share renew nothing and need few calls; before that rule, each VM
// made 38 calls in 48 s.
BOOST_AUTO_TEST_CASE(Start_ManyVmsAtOnce_FewCallsAVm)
{
    ShareTableModel model(95);
    model.run(48s);
    BOOST_TEST(model.tableCalls <= 95U * 12U);
}

BOOST_AUTO_TEST_CASE(Read_MalformedRow_TakesNothing)
{
    this->manager.start(this->now);
    const auto effects
        = this->manager.handle(LedgerReadCompleted { this->reply(TableStatus::Done, 4, "garbage") }, this->now);
    BOOST_TEST(!find<WriteLedger>(effects));
    BOOST_TEST(find<SetShareTimer>(effects));
}

// When all VMs restart at once their writes conflict. A VM must serve with the share of its earlier run meanwhile.
BOOST_AUTO_TEST_CASE(Start_LedgerHoldsSharesOfEarlierRun_AppliesThemAtOnce)
{
    ShareLedger ledger;
    const auto share = ledger.renew({ { VmId("vm-1"), DataCentre("dc"), "10.0.0.1:1" }, "earlier" }, 4000, {});
    this->manager.start(this->now);
    const auto effects = this->manager.handle(
        LedgerReadCompleted { this->reply(TableStatus::Done, 4, ledger.serialise()) }, this->now);
    BOOST_REQUIRE(find<ApplyShare>(effects));
    BOOST_TEST((find<ApplyShare>(effects)->share == share));
    // The clock of the table is at 5000 ms, and the share expires at 604000 ms.
    BOOST_TEST((find<ApplyShare>(effects)->expiry == this->now + 599s));
}

BOOST_AUTO_TEST_CASE(Stop_SharesHeld_AreGivenBack)
{
    this->firstWrite();
    this->manager.handle(LedgerWriteCompleted { this->reply(TableStatus::Done, 9, "") }, this->now);
    const auto stopping = this->manager.handle(ShareStopRequested {}, this->now + 5s);
    BOOST_REQUIRE(find<WriteLedger>(stopping));
    BOOST_TEST((ShareLedger::parse(find<WriteLedger>(stopping)->transaction.writes.front().value) == ShareLedger()));
    const auto left
        = this->manager.handle(LedgerWriteCompleted { this->reply(TableStatus::Done, 10, "") }, this->now + 5s);
    BOOST_TEST(find<ShareStopCompleted>(left));
}

// When a fleet grows beyond the number of VMs that hold shares, several VMs release theirs at the same time and their
// writes conflict. A share that stays in the ledger is lost to all VMs until it expires.
BOOST_AUTO_TEST_CASE(Stop_RepeatedWithConflictAndLostAnswer_EndsWhenReleased)
{
    this->firstWrite();
    this->manager.handle(LedgerWriteCompleted { this->reply(TableStatus::Done, 9, "") }, this->now);
    BOOST_REQUIRE(find<WriteLedger>(this->manager.handle(ShareStopRequested { true }, this->now + 5s)));
    ShareLedger present;
    present.renew({ { VmId("vm-1"), DataCentre("dc"), "" }, "run-1" }, 5000, {});
    const auto conflict = this->manager.handle(
        LedgerWriteCompleted { this->reply(TableStatus::Conflict, 12, present.serialise()) }, this->now + 5s);
    BOOST_TEST(!find<ShareStopCompleted>(conflict));
    BOOST_REQUIRE(find<SetShareTimer>(conflict));
    BOOST_REQUIRE(find<WriteLedger>(this->manager.handle(ShareTimerFired {}, this->now + 6s)));
    const auto lost
        = this->manager.handle(LedgerWriteCompleted { this->reply(TableStatus::Unknown, 0, "") }, this->now + 7s);
    BOOST_TEST(!find<ShareStopCompleted>(lost));
    BOOST_REQUIRE(find<ReadLedger>(this->manager.handle(ShareTimerFired {}, this->now + 9s)));
    const auto writing = this->manager.handle(
        LedgerReadCompleted { this->reply(TableStatus::Done, 13, present.serialise()) }, this->now + 9s);
    BOOST_REQUIRE(find<WriteLedger>(writing));
    BOOST_TEST((ShareLedger::parse(find<WriteLedger>(writing)->transaction.writes.front().value) == ShareLedger()));
    BOOST_TEST(find<ShareStopCompleted>(
        this->manager.handle(LedgerWriteCompleted { this->reply(TableStatus::Done, 14, "") }, this->now + 9s)));
}

// The same if a renewal is under way when the release is requested.
BOOST_AUTO_TEST_CASE(Stop_RepeatedDuringRenewal_ReleasesAfterIt)
{
    this->firstWrite();
    BOOST_TEST(this->manager.handle(ShareStopRequested { true }, this->now).empty());
    const auto effects
        = this->manager.handle(LedgerWriteCompleted { this->reply(TableStatus::Done, 9, "") }, this->now);
    BOOST_TEST(!find<ApplyShare>(effects));
    BOOST_REQUIRE(find<WriteLedger>(effects));
    BOOST_TEST((ShareLedger::parse(find<WriteLedger>(effects)->transaction.writes.front().value) == ShareLedger()));
}

// Shares that other VMs have released must not stay unused until the next regular renewal.
BOOST_AUTO_TEST_CASE(HoldersChanged_ShareHeld_RenewsWithinThreeSeconds)
{
    this->firstWrite();
    this->manager.handle(LedgerWriteCompleted { this->reply(TableStatus::Done, 9, "") }, this->now);
    const auto effects = this->manager.handle(ShareHoldersChanged {}, this->now + 60s);
    BOOST_REQUIRE(find<SetShareTimer>(effects));
    BOOST_TEST((find<SetShareTimer>(effects)->when <= this->now + 63s));
}

// Guards against more than the whole limit in use, because VMs take shares again that the restored ledger still shows
// as theirs, while others have taken them over.
BOOST_AUTO_TEST_CASE(Table_RestoredWhileVmsRestart_TotalStaysWithinLimit)
{
    ShareTableModel model(12);
    model.restoreAt(30s, 75s);
    for (size_t vm = 0; vm < 4; ++vm)
        model.restartAt(vm, 31s, 75s + 300ms * vm);
    model.run(200s);
    BOOST_TEST(model.largestTotal <= fullShare);
    BOOST_TEST(model.holders() == 12U);
}

// Guards against a share that counts as free, because its grant was lost with the table.
BOOST_AUTO_TEST_CASE(Table_RestoredWithoutLedger_TotalStaysWithinLimit)
{
    ShareTableModel model(12);
    model.restoreAt(0s, 40s);
    model.restartAt(3, 41s, 42s);
    model.run(200s);
    BOOST_TEST(model.largestTotal <= fullShare);
    BOOST_TEST(model.holders() == 12U);
}

// Guards against a fleet that serves nothing for long after a restore and a loss of power to all VMs.
BOOST_AUTO_TEST_CASE(Table_RestoredAndAllVmsRestart_SharesAreHeldAfterThreeSeconds)
{
    ShareTableModel model(12);
    model.restoreAt(30s, 60s);
    for (size_t vm = 0; vm < 12; ++vm)
        model.restartAt(vm, 59s, 60s);
    model.run(63s);
    BOOST_TEST(model.holders() == 12U);
    BOOST_TEST(model.largestTotal <= fullShare);
}

BOOST_AUTO_TEST_SUITE_END()
