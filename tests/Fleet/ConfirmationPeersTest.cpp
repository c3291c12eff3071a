#include "Fleet/ConfirmationPeers.h"

#include <boost/test/unit_test.hpp>

#include <set>
#include <string>
#include <vector>

using namespace Lavendervane;

namespace {

std::vector<FleetMember> makeMembers(size_t count, size_t dataCentres)
{
    std::vector<FleetMember> members;
    for (size_t index = 0; index < count; ++index) {
        members.push_back({ VmId("vm-" + std::to_string(index)),
            DataCentre("dc-" + std::to_string(index % dataCentres)), "10.0.0." + std::to_string(index) + ":1", 100 });
    }
    return members;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfirmationPeersTest)

// Guards against two VMs, or none, that take themselves for the first, and against a data centre that holds all of the
// first ones.
BOOST_AUTO_TEST_CASE(Rank_OfAllVms_DiffersAndAlternatesBetweenDataCentres)
{
    const auto members = makeMembers(20, 4);
    std::set<uint32_t> ranks;
    std::set<DataCentre> first;
    for (const FleetMember& member : members) {
        ConfirmationPeers peers(member.vm, 1);
        peers.setMembers(members);
        ranks.insert(peers.rank());
        if (peers.rank() < 4)
            first.insert(member.dataCentre);
    }
    BOOST_TEST(ranks.size() == 20U);
    BOOST_TEST(*ranks.rbegin() == 19U);
    BOOST_TEST(first.size() == 4U);
}

// Guards against a VM that is not listed and takes itself for the first.
BOOST_AUTO_TEST_CASE(Rank_OfVmThatIsNotListed_IsLast)
{
    ConfirmationPeers peers(VmId("vm-99"), 1);
    peers.setMembers(makeMembers(20, 4));
    BOOST_TEST(peers.rank() == 20U);
}

// Guards against a confirmation that is passed on to this VM itself, twice to the same VM, or within one data centre.
BOOST_AUTO_TEST_CASE(Choose_InFleet_NamesDifferentVmsOfOwnAndOtherDataCentres)
{
    for (const size_t dataCentres : { 1, 4, 20 }) {
        ConfirmationPeers peers(VmId("vm-0"), 1);
        peers.setMembers(makeMembers(20, dataCentres));
        std::set<std::string> seen;
        for (int round = 0; round < 100; ++round) {
            const auto chosen = peers.choose();
            const std::set<std::string> different(chosen.begin(), chosen.end());
            BOOST_TEST(different.size() == chosen.size());
            BOOST_TEST(chosen.size() == (dataCentres == 1 ? 3U : 4U));
            seen.insert(chosen.begin(), chosen.end());
        }
        BOOST_TEST(seen.size() == 19U);
        BOOST_TEST(!seen.count("10.0.0.0:1"));
    }
}

BOOST_AUTO_TEST_SUITE_END()
