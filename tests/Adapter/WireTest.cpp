#include "Wire.h"

#include "Core/Error.h"
#include "Relay/RelayMessages.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <variant>
#include <vector>

using namespace Lavendervane;
using namespace Lavendervane::Adapter;

BOOST_AUTO_TEST_SUITE(WireTest)

using Kind = CallerMessage::Kind;

BOOST_AUTO_TEST_CASE(DecodeCallerMessage_Connect_ReadsDatabaseAndKey)
{
    const auto keyed = decodeCallerMessage("CONNECT lepu270 u3f1");
    BOOST_TEST((keyed.kind == Kind::Connect));
    BOOST_TEST((keyed.connect == ConnectRequest { "lepu270", "u3f1" }));
    BOOST_TEST((decodeCallerMessage("CONNECT lepu270").connect == ConnectRequest { "lepu270", "" }));
}

BOOST_AUTO_TEST_CASE(DecodeCallerMessage_Statements_ReadsKindNameAndText)
{
    struct Row {
        std::string line;
        StatementKind kind;
        std::string name;
        std::string text;
    };
    const std::vector<Row> rows {
        { "QUERY 5c0e BEGIN", StatementKind::Begin, "", "" },
        { "QUERY 5c0e BEGIN READ", StatementKind::BeginReadOnly, "", "" },
        { "QUERY 5c0e COMMIT", StatementKind::Commit, "", "" },
        { "QUERY 5c0e ROLLBACK", StatementKind::Rollback, "", "" },
        { "QUERY 5c0e READ 1a4", StatementKind::Read, "", "READ 1a4" },
        { "QUERY 5c0e WRITE 1a4 some data  twice", StatementKind::Write, "", "WRITE 1a4 some data  twice" },
        { "QUERY 5c0e SET zone a b", StatementKind::SetValue, "zone", "a b" },
        { "QUERY 5c0e SET zone", StatementKind::SetValue, "zone", "" },
        { "QUERY 5c0e PREPARE s1 WRITE q2c", StatementKind::Prepare, "s1", "q2c" },
        { "QUERY 5c0e EXECUTE s1 1a4 xkqpwnzd", StatementKind::Execute, "s1", "1a4 xkqpwnzd" },
        { "QUERY 5c0e DEALLOC s1", StatementKind::Deallocate, "s1", "" },
    };
    for (const Row& row : rows) {
        const auto message = decodeCallerMessage(row.line);
        BOOST_TEST_CONTEXT(row.line)
        {
            BOOST_TEST((message.kind == Kind::Statement));
            BOOST_TEST((message.statement.kind == row.kind));
            BOOST_TEST(message.statement.id == "5c0e");
            BOOST_TEST(message.statement.name == row.name);
            BOOST_TEST(message.statement.text == row.text);
        }
    }
}

// Guards against malformed input of callers that reaches an endpoint or ends the process.
BOOST_AUTO_TEST_CASE(DecodeCallerMessage_MalformedLine_IsMalformed)
{
    for (const char* line : { "", " ", "connect x", "CONNECT", "CONNECT ", "QUERY", "QUERY 1", "QUERY  READ x",
             "\x01\x02", "GET / HTTP/1.1" })
        BOOST_TEST((decodeCallerMessage(line).kind == Kind::Malformed), line);
    for (const char* line : { "QUERY 1 READ", "QUERY 1 DROP x", "QUERY 1 BEGIN WRITE", "QUERY 1 PREPARE s1",
             "QUERY 1 RESET", "QUERY 1 PREPARE s1 UPDATE x", "QUERY 1 EXECUTE", "QUERY 1 AFTER 3.1 READ x",
             "QUERY 1 STATUS", "QUERY 1 COMMIT now", "QUERY 1 EXECUTE s1", "QUERY 1 EXECUTE s1 " }) {
        const auto message = decodeCallerMessage(line);
        BOOST_TEST((message.kind == Kind::Statement && message.statement.kind == StatementKind::Malformed), line);
    }
}

