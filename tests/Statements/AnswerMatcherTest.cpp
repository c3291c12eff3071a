#include "Statements/AnswerMatcher.h"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace Lavendervane;
using Verdict = AnswerMatcher::Verdict;

namespace {

struct MatcherFixture {
    void expect(StatementKind kind, const std::string& id = "")
    {
        Statement statement = makeProxyStatement(kind);
        statement.id = id;
        this->matcher.expect({ statement });
    }

    static EndpointAnswer success(
        const std::string& signature, TransactionState state = TransactionState::Idle, const std::string& rows = "")
    {
        EndpointAnswer answer;
        answer.code = AnswerCode::Done;
        answer.signature = signature;
        answer.result = rows + signature;
        answer.state = state;
        return answer;
    }

    static EndpointAnswer error(AnswerCode code, const std::string& message)
    {
        EndpointAnswer answer;
        answer.code = code;
        answer.message = message;
        return answer;
    }

    AnswerMatcher matcher;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AnswerMatcherTest, MatcherFixture)

// Guards against an endpoint that is given up although it has answered each statement once.
BOOST_AUTO_TEST_CASE(Answers_OneForEachStatement_Match)
{
    const std::vector<std::pair<StatementKind, EndpointAnswer>> exchange {
        { StatementKind::SetValue, success("") },
        { StatementKind::Read, success("7.1") },
        { StatementKind::Begin, success("", TransactionState::Open) },
        { StatementKind::SetValue, success("", TransactionState::Open) },
        { StatementKind::Prepare, success("", TransactionState::Open) },
        { StatementKind::Execute, success("7.2", TransactionState::Open) },
        { StatementKind::Commit, success("7.3") },
        { StatementKind::BeginReadOnly, success("", TransactionState::Open) },
        { StatementKind::Rollback, success("") },
        { StatementKind::Reset, success("") },
        { StatementKind::Write, success("7.4") },
    };
    for (const auto& [kind, answer] : exchange)
        this->expect(kind, "id-" + answer.signature);
    for (const auto& [kind, answer] : exchange)
        BOOST_TEST((this->matcher.match(answer) == Verdict::Matches), answer.signature);
    BOOST_TEST(this->matcher.unanswered() == 0U);
    BOOST_TEST(this->matcher.mayCarryMore());
}

// Guards against the answer to an earlier statement, both with and without a statement under way.
BOOST_AUTO_TEST_CASE(SignedAnswer_ArrivesAgain_IsARepetition)
{
    this->expect(StatementKind::Read, "1");
    this->matcher.match(success("7.1", TransactionState::Idle, "row"));
    BOOST_TEST((this->matcher.match(success("7.1", TransactionState::Idle, "row")) == Verdict::Repetition));
    this->expect(StatementKind::Read, "2");
    BOOST_TEST((this->matcher.match(success("7.1", TransactionState::Idle, "row")) == Verdict::Repetition));
    BOOST_TEST((this->matcher.match(success("7.2")) == Verdict::Matches));
}

// Guards against rows of two answers that are taken for one.
BOOST_AUTO_TEST_CASE(SignedAnswer_ArrivesAgainWithOtherRows_IsAContradiction)
{
    this->expect(StatementKind::Read, "1");
    this->matcher.match(success("7.1", TransactionState::Idle, "row"));
    this->expect(StatementKind::Read, "2");
    BOOST_TEST((this->matcher.match(success("7.1", TransactionState::Idle, "other row")) == Verdict::Contradiction));
}

// Guards against a statement that waits for ever, because its caller has used its identifier before.
BOOST_AUTO_TEST_CASE(SignedAnswer_IdentifierIsUsedAgain_IsAContradiction)
{
    this->expect(StatementKind::Read, "1");
    this->matcher.match(success("7.1"));
    this->expect(StatementKind::Read, "1");
    BOOST_TEST((this->matcher.match(success("7.1")) == Verdict::Contradiction));
}

BOOST_AUTO_TEST_CASE(Success_DoesNotFitTheStatement_IsAContradiction)
{
    struct Row {
        StatementKind kind;
        EndpointAnswer answer;
    };
    for (const Row& row : { Row { StatementKind::Read, success("") }, Row { StatementKind::Write, success("") },
             Row { StatementKind::Execute, success("") }, Row { StatementKind::Commit, success("") },
             Row { StatementKind::Begin, success("") }, Row { StatementKind::BeginReadOnly, success("") },
             Row { StatementKind::Rollback, success("", TransactionState::Open) },
             Row { StatementKind::Read, success("7.1", TransactionState::Open) } }) {
        AnswerMatcher fresh;
        fresh.expect({ makeProxyStatement(row.kind) });
        BOOST_TEST((fresh.match(row.answer) == Verdict::Contradiction), static_cast<int>(row.kind));
        BOOST_TEST(!fresh.contradiction().empty());
    }
}

// Guards against a begin that was refused and is taken as done, because an earlier one was. Later positions show that
// an answer is new.
BOOST_AUTO_TEST_CASE(Begin_NeedsUniqueAnswer_OnlyLaterPositionsMatch)
{
    Statement begin = makeProxyStatement(StatementKind::Begin);
    begin.needsUniqueAnswer = true;
    struct Row {
        std::optional<LogPosition> first;
        std::optional<LogPosition> second;
        Verdict verdict;
    };
    const auto position = [](uint64_t term, uint64_t number) { return LogPosition { { term, {} }, number }; };
    for (const Row& row : { Row { position(1, 7), position(1, 8), Verdict::Matches },
             Row { position(1, 7), position(2, 1), Verdict::Matches },
             Row { position(1, 7), position(1, 7), Verdict::Contradiction },
             Row { position(1, 7), position(1, 6), Verdict::Contradiction },
             Row { {}, position(1, 7), Verdict::Contradiction }, Row { position(1, 7), {}, Verdict::Contradiction } }) {
        AnswerMatcher fresh;
        fresh.recordRepetition();
        EndpointAnswer begun = success("", TransactionState::Open);
        fresh.expect({ begin });
        begun.position = row.first;
        BOOST_TEST((fresh.match(begun) == Verdict::Matches));
        fresh.expect({ makeProxyStatement(StatementKind::Rollback) });
        BOOST_TEST((fresh.match(success("")) == Verdict::Matches));
        fresh.expect({ begin });
        begun.position = row.second;
        BOOST_TEST((fresh.match(begun) == row.verdict));
    }
}

// Guards against a connection that is given up, and a transaction that ends, for every answer that is repeated.
BOOST_AUTO_TEST_CASE(UnsignedAnswer_ArrivesAgainWhereItDoesNotFit_IsARepetition)
{
    const EndpointAnswer begun = success("", TransactionState::Open);
    this->expect(StatementKind::Begin);
    BOOST_TEST((this->matcher.match(begun) == Verdict::Matches));
    BOOST_TEST((this->matcher.match(begun) == Verdict::Repetition));
    this->expect(StatementKind::Read, "1");
    BOOST_TEST((this->matcher.match(begun) == Verdict::Repetition));
    BOOST_TEST((this->matcher.match(success("7.1", TransactionState::Open)) == Verdict::Matches));
    this->expect(StatementKind::Rollback);
    BOOST_TEST((this->matcher.match(begun) == Verdict::Repetition));
    BOOST_TEST((this->matcher.match(success("")) == Verdict::Matches));
}

// Guards against rows that are lost with an answer that is ignored.
BOOST_AUTO_TEST_CASE(UnsignedAnswer_ArrivesAgainWithRows_IsAContradiction)
{
    this->expect(StatementKind::SetValue);
    BOOST_TEST((this->matcher.match(success("")) == Verdict::Matches));
    this->expect(StatementKind::Read, "1");
    BOOST_TEST((this->matcher.match(success("", TransactionState::Idle, "row")) == Verdict::Contradiction));
}

BOOST_AUTO_TEST_CASE(Answer_WithoutAStatement_IsAContradiction)
{
    BOOST_TEST((this->matcher.match(success("7.1")) == Verdict::Contradiction));
    BOOST_TEST((this->matcher.match(error(AnswerCode::Busy, "")) == Verdict::Contradiction));
}

// Guards against a statement that runs and is reported as refused, because an earlier one was.
BOOST_AUTO_TEST_CASE(Error_ArrivesAgain_IsAContradictionAndLinkIsExhausted)
{
    this->expect(StatementKind::Write, "1");
    BOOST_TEST((this->matcher.match(error(AnswerCode::Busy, "i-1")) == Verdict::Matches));
    BOOST_TEST(!this->matcher.mayCarryMore());
    this->expect(StatementKind::Write, "2");
    BOOST_TEST((this->matcher.match(error(AnswerCode::Busy, "i-1")) == Verdict::Contradiction));
}

// Guards against connections that are given up because an endpoint that answers once may not have.
BOOST_AUTO_TEST_CASE(Begin_EndpointHasNotRepeatedAnswers_EqualPositionMatches)
{
    Statement begin = makeProxyStatement(StatementKind::Begin);
    begin.needsUniqueAnswer = true;
    for (int round = 0; round < 2; ++round) {
        this->expect(StatementKind::Rollback);
        BOOST_TEST((this->matcher.match(success("")) == Verdict::Matches));
        this->matcher.expect({ begin });
        BOOST_TEST((this->matcher.match(success("", TransactionState::Open)) == Verdict::Matches));
    }
}

// Guards against connections that are replaced with each answer of a lagging replica, and against the own answer of a
// read that meets a later statement, because a repetition was taken for it.
BOOST_AUTO_TEST_CASE(Lagging_AnsweredAgain_LinkIsExhaustedUnlessPositionIsLater)
{
    const auto lagging = [](uint64_t position) {
        EndpointAnswer answer = error(AnswerCode::Lagging, "i-1");
        answer.position = LogPosition { { 1, {} }, position };
        return answer;
    };
    Statement read = makeProxyStatement(StatementKind::Read);
    read.requiredPosition = LogPosition { { 1, {} }, 100 };
    struct Row {
        uint64_t second;
        Verdict verdict;
        bool mayCarryMore;
    };
    for (const Row& row : { Row { 8, Verdict::Matches, true }, Row { 7, Verdict::Matches, false },
             Row { 6, Verdict::Repetition, true } }) {
        AnswerMatcher fresh;
        fresh.expect({ read });
        BOOST_TEST((fresh.match(lagging(7)) == Verdict::Matches));
        BOOST_TEST(fresh.mayCarryMore());
        fresh.expect({ read });
        BOOST_TEST((fresh.match(lagging(row.second)) == row.verdict), row.second);
        BOOST_TEST(fresh.mayCarryMore() == row.mayCarryMore, row.second);
    }
    this->expect(StatementKind::Write, "1");
    BOOST_TEST((this->matcher.match(lagging(7)) == Verdict::Contradiction));
}

// Guards against an old status that is taken for the present one.
BOOST_AUTO_TEST_CASE(Status_Answered_LinkIsExhausted)
{
    for (const StatementKind kind : { StatementKind::Status, StatementKind::StepDown, StatementKind::Pause }) {
        AnswerMatcher fresh;
        fresh.expect({ makeProxyStatement(kind) });
        BOOST_TEST((fresh.match(success("")) == Verdict::Matches));
        BOOST_TEST(!fresh.mayCarryMore());
    }
}

// Guards against a repetition of an answer that has been forgotten.
BOOST_AUTO_TEST_CASE(SignedAnswers_MoreThanAreRemembered_LinkIsExhausted)
{
    uint32_t count = 0;
    while (this->matcher.mayCarryMore() && count < 100'000) {
        this->expect(StatementKind::Read, std::to_string(++count));
        BOOST_REQUIRE((this->matcher.match(success("7." + std::to_string(count))) == Verdict::Matches));
    }
    BOOST_TEST(!this->matcher.mayCarryMore());
    BOOST_TEST((this->matcher.match(success("7.1")) == Verdict::Repetition));
}

BOOST_AUTO_TEST_SUITE_END()
