#include "ScriptedEndpoint.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace Lavendervane;
using namespace Lavendervane::Adapter;

namespace {

Statement makeStatement(StatementKind kind, const std::string& id, const std::string& text = "")
{
    Statement statement = makeProxyStatement(kind);
    statement.id = id;
    statement.text = text;
    return statement;
}

Statement makeRead(const std::string& id) { return makeStatement(StatementKind::Read, id, "READ " + id); }
Statement makeWrite(const std::string& id) { return makeStatement(StatementKind::Write, id, "WRITE " + id + " a"); }

const std::string unsignedAnswer = "COMPLETE -\r\nREADY I 1.1\r\n";
const std::string begunAnswer = "COMPLETE -\r\nREADY T 1.1\r\n";
const std::string busyAnswer = "ERROR BUSY i-1\r\nREADY I 1.1\r\n";

std::string signedAnswer(const std::string& id, const std::string& state = "I")
{
    return "ROW row-" + id + "\r\nCOMPLETE 7." + id + "\r\nREADY " + state + " 1.1\r\n";
}

/// An endpoint that sends answers again after further statements have been sent.
struct StutteringEndpoint : public ScriptedEndpoint {
    /// Sends a batch and answers it.
    void exchange(const std::vector<Statement>& batch, const std::string& answers)
    {
        this->send(batch);
        this->write(answers);
    }

