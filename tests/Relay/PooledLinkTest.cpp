#include "Relay/PooledLink.h"

#include "RelayFleet.h"

#include <boost/test/unit_test.hpp>

using namespace Lavendervane;
using namespace std::chrono_literals;

namespace {

/// One pool with at most three connections to the database "a".
struct PooledLinkFixture {
    PooledLinkFixture()
    {
        this->endpoint.id = EndpointId("a");
        this->endpoint.group = GroupId("stock");
        this->endpoint.slots = 2;
        this->connector.database("a").role = EndpointRole::Primary;
        this->pool = std::make_shared<EndpointPool>(this->endpoint, this->timers, this->connector, this->observer);
        this->pool->setConnectionLimit(3);
    }

    std::shared_ptr<PooledLink> open(const std::string& organisation, RelayFleet::Listener& listener)
    {
        return PooledLink::open(this->pool, OrganisationId(organisation), this->numbers, this->timers, listener);
    }

    void send(PooledLink& link, StatementKind kind)
    {
        link.send({ makeProxyStatement(kind) }, { this->timers.now() + 800ms });
    }

    RegisteredEndpoint endpoint; ///< as it was registered first
    ManualTimers timers;
    FakeConnector connector { timers };
    RelayFleet::Observer observer;
    PreparedStatementIds numbers;
    std::shared_ptr<EndpointPool> pool;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PooledLinkTest, PooledLinkFixture)

// Guards against a crash (bus error). A link kept the number of its finished wait for a connection and was closed while
// a statement was in progress. It treated the close as the end of the wait and sent a rollback on the connection that
// was still executing the statement.
BOOST_AUTO_TEST_CASE(Close_StatementUnderWayInTransaction_RollsBackAfterItsAnswer)
{
    RelayFleet::Listener first;
    RelayFleet::Listener second;
    const auto desk = this->open("desk", first);
    const auto club = this->open("club", second);
    this->timers.advance(20ms);
    this->send(*desk, StatementKind::Read);
    this->timers.advance(20ms);
    this->connector.database("a").tooManyConnections = true;
    this->send(*club, StatementKind::Read);
    this->timers.advance(5ms);
    this->send(*desk, StatementKind::Begin);
    this->timers.advance(5ms);
    BOOST_TEST(first.answers.size() == 2U);
    this->send(*desk, StatementKind::Write);
    desk->close();
    this->timers.advance(20ms);
    const auto& seen = this->connector.database("a").receivedStatements;
    BOOST_REQUIRE(seen.size() >= 3U);
    BOOST_TEST(seen.back() == "rollback");
    BOOST_TEST(first.answers.size() == 2U);
}

// Guards against a batch that runs twice: a link that fails as unreachable promises that the batch that came with the
// request to open it has not run.
BOOST_AUTO_TEST_CASE(Open_BatchWasSentAndEndpointBecomesUnreachable_DoesNotFailAsUnreachable)
{
    RelayFleet::Listener first;
    const auto warm = this->open("desk", first);
    this->timers.advance(20ms);
    this->send(*warm, StatementKind::Read);
    this->timers.advance(20ms);
    this->connector.delay = 0ms;
    this->connector.database("a").refuseConnections = true;
    this->pool->probe(); // fails before the link is reported as open
    RelayFleet::Listener second;
    const auto link = this->open("desk", second);
    this->send(*link, StatementKind::Write);
    this->timers.advance(20ms);
    BOOST_TEST(!this->pool->isReachable());
    BOOST_TEST((this->connector.database("a").receivedStatements.size()) == 2U);
    BOOST_TEST((second.failure != LinkFailure::Unreachable));
    BOOST_TEST(second.answers.size() == 1U);
}

// Guards against reads that wait because of transactions: the proxy begins and ends a transaction for them.
BOOST_AUTO_TEST_CASE(Send_OrganisationHoldsHalfInTransactions_DelaysOnlyCallersBegins)
{
    EndpointPoolSettings settings;
    settings.boundsIdleTransactions = true;
    this->pool = std::make_shared<EndpointPool>(
        this->pool->endpoint(), this->timers, this->connector, this->observer, settings);
    this->pool->setConnectionLimit(4);
    std::vector<RelayFleet::Listener> listeners(4);
    std::vector<std::shared_ptr<PooledLink>> links;
    for (RelayFleet::Listener& listener : listeners) {
        links.push_back(this->open("desk", listener));
        Statement begin = makeProxyStatement(StatementKind::Begin);
        begin.needsUniqueAnswer = &listener != &listeners.back(); // the last one is the proxy's own
        links.back()->send({ begin }, { this->timers.now() + 800ms });
        this->timers.advance(20ms);
    }
    BOOST_TEST(listeners[0].answers.size() == 1U);
    BOOST_TEST(listeners[1].answers.size() == 1U);
    BOOST_TEST(listeners[2].answers.empty());
    BOOST_TEST(listeners[3].answers.size() == 1U);
    this->timers.advance(1s);
    BOOST_REQUIRE(listeners[2].answers.size() == 1U);
    BOOST_TEST((listeners[2].answers.front().front().code == AnswerCode::Busy));
}

// Guards against a batch of another VM that ends the process, because no answer of an endpoint belongs to it.
BOOST_AUTO_TEST_CASE(Send_OnlySessionStatements_AreAnsweredByTheLink)
{
    RelayFleet::Listener listener;
    const auto link = this->open("desk", listener);
    this->timers.advance(20ms);
    Statement set = makeProxyStatement(StatementKind::SetValue);
    set.name = "n";
    set.text = "v";
    for (const auto& batch : { std::vector<Statement> { makeProxyStatement(StatementKind::Reset) },
             std::vector<Statement> { set, makeProxyStatement(StatementKind::Reset) },
             std::vector<Statement> { set } }) {
        listener.answers.clear();
        link->send(batch, { this->timers.now() + 800ms });
        this->timers.advance(20ms);
        BOOST_REQUIRE_EQUAL(listener.answers.size(), 1U);
        BOOST_REQUIRE_EQUAL(listener.answers.back().size(), batch.size());
        BOOST_TEST((listener.answers.back().back().code == AnswerCode::Done));
    }
    this->send(*link, StatementKind::Read);
    this->timers.advance(20ms);
    BOOST_TEST(this->connector.database("a").receivedStatements.back() == "");
}

// Guards against session values that a connection is believed to have, although the batch that sets them was not sent.
BOOST_AUTO_TEST_CASE(Send_BatchIsNotSentAfterAll_NextBatchSetsTheValues)
{
    RelayFleet::Listener listener;
    const auto link = this->open("desk", listener);
    this->timers.advance(20ms);
    Statement set = makeProxyStatement(StatementKind::SetValue);
    set.name = "n";
    set.text = "v";
    Statement unknown = makeProxyStatement(StatementKind::Execute);
    unknown.name = "p1";
    unknown.text = "x";
    link->send({ set, unknown }, { this->timers.now() + 800ms });
    this->timers.advance(20ms);
    BOOST_REQUIRE_EQUAL(listener.answers.size(), 1U);
    BOOST_TEST((listener.answers.back().back().code == AnswerCode::Busy));
    this->send(*link, StatementKind::Read);
    this->timers.advance(20ms);
    BOOST_TEST(this->connector.database("a").receivedStatements == (std::vector<std::string> { "set n=v", "" }),
        boost::test_tools::per_element());
}

// Guards against a statement that runs under other values than those of its link, because the endpoint refuses them,
// and against a commit that is in doubt without having been sent, or that is sent for a link that has been closed.
BOOST_AUTO_TEST_CASE(Send_LinkHasNewerValue_StatementRunsOnlyUnderIt)
{
    enum class Event { None, Refusal, Drain, Close };
    struct Row {
        bool isInTransaction;
        StatementKind kind;
        Event event;
        std::optional<AnswerCode> code; ///< none: the link fails, or is closed
    };
    FakeDatabase& database = this->connector.database("a");
    for (const Row& row : { Row { false, StatementKind::Write, Event::Refusal, AnswerCode::Busy },
             Row { true, StatementKind::Write, Event::Refusal, {} },
             Row { true, StatementKind::Commit, Event::Refusal, AnswerCode::Busy },
             Row { true, StatementKind::Commit, Event::None, AnswerCode::Done },
             Row { true, StatementKind::Commit, Event::Drain, AnswerCode::Done },
             Row { true, StatementKind::Commit, Event::Close, {} } }) {
        RelayFleet::Listener listener;
        this->pool->update(this->endpoint);
        const auto link = this->open("desk", listener);
        this->timers.advance(20ms);
        if (row.isInTransaction)
            this->send(*link, StatementKind::Begin);
        this->timers.advance(20ms);
        Statement set = makeProxyStatement(StatementKind::SetValue);
        set.name = "n";
        set.text = std::to_string(database.batches);
        if (row.event == Event::Refusal)
            database.refuseNext[StatementKind::SetValue] = AnswerCode::Busy;
        RegisteredEndpoint leaving = this->endpoint;
        leaving.draining = row.event == Event::Drain;
        leaving.workEnd = this->timers.now();
        this->pool->update(leaving);
        database.runs.clear();
        listener.answers.clear();
        link->send({ set, makeProxyStatement(row.kind) }, { this->timers.now() + 800ms });
        if (row.event == Event::Close)
            link->close();
        this->timers.advance(20ms);
        BOOST_REQUIRE_EQUAL(database.runs.size(), row.code == AnswerCode::Done ? 1U : 0U);
        BOOST_REQUIRE_EQUAL(listener.answers.size(), row.code ? 1U : 0U);
        if (!database.runs.empty())
            BOOST_TEST((database.runs.back().values == std::map<std::string, std::string> { { "n", set.text } }));
        if (row.code)
            BOOST_TEST((listener.answers.back().back().code == *row.code));
        BOOST_TEST(listener.failure.has_value() == (!row.code && row.event != Event::Close));
    }
}

// Guards against statements in transactions that reach an evacuated data centre, because the VM that sends them to the
// owner does not know of the evacuation.
BOOST_AUTO_TEST_CASE(Send_TransactionIsOpenPastEvacuation_IsNotSent)
{
    RelayFleet::Listener listener;
    const auto link = this->open("desk", listener);
    this->timers.advance(20ms);
    this->send(*link, StatementKind::Begin);
    this->timers.advance(20ms);
    RegisteredEndpoint endpoint = this->pool->endpoint();
    endpoint.evacuated = true;
    endpoint.evacuationTimes.statementEnd = this->timers.now() + 100ms;
    this->pool->update(endpoint);
    this->send(*link, StatementKind::Write);
    this->timers.advance(200ms);
    const size_t received = this->connector.database("a").receivedStatements.size();
    for (const StatementKind kind : { StatementKind::Commit, StatementKind::Rollback, StatementKind::Read }) {
        this->send(*link, kind);
        this->timers.advance(20ms);
        BOOST_TEST((listener.answers.back().back().code != AnswerCode::Done));
    }
    BOOST_TEST(listener.answers.size() == 5U);
    BOOST_TEST((listener.answers[2].back().code == AnswerCode::Aborted));
    BOOST_TEST(this->connector.database("a").receivedStatements.size() == received);
    this->send(*link, StatementKind::Status);
    this->timers.advance(20ms);
    BOOST_TEST((listener.answers.back().back().code == AnswerCode::Done));
}

// Guards against an owner that passes on more than its part of what a cold endpoint may get, and against queries of the
// proxy itself that are held back.
BOOST_AUTO_TEST_CASE(Send_EndpointIsCold_OnlyShareIsSent)
{
    RelayFleet::Listener listener;
    const auto link = this->open("desk", listener);
    this->timers.advance(20ms);
    RegisteredEndpoint endpoint = this->pool->endpoint();
    endpoint.coldUntil = this->timers.now() + 10s;
    this->pool->update(endpoint);
    this->pool->setColdShare(1);
    const auto answerTo = [this, &link, &listener](StatementKind kind) {
        this->send(*link, kind);
        this->timers.advance(20ms);
        return listener.answers.back().back().code;
    };
    BOOST_TEST((answerTo(StatementKind::Read) == AnswerCode::Done));
    BOOST_TEST((answerTo(StatementKind::Read) == AnswerCode::Busy));
    BOOST_TEST((answerTo(StatementKind::Status) == AnswerCode::Done));
    this->timers.advance(1s);
    BOOST_TEST((answerTo(StatementKind::Read) == AnswerCode::Done));
}

BOOST_AUTO_TEST_SUITE_END()
