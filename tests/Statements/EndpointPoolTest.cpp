#include "FakeDatabases.h"
#include "ManualTimers.h"

#include "Statements/EndpointPool.h"

#include <boost/test/unit_test.hpp>

using namespace Lavendervane;
using namespace std::chrono_literals;

namespace {

class Observer : public EndpointObserver {
public:
    void endpointReachabilityChanged(const EndpointId&, bool reachable) override { this->changes.push_back(reachable); }
    void connectionBroke(const BrokenConnection& connection) override { this->broken.push_back(connection); }
    void repeatedAnswerIgnored(const EndpointId& endpoint) override { this->repeating.push_back(endpoint); }
    void queueReported(const QueueReport& report) override { this->reports.push_back(report); }
    void queueRefusalChanged(const QueueRefusalChange& change) override { this->refusals.push_back(change); }

    std::vector<bool> changes;
    std::vector<BrokenConnection> broken;
    std::vector<EndpointId> repeating;
    std::vector<QueueReport> reports;
    std::vector<QueueRefusalChange> refusals;
};

struct PoolFixture {
    PoolFixture()
    {
        RegisteredEndpoint endpoint;
        endpoint.id = EndpointId("a");
        endpoint.group = GroupId("stock");
        endpoint.slots = 2;
        this->pool = std::make_shared<EndpointPool>(endpoint, this->timers, this->connector, this->observer);
        this->pool->setConnectionLimit(2);
    }

    /// Starts to acquire a connection. Returns the index of the result in `results`, which is empty until the wait
    /// ends.
    size_t acquire(const std::string& organisation, Duration wait = 100ms, const RequestRank& rank = {})
    {
        const size_t index = this->results.size();
        this->results.emplace_back();
        this->pool->acquire(OrganisationId(organisation), 0, { this->timers.now() + wait, rank },
            [this, index](AcquireResult result) { this->results[index] = std::move(result); });
        return index;
    }

    /// Opens `count` connections and returns them to the pool.
    void openIdle(size_t count)
    {
        this->pool->setConnectionLimit(static_cast<uint32_t>(count));
        RegisteredEndpoint endpoint = this->pool->endpoint();
        endpoint.slots = static_cast<uint32_t>(count);
        this->pool->update(endpoint);
        for (size_t opened = 0; opened < count; ++opened)
            this->acquire("desk");
        this->timers.advance(50ms);
        for (const auto& result : std::exchange(this->results, {}))
            this->pool->release(result->connection);
        endpoint.slots = 2;
        this->pool->update(endpoint);
    }

    bool isServed(size_t index) const { return this->results[index] && this->results[index]->connection; }

