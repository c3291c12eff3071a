#include "Relay/OwnerPlacement.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace Lavendervane;

namespace {

/// Four data centres of 24 VMs each; the first two of each have six times the processor share of the others.
struct PlacementFixture {
    PlacementFixture()
    {
        for (int vm = 0; vm < 96; ++vm) {
            const std::string name = "vm-" + std::to_string(vm);
            const std::string dataCentre = "dc-" + std::to_string(vm % 4);
            this->members.push_back({ VmId(name), DataCentre(dataCentre), name + ":1", vm < 8 ? 500U : 84U });
        }
        this->placement.setMembers(this->members);
    }

    std::vector<FleetMember> candidates(const std::string& endpoint, const std::string& organisation) const
    {
        return this->placement.candidates(EndpointId(endpoint), DataCentre("dc-1"), OrganisationId(organisation));
    }

    std::vector<FleetMember> members;
    OwnerPlacement placement;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(OwnerPlacementTest, PlacementFixture)

// Owners in another data centre than their endpoint would add a second cross-data-centre hop to each statement.
BOOST_AUTO_TEST_CASE(Candidates_DataCentreHasVms_AreInIt)
{
    for (int organisation = 0; organisation < 20; ++organisation) {
        const auto found = this->candidates("a", "o" + std::to_string(organisation));
        BOOST_TEST(found.size() == 5U);
        for (const FleetMember& member : found)
            BOOST_TEST(member.dataCentre == DataCentre("dc-1"));
    }
}

BOOST_AUTO_TEST_CASE(Candidates_DataCentreHasNoVms_AreElsewhere)
{
    const auto found = this->placement.candidates(EndpointId("a"), DataCentre("dc-9"), OrganisationId("o"));
    BOOST_TEST(found.size() == 5U);
}

// All organisations must use the same owners; otherwise an endpoint would get more connections than it accepts. Each
// owner gets organisations in proportion to its processor share, at least half and at most twice as many.
BOOST_AUTO_TEST_CASE(Candidates_AllOrganisations_ShareThreeOwners)
{
    std::map<VmId, int> first;
    std::map<VmId, uint32_t> processors;
    uint32_t allProcessors = 0;
    for (int organisation = 0; organisation < 720; ++organisation)
        ++first[this->candidates("a", "o" + std::to_string(organisation)).front().vm];
    for (const FleetMember& member : this->members) {
        if (!first.count(member.vm))
            continue;
        processors[member.vm] = member.cpuMillicores;
        allProcessors += member.cpuMillicores;
    }
    BOOST_TEST(first.size() == 3U);
    for (const auto& [vm, count] : first) {
        BOOST_TEST(static_cast<uint32_t>(count) * allProcessors * 2 >= 720 * processors[vm]);
        BOOST_TEST(static_cast<uint32_t>(count) * allProcessors <= 720 * processors[vm] * 2);
    }
}

// An owner that holds equal parts of an endpoint's connections as a VM with six times its processor would leave
// connections unused, while the larger VM closes and opens connections for the organisations that come to it.
BOOST_AUTO_TEST_CASE(ConnectionLimit_UnequalOwners_FollowsProcessorShare)
{
    for (int endpoint = 0; endpoint < 50; ++endpoint) {
        const EndpointId id("e" + std::to_string(endpoint));
        auto owners = this->placement.candidates(id, DataCentre("dc-1"), OrganisationId("o"));
        owners.resize(3);
        for (const FleetMember& owner : owners) {
            const uint32_t limit = this->placement.connectionLimit(owner.vm, id, DataCentre("dc-1"), 112);
            BOOST_TEST(limit >= 112 / 6 - 3);
            for (const FleetMember& other : owners) {
                if (other.cpuMillicores < owner.cpuMillicores)
                    BOOST_TEST(limit > this->placement.connectionLimit(other.vm, id, DataCentre("dc-1"), 112));
            }
        }
    }
}

// Guards against VMs that together send more to a cold endpoint than it may get, or less although they could.
BOOST_AUTO_TEST_CASE(ColdShare_AllVms_AddUpToRate)
{
    for (const uint32_t rate : { 1U, 3U, 5U, 23U }) {
        uint32_t sum = 0;
        for (const FleetMember& member : this->members)
            sum += this->placement.coldShare(member.vm, EndpointId("a"), DataCentre("dc-1"), rate);
        BOOST_TEST(sum == rate);
    }
}

// An endpoint resets connections beyond the number that it accepts. Owners, substitutes and connections that are being
// replaced must stay within it, and the owners must get most of it.
BOOST_AUTO_TEST_CASE(ConnectionLimit_AllCandidates_StayBelowEndpointsLimit)
{
    for (const uint32_t accepted : { 36U, 52U, 135U, 430U }) {
        uint32_t sum = 0;
        uint32_t ofOwners = 0;
        const auto found = this->candidates("a", "o");
        for (size_t rank = 0; rank < found.size(); ++rank) {
            const uint32_t limit
                = this->placement.connectionLimit(found[rank].vm, EndpointId("a"), DataCentre("dc-1"), accepted);
            sum += limit;
            ofOwners += rank < 3 ? limit : 0;
        }
        BOOST_TEST(sum < accepted);
        BOOST_TEST(ofOwners * 10 >= accepted * 8);
    }
    const VmId other("vm-0");
    BOOST_TEST(this->placement.connectionLimit(other, EndpointId("a"), DataCentre("dc-1"), 135) == 1U);
}

// The two large VMs of the data centre have 1,000 of its 2,848 thousandths of a core. They must own more than this part
// of the endpoints, because small VMs need most of their processor for their own callers.
BOOST_AUTO_TEST_CASE(Candidates_UnequalVms_LargeOnesOwnMoreThanTheirProcessorShare)
{
    int large = 0;
    int all = 0;
    int endpointsWithoutSmallOwner = 0;
    int largeCandidates = 0;
    int allCandidates = 0;
    for (int endpoint = 0; endpoint < 1000; ++endpoint) {
        auto found = this->candidates("e" + std::to_string(endpoint), "o");
        for (const FleetMember& member : found) {
            largeCandidates += member.cpuMillicores == 500;
            ++allCandidates;
        }
        found.resize(3);
        int small = 0;
        for (const FleetMember& member : found) {
            large += member.cpuMillicores == 500;
            small += member.cpuMillicores != 500;
            ++all;
        }
        endpointsWithoutSmallOwner += small == 0;
    }
    BOOST_TEST(largeCandidates > allCandidates / 5);
    BOOST_TEST(largeCandidates < allCandidates / 2);
    BOOST_TEST(large > all / 2);
    BOOST_TEST(endpointsWithoutSmallOwner == 0); // there are only two large VMs
}

// VMs may learn the members in different order and must select the same candidates.
BOOST_AUTO_TEST_CASE(Candidates_OtherOrderOfMembers_AreTheSame)
{
    const auto before = this->candidates("a", "o");
    std::reverse(this->members.begin(), this->members.end());
    this->placement.setMembers(this->members);
    BOOST_TEST((this->candidates("a", "o") == before));
}

// If a VM that owns none of the endpoint's connections leaves, the owners must stay the same; otherwise all VMs would
// have to open new connections.
BOOST_AUTO_TEST_CASE(Candidates_OtherVmLeaves_OwnersStay)
{
    const auto before = this->candidates("a", "o");
    std::set<VmId> chosen;
    for (const FleetMember& member : before)
        chosen.insert(member.vm);
    std::erase_if(this->members, [&chosen](const FleetMember& member) {
        return member.dataCentre == DataCentre("dc-1") && !chosen.count(member.vm);
    });
    this->placement.setMembers(this->members);
    BOOST_TEST((this->candidates("a", "o") == before));
}

BOOST_AUTO_TEST_SUITE_END()
