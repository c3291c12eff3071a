#include "Relay/ConnectionPreopening.h"
#include "RelayFleet.h"

#include <boost/test/unit_test.hpp>

using namespace Lavendervane;
using namespace std::chrono_literals;

namespace {

struct PreopeningFixture {
    PreopeningFixture() { this->pool.limit = 8; }

    /// Returns the organisation to open a connection for now, or an empty text.
    std::string next(bool acceptsWork = true)
    {
        const auto found = this->preopening.next(
            this->pool, acceptsWork,
            [this](const OrganisationId& organisation) {
                ++this->lookups;
                return organisation != OrganisationId("other");
            },
            this->now);
        return found ? found->str() : "";
    }

    /// Applies the success of an opening.
    void open(const std::string& organisation)
    {
        this->pool.organisations.insert(OrganisationId(organisation));
        ++this->pool.connections;
        this->preopening.recordOpened(this->now);
        this->now += 50ms;
    }

    Instant now { 1000s };
    PoolOccupancy pool;
    size_t lookups = 0;
    ConnectionPreopening preopening { { OrganisationId("large"), OrganisationId("other"), OrganisationId("small") },
        now };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ConnectionPreopeningTest, PreopeningFixture)

// Guards against an owner that opens connections for small organisations first, or for those of other owners.
BOOST_AUTO_TEST_CASE(Next_PoolIdle_FollowsOrderAndSkipsOtherOwners)
{
    BOOST_TEST(this->next() == "large");
    this->open("large");
    BOOST_TEST(this->next() == "small");
    this->open("small");
    BOOST_TEST(this->next().empty());
    BOOST_TEST(this->preopening.isComplete());
}

// Guards against connections that are opened ahead at the cost of statements.
BOOST_AUTO_TEST_CASE(Next_PoolBusyOrEndpointLeaving_OpensNothing)
{
    for (size_t PoolOccupancy::*use : { &PoolOccupancy::waiting, &PoolOccupancy::pending, &PoolOccupancy::opening }) {
        this->pool.*use = 1;
        BOOST_TEST(this->next().empty());
        BOOST_TEST(!this->preopening.isComplete());
        this->pool.*use = 0;
    }
    BOOST_TEST(this->next(false).empty());
    BOOST_TEST(this->next() == "large");
}

// Guards against an owner that leaves no connection for statements: a quarter of eight are kept free.
BOOST_AUTO_TEST_CASE(Next_ReserveReached_OpensNothing)
{
    this->pool.connections = 6;
    BOOST_TEST(this->next().empty());
    this->pool.connections = 5;
    BOOST_TEST(this->next() == "large");
}

// Guards against attempts without end while an endpoint opens no connection, and against a long delay once it does.
BOOST_AUTO_TEST_CASE(Next_AfterFailure_WaitsForDelayOrContact)
{
    BOOST_TEST(this->next() == "large");
    this->preopening.recordFailed(this->now);
    this->now += 4900ms;
    BOOST_TEST(this->next().empty());
    this->now += 200ms;
    BOOST_TEST(this->next() == "large");
    this->preopening.recordFailed(this->now);
    this->now += 100ms;
    this->pool.lastContact = this->now;
    BOOST_TEST(this->next() == "large");
}

// Guards against a connection that is opened again and again because statements of others take its place.
BOOST_AUTO_TEST_CASE(Next_ConnectionWasClosedForOthers_WaitsForDelay)
{
    BOOST_TEST(this->next() == "large");
    this->open("large");
    this->pool.organisations.clear();
    BOOST_TEST(this->next() == "small");
    this->open("small");
    BOOST_TEST(this->next().empty());
    this->now += 5s;
    BOOST_TEST(this->next() == "large");
}

// Guards against a slow VM that ranks all VMs for hundreds of organisations at once.
BOOST_AUTO_TEST_CASE(Next_ManyOrganisations_LooksUpFewOwners)
{
    this->preopening = ConnectionPreopening(std::vector<OrganisationId>(100, OrganisationId("other")), this->now);
    this->next();
    BOOST_TEST(this->lookups == 16U);
    BOOST_TEST(!this->preopening.isComplete());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(OwnerPreopeningTest, RelayFleet)

static size_t openedFor(FakeDatabase& database, const std::string& organisation)
{
    return static_cast<size_t>(std::count(
        database.openedOrganisations.begin(), database.openedOrganisations.end(), OrganisationId(organisation)));
}

// Guards against first statements that wait for a connection: the first owner of an organisation has one open, in a
// fleet whose owners may have two each, of which one is reserved.
BOOST_AUTO_TEST_CASE(Start_FirstOwners_OpenConnectionsWithinReserve)
{
    this->declareOrganisations({ "small", "middle", "desk", "large" });
    this->timers.advance(3s);
    FakeDatabase& database = this->connector.database("a");
    BOOST_TEST(openedFor(database, "large") == 1U);
    BOOST_TEST(database.connections >= 1U);
    BOOST_TEST(database.connections <= 3U);
    for (const std::string organisation : { "small", "middle", "desk" })
        BOOST_TEST(openedFor(database, organisation) <= 1U);
    const size_t opened = database.openedOrganisations.size();
    this->timers.advance(30s);
    BOOST_TEST(database.openedOrganisations.size() == opened);
}

// Guards against connections to an endpoint that leaves, and against a failure that repeats without a pause or makes an
// endpoint count as unreachable that no statement has asked for.
BOOST_AUTO_TEST_CASE(Start_EndpointLeavesOrRefuses_OpensNothing)
{
    this->connector.database("b").refuseConnections = true;
    this->declareOrganisations({ "desk" });
    this->drain("a", this->timers.now(), this->nonOwner("a"));
    this->timers.advance(22s);
    BOOST_TEST(this->connector.database("a").openedOrganisations.empty());
    BOOST_TEST(this->connector.database("b").connections == 0U);
    BOOST_TEST(this->log.aheadFailures >= 2U);
    BOOST_TEST(this->log.aheadFailures <= 5U);
    BOOST_TEST(this->observer.changes == 0U);
    this->connector.database("b").refuseConnections = false;
    this->timers.advance(6s);
    BOOST_TEST(this->connector.database("b").connections == 1U);
}

// Guards against a statement whose connection fails without consequences because it was being opened ahead.
BOOST_AUTO_TEST_CASE(OpenAhead_StatementComesToWait_FailureCounts)
{
    const auto pool = std::make_shared<EndpointPool>(
        this->directory->endpoints().front(), this->timers, this->connector, this->observer);
    this->connector.database("a").refuseConnections = true;
    std::string ahead;
    std::optional<AcquireResult> result;
    pool->openAhead(OrganisationId("desk"), [&ahead](const std::string& failure) { ahead = failure; });
    pool->acquire(OrganisationId("desk"), 0, this->timers.now() + 100ms,
        [&result](AcquireResult acquired) { result = std::move(acquired); });
    BOOST_TEST(pool->occupancy().opening == 1U);
    this->timers.advance(50ms);
    BOOST_TEST(!ahead.empty());
    BOOST_TEST(!pool->isReachable());
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST(!result->connection);
}

BOOST_AUTO_TEST_SUITE_END()
