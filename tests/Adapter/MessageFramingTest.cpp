#include "CallerServer.h"
#include "ScriptedEndpoint.h"
#include "Wire.h"

#include "Statements/CallerLink.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

using namespace Lavendervane;
using namespace Lavendervane::Adapter;
using namespace std::chrono_literals;

namespace {

// Texts that a caller or an endpoint may send in the last field of a message.
const std::vector<std::string> oddTexts { "a\nb", "\n", "a\n", "\na", "a\rb", "a\r", "\r\r", "a\n\r", " a ", "a\tb ",
    "\xff\xfe\x80", std::string("a\0b", 3), "a\nQUERY 2 WRITE y b", "a\nCOMPLETE 9.9\nREADY I 9.9" };

/// Records the statements of its caller and answers each one.
class RecordingSession : public CallerHandler {
public:
    RecordingSession(CallerLink& link, std::vector<Statement>& statements)
        : link(&link)
        , statements(statements)
    {
    }

    void openSession(const std::string&, const std::string&) override { this->link->accept(); }
    void handleStatement(Statement statement) override
    {
        this->statements.push_back(std::move(statement));
        this->link->answer({});
    }
    void handleRefusedMessage(const std::string&) override { }
    void handleDisconnect() override { this->link = nullptr; }

private:
    CallerLink* link;
    std::vector<Statement>& statements;
};

class RecordingSessions : public CallerHandlerFactory {
public:
    std::shared_ptr<CallerHandler> makeHandler(CallerLink& link) override
    {
        return std::make_shared<RecordingSession>(link, this->statements);
    }

    std::vector<Statement> statements;
};

/// A server and one caller, whose bytes the test writes itself.
struct CallerFixture {
    CallerFixture()
    {
        this->caller.connect({ boost::asio::ip::make_address("127.0.0.1"), this->server.port() });
        this->caller.set_option(boost::asio::ip::tcp::no_delay(true));
        this->send("CONNECT stock key\r\n");
    }

    void send(const std::string& bytes)
    {
        boost::system::error_code ignored; // the server may have closed the connection
        boost::asio::write(this->caller, boost::asio::buffer(bytes), ignored);
        while (this->context.run_one_for(20ms))
            continue;
    }

    boost::asio::io_context context;
    RecordingSessions factory;
    CallerServer server { context, "127.0.0.1:0", factory };
    boost::asio::ip::tcp::socket caller { context };
};

Statement makeWrite(const std::string& text)
{
    Statement write;
    write.kind = StatementKind::Write;
    write.id = "1";
    write.text = "WRITE x " + text;
    return write;
}

} // namespace

BOOST_AUTO_TEST_SUITE(MessageFramingTest)

// Guards against a text with a line feed that is cut there, and whose rest runs as a statement of its own.
BOOST_FIXTURE_TEST_CASE(Caller_TextHoldsAnyBytes_StatementArrivesWhole, CallerFixture)
{
    std::vector<Statement> sent;
    for (const std::string& text : oddTexts) {
        sent.push_back(makeWrite(text));
        this->send("QUERY 1 WRITE x " + text + "\r\n");
    }
    BOOST_REQUIRE_EQUAL(this->factory.statements.size(), sent.size());
    for (size_t index = 0; index < sent.size(); ++index)
        BOOST_TEST((this->factory.statements[index] == sent[index]), this->factory.statements[index].text);
}

// Guards against a message whose end is missed or found too early because it arrives in several segments.
BOOST_FIXTURE_TEST_CASE(Caller_MessageArrivesInSegments_StatementArrivesWhole, CallerFixture)
{
    const std::string message = "QUERY 1 WRITE x a\r\r\n";
    for (size_t cut = 1; cut < message.size(); ++cut) {
        this->send(message.substr(0, cut));
        this->send(message.substr(cut));
    }
    BOOST_REQUIRE_EQUAL(this->factory.statements.size(), message.size() - 1);
    for (const Statement& statement : this->factory.statements)
        BOOST_TEST((statement == makeWrite("a\r")), statement.text);
}

// Guards against a long message that is cut, and against one over the limit that is taken.
BOOST_FIXTURE_TEST_CASE(Caller_MessageOfTheSizeLimit_StatementArrivesWhole, CallerFixture)
{
    const std::string start = "QUERY 1 WRITE x ";
    std::string text(maxMessageBytes - start.size(), 'a');
    for (size_t index = 0; index < text.size(); index += 1000)
        text[index] = index % 2000 ? '\r' : '\n';
    const std::string message = start + text + "\r\n";
    for (size_t sent = 0; sent < message.size(); sent += 50'000)
        this->send(message.substr(sent, 50'000));
    BOOST_REQUIRE_EQUAL(this->factory.statements.size(), 1U);
    BOOST_TEST((this->factory.statements.front() == makeWrite(text)));
    for (size_t sent = 0; sent <= message.size(); sent += 50'000)
        this->send((start + "b" + message.substr(start.size())).substr(sent, 50'000));
    BOOST_TEST(this->factory.statements.size() == 1U);
}

// Guards against a line feed in a row that makes the rest of the row a message of its own.
BOOST_FIXTURE_TEST_CASE(Endpoint_RowHoldsAnyBytes_AnswerArrivesWhole, ScriptedEndpoint)
{
    for (size_t index = 0; index < oddTexts.size(); ++index) {
        this->send({ makeWrite("a") });
        const std::string result = "ROW " + oddTexts[index] + "\r\nCOMPLETE 7." + std::to_string(index) + "\r\n";
        this->write(result + "READY I 1.2\r\n");
        BOOST_REQUIRE_EQUAL(this->listener.batches.size(), index + 1);
        BOOST_TEST(this->listener.batches.back().front().result == result);
    }
    BOOST_TEST(!this->listener.failure);
}

// Guards against a text that reaches the endpoint changed.
BOOST_FIXTURE_TEST_CASE(Endpoint_TextHoldsAnyBytes_ReceivesItUnchanged, ScriptedEndpoint)
{
    for (size_t index = 0; index < oddTexts.size(); ++index) {
        this->send({ makeWrite(oddTexts[index]) });
        BOOST_TEST(this->receive() == "QUERY 1 WRITE x " + oddTexts[index] + "\r\n");
        this->write("COMPLETE 7." + std::to_string(index) + "\r\nREADY I 1.2\r\n");
    }
}

// Guards against a statement of another VM that the endpoint would read as two.
BOOST_FIXTURE_TEST_CASE(Endpoint_TextHoldsALineEnd_NothingIsSent, ScriptedEndpoint)
{
    this->send({ makeWrite("a\r\nQUERY 2 WRITE y b") });
    BOOST_TEST(this->receive() == "");
    BOOST_TEST(this->listener.failure.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
