#include "Routing/Router.h"

#include "Routing/RoutingFixture.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace Lavendervane;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(RouterTest)

struct ThreeEndpoints {
    ThreeEndpoints() { router.setSnapshot(snapshot); }

    std::string read(const ReadRequirements& requirements = {}, const std::vector<EndpointId>& excluded = {})
    {
        const auto choice = router.chooseRead(lanes, requirements, excluded, now);
        return choice ? choice->endpoint.str() : "";
    }

    Instant now { 100s };
    std::shared_ptr<TrafficSnapshot> snapshot = makeSnapshot(3, 0);
    Router router { 1 };
};

static AppliedPosition at(uint64_t position) { return { makeTerm(3), position, 1 }; }
static ReadRequirements covering(uint64_t position)
{
    return { LogPosition { makeTerm(3), position }, std::nullopt, false };
}

BOOST_FIXTURE_TEST_CASE(Read_WithoutNeeds_PrefersTheLocalReplica, ThreeEndpoints) { BOOST_TEST(read() == "db-1"); }

// Guards against queueing at the local replica while the remote one is idle.
BOOST_FIXTURE_TEST_CASE(Read_LocalReplicaBusy_GoesToTheOther, ThreeEndpoints)
{
    for (int count = 0; count < 4; ++count)
        router.recordAttemptStart(endpointName(1));
    BOOST_TEST(read() == "db-2");
    for (int count = 0; count < 4; ++count)
        router.recordAttemptEnd(endpointName(1));
    BOOST_TEST(read() == "db-1");
}

BOOST_FIXTURE_TEST_CASE(Read_EqualReplicas_AreUsedAlike, ThreeEndpoints)
{
    snapshot->dataCentre = DataCentre("dc-0");
    std::map<std::string, int> counts;
    for (int count = 0; count < 1000; ++count)
        ++counts[read()];
    BOOST_TEST(counts["db-1"] > 400);
    BOOST_TEST(counts["db-2"] > 400);
}

BOOST_FIXTURE_TEST_CASE(Read_OnlyTheRemoteReplicaCovers_GoesThere, ThreeEndpoints)
{
    router.learnPosition(endpointName(1), at(5), 0ms, now);
    router.learnPosition(endpointName(2), at(9), 0ms, now);
    BOOST_TEST(read(covering(7)) == "db-2");
    BOOST_TEST(read(covering(5)) == "db-1");
}

// Guards against waiting 50 ms at a replica that is seconds behind, which only delays the read.
BOOST_FIXTURE_TEST_CASE(Read_ReplicasFarBehind_GoesToThePrimary, ThreeEndpoints)
{
    router.learnPosition(endpointName(1), at(5), 2s, now);
    router.learnPosition(endpointName(2), at(5), 2s, now);
    BOOST_TEST(read(covering(7)) == "db-0");
    now += 5s;
    BOOST_TEST(read(covering(7)) == "db-1");
}

BOOST_FIXTURE_TEST_CASE(Read_Table_SkipsEndpointsThatMustNotAnswer, ThreeEndpoints)
{
    BOOST_TEST(read({ std::nullopt, std::nullopt, true }) == "db-0");
    BOOST_TEST(read({}, { endpointName(1) }) == "db-2");
    BOOST_TEST(read({}, { endpointName(1), endpointName(2) }) == "db-0");
    BOOST_TEST(read({}, { endpointName(0), endpointName(1), endpointName(2) }).empty());
    router.learnPosition(endpointName(1), at(5), 80ms, now);
    BOOST_TEST(read({ std::nullopt, 50ms, false }) == "db-2");
    BOOST_TEST(read({ std::nullopt, 100ms, false }) == "db-1");
    router.avoidEndpoint(endpointName(1), now);
    BOOST_TEST(read() == "db-2");
    snapshot->endpoints[endpointName(2)].endpoint.labels["leaving"] = "true";
    BOOST_TEST(read() == "db-0");
    now += 1s;
    BOOST_TEST(read() == "db-1");
    snapshot->endpoints[endpointName(1)].reachable = false;
    BOOST_TEST(read() == "db-0");
}

// A leaving primary gets no new work, so writes wait until another endpoint is promoted.
BOOST_FIXTURE_TEST_CASE(Write_PrimaryLeaving_HasNoChoice, ThreeEndpoints)
{
    BOOST_TEST(router.choosePrimary(lanes, now)->endpoint == endpointName(0));
    snapshot->endpoints[endpointName(0)].endpoint.labels["leaving"] = "true";
    BOOST_TEST(!router.choosePrimary(lanes, now).has_value());
}

BOOST_FIXTURE_TEST_CASE(Term_LearntFromResponse_WinsUntilTheSnapshotFollows, ThreeEndpoints)
{
    BOOST_TEST(!router.learnTerm(lanes, makeTerm(3), endpointName(1)));
    BOOST_TEST(router.learnTerm(lanes, makeTerm(4), std::nullopt));
    BOOST_TEST(!router.choosePrimary(lanes, now).has_value());
    BOOST_TEST(!router.learnTerm(lanes, makeTerm(4), endpointName(2)));
    BOOST_TEST(router.choosePrimary(lanes, now)->endpoint == endpointName(2));
    router.setSnapshot(makeSnapshot(5, 1));
    BOOST_TEST(router.choosePrimary(lanes, now)->endpoint == endpointName(1));
    BOOST_TEST((router.choosePrimary(lanes, now)->term == makeTerm(5)));
}

BOOST_FIXTURE_TEST_CASE(Owner_FirstDidNotAnswer_SecondIsUsedForAWhile, ThreeEndpoints)
{
    BOOST_TEST(router.choosePrimary(lanes, now)->vm == otherVm);
    router.avoidVm(otherVm, now);
    BOOST_TEST(router.choosePrimary(lanes, now)->vm == self);
    now += 1s;
    BOOST_TEST(router.choosePrimary(lanes, now)->vm == otherVm);
    snapshot->peers.clear();
    BOOST_TEST(router.choosePrimary(lanes, now)->vm == self);
}

BOOST_AUTO_TEST_SUITE_END()
