#include "RelayFleet.h"

#include "Statements/EndpointPool.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace Lavendervane;
using namespace std::chrono_literals;

using Seen = std::vector<std::string>;

namespace {

/// Sends begin, write and rollback as a guarded batch to the primary "a", on a connection of this VM or through an
/// owner.
struct GuardedFixture : RelayFleet {
    struct Sender : GuardedBatchSender {
        std::string reasonToWithhold() const override { return this->reason; }

        std::string reason;
    };

    void connect(bool isRelayed)
    {
        this->isRelayed = isRelayed;
        this->serving = &this->nonOwner("a");
        EndpointConnector& connections
            = isRelayed ? static_cast<EndpointConnector&>(this->serving->relay) : this->connector;
        this->pool = std::make_shared<EndpointPool>(
            this->directory->endpoints().front(), this->timers, connections, this->observer);
        this->pool->acquire(OrganisationId("desk"), 0, this->timers.now() + 100ms,
            [this](const AcquireResult& acquired) { this->connection = acquired.connection; });
        this->settle();
        BOOST_REQUIRE(this->connection);
        this->database.receivedStatements.clear();
        this->network.messageCount = 0;
        this->result.reset();
    }

    void send(Duration timeout = 800ms)
    {
        Statement write = makeProxyStatement(StatementKind::Write);
        write.text = "WRITE x 1";
        this->connection->exchange(
            { makeProxyStatement(StatementKind::Begin), write, makeProxyStatement(StatementKind::Rollback) },
            { this->timers.now() + timeout, 1 }, [this](ExchangeResult ended) { this->result = std::move(ended); },
            this->sender);
    }

    /// Advances the clock until the endpoint has received the begin, whose answer is then still under way.
    void awaitBegin()
    {
        while (this->database.receivedStatements.empty())
            this->timers.advance(1ms);
    }

    void endWork()
    {
        if (this->isRelayed) {
            this->drain("a", this->timers.now(), *this->serving);
            return;
        }
        RegisteredEndpoint leaving = this->pool->endpoint();
        leaving.draining = true;
        leaving.workEnd = this->timers.now();
        this->pool->update(leaving);
    }

    bool isWriteReceived() const
    {
        const Seen& seen = this->database.receivedStatements;
        return std::find(seen.begin(), seen.end(), "WRITE x 1") != seen.end();
    }

    /// Checks that the write was neither sent nor may have run.
    void requireWithheld()
    {
        BOOST_REQUIRE(this->result);
        BOOST_TEST(this->result->isRestWithheld);
        BOOST_TEST(!this->isWriteReceived());
        if (this->result->hasAnswers())
            BOOST_TEST((this->result->answers.size() == 1U && this->result->answers.back().code != AnswerCode::Done));
    }

