#include "Relay/RelayMessages.h"

#include <boost/test/unit_test.hpp>

using namespace Lavendervane;

BOOST_AUTO_TEST_SUITE(RelayMessagesTest)

static std::vector<RelayMessage> oneOfEachKind()
{
    Statement statement;
    statement.kind = StatementKind::Execute;
    statement.id = "5c0e7a21d94b36f8";
    statement.text = "1a4 bytes \xff\r that are no text";
    statement.name = "p1";
    statement.effect = PreparedEffect::Write;
    statement.term = 4;
    statement.needsUniqueAnswer = true;
    statement.requiredPosition = LogPosition { { 3, {} }, 1207 };
    EndpointAnswer answer;
    answer.code = AnswerCode::Lagging;
    answer.result = "row\xfe";
    answer.message = "behind";
    answer.state = TransactionState::Open;
    answer.position = LogPosition { { 3, VmId("vm") }, 1209 };
    answer.status = EndpointStatus { EndpointRole::Replica, 3, { { 3, {} }, 1208 } };
    const OutcomeCounts outcomes { 12.25, 0.5, 3, 0, 1.01 };
    return { RelayOpen { 7, GroupId("stock"), EndpointId("a"), OrganisationId("desk") }, RelayOpened { 7, true },
        RelayBatch { 7, 800, { statement, makeProxyStatement(StatementKind::Rollback) }, 1 },
        RelayAnswers { 7, { answer, EndpointAnswer {} } }, RelayAnswers { 7, { answer }, outcomes },
        RelayFailed { 7, LinkFailure::Broken, AnswerCode::Busy, "broke", outcomes },
        RelayFailed { 7, LinkFailure::Rejected, AnswerCode::WrongEndpoint, "left" }, RelayClose { 7 } };
}

// Statements and answers that are relayed by another VM must arrive unchanged, including bytes that are not text.
BOOST_AUTO_TEST_CASE(Encode_EachKind_DecodesToSame)
{
    for (const RelayMessage& message : oneOfEachKind()) {
        const auto decoded = decodeRelayMessage(encodeRelayMessage(message));
        BOOST_REQUIRE(decoded);
        BOOST_TEST((*decoded == message));
    }
}

// Bytes of another program version or of a client that speaks another protocol must neither crash the process nor be
// decoded as a message.
BOOST_AUTO_TEST_CASE(Decode_CutOrGarbage_ReturnsNothing)
{
    for (const RelayMessage& message : oneOfEachKind()) {
        const std::string whole = encodeRelayMessage(message);
        for (size_t length = 0; length < whole.size(); ++length)
            BOOST_TEST(!decodeRelayMessage(whole.substr(0, length)));
    }
    for (const char* text : { "GET / HTTP/1.1", "\x82\x18\x63\x01", "\x85\x05\x07\x09\x01\x60", "\x82\x01\x01" })
        BOOST_TEST(!decodeRelayMessage(text));
}

// Guards against VMs of two program versions that do not understand each other while one replaces the other.
BOOST_AUTO_TEST_CASE(Decode_BatchOfOlderVersion_StatementNeedsNoUniqueAnswer)
{
    // Kind 3, link 7, 800 ms; one begin with empty id, text and name, effect 0, term 0 and no position.
    const std::string bytes("\x84\x03\x07\x19\x03\x20\x81\x87\x00\x60\x60\x60\x00\x00\xf6", 15);
    const auto batch = decodeRelayMessage(bytes);
    BOOST_REQUIRE(batch);
    BOOST_TEST((*batch == RelayMessage { RelayBatch { 7, 800, { makeProxyStatement(StatementKind::Begin) } } }));
}

// Guards against a batch that is sent to an owner of an older version, which would not wait for the begin.
BOOST_AUTO_TEST_CASE(Decode_OpenedOfOlderVersion_GuardsNoBatches)
{
    const auto opened = decodeRelayMessage(std::string("\x82\x02\x07", 3)); // kind 2, link 7
    BOOST_REQUIRE(opened);
    BOOST_TEST((*opened == RelayMessage { RelayOpened { 7, false } }));
}

// As above, for the outcomes that the owner reports: a message without them must be accepted.
BOOST_AUTO_TEST_CASE(Decode_AnswersOfOlderVersion_HaveNoOutcomes)
{
    // Kind 4, link 7, no answers; kind 5, link 7, broken, busy, no text.
    const auto answers = decodeRelayMessage(std::string("\x83\x04\x07\x80", 4));
    const auto failed = decodeRelayMessage(std::string("\x85\x05\x07\x03\x01\x60", 6));
    BOOST_REQUIRE((answers && failed));
    BOOST_TEST((*answers == RelayMessage { RelayAnswers { 7, {} } }));
    BOOST_TEST((*failed == RelayMessage { RelayFailed { 7, LinkFailure::Broken, AnswerCode::Busy, "" } }));
}

BOOST_AUTO_TEST_SUITE_END()
