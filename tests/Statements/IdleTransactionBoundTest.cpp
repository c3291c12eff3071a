#include "FakeDatabases.h"
#include "ManualTimers.h"

#include "Statements/EndpointPool.h"
#include "Statements/IdleTransactionBound.h"

#include <boost/test/unit_test.hpp>

using namespace Lavendervane;
using namespace std::chrono_literals;

namespace {

struct Observer : EndpointObserver {
    void endpointReachabilityChanged(const EndpointId&, bool) override { }
    void connectionBroke(const BrokenConnection&) override { }
    void repeatedAnswerIgnored(const EndpointId&) override { }
    void transactionDelayed(const EndpointId&, const OrganisationId&) override { ++this->delayed; }

    size_t delayed = 0;
};

/// A pool of eight connections to a primary.
struct TransactionFixture {
    TransactionFixture()
    {
        RegisteredEndpoint endpoint;
        endpoint.id = EndpointId("a");
        this->connector.database("a").role = EndpointRole::Primary;
        EndpointPoolSettings settings;
        settings.boundsIdleTransactions = true;
        this->pool = std::make_shared<EndpointPool>(endpoint, this->timers, this->connector, this->observer, settings);
        this->pool->setConnectionLimit(8);
    }

    /// Begins a transaction. Its connection is in `held` once it has begun; its caller is then idle.
    void begin(const std::string& organisation)
    {
        this->pool->acquire(
            OrganisationId(organisation), 0, this->timers.now() + 500ms,
            [this](const AcquireResult& acquired) {
                this->lastReason = acquired.reason;
                if (!acquired.connection)
                    return;
                acquired.connection->exchange({ makeProxyStatement(StatementKind::Begin) },
                    { this->timers.now() + 500ms }, [this, connection = acquired.connection](const ExchangeResult&) {
                        this->held.push_back(connection);
                    });
            },
            true);
        this->timers.advance(10ms);
    }

    void rollback(size_t index)
    {
        const auto connection = this->held[index];
        connection->exchange({ makeProxyStatement(StatementKind::Rollback) }, { this->timers.now() + 500ms },
            [this, connection](const ExchangeResult&) { this->pool->release(connection); });
        this->timers.advance(10ms);
    }

    ManualTimers timers;
    FakeConnector connector { timers };
    Observer observer;
    std::shared_ptr<EndpointPool> pool;
    std::vector<std::shared_ptr<PooledConnection>> held;
    std::string lastReason;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(IdleTransactionBoundTest, TransactionFixture)

// Guards against a bound that is missing, or that also stops organisations that hold little.
BOOST_AUTO_TEST_CASE(MayBegin_HalfIsHeld_OnlyOrganisationsBelowTheirShare)
{
    BOOST_TEST(mayBeginTransaction({ 3, 3, 1 }, 8));
    BOOST_TEST(!mayBeginTransaction({ 4, 4, 1 }, 8));
    BOOST_TEST(!mayBeginTransaction({ 4, 2, 2 }, 8));
    BOOST_TEST(mayBeginTransaction({ 4, 1, 2 }, 8));
    BOOST_TEST(mayBeginTransaction({ 4, 0, 9 }, 8));
    BOOST_TEST(!mayBeginTransaction({ 4, 1, 9 }, 8));
    BOOST_TEST(!mayBeginTransaction({ 2, 2, 1 }, 4));
    BOOST_TEST(mayBeginTransaction({ 2, 2, 1 }, 3)); // too small to be divided
}

// Guards against an organisation that takes all connections with transactions whose callers pause. Without the bound
// all eight transactions begin, and the read and the transaction of the others wait.
BOOST_AUTO_TEST_CASE(Begin_OrganisationHoldsHalf_WaitsWhileOthersAreServed)
{
    for (int caller = 0; caller < 8; ++caller)
        this->begin("club");
    BOOST_TEST(this->held.size() == 4U);
    BOOST_TEST(this->observer.delayed == 4U);
    this->begin("desk");
    BOOST_TEST(this->held.size() == 5U);
    std::optional<AcquireResult> read;
    this->pool->acquire(OrganisationId("club"), 0, { this->timers.now() + 500ms },
        [&read](AcquireResult result) { read = std::move(result); });
    this->timers.advance(10ms);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->connection != nullptr);
}

// Guards against a transaction that waits although the others have ended, or that gets no reason when its time is over.
BOOST_AUTO_TEST_CASE(Begin_Delayed_GoesOnWhenOneEndsOrIsRefused)
{
    for (int caller = 0; caller < 6; ++caller)
        this->begin("club");
    BOOST_TEST(this->held.size() == 4U);
    this->rollback(0);
    BOOST_TEST(this->held.size() == 5U);
    this->timers.advance(600ms);
    BOOST_TEST(this->held.size() == 5U);
    BOOST_TEST(this->lastReason == "the organisation holds too many connections in transactions of idle callers");
}

BOOST_AUTO_TEST_SUITE_END()