    bool isRelayed = false;
    FakeDatabase& database = this->connector.database("a");
    Vm* serving = nullptr;
    std::shared_ptr<EndpointPool> pool;
    std::shared_ptr<PooledConnection> connection;
    std::shared_ptr<Sender> sender = std::make_shared<Sender>();
    std::optional<ExchangeResult> result;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(GuardedBatchTest, GuardedFixture)

// Guards against a round trip between VMs for the begin alone, and against an owner of an older version that gets the
// statements after the begin before it has succeeded.
BOOST_AUTO_TEST_CASE(Send_BeginSucceeds_TakesOneRoundTripUnlessOwnerIsOlder)
{
    for (const bool isOlder : { false, true }) {
        this->network.isOlderVersion = isOlder;
        this->connect(true);
        this->send();
        this->settle();
        BOOST_REQUIRE(this->result);
        BOOST_TEST(this->result->guardAnswers.size() == 1U);
        BOOST_TEST(this->result->answers.size() == 2U);
        BOOST_TEST(!this->result->isRestWithheld);
        BOOST_TEST((this->database.receivedStatements == Seen { "begin", "WRITE x 1", "rollback" }));
        BOOST_TEST(this->network.messageCount == (isOlder ? 4U : 2U));
        BOOST_TEST((this->connection->guardPath() == (isOlder ? GuardPath::Stepwise : GuardPath::Owner)));
        this->serving->relay.shutDown();
        this->connection->close();
        this->settle();
    }
}

// Guards against statements outside a transaction after a begin that was refused, and against a refusal that the
// serving VM does not get to see, so that it would not look for another primary.
BOOST_AUTO_TEST_CASE(Send_BeginRefused_RestIsWithheldAndRefusalReported)
{
    for (const bool relayed : { false, true }) {
        this->connect(relayed);
        for (const AnswerCode code : { AnswerCode::ReadOnly, AnswerCode::Lagging, AnswerCode::Busy,
                 AnswerCode::UnknownPrepared, AnswerCode::Failed }) {
            this->database.refuseNext[StatementKind::Begin] = code;
            this->send();
            this->settle();
            this->requireWithheld();
            BOOST_REQUIRE(this->result->hasAnswers());
            BOOST_TEST((this->result->answers.back().code == code));
            BOOST_TEST(this->connection->isAlive());
        }
    }
}

// Guards against a statement that is treated as one that may have run, although it was not sent.
BOOST_AUTO_TEST_CASE(Send_ConnectionBreaksAtBegin_RestIsWithheld)
{
    for (const bool relayed : { false, true }) {
        this->connect(relayed);
        this->database.breakAt = StatementKind::Begin;
        this->send();
        this->settle();
        this->requireWithheld();
    }
}

// Guards against a statement that is reported as not run, although it was sent.
BOOST_AUTO_TEST_CASE(Send_ConnectionBreaksAfterRestWasSent_MayHaveRun)
{
    for (const bool relayed : { false, true }) {
        this->connect(relayed);
        this->database.breakAt = StatementKind::Write;
        this->send();
        this->settle();
        BOOST_REQUIRE(this->result);
        BOOST_TEST(!this->result->hasAnswers());
        BOOST_TEST(!this->result->isRestWithheld);
    }
}

// The owner must report a begin that is not answered while the serving VM still waits. Later, the serving VM would have
// to assume that the statement was sent.
BOOST_AUTO_TEST_CASE(Send_BeginIsNotAnswered_RestIsWithheldByDeadline)
{
    for (const bool relayed : { false, true }) {
        this->connect(relayed);
        this->database.silent = true;
        for (const Duration timeout : { 100ms, 800ms }) {
            this->result.reset();
            if (!this->connection->isAlive())
                this->connect(relayed);
            this->send(timeout);
            this->timers.advance(timeout);
            this->requireWithheld();
        }
        this->database.silent = false;
        this->settle();
    }
}

BOOST_AUTO_TEST_CASE(Send_RestIsNotAnswered_MayHaveRun)
{
    for (const bool relayed : { false, true }) {
        this->connect(relayed);
        this->send();
        this->awaitBegin();
        this->database.silent = true;
        this->timers.advance(800ms);
        BOOST_REQUIRE(this->result);
        BOOST_TEST(this->isWriteReceived());
        BOOST_TEST(!this->result->hasAnswers());
        BOOST_TEST(!this->result->isRestWithheld);
        this->database.silent = false;
        this->settle();
    }
}

// Guards against new work for an endpoint that began to leave while it was slow to begin the transaction.
BOOST_AUTO_TEST_CASE(Send_EndpointLeavesAfterBegin_RestIsWithheld)
{
    for (const bool relayed : { false, true }) {
        this->connect(relayed);
        this->send();
        this->awaitBegin();
        this->endWork();
        this->settle();
        this->requireWithheld();
    }
}

// Guards against a statement of a caller that is gone, or of a batch that the sender has given up.
BOOST_AUTO_TEST_CASE(Send_SenderGivesUpAfterBegin_RestIsNotSent)
{
    this->connect(false);
    this->send();
    this->awaitBegin();
    this->sender->reason = "the operation has ended";
    this->settle();
    this->requireWithheld();
    this->connect(true);
    this->connector.delay = 5ms; // the link is closed at the owner before the answer to the begin arrives there
    this->send();
    this->awaitBegin();
    this->connection->close();
    this->settle();
    BOOST_TEST(!this->isWriteReceived());
}

// The serving VM cannot know how far a batch has come when the owner dies.
BOOST_AUTO_TEST_CASE(Send_OwnerDies_MayHaveRun)
{
    this->connect(true);
    this->send();
    this->awaitBegin();
    this->stop(this->connection->relayAddress());
    this->settle();
    BOOST_REQUIRE(this->result);
    BOOST_TEST(!this->result->hasAnswers());
    BOOST_TEST(!this->result->isRestWithheld);
}

// Guards against a statement whose answer cannot be told from a repeated one: the endpoint answers the begin twice, or
// the link may carry no more after the begin.
BOOST_AUTO_TEST_CASE(Send_AnswersMayBeRepetitions_RestIsWithheld)
{
    for (const bool relayed : { false, true }) {
        for (const bool exhausted : { false, true }) {
            this->connect(relayed);
            this->database.exhaustsLinks = exhausted;
            if (!exhausted)
                this->database.answersSent = 2;
            this->send();
            this->settle();
            this->requireWithheld();
            this->database.exhaustsLinks = false;
            this->database.answersSent.reset();
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
