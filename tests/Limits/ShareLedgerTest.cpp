#include "Limits/ShareLedger.h"

#include "Core/Error.h"
#include "Core/RandomGenerator.h"
#include "Limits/LimitShares.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace Lavendervane;

BOOST_AUTO_TEST_SUITE(ShareLedgerTest)

static ShareLedger::Holder holder(int number, const std::string& run = "1")
{
    const std::string name = "vm-" + std::to_string(number);
    return { { VmId(name), DataCentre("dc"), name + ":1" }, run };
}

// VMs that start together must get even shares regardless of their order.
BOOST_AUTO_TEST_CASE(Renew_AllVmsTwice_DividesEvenly)
{
    ShareLedger ledger;
    const ShareLedger::Settings settings;
    for (int round = 0; round < 3; ++round) {
        for (int vm = 0; vm < 18; ++vm)
            ledger.renew(holder(vm), 1000, settings);
    }
    BOOST_TEST(ledger.totalShare() <= fullShare);
    const uint32_t share = ledger.renew(holder(3), 1000, settings);
    BOOST_TEST(share == fullShare / 18);
}

// A new run of a VM takes over the share immediately: the earlier run has ended, and buckets start empty.
BOOST_AUTO_TEST_CASE(Renew_NewRunOfVm_TakesOverShares)
{
    ShareLedger ledger;
    const ShareLedger::Settings settings;
    for (int vm = 0; vm < 3; ++vm)
        ledger.renew(holder(vm), 1000, settings);
    const auto totalShare = ledger.totalShare();
    ledger.renew(holder(1, "2"), 2000, settings);
    BOOST_TEST(ledger.totalShare() >= totalShare);
    BOOST_TEST(ledger.members().size() == 3U);
}

// The share of a VM that never returns must become free, but not before it has expired on that VM's own clock.
BOOST_AUTO_TEST_CASE(Renew_HolderGone_FreesSharesAfterLifetimeAndSlack)
{
    ShareLedger ledger;
    const ShareLedger::Settings settings;
    ledger.renew(holder(0), 0, settings);
    ledger.renew(holder(1), settings.lifetimeMs + settings.clockErrorMs - 1, settings);
    BOOST_TEST(ledger.members().size() == 2U);
    ledger.renew(holder(1), settings.lifetimeMs + settings.clockErrorMs, settings);
    BOOST_TEST(ledger.members().size() == 1U);
}

BOOST_AUTO_TEST_CASE(Leave_EarlierRun_ChangesNothing)
{
    ShareLedger ledger;
    ledger.renew(holder(0, "2"), 0, {});
    ledger.remove(holder(0, "1"));
    BOOST_TEST(ledger.members().size() == 1U);
    ledger.remove(holder(0, "2"));
    BOOST_TEST(ledger.members().empty());
}

// The shares must never add up to more than the limit, whatever the order of renewals and departures.
BOOST_AUTO_TEST_CASE(Renew_RandomOrderAndDemand_NeverExceedsWhole)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        RandomGenerator random(seed);
        ShareLedger ledger;
        uint64_t now = 0;
        for (int step = 0; step < 400; ++step) {
            now += random.below(20'000);
            const int vm = static_cast<int>(random.below(30));
            if (random.below(10) == 0)
                ledger.remove(holder(vm));
            else
                ledger.renew(holder(vm, std::to_string(random.below(3))), now, {});
            BOOST_REQUIRE(ledger.totalShare() <= fullShare);
        }
    }
}

BOOST_AUTO_TEST_CASE(Parse_Serialised_IsEqual)
{
    ShareLedger ledger;
    ledger.renew(holder(0), 77, {});
    BOOST_TEST((ShareLedger::parse(ledger.serialise()) == ledger));
}

BOOST_AUTO_TEST_CASE(Parse_Malformed_Throws)
{
    for (const char* text : { "", "[]", "{}", R"({"holders":{"a":{}}})", R"({"holders":{"a":{"run":1}}})" })
        BOOST_CHECK_THROW(ShareLedger::parse(text), Error);
}

// In a large fleet an even share would be less than one request, so a few VMs of each data centre hold the whole limit.
// All VMs must agree on which ones, whatever order they learnt the fleet in.
BOOST_AUTO_TEST_CASE(MarkShareHolders_LargeFleet_SameTwelveInAnyOrder)
{
    std::vector<FleetMember> vms;
    vms.reserve(95);
    for (int vm = 0; vm < 95; ++vm)
        vms.push_back({ VmId("vm-" + std::to_string(vm)), DataCentre("dc-" + std::to_string(vm % 4)), "" });
    std::vector<FleetMember> reversed(vms.rbegin(), vms.rend());
    markShareHolders(vms, {});
    markShareHolders(reversed, {});
    std::map<DataCentre, int> holders;
    for (const FleetMember& vm : vms)
        holders[vm.dataCentre] += vm.holdsShare;
    BOOST_TEST(holders.size() == 4U);
    for (const auto& [dataCentre, count] : holders)
        BOOST_TEST(count == 3);
    BOOST_TEST((vms == std::vector<FleetMember>(reversed.rbegin(), reversed.rend())));
}

BOOST_AUTO_TEST_CASE(MarkShareHolders_SmallFleet_AllHold)
{
    std::vector<FleetMember> vms;
    vms.reserve(24);
    for (int vm = 0; vm < 24; ++vm)
        vms.push_back({ VmId("vm-" + std::to_string(vm)), DataCentre("dc"), "", 1000, false });
    markShareHolders(vms, {});
    for (const FleetMember& vm : vms)
        BOOST_TEST(vm.holdsShare);
}

BOOST_AUTO_TEST_SUITE_END()