    /// True if the last batch was answered, its last statement with the code.
    bool hasAnswered(size_t batchCount, AnswerCode code) const
    {
        return this->listener.batches.size() == batchCount && this->listener.batches.back().back().code == code;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RepeatedAnswerTest, StutteringEndpoint)

// Guards against the rows of another statement.
BOOST_AUTO_TEST_CASE(Read_EarlierAnswerArrivesAgain_GetsItsOwnOrNone)
{
    this->exchange({ makeRead("1") }, signedAnswer("1"));
    this->send({ makeRead("2") });
    this->write(signedAnswer("1"));
    this->write(signedAnswer("2"));
    BOOST_TEST((this->listener.failure || this->listener.batches.size() == 2U));
    BOOST_TEST((this->listener.failure || this->listener.repetitions == 1U));
    for (const auto& batch : this->listener.batches)
        BOOST_TEST(
            batch.back().result.find("row-1") == (&batch == &this->listener.batches.front() ? 4U : std::string::npos));
}

// Guards against a write that is sent again, because the refusal of an earlier one is taken for its own.
BOOST_AUTO_TEST_CASE(Write_EarlierRefusalArrivesAgain_IsNotTakenAsRefused)
{
    this->exchange({ makeWrite("1") }, busyAnswer);
    BOOST_REQUIRE(this->hasAnswered(1, AnswerCode::Busy));
    this->send({ makeWrite("2") });
    this->write(busyAnswer);
    BOOST_TEST(!this->hasAnswered(2, AnswerCode::Busy));
}

// Guards against a commit that is reported as refused although it takes effect.
BOOST_AUTO_TEST_CASE(Commit_EarlierRefusalArrivesAgain_IsNotTakenAsRefused)
{
    this->exchange({ makeStatement(StatementKind::Begin, "") }, begunAnswer);
    this->exchange({ makeWrite("1") }, "ERROR BUSY i-1\r\nREADY T 1.1\r\n");
    this->exchange({ makeWrite("2") }, signedAnswer("2", "T"));
    BOOST_REQUIRE(this->hasAnswered(3, AnswerCode::Done));
    this->send({ makeStatement(StatementKind::Commit, "3") });
    this->write("ERROR BUSY i-1\r\nREADY T 1.1\r\n");
    BOOST_TEST(!this->hasAnswered(4, AnswerCode::Busy));
}

// Guards against a success that no endpoint has signed.
BOOST_AUTO_TEST_CASE(Commit_AnswerOfBeginArrivesAgain_IsNotTakenAsDone)
{
    this->exchange({ makeStatement(StatementKind::Begin, "") }, begunAnswer);
    this->exchange({ makeWrite("1") }, signedAnswer("1", "T"));
    this->send({ makeStatement(StatementKind::Commit, "2") });
    this->write(begunAnswer);
    BOOST_TEST(!this->hasAnswered(3, AnswerCode::Done));
    this->write("COMPLETE 7.2\r\nREADY I 1.2\r\n");
    BOOST_TEST((this->listener.failure || this->hasAnswered(3, AnswerCode::Done)));
}

// Guards against answers that are all shifted by one, because the answer to a setup statement was repeated.
BOOST_AUTO_TEST_CASE(Read_AnswerOfSetupArrivesAgain_GetsItsOwnOrNone)
{
    Statement set = makeStatement(StatementKind::SetValue, "", "v");
    set.name = "n";
    this->exchange({ set, makeRead("1") }, unsignedAnswer + signedAnswer("1"));
    BOOST_REQUIRE(this->hasAnswered(1, AnswerCode::Done));
    this->send({ set, makeRead("2") });
    this->write(unsignedAnswer + unsignedAnswer + signedAnswer("2"));
    BOOST_TEST((this->listener.failure || this->hasAnswered(2, AnswerCode::Done)));
    if (this->hasAnswered(2, AnswerCode::Done))
        BOOST_TEST(this->listener.batches.back().back().result == "ROW row-2\r\nCOMPLETE 7.2\r\n");
}

// Guards against a begin that was refused, but is taken as done because an earlier one was.
BOOST_AUTO_TEST_CASE(Begin_AnswerOfRollbackArrivesAgain_IsNotTakenAsDone)
{
    this->exchange({ makeStatement(StatementKind::Begin, "") }, begunAnswer);
    this->exchange({ makeStatement(StatementKind::Rollback, "") }, unsignedAnswer);
    this->send({ makeStatement(StatementKind::Begin, "") });
    this->write(unsignedAnswer);
    BOOST_TEST(!this->hasAnswered(3, AnswerCode::Done));
    this->write(begunAnswer);
    BOOST_TEST((this->listener.failure || this->hasAnswered(3, AnswerCode::Done)));
}

// Guards against a write that runs outside a transaction, because its begin was refused, and is reported as refused.
BOOST_AUTO_TEST_CASE(Write_BeginRefusedAfterAnEarlierBeginIsRepeated_IsNotSentOrInDoubt)
{
    Statement begin = makeStatement(StatementKind::Begin, "");
    begin.needsUniqueAnswer = true;
    this->exchange({ makeRead("0") }, signedAnswer("0") + signedAnswer("0"));
    this->exchange({ begin }, begunAnswer);
    this->exchange({ makeStatement(StatementKind::Rollback, "") }, unsignedAnswer);
    this->send({ begin });
    this->write(begunAnswer);
    if (!this->hasAnswered(4, AnswerCode::Done))
        return;
    // The endpoint runs the write by itself: the begin was refused before the write arrived.
    this->send({ makeWrite("1") });
    this->write(busyAnswer + signedAnswer("1"));
    BOOST_TEST(!this->hasAnswered(5, AnswerCode::Busy));
}

// Guards against the answer to CONNECT, which may come again, as the result of a statement.
BOOST_AUTO_TEST_CASE(Write_ReadyArrivesWithoutResult_IsNotTakenAsAnswered)
{
    this->write("READY I 1.1\r\n");
    BOOST_TEST(!this->listener.failure);
    this->send({ makeWrite("1") });
    this->write("READY I 1.1\r\n");
    BOOST_TEST(this->listener.batches.empty());
    BOOST_TEST(!this->listener.failure);
    this->write("READY I 1.2\r\n");
    BOOST_TEST(this->listener.batches.empty());
    BOOST_TEST(this->listener.failure.has_value());
}

// Guards against connections that are given up, and transactions that end, with every answer that is repeated.
BOOST_AUTO_TEST_CASE(Answers_EachTwice_AreDeliveredOnce)
{
    const auto exchangeTwice = [this](const Statement& statement, const std::string& answer) {
        this->exchange({ statement }, answer);
        this->write(answer);
    };
    exchangeTwice(makeRead("1"), signedAnswer("1"));
    exchangeTwice(makeStatement(StatementKind::Begin, ""), begunAnswer);
    exchangeTwice(makeWrite("2"), signedAnswer("2", "T"));
    exchangeTwice(makeStatement(StatementKind::Commit, "3"), "COMPLETE 7.3\r\nREADY I 1.2\r\n");
    exchangeTwice(makeStatement(StatementKind::Begin, ""), begunAnswer);
    exchangeTwice(makeStatement(StatementKind::Rollback, ""), unsignedAnswer);
    BOOST_TEST(this->listener.batches.size() == 6U);
    BOOST_TEST(this->listener.repetitions == 6U);
    BOOST_TEST(!this->listener.failure);
}

// Guards against an endpoint that answers properly and is given up.
BOOST_AUTO_TEST_CASE(Answers_EachOnce_AreDelivered)
{
    this->exchange({ makeRead("1") }, signedAnswer("1"));
    this->exchange({ makeStatement(StatementKind::Begin, "") }, begunAnswer);
    this->exchange({ makeWrite("2") }, signedAnswer("2", "T"));
    this->exchange({ makeStatement(StatementKind::Commit, "3") }, "COMPLETE 7.3\r\nREADY I 1.2\r\n");
    this->exchange(
        { makeStatement(StatementKind::Status, "") }, "ROW primary 1 1.2 1 0 0 1\r\nCOMPLETE -\r\nREADY I 1.2\r\n");
    this->exchange({ makeWrite("4") }, busyAnswer);
    BOOST_TEST(this->listener.batches.size() == 6U);
    BOOST_TEST(!this->listener.failure);
}

BOOST_AUTO_TEST_SUITE_END()
