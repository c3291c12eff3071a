#include "Http/HttpConnection.h"
#include "Http/HttpServer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>
#include <vector>

using namespace Lavendervane;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(HttpConnectionTest)

/// Responds with the body of the request. Does not respond to "/hold" until the test ends.
class EchoHandler : public HttpHandler {
public:
    explicit EchoHandler(std::vector<HttpRespond>& held)
        : held(held)
    {
    }

    void handle(HttpRequest request, HttpRespond respond) override
    {
        if (request.target() == "/hold")
            this->held.push_back(std::move(respond));
        else
            respond(makeJsonResponse(200, request.body()));
    }

    HttpResponse makeErrorResponse(unsigned status, const std::string& reason) override
    {
        return makeJsonResponse(status, reason);
    }

private:
    std::vector<HttpRespond>& held;
};

struct EchoServer {
    boost::asio::io_context context;
    std::vector<HttpRespond> held;
    HttpServer server { context, { .address = "127.0.0.1:0", .bodyLimit = 1000 },
        [this] { return std::make_shared<EchoHandler>(this->held); } };
    std::string address = "127.0.0.1:" + std::to_string(server.port());

    HttpExchange exchange(HttpConnection& connection, const std::string& target, std::string body)
    {
        std::optional<HttpExchange> result;
        connection.exchange(
            "POST", target, std::move(body), 300ms, [&result](HttpExchange exchange) { result = std::move(exchange); });
        while (!result)
            this->context.run_one();
        return *result;
    }
};

BOOST_FIXTURE_TEST_CASE(Connection_TwoExchanges_IsReused, EchoServer)
{
    HttpConnection connection(context, address);
    BOOST_TEST(exchange(connection, "/", "first").body == "first");
    BOOST_TEST(connection.isReusable());
    BOOST_TEST(exchange(connection, "/", "second").body == "second");
    BOOST_TEST(server.connectionCount() == 1U);
}

// If the connection were reused after a timeout, the late answer would be taken for that to the next request.
BOOST_FIXTURE_TEST_CASE(Connection_UnansweredExchange_IsNotReusable, EchoServer)
{
    HttpConnection connection(context, address);
    BOOST_TEST((exchange(connection, "/hold", "x").status == ExchangeStatus::TimedOut));
    BOOST_TEST(!connection.isReusable());
}

// Guards the status that tells callers that nothing reached the peer: only a failed connect proves that.
BOOST_FIXTURE_TEST_CASE(Connection_NothingListens_ReportsConnectFailed, EchoServer)
{
    server.stopAccepting();
    HttpConnection connection(context, address);
    const auto result = exchange(connection, "/", "x");
    BOOST_TEST((result.status == ExchangeStatus::ConnectFailed));
    BOOST_TEST(result.connectionRefused);
}

BOOST_FIXTURE_TEST_CASE(Connection_PeerClosedWhileIdle_IsNotReusable, EchoServer)
{
    HttpConnection connection(context, address);
    exchange(connection, "/", "x");
    server.stopAccepting();
    context.run_for(20ms);
    BOOST_TEST(!connection.isReusable());
}

// Bytes beyond an answer belong to no request; the next one would take them for its answer.
BOOST_FIXTURE_TEST_CASE(Connection_AnswerArrivesTwiceAtOnce_IsNotReusable, EchoServer)
{
    boost::asio::ip::tcp::acceptor acceptor(context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    HttpConnection connection(context, "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
    boost::asio::ip::tcp::socket peer(context);
    acceptor.async_accept(peer, [&peer](const boost::system::error_code&) {
        const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
        boost::asio::write(peer, boost::asio::buffer(answer + answer));
    });
    BOOST_TEST(exchange(connection, "/", "x").body == "first");
    BOOST_TEST(!connection.isReusable());
}

BOOST_FIXTURE_TEST_CASE(Server_OversizedBody_AnswersWithoutReset, EchoServer)
{
    HttpConnection connection(context, address);
    const auto result = exchange(connection, "/", std::string(5000, 'x'));
    BOOST_TEST((result.status == ExchangeStatus::Answered));
    BOOST_TEST(result.httpStatus == 413U);
}

BOOST_AUTO_TEST_SUITE_END()
