#include "Core/Rendezvous.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

using namespace Lavendervane;

BOOST_AUTO_TEST_SUITE(RendezvousTest)

static std::vector<VmId> makeVms(int count)
{
    std::vector<VmId> vms;
    vms.reserve(static_cast<size_t>(count));
    for (int index = 0; index < count; ++index)
        vms.emplace_back("vm-" + std::to_string(index));
    return vms;
}

// VMs that know the same members in a different order must select the same one.
BOOST_AUTO_TEST_CASE(Ranking_OtherOrderOfVms_GivesTheSameResult)
{
    auto vms = makeVms(20);
    const auto expected = rankByRendezvous(vms, "endpoint-1", 2);
    std::reverse(vms.begin(), vms.end());
    BOOST_TEST((rankByRendezvous(vms, "endpoint-1", 2) == expected));
}

// The loss of one VM must not move keys between the remaining VMs.
BOOST_AUTO_TEST_CASE(Ranking_OneVmLost_MovesOnlyItsKeys)
{
    const auto vms = makeVms(20);
    const std::vector<VmId> remaining(vms.begin() + 1, vms.end());
    for (int key = 0; key < 200; ++key) {
        const auto before = rankByRendezvous(vms, std::to_string(key), 1);
        const auto after = rankByRendezvous(remaining, std::to_string(key), 1);
        if (before[0] != vms[0])
            BOOST_TEST((before == after));
    }
}

// A skewed hash would assign most endpoints to a few VMs.
BOOST_AUTO_TEST_CASE(Ranking_ManyKeys_SpreadsEvenly)
{
    const auto vms = makeVms(10);
    std::map<VmId, int> holders;
    for (int key = 0; key < 10000; ++key)
        ++holders[rankByRendezvous(vms, "key-" + std::to_string(key), 1)[0]];
    for (const auto& [vm, count] : holders) {
        BOOST_TEST(count > 850);
        BOOST_TEST(count < 1150);
    }
}

BOOST_AUTO_TEST_SUITE_END()