    ManualTimers timers;
    FakeConnector connector { timers };
    Observer observer;
    std::shared_ptr<EndpointPool> pool;
    std::vector<std::optional<AcquireResult>> results;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EndpointPoolTest, PoolFixture)

// The endpoint's connections are divided among VMs. If one VM exceeded its part, others would get none.
BOOST_AUTO_TEST_CASE(Acquire_LimitReached_WaitsForRelease)
{
    this->acquire("desk");
    this->acquire("desk");
    const size_t third = this->acquire("desk");
    this->timers.advance(20ms);
    BOOST_TEST(this->connector.database("a").connections == 2U);
    BOOST_TEST(!this->results[third]);
    this->pool->release(this->results[0]->connection);
    BOOST_REQUIRE(this->results[third]);
    BOOST_TEST((this->results[third]->connection == this->results[0]->connection));
}

// Idle connections of one organisation must not prevent others from getting a connection.
BOOST_AUTO_TEST_CASE(Acquire_IdleConnectionsOfAnotherOrganisation_AreReplaced)
{
    this->acquire("desk");
    this->acquire("desk");
    this->timers.advance(20ms);
    this->pool->release(this->results[0]->connection);
    this->pool->release(this->results[1]->connection);
    const size_t other = this->acquire("club");
    this->timers.advance(20ms);
    BOOST_REQUIRE(this->results[other]);
    BOOST_TEST(this->results[other]->connection->organisation() == OrganisationId("club"));
    BOOST_TEST(this->connector.database("a").connections == 2U);
}

BOOST_AUTO_TEST_CASE(Acquire_NothingFreeInTime_EndsAtDeadline)
{
    this->acquire("desk");
    this->acquire("desk");
    const size_t third = this->acquire("club", 50ms);
    this->timers.advance(60ms);
    BOOST_REQUIRE(this->results[third]);
    BOOST_TEST(!this->results[third]->connection);
}

// A cancelled wait must not get a connection, because nobody would release it.
BOOST_AUTO_TEST_CASE(Cancel_Waiting_GetsNothing)
{
    this->acquire("desk");
    this->acquire("desk");
    this->timers.advance(20ms);
    bool called = false;
    const uint64_t number = this->pool->acquire(
        OrganisationId("desk"), 0, { this->timers.now() + 1s, {} }, [&called](const AcquireResult&) { called = true; });
    this->pool->cancel(number);
    this->pool->release(this->results[0]->connection);
    this->timers.advance(2s);
    BOOST_TEST(!called);
}

// A connection with an open transaction must not be reused. The next caller's statements would become part of that
// transaction.
BOOST_AUTO_TEST_CASE(Release_TransactionOpen_ClosesConnection)
{
    this->connector.database("a").role = EndpointRole::Primary;
    this->acquire("desk");
    this->timers.advance(20ms);
    const auto connection = this->results[0]->connection;
    connection->exchange(
        { makeProxyStatement(StatementKind::Begin) }, this->timers.now() + 1s, [](const ExchangeResult&) {});
    this->timers.advance(20ms);
    this->pool->release(connection);
    BOOST_TEST(!connection->isAlive());
    BOOST_TEST(this->connector.database("a").connections == 0U);
}

// A late answer must not be taken for the answer to the next statement, so the connection is closed at the deadline.
BOOST_AUTO_TEST_CASE(Exchange_DeadlinePassed_EndsConnection)
{
    this->acquire("desk");
    this->timers.advance(20ms);
    this->connector.database("a").silent = true;
    const auto connection = this->results[0]->connection;
    std::optional<ExchangeResult> result;
    connection->exchange({ makeProxyStatement(StatementKind::Status) }, this->timers.now() + 100ms,
        [&result](ExchangeResult ended) { result = std::move(ended); });
    this->timers.advance(150ms);
    BOOST_REQUIRE(result);
    BOOST_TEST(result->timedOut);
    BOOST_TEST(!connection->isAlive());
}

BOOST_AUTO_TEST_CASE(Open_Refused_MarksUnreachableAndTriesAgain)
{
    this->connector.database("a").refuseConnections = true;
    const size_t index = this->acquire("desk");
    this->timers.advance(10ms);
    BOOST_TEST(!this->results[index]->connection);
    BOOST_TEST(!this->pool->isReachable());
    this->connector.database("a").refuseConnections = false;
    this->timers.advance(300ms);
    BOOST_TEST(this->pool->isReachable());
    BOOST_TEST(this->observer.changes == (std::vector<bool> { false, true }), boost::test_tools::per_element());
}

// An endpoint that rejects a connection because it has too many is still reachable.
BOOST_AUTO_TEST_CASE(Open_TooManyConnections_KeepsReachable)
{
    this->acquire("desk");
    this->timers.advance(10ms);
    this->connector.database("a").tooManyConnections = true;
    const size_t second = this->acquire("desk", 500ms);
    this->timers.advance(10ms);
    BOOST_TEST(this->pool->isReachable());
    BOOST_TEST(!this->results[second]);
    this->connector.database("a").tooManyConnections = false;
    this->timers.advance(50ms);
    BOOST_REQUIRE(this->results[second]);
    BOOST_TEST((this->results[second]->connection != nullptr));
}

// An unanswered statement alone does not make an endpoint unreachable if it still accepts connections.
BOOST_AUTO_TEST_CASE(Exchange_UnansweredButEndpointAlive_KeepsReachable)
{
    this->acquire("desk");
    this->timers.advance(20ms);
    this->connector.database("a").silent = true;
    this->results[0]->connection->exchange(
        { makeProxyStatement(StatementKind::Status) }, this->timers.now() + 2s, [](const ExchangeResult&) {});
    this->timers.advance(1s);
    BOOST_TEST(this->pool->isReachable());
}

BOOST_AUTO_TEST_CASE(Exchange_EndpointUnresponsive_FailsBeforeTheDeadline)
{
    this->acquire("desk");
    this->timers.advance(20ms);
    auto& database = this->connector.database("a");
    database.silent = true;
    database.silentToConnections = true;
    std::optional<ExchangeResult> result;
    this->results[0]->connection->exchange({ makeProxyStatement(StatementKind::Status) }, this->timers.now() + 5s,
        [&result](ExchangeResult ended) { result = std::move(ended); });
    this->timers.advance(1s);
    BOOST_TEST(!this->pool->isReachable());
    BOOST_REQUIRE(result);
    BOOST_TEST(!result->hasAnswers());
}

// An overloaded primary opens sessions slowly. Treating it as unreachable would stop all writes and start a promotion.
BOOST_AUTO_TEST_CASE(Open_HostAcceptsButEndpointIsBusy_KeepsReachable)
{
    this->connector.database("a").silentToOpenings = true;
    this->acquire("desk", 5s);
    this->timers.advance(3s);
    BOOST_TEST(this->pool->isReachable());
    BOOST_TEST(this->observer.changes.empty());
}

// Guards against a connection that is given up without a word of the cause in the log.
BOOST_AUTO_TEST_CASE(Connection_BreaksWithStatementPending_ReasonIsReported)
{
    const size_t first = this->acquire("desk");
    this->timers.advance(20ms);
    const auto connection = this->results[first]->connection;
    BOOST_REQUIRE(connection);
    this->connector.database("a").breakAt = StatementKind::Read;
    std::optional<ExchangeResult> result;
    connection->exchange({ makeProxyStatement(StatementKind::Read) }, this->timers.now() + 100ms,
        [&result](ExchangeResult ended) { result = std::move(ended); });
    this->timers.advance(20ms);
    BOOST_REQUIRE_EQUAL(this->observer.broken.size(), 1U);
    const BrokenConnection& broken = this->observer.broken.front();
    BOOST_TEST((broken == BrokenConnection { EndpointId("a"), OrganisationId("desk"), true, broken.reason }));
    BOOST_TEST(!broken.reason.empty());
    BOOST_REQUIRE(result);
    BOOST_TEST(result->describeFailure() == "the connection broke: " + broken.reason);
}

// Guards against an endpoint that repeats its answers without a word in the log.
BOOST_AUTO_TEST_CASE(Repetition_Ignored_IsReported)
{
    const size_t first = this->acquire("desk");
    this->timers.advance(20ms);
    BOOST_REQUIRE(this->results[first]->connection);
    static_cast<LinkListener&>(*this->results[first]->connection).linkIgnoredRepetition();
    BOOST_TEST((this->observer.repeating == std::vector<EndpointId> { EndpointId("a") }));
    BOOST_TEST(this->results[first]->connection->isAlive());
}

// Guards against a further statement on a connection on which its answer could not be told from an earlier one.
BOOST_AUTO_TEST_CASE(Release_LinkMayNotCarryMore_ConnectionIsClosed)
{
    const size_t first = this->acquire("desk");
    this->timers.advance(20ms);
    const auto connection = this->results[first]->connection;
    BOOST_REQUIRE(connection);
    this->connector.database("a").exhaustsLinks = true;
    this->pool->release(connection);
    BOOST_TEST(!connection->isAlive());
    this->connector.database("a").exhaustsLinks = false;
    const size_t second = this->acquire("desk");
    this->timers.advance(20ms);
    BOOST_REQUIRE(this->results[second]);
    BOOST_TEST((this->results[second]->connection && this->results[second]->connection != connection));
}

// Guards against answers of another VM that do not belong to the statements, and against a process that they end.
BOOST_AUTO_TEST_CASE(Answers_OtherNumberThanStatements_ConnectionBreaks)
{
    for (const size_t count : { 0U, 1U, 3U }) {
        const size_t index = this->acquire("desk");
        this->timers.advance(20ms);
        const auto connection = this->results[index]->connection;
        BOOST_REQUIRE(connection);
        this->connector.database("a").answersSent = count;
        std::optional<ExchangeResult> result;
        connection->exchange({ makeProxyStatement(StatementKind::Read), makeProxyStatement(StatementKind::Rollback) },
            this->timers.now() + 100ms, [&result](ExchangeResult ended) { result = std::move(ended); });
        this->timers.advance(20ms);
        BOOST_REQUIRE(result);
        BOOST_TEST(!result->hasAnswers());
        BOOST_TEST(!connection->isAlive());
        this->connector.database("a").answersSent.reset();
    }
}

// Guards against a connection that two sessions use at once, because it was reported open while in use.
BOOST_AUTO_TEST_CASE(Opened_ReportedAgainWhileInUse_ConnectionBreaks)
{
    const size_t first = this->acquire("desk");
    this->timers.advance(20ms);
    const auto connection = this->results[first]->connection;
    BOOST_REQUIRE(connection);
    static_cast<LinkListener&>(*connection).linkOpened();
    BOOST_TEST(!connection->isAlive());
    const size_t second = this->acquire("desk");
    this->timers.advance(20ms);
    BOOST_REQUIRE(this->results[second]);
    BOOST_TEST((this->results[second]->connection != connection));
}

// Guards against more batches at an endpoint than it has slots, which would wait there in order of arrival, and against
// an urgent request that waits behind others.
BOOST_AUTO_TEST_CASE(Acquire_AllSlotsTaken_WaitsInOrderOfPriority)
{
    this->openIdle(4);
    const size_t first = this->acquire("desk");
    this->acquire("desk");
    const size_t low = this->acquire("desk", 100ms, { 2, 0, {}, false });
    const size_t urgent = this->acquire("desk", 100ms, { 0, 0, {}, false });
    this->timers.advance(5ms);
    BOOST_TEST((!this->results[low] && !this->results[urgent]));
    const size_t control = this->acquire("desk", 100ms, { 0, 0, {}, true });
    BOOST_TEST(this->isServed(control));
    this->pool->release(this->results[control]->connection);
    this->pool->release(this->results[first]->connection);
    BOOST_TEST(this->isServed(urgent));
    BOOST_TEST(!this->results[low]);
}

// Guards against slots that stay unused while the callers of open transactions are idle.
BOOST_AUTO_TEST_CASE(Exchange_EndsInOpenTransaction_SlotIsFree)
{
    this->connector.database("a").role = EndpointRole::Primary;
    this->openIdle(4);
    this->acquire("desk");
    const size_t begun = this->acquire("desk");
    const size_t waiting = this->acquire("desk");
    this->results[begun]->connection->exchange(
        { makeProxyStatement(StatementKind::Begin) }, this->timers.now() + 1s, [](const ExchangeResult&) {});
    BOOST_TEST(!this->results[waiting]);
    this->timers.advance(5ms);
    BOOST_TEST(this->isServed(waiting));
}

// Guards against a request that waits for nothing, and against refusals that no operator can see.
BOOST_AUTO_TEST_CASE(Acquire_CannotBeServedInTime_IsRefusedAtOnceAndReported)
{
    this->openIdle(2);
    this->acquire("desk");
    this->acquire("desk");
    const size_t expiring = this->acquire("desk", 450ms);
    this->timers.advance(400ms);
    const size_t refused = this->acquire("desk", 20ms);
    BOOST_REQUIRE(this->results[refused]);
    BOOST_TEST(!this->results[refused]->connection);
    BOOST_TEST((this->results[refused]->retryAfter >= 50ms));
    BOOST_REQUIRE_EQUAL(this->observer.refusals.size(), 1U);
    BOOST_TEST(this->observer.refusals.front().refuses);
    this->timers.advance(2s);
    BOOST_REQUIRE(this->results[expiring]);
    BOOST_TEST((this->results[expiring]->retryAfter == Duration {}));
    BOOST_REQUIRE_EQUAL(this->observer.refusals.size(), 2U);
    BOOST_TEST(!this->observer.refusals.back().refuses);
    uint64_t refusedCount = 0;
    uint64_t expiredCount = 0;
    for (const QueueReport& report : this->observer.reports) {
        refusedCount += report.refused;
        expiredCount += report.expired;
    }
    BOOST_TEST(refusedCount == 1U);
    BOOST_TEST(expiredCount == 1U);
    BOOST_TEST(this->observer.reports.back().waiting == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
