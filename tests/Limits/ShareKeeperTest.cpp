#include "Limits/ShareKeeper.h"

#include "Limits/LimitShares.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace Lavendervane;
using namespace std::chrono_literals;

namespace {

struct KeeperFixture {
    ShareKeeper keeper { { { VmId("vm-1"), DataCentre("dc"), "10.0.0.1:1" }, "run-1" }, {}, 1 };
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
        made.result.rows = { { ShareKeeper::ledgerKey(), revision, value } };
        made.revision = revision;
        made.clock = { 5000, this->now, this->now };
        return made;
    }

    /// Runs until the first write.
    std::vector<ShareEffect> firstWrite()
    {
        this->keeper.start(this->now);
        this->keeper.handle(LedgerRead { this->reply(TableStatus::Done, 0, "") }, this->now);
        return this->keeper.handle(ShareTimerFired {}, this->now);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ShareKeeperTest, KeeperFixture)

BOOST_AUTO_TEST_CASE(Start_EmptyTable_WritesThenApplies)
{
    const auto writing = this->firstWrite();
    const auto* write = find<WriteLedger>(writing);
    BOOST_REQUIRE(write);
    BOOST_TEST(write->transaction.conditions.front().revision == 0U);
    BOOST_TEST(!find<ApplyShare>(writing));
    const auto applied = this->keeper.handle(LedgerWritten { this->reply(TableStatus::Done, 9, "") }, this->now);
    BOOST_REQUIRE(find<ApplyShare>(applied));
    BOOST_TEST(find<ApplyShare>(applied)->share > 0U);
    BOOST_TEST(find<FleetKnown>(applied)->vms.size() == 1U);
}

// Shares may be used only once the table has confirmed them; a lost answer confirms nothing.
BOOST_AUTO_TEST_CASE(Write_AnswerLost_ReadsAgainBeforeNextWrite)
{
    this->firstWrite();
    const auto lost = this->keeper.handle(LedgerWritten { this->reply(TableStatus::Unknown, 0, "") }, this->now);
    BOOST_TEST(!find<ApplyShare>(lost));
    BOOST_REQUIRE(find<SetShareTimer>(lost));
    BOOST_TEST(find<ReadLedger>(this->keeper.handle(ShareTimerFired {}, this->now + 1s)));
}

// After a conflict the current row is known, so no read is needed.
BOOST_AUTO_TEST_CASE(Write_Conflict_WritesOnCurrentRevision)
{
    this->firstWrite();
    ShareLedger other;
    other.renew({ { VmId("vm-2"), DataCentre("dc"), "10.0.0.2:1" }, "run" }, 5000, {});
    this->keeper.handle(LedgerWritten { this->reply(TableStatus::Conflict, 12, other.serialise()) }, this->now);
    const auto again = this->keeper.handle(ShareTimerFired {}, this->now + 50ms);
    BOOST_REQUIRE(find<WriteLedger>(again));
    BOOST_TEST(find<WriteLedger>(again)->transaction.conditions.front().revision == 12U);
}

// A share that shrinks must shrink here before others can learn that it is free.
BOOST_AUTO_TEST_CASE(Write_ShareShrinks_AppliesBeforeAnswer)
{
    this->firstWrite();
    this->keeper.handle(LedgerWritten { this->reply(TableStatus::Done, 9, "") }, this->now);
    ShareLedger crowded;
    for (int vm = 1; vm <= 40; ++vm)
        crowded.renew({ { VmId("vm-" + std::to_string(vm)), DataCentre("dc"), "" }, "run-1" }, 5000, {});
    this->keeper.handle(ShareTimerFired {}, this->now + 3s);
    this->keeper.handle(LedgerWritten { this->reply(TableStatus::Conflict, 20, crowded.serialise()) }, this->now + 3s);
    const auto writing = this->keeper.handle(ShareTimerFired {}, this->now + 4s);
    BOOST_REQUIRE(find<WriteLedger>(writing));
    BOOST_REQUIRE(find<ApplyShare>(writing));
    BOOST_TEST(find<ApplyShare>(writing)->share <= wholeShare / 40);
}

BOOST_AUTO_TEST_CASE(Read_MalformedRow_TakesNothing)
{
    this->keeper.start(this->now);
    const auto effects = this->keeper.handle(LedgerRead { this->reply(TableStatus::Done, 4, "garbage") }, this->now);
    BOOST_TEST(!find<WriteLedger>(effects));
    BOOST_TEST(find<SetShareTimer>(effects));
}

// After a restart of all VMs at once their writes conflict; none may have to wait for that before it serves.
BOOST_AUTO_TEST_CASE(Start_LedgerHoldsSharesOfEarlierRun_AppliesThemAtOnce)
{
    ShareLedger ledger;
    const auto share = ledger.renew({ { VmId("vm-1"), DataCentre("dc"), "10.0.0.1:1" }, "earlier" }, 4000, {});
    this->keeper.start(this->now);
    const auto effects
        = this->keeper.handle(LedgerRead { this->reply(TableStatus::Done, 4, ledger.serialise()) }, this->now);
    BOOST_REQUIRE(find<ApplyShare>(effects));
    BOOST_TEST((find<ApplyShare>(effects)->share == share));
    // The table's clock stands at 5000, the shares end at 604000.
    BOOST_TEST((find<ApplyShare>(effects)->expiry == this->now + 599s));
}

BOOST_AUTO_TEST_CASE(Stop_SharesHeld_AreGivenBack)
{
    this->firstWrite();
    this->keeper.handle(LedgerWritten { this->reply(TableStatus::Done, 9, "") }, this->now);
    const auto stopping = this->keeper.handle(ShareStopRequested {}, this->now + 5s);
    BOOST_REQUIRE(find<WriteLedger>(stopping));
    BOOST_TEST((ShareLedger::parse(find<WriteLedger>(stopping)->transaction.writes.front().value) == ShareLedger()));
    const auto left = this->keeper.handle(LedgerWritten { this->reply(TableStatus::Done, 10, "") }, this->now + 5s);
    BOOST_TEST(find<SharesLeft>(left));
}

BOOST_AUTO_TEST_SUITE_END()