BOOST_AUTO_TEST_CASE(EncodeStatement_ToEndpoint_MatchesProtocol)
{
    Statement read;
    read.kind = StatementKind::Read;
    read.id = "5c0e7a21d94b36f8";
    read.text = "READ 1a4";
    read.requiredPosition = LogPosition { { 3, {} }, 1207 };
    BOOST_TEST(encodeStatement(read) == "QUERY 5c0e7a21d94b36f8 AFTER 3.1207 READ 1a4\r\n");
    BOOST_TEST(encodeStatement(makeProxyStatement(StatementKind::Status)) == "QUERY - STATUS\r\n");
    BOOST_TEST(encodeStatement(makeProxyStatement(StatementKind::BeginReadOnly)) == "QUERY - BEGIN READ\r\n");
    Statement step = makeProxyStatement(StatementKind::StepDown);
    step.term = 4;
    BOOST_TEST(encodeStatement(step) == "QUERY - STEPDOWN 4\r\n");
    BOOST_TEST(encodeStatement(makeProxyStatement(StatementKind::Pause, 5)) == "QUERY - PAUSE 5\r\n");
    BOOST_TEST(encodeStatement(makeProxyStatement(StatementKind::Resume)) == "QUERY - RESUME\r\n");
}

// Guards against a text that reaches the endpoint otherwise than its caller sent it.
BOOST_AUTO_TEST_CASE(EncodeStatement_DecodedFromCaller_IsUnchanged)
{
    for (const std::string& text : std::vector<std::string> { "READ 1a4", "READ  1a4 ", "WRITE 1a4 a\nb",
             "WRITE 1a4 a\r", "WRITE 1a4  ", "WRITE 1a4 \xff\xfe", std::string("WRITE 1a4 a\0b", 13), "EXECUTE s1 1a4",
             "EXECUTE s1 1a4 ", "EXECUTE s1  a", "EXECUTE s1 1a4 a\n\r", "COMMIT" }) {
        const CallerMessage message = decodeCallerMessage("QUERY 5c0e " + text);
        BOOST_REQUIRE((message.kind == Kind::Statement));
        BOOST_TEST(encodeStatement(message.statement) == "QUERY 5c0e " + text + "\r\n");
        const auto relayed = decodeRelayMessage(encodeRelayMessage(RelayBatch { 1, 100, { message.statement } }));
        BOOST_REQUIRE(relayed);
        BOOST_TEST((std::get<RelayBatch>(*relayed).statements.front() == message.statement), text);
    }
}

// Guards against a field that ends the message and makes the rest of it a message of its own.
BOOST_AUTO_TEST_CASE(Encode_FieldBreaksTheMessage_Throws)
{
    Statement write;
    write.kind = StatementKind::Write;
    write.id = "5c0e";
    write.text = "WRITE x a\r\nQUERY 1 WRITE y b";
    BOOST_CHECK_THROW(encodeStatement(write), Error);
    write.text = "WRITE x a";
    write.id = "5c0e WRITE y";
    BOOST_CHECK_THROW(encodeStatement(write), Error);
    Statement set = makeProxyStatement(StatementKind::SetValue);
    set.name = "n v";
    BOOST_CHECK_THROW(encodeStatement(set), Error);
    const LinkTarget target { GroupId("stock"), EndpointId("i-1"), "10.0.0.1:1", OrganisationId("desk") };
    LinkTarget odd = target;
    odd.organisation = OrganisationId("desk i-2");
    BOOST_CHECK_THROW(encodeConnect(odd), Error);
    odd = target;
    odd.endpoint = EndpointId("i-1\r\nQUERY - STEPDOWN 9");
    BOOST_CHECK_THROW(encodeConnect(odd), Error);
}

// CONNECT carries the organisation, and the endpoint's id so that another endpoint at a reused address can reject it.
BOOST_AUTO_TEST_CASE(EncodeConnect_ToEndpoint_NamesOrganisationAndEndpoint)
{
    const LinkTarget target { GroupId("huvo11a"), EndpointId("i-7f3a91c2"), "10.0.0.1:1", OrganisationId("nypu920") };
    BOOST_TEST(encodeConnect(target) == "CONNECT huvo11a nypu920 i-7f3a91c2\r\n");
    LinkTarget open = target;
    open.organisation = OrganisationId();
    BOOST_TEST(encodeConnect(open) == "CONNECT huvo11a - i-7f3a91c2\r\n");
}

