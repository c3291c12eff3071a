#include "Control/RendezvousPool.h"

#include "Core/RandomGenerator.h"
#include "Core/Rendezvous.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace Lavendervane;

BOOST_AUTO_TEST_SUITE(RendezvousPoolTest)

static std::vector<VmId> vmIdsOf(const std::vector<RankedVm>& ranking)
{
    std::vector<VmId> result;
    result.reserve(ranking.size());
    for (const RankedVm& ranked : ranking)
        result.push_back(ranked.vm);
    return result;
}

// Guards against incremental updates that differ from a full computation. VMs would then disagree permanently on the
// owners of an endpoint.
BOOST_AUTO_TEST_CASE(Ranking_ManyJoinsAndLeaves_EqualsComputedRanking)
{
    RandomGenerator random(7);
    RendezvousPool pool;
    std::set<VmId> members;
    for (int step = 0; step < 3000; ++step) {
        const VmId vm("vm-" + std::to_string(random.below(12)));
        if (random.below(2)) {
            pool.add(vm);
            members.insert(vm);
        } else {
            pool.remove(vm);
            members.erase(vm);
        }
        const std::vector<VmId> list(members.begin(), members.end());
        for (const std::string key : { "endpoint-1", "endpoint-2", "group-1" }) {
            BOOST_REQUIRE((vmIdsOf(pool.ranking(key)) == rankByRendezvous(list, key, RendezvousPool::rankedVmsPerKey)));
        }
    }
}

BOOST_AUTO_TEST_CASE(Ranking_NoVms_IsEmpty)
{
    const RendezvousPool pool;
    BOOST_TEST(pool.ranking("endpoint-1").empty());
}

BOOST_AUTO_TEST_SUITE_END()
