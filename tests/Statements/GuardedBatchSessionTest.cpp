#include "ServiceFixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace Lavendervane;
using namespace std::chrono_literals;

namespace {

struct GuardedSessionFixture : ServiceFixture {
    GuardedSessionFixture()
    {
        this->caller->send(StatementKind::Read, "READ first");
        this->settle();
        this->primary.receivedStatements.clear();
        this->log.guardedBatches.clear();
    }

    void sendInTransaction(StatementKind kind, const std::string& text = "", const std::string& name = "")
    {
        this->caller->send(StatementKind::Begin);
        this->caller->send(kind, text, name);
        this->settle();
    }

    auto count(const std::string& statement) const
    {
        const auto& seen = this->primary.receivedStatements;
        return std::count(seen.begin(), seen.end(), statement);
    }

    std::unique_ptr<FakeCaller> caller = this->open("strong");
    FakeDatabase& primary = this->connector.database("a");
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(GuardedBatchSessionTest, GuardedSessionFixture)

// Guards against a transaction that fails at the caller, although its first statement was not sent and can be retried.
BOOST_AUTO_TEST_CASE(Transaction_ConnectionBreaksAtBegin_IsBegunAgain)
{
    this->primary.breakAt = StatementKind::Begin;
    this->sendInTransaction(StatementKind::Write, "WRITE x 1");
    BOOST_TEST((this->caller->last().code == AnswerCode::Done));
    BOOST_TEST((this->caller->last().state == TransactionState::Open));
    BOOST_TEST(this->count("WRITE x 1") == 1);
    BOOST_REQUIRE_EQUAL(this->log.guardedBatches.size(), 2U);
    BOOST_TEST(this->log.guardedBatches[0].isRestWithheld);
    BOOST_TEST(!this->log.guardedBatches[0].reason.empty());
    BOOST_TEST(!this->log.guardedBatches[1].isRestWithheld);
}

// Guards against a write that may have run and is sent again, and against a transaction that goes on without its first
// write. A read is repeated, as outside a transaction.
BOOST_AUTO_TEST_CASE(Transaction_ConnectionBreaksAtFirstStatement_OnlyReadIsRepeated)
{
    this->primary.breakAt = StatementKind::Write;
    this->sendInTransaction(StatementKind::Write, "WRITE x 1");
    BOOST_TEST((this->caller->last().code == AnswerCode::Aborted));
    BOOST_TEST((this->caller->last().state == TransactionState::Failed));
    BOOST_TEST(this->count("WRITE x 1") == 0);
    this->caller->send(StatementKind::Rollback);
    this->primary.breakAt = StatementKind::Read;
    this->sendInTransaction(StatementKind::Read, "READ x");
    BOOST_TEST((this->caller->last().code == AnswerCode::Done));
    BOOST_TEST(this->count("begin") == 3);
}

// A transaction whose first statement is its commit has no effect that could be in doubt.
BOOST_AUTO_TEST_CASE(Commit_EmptyTransactionUnanswered_IsAborted)
{
    this->primary.breakAt = StatementKind::Commit;
    this->sendInTransaction(StatementKind::Commit);
    BOOST_TEST((this->caller->last().code == AnswerCode::Aborted));
    BOOST_TEST((this->caller->last().state == TransactionState::Idle));
    this->sendInTransaction(StatementKind::Commit);
    BOOST_TEST((this->caller->last().code == AnswerCode::Done));
}

// Guards against a statement that is prepared inside the transaction, where an owner of the connection does not apply
// it to the link.
BOOST_AUTO_TEST_CASE(Transaction_FirstStatementIsPrepared_IsPreparedBeforeBegin)
{
    this->caller->send(StatementKind::Prepare, "READ 1", "p");
    this->caller->send(StatementKind::SetValue, "1", "zone");
    this->sendInTransaction(StatementKind::Execute, "x", "p");
    BOOST_TEST((this->caller->last().code == AnswerCode::Done));
    BOOST_TEST((this->primary.receivedStatements
        == std::vector<std::string> { "set zone=1", "prepare p1 READ 1", "begin", "execute p1 x" }));
}

// Guards against a caller that is charged for reads that were not sent.
BOOST_AUTO_TEST_CASE(Read_BeginFails_TokenIsReturned)
{
    for (SessionRoute& route : this->configuration.routes)
        route.statementTimeout = 100ms;
    this->configuration.organisations[0].limit = { 1, 1 };
    ++this->configuration.version;
    this->publish();
    this->timers.advance(2s);
    this->primary.refuseNext[StatementKind::Begin] = AnswerCode::Failed;
    this->caller->send(StatementKind::Read, "READ x");
    this->settle();
    BOOST_TEST((this->caller->last().code == AnswerCode::Failed));
    this->caller->send(StatementKind::Read, "READ y");
    this->settle();
    BOOST_TEST((this->caller->last().code == AnswerCode::Done));
}

// Guards against a first statement that is reported as not run, although it was sent, when the VM stops.
BOOST_AUTO_TEST_CASE(Stop_FirstStatementSent_TransactionIsAborted)
{
    for (const bool endpointHasLeft : { false, true }) {
        GuardedSessionFixture fixture;
        fixture.caller->send(StatementKind::Begin);
        fixture.caller->send(StatementKind::Write, "WRITE x 1");
        while (fixture.primary.receivedStatements.empty())
            fixture.timers.advance(1ms);
        fixture.primary.silent = true;
        fixture.settle();
        BOOST_REQUIRE(fixture.count("WRITE x 1") == 1);
        const size_t answers = fixture.caller->answers.size();
        if (endpointHasLeft) {
            fixture.endpoints.erase(fixture.endpoints.begin());
            fixture.publish();
        }
        fixture.service->closeIdleSessions();
        fixture.service->shutDown();
        BOOST_REQUIRE_EQUAL(fixture.caller->answers.size(), answers + 1);
        BOOST_TEST((fixture.caller->last().code == AnswerCode::Aborted));
    }
}

BOOST_AUTO_TEST_SUITE_END()
