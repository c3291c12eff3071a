#include "CallerServer.h"

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

/// Session that answers each statement at once and closes after it, as sessions of a stopping VM do.
class ClosingSession : public CallerHandler {
public:
    explicit ClosingSession(CallerLink& link)
        : link(&link)
    {
    }

    void openSession(const std::string&, const std::string&) override { this->link->accept(); }
    void handleStatement(Statement) override
    {
        this->link->answer({});
        this->link->close();
    }
    void handleRefusedMessage(const std::string& reason) override { this->refusals.push_back(reason); }
    void handleDisconnect() override { this->link = nullptr; }

    CallerLink* link;
    std::vector<std::string> refusals;
};

class ClosingSessions : public CallerHandlerFactory {
public:
    std::shared_ptr<CallerHandler> makeHandler(CallerLink& link) override
    {
        this->sessions.push_back(std::make_shared<ClosingSession>(link));
        return this->sessions.back();
    }

    std::vector<std::shared_ptr<ClosingSession>> sessions;
};

/// A server and the connection of one caller.
struct CallerServerFixture {
    CallerServerFixture() { this->caller.connect({ boost::asio::ip::make_address("127.0.0.1"), this->server.port() }); }

    void send(const std::string& text) { boost::asio::write(this->caller, boost::asio::buffer(text)); }

    void run()
    {
        const auto end = std::chrono::steady_clock::now() + 200ms;
        while (std::chrono::steady_clock::now() < end)
            this->context.run_one_for(10ms);
    }

    /// Returns what the caller has received until the connection ended.
    std::string receiveAll()
    {
        std::string received;
        boost::system::error_code error;
        this->caller.non_blocking(true);
        while (!error) {
            char bytes[512];
            received.append(bytes, this->caller.read_some(boost::asio::buffer(bytes), error));
        }
        BOOST_TEST((error == boost::asio::error::eof), error.message());
        return received;
    }

    boost::asio::io_context context;
    ClosingSessions factory;
    CallerServer server { context, "127.0.0.1:0", factory };
    boost::asio::ip::tcp::socket caller { context };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CallerServerTest, CallerServerFixture)

// Guards against a statement that is cut off because it arrived just before its idle session was closed.
BOOST_AUTO_TEST_CASE(Close_StatementHasArrivedUnread_IsAnsweredFirst)
{
    this->send("CONNECT stock key\r\n");
    this->run();
    BOOST_REQUIRE(this->factory.sessions.size() == 1U);
    this->send("QUERY 1 READ x\r\n");
    this->factory.sessions.front()->link->close();
    this->run();
    const std::string received = this->receiveAll();
    BOOST_TEST(received.find("COMPLETE") != std::string::npos);
}

// Guards against a session that is never closed.
BOOST_AUTO_TEST_CASE(Close_NothingHasArrived_ConnectionEnds)
{
    this->send("CONNECT stock key\r\n");
    this->run();
    this->factory.sessions.front()->link->close();
    this->run();
    BOOST_TEST(this->receiveAll().find("COMPLETE") == std::string::npos);
}

// Guards against a connection that the system has accepted for the server and that is reset when the server stops.
BOOST_AUTO_TEST_CASE(StopAccepting_ConnectionIsWaiting_IsServed)
{
    this->send("CONNECT stock key\r\nQUERY 1 READ x\r\n");
    this->server.stopAccepting();
    this->run();
    const std::string received = this->receiveAll();
    BOOST_TEST(received.find("COMPLETE") != std::string::npos);
}

// Guards against a caller that is disconnected without a word of the cause in the log.
BOOST_AUTO_TEST_CASE(Message_NotOfTheProtocol_SessionIsToldTheReason)
{
    this->send("CONNECT stock key\r\nHELLO\r\n");
    this->run();
    BOOST_REQUIRE(this->factory.sessions.size() == 1U);
    BOOST_TEST(this->factory.sessions.front()->refusals == std::vector<std::string> { "not a message" },
        boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