BOOST_AUTO_TEST_CASE(EncodeAnswer_ToCaller_MatchesProtocol)
{
    BOOST_TEST(encodeAnswer({ AnswerCode::Done, "", "", TransactionState::Open }) == "COMPLETE -\r\nREADY T -\r\n");
    BOOST_TEST(encodeAnswer({ AnswerCode::Done, "ROW a\r\nCOMPLETE 7.1f\r\n", "", TransactionState::Idle })
        == "ROW a\r\nCOMPLETE 7.1f\r\nREADY I -\r\n");
    BOOST_TEST(encodeAnswer({ AnswerCode::InDoubt, "", "no answer", TransactionState::Failed })
        == "ERROR INDOUBT no answer\r\nREADY E -\r\n");
}

static AnswerDecoder::Progress feed(AnswerDecoder& decoder, const std::vector<std::string>& lines)
{
    auto progress = AnswerDecoder::Progress::More;
    for (const std::string& line : lines)
        progress = decoder.add(line);
    return progress;
}

BOOST_AUTO_TEST_CASE(AnswerDecoder_WholeAnswers_ReadsResultStateAndPosition)
{
    AnswerDecoder decoder;
    BOOST_TEST(
        (feed(decoder, { "ROW q", "ROW r", "COMPLETE 7.1f3", "READY I 3.1209" }) == AnswerDecoder::Progress::Complete));
    EndpointAnswer answer = decoder.take();
    BOOST_TEST((answer.code == AnswerCode::Done));
    BOOST_TEST(answer.signature == "7.1f3");
    BOOST_TEST(answer.result == "ROW q\r\nROW r\r\nCOMPLETE 7.1f3\r\n");
    BOOST_TEST((answer.position == LogPosition { { 3, {} }, 1209 }));
    feed(decoder, { "ERROR READONLY i-7f3a91c2", "READY E -" });
    answer = decoder.take();
    BOOST_TEST((answer.code == AnswerCode::ReadOnly));
    BOOST_TEST(answer.message == "i-7f3a91c2");
    BOOST_TEST((answer.state == TransactionState::Failed));
    BOOST_TEST(!answer.position);
}

BOOST_AUTO_TEST_CASE(AnswerDecoder_Status_ReadsRoleTermAndPosition)
{
    AnswerDecoder decoder;
    feed(decoder, { "ROW replica 3 3.1209 4 12 2 17", "COMPLETE -", "READY I 3.1204" });
    const auto status = decoder.take().status;
    BOOST_REQUIRE(status);
    BOOST_TEST((*status == EndpointStatus { EndpointRole::Replica, 3, { { 3, {} }, 1209 }, 4 }));
}

// Guards against an incomplete answer, followed by another message, that counts as a success.
BOOST_AUTO_TEST_CASE(AnswerDecoder_Broken_IsMalformedOrNoSuccess)
{
    for (const char* line : { "HELLO", "", "READY X 1.1", "ROWS a" }) {
        AnswerDecoder decoder;
        BOOST_TEST((decoder.add(line) == AnswerDecoder::Progress::Malformed), line);
    }
    AnswerDecoder doubled;
    BOOST_TEST((feed(doubled, { "COMPLETE 1", "ROW a" }) == AnswerDecoder::Progress::Malformed));
    AnswerDecoder cut;
    BOOST_TEST((feed(cut, { "ROW a", "READY I 1.1" }) == AnswerDecoder::Progress::Malformed));
    AnswerDecoder empty;
    BOOST_TEST((empty.add("READY I 1.1") == AnswerDecoder::Progress::Opened));
    BOOST_TEST((empty.take().code != AnswerCode::Done));
}

BOOST_AUTO_TEST_CASE(DecodePosition_Texts_ReadsOnlyPositions)
{
    BOOST_TEST((decodePosition("3.1207") == LogPosition { { 3, {} }, 1207 }));
    for (const char* text : { "-", "", "3", "3.", ".7", "a.b", "3.1x", "-1.2" })
        BOOST_TEST(!decodePosition(text), text);
}

BOOST_AUTO_TEST_SUITE_END()
