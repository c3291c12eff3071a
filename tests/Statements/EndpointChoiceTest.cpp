#include "Statements/EndpointChoice.h"

#include <boost/test/unit_test.hpp>

using namespace Lavendervane;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(EndpointChoiceTest)

static const Instant now { 100s };
static const LogPosition required { { 1, {} }, 10 };

static ReadCandidate candidate(const std::string& id, Duration expected)
{
    ReadCandidate made;
    made.id = EndpointId(id);
    made.expectedTime = expected;
    return made;
}

static std::optional<EndpointId> choose(
    const std::vector<ReadCandidate>& candidates, const std::vector<EndpointId>& tried = {})
{
    return chooseForRead(candidates, required, tried, 15ms, now);
}

BOOST_AUTO_TEST_CASE(Choose_SeveralReplicas_TakesTheFastest)
{
    BOOST_TEST((choose({ candidate("a", 5ms), candidate("b", 3ms), candidate("c", 9ms) }) == EndpointId("b")));
}

// Only the primary can run writes, so reads use replicas until those are much slower.
BOOST_AUTO_TEST_CASE(Choose_PrimaryAndReplica_TakesReplicaUntilMuchSlower)
{
    ReadCandidate primary = candidate("a", 5ms);
    primary.primary = true;
    BOOST_TEST((choose({ primary, candidate("b", 15ms) }) == EndpointId("b")));
    BOOST_TEST((choose({ primary, candidate("b", 30ms) }) == EndpointId("a")));
}

// Trying a replica that has recently lagged would only cost a round trip, unless it is known to have caught up.
BOOST_AUTO_TEST_CASE(Choose_ReplicaWasLagging_IsAvoidedUntilItHoldsThePosition)
{
    ReadCandidate lagging = candidate("a", 2ms);
    lagging.laggingUntil = now + 100ms;
    BOOST_TEST((choose({ lagging, candidate("b", 20ms) }) == EndpointId("b")));
    lagging.position = required;
    BOOST_TEST((choose({ lagging, candidate("b", 20ms) }) == EndpointId("a")));
}

// A draining endpoint gets new work only if no other endpoint is left; an unreachable endpoint never does.
BOOST_AUTO_TEST_CASE(Choose_DrainingOrUnreachable_IsTheLastResort)
{
    ReadCandidate drainingEndpoint = candidate("a", 2ms);
    drainingEndpoint.draining = true;
    ReadCandidate unreachable = candidate("b", 1ms);
    unreachable.reachable = false;
    BOOST_TEST((choose({ drainingEndpoint, unreachable, candidate("c", 500ms) }) == EndpointId("c")));
    BOOST_TEST((choose({ drainingEndpoint, unreachable }) == EndpointId("a")));
    BOOST_TEST(!choose({ unreachable }));
}

BOOST_AUTO_TEST_CASE(Choose_AllTried_ReturnsNothing)
{
    BOOST_TEST(!choose({ candidate("a", 2ms) }, { EndpointId("a") }));
}

BOOST_AUTO_TEST_SUITE_END()
