#include "RelayFleet.h"

#include "Statements/EndpointPool.h"

#include <boost/test/unit_test.hpp>

using namespace Lavendervane;
using namespace std::chrono_literals;

namespace {

struct EarlyLinkFixture : RelayFleet {
    EarlyLinkFixture()
    {
        this->timers.advance(3s); // channels are connected
        this->write.text = "WRITE x 1";
        this->write.id = "5c0e7a21d94b36f8";
    }

    /// Lets the first owner run a read, so that its answer is recent and it has a connection for the organisation.
    void useFirstOwner()
    {
        Listener listener;
        const auto link = this->open(this->vm, "a", listener);
        this->settle();
        this->send(*link, { makeProxyStatement(StatementKind::Read) });
        this->settle();
        link->close();
        this->settle();
    }

    size_t writesRun()
    {
        const auto& received = this->connector.database("a").receivedStatements;
        return static_cast<size_t>(std::count(received.begin(), received.end(), "WRITE x 1"));
    }

    Vm& vm = this->nonOwner("a");
    std::vector<std::string> owners = this->ownersOf("a");
    Listener listener;
    Statement write = makeProxyStatement(StatementKind::Write);
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EarlyLinkTest, EarlyLinkFixture)

// Guards against a first batch that waits for a round trip to the owner. The way to the owner, the endpoint and the way
// back take 1 ms each.
BOOST_AUTO_TEST_CASE(Open_OwnerAnsweredRecently_SendsFirstBatchAtOnce)
{
    this->useFirstOwner();
    const auto link = this->open(this->vm, "a", this->listener, true);
    this->timers.advance(0ms);
    BOOST_REQUIRE(this->listener.opened);
    BOOST_TEST(!link->isConfirmed());
    this->send(*link, { this->write });
    this->timers.advance(3ms);
    BOOST_TEST(this->listener.confirmed);
    BOOST_REQUIRE(this->listener.answers.size() == 1U);
    BOOST_TEST((this->listener.answers.front().front().code == AnswerCode::Done));
    this->send(*link, { this->write });
    this->settle();
    BOOST_TEST(this->listener.answers.size() == 2U);
}

// Guards against batches that are sent to an owner that may have been dead for a while.
BOOST_AUTO_TEST_CASE(Open_OwnerAnsweredLongAgo_WaitsForConfirmation)
{
    this->useFirstOwner();
    this->timers.advance(3s);
    const auto link = this->open(this->vm, "a", this->listener, true);
    this->timers.advance(1ms);
    BOOST_TEST(!this->listener.opened);
    this->settle();
    BOOST_TEST(this->listener.opened);
    BOOST_TEST(link->isConfirmed());
}

// Guards against a batch that fails, or runs twice, because its owner is stopping.
BOOST_AUTO_TEST_CASE(Batch_OwnerRejectsLink_RunsOnceAtNextOwner)
{
    this->useFirstOwner();
    this->vms.at(this->owners.front())->relay.beginStop();
    const auto link = this->open(this->vm, "a", this->listener, true);
    this->timers.advance(0ms);
    BOOST_REQUIRE(this->listener.opened);
    this->send(*link, { this->write });
    this->settle();
    BOOST_REQUIRE(this->listener.answers.size() == 1U);
    BOOST_TEST((this->listener.answers.front().front().code == AnswerCode::Done));
    BOOST_TEST(!this->listener.failure);
    BOOST_TEST(this->writesRun() == 1U);
    BOOST_REQUIRE(this->log.repeated.size() == 1U);
    BOOST_TEST(this->log.repeated.front().id == this->write.id);
    BOOST_TEST(this->log.repeated.front().from == this->owners.front());
    BOOST_TEST(this->log.repeated.front().reason == "the owner VM is stopping");
}

// Guards against a batch that fails because its owner cannot reach the endpoint.
BOOST_AUTO_TEST_CASE(Batch_OwnerCannotReachEndpoint_RunsOnceAtNextOwner)
{
    this->cutOffEndpoints(this->owners.front());
    this->timers.advance(5s);
    for (int attempt = 0; attempt < 2; ++attempt) // the owner's first attempt to connect fails
        this->useFirstOwner();
    const auto link = this->open(this->vm, "a", this->listener, true);
    this->timers.advance(0ms);
    BOOST_REQUIRE(this->listener.opened);
    this->send(*link, { this->write });
    this->settle();
    BOOST_REQUIRE(this->listener.answers.size() == 1U);
    BOOST_TEST((this->listener.answers.front().front().code == AnswerCode::Done));
    BOOST_TEST(this->writesRun() == 1U);
    BOOST_TEST(this->log.repeated.size() == 1U);
}

// Guards against a batch that runs twice: the owner may have run it before the channel broke.
BOOST_AUTO_TEST_CASE(Batch_ChannelBreaksAfterSend_IsNotRepeated)
{
    this->useFirstOwner();
    const auto link = this->open(this->vm, "a", this->listener, true);
    this->timers.advance(0ms);
    this->send(*link, { this->write });
    this->timers.advance(1ms);
    this->stop(this->owners.front());
    this->settle();
    BOOST_TEST((this->listener.failure == LinkFailure::Broken));
    BOOST_TEST(!this->listener.notOpened);
    BOOST_TEST(this->writesRun() == 1U);
}

// Guards against a session that notices a channel that broke before a batch was sent.
BOOST_AUTO_TEST_CASE(Open_ChannelBreaksBeforeBatch_UsesNextOwner)
{
    this->useFirstOwner();
    const auto link = this->open(this->vm, "a", this->listener, true);
    this->timers.advance(0ms);
    BOOST_REQUIRE(this->listener.opened);
    this->stop(this->owners.front());
    this->timers.advance(1ms);
    this->send(*link, { this->write });
    this->settle();
    BOOST_TEST(!this->listener.failure);
    BOOST_REQUIRE(this->listener.answers.size() == 1U);
    BOOST_TEST(this->writesRun() == 1U);
}

// Guards against a write that is reported as in doubt although no owner has run it, and against an endpoint that counts
// as reachable because links to it were opened early.
BOOST_AUTO_TEST_CASE(Batch_NoOwnerOpensLink_IsAnsweredNotRunAndEndpointIsUnreachable)
{
    this->useFirstOwner();
    RegisteredEndpoint endpoint = this->directory->endpoints().front();
    const auto pool = std::make_shared<EndpointPool>(endpoint, this->timers, this->vm.relay, this->observer);
    for (const std::string& owner : this->owners)
        this->vms.at(owner)->relay.beginStop();
    this->vm.relay.shutDown(); // it does not reach the endpoint by itself either
    std::optional<ExchangeResult> result;
    pool->acquire(
        OrganisationId("desk"), 0, this->timers.now() + 800ms, [this, &result](const AcquireResult& acquired) {
            BOOST_REQUIRE(acquired.connection);
            acquired.connection->exchange({ makeProxyStatement(StatementKind::Reset), this->write },
                { this->timers.now() + 800ms }, [&result](ExchangeResult received) { result = std::move(received); });
        });
    this->timers.advance(0ms);
    BOOST_TEST((pool->lastContact() == Instant {}));
    this->settle();
    BOOST_REQUIRE(result.has_value());
    BOOST_REQUIRE(result->answers.size() == 2U);
    BOOST_TEST((result->answers.front().code == AnswerCode::Done));
    BOOST_TEST((result->answers.back().code == AnswerCode::Busy));
    BOOST_TEST((pool->lastContact() == Instant {}));
    BOOST_TEST(!pool->isReachable());
    BOOST_TEST(this->writesRun() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
