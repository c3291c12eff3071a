#include "Http/HttpServer.h"
#include "StandIn/FaultProxy.h"
#include "StandIn/StandInClient.h"

#include <boost/test/unit_test.hpp>

using namespace Lavendervane;
using namespace Lavendervane::StandIn;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(FaultProxyContractTest)

/// Counts requests and echoes their bodies.
class CountingHandler : public HttpHandler {
public:
    explicit CountingHandler(size_t& count)
        : count(count)
    {
    }

    void handle(HttpRequest request, HttpRespond respond) override
    {
        ++this->count;
        respond(makeJsonResponse(200, request.body()));
    }

    HttpResponse makeErrorResponse(unsigned status, const std::string& reason) override
    {
        return makeJsonResponse(status, reason);
    }

private:
    size_t& count;
};

struct ProxiedServer {
    boost::asio::io_context context;
    size_t served = 0;
    HttpServer server { context, { .address = "127.0.0.1:0" },
        [this] { return std::make_shared<CountingHandler>(this->served); } };
    FaultProxy proxy { context, "127.0.0.1:0",
        { { "one", "127.0.0.1:0", "127.0.0.1:" + std::to_string(server.port()) },
            { "two", "127.0.0.1:0", "127.0.0.1:" + std::to_string(server.port()) } } };
    StandInClient client { context };

    ProxiedServer() { this->client.timeout = 150ms; }

    ExchangeStatus request(const std::string& connection, const std::string& pair = "one")
    {
        return this->client.exchange(connection, this->proxy.listenAddress(pair), "POST", "/", connection).status;
    }

    /// Sets faults with a control request.
    void control(const std::string& request)
    {
        const auto answer = this->client.exchange(
            "control", "127.0.0.1:" + std::to_string(this->proxy.controlPort()), "POST", "/control", request);
        BOOST_TEST(answer.httpStatus == 200U, answer.body);
    }
};

struct FaultCase {
    std::string name;
    std::string fault;
    ExchangeStatus existing;
    size_t existingServed; ///< number of requests on the existing connection that reach the target
    ExchangeStatus fresh;
};

// An ineffective fault would let tests that use the fault proxy pass without the fault.
BOOST_AUTO_TEST_CASE(Fault_ExistingAndNewConnections_AreAffectedAsDeclared)
{
    const auto answered = ExchangeStatus::Answered;
    const auto timedOut = ExchangeStatus::TimedOut;
    const std::vector<FaultCase> cases = {
        { "none", "{}", answered, 1, answered },
        { "delay", R"({"delay_ms":10})", answered, 1, answered },
        { "cut to the target", R"({"cut_to_target":true})", timedOut, 0, timedOut },
        { "cut to the client", R"({"cut_to_client":true})", timedOut, 1, timedOut },
        { "cut both ways", R"({"cut_to_target":true,"cut_to_client":true})", timedOut, 0, timedOut },
        { "silent", R"({"silent":true})", timedOut, 0, answered },
        { "freeze", R"({"freeze":true})", timedOut, 0, timedOut },
        { "refuse", R"({"refuse_new":true})", answered, 1, ExchangeStatus::ConnectFailed },
    };
    for (const FaultCase& example : cases) {
        ProxiedServer proxied;
        BOOST_TEST((proxied.request("existing") == answered), example.name);
        proxied.served = 0;
        proxied.control(R"({"pairs":{"one":)" + example.fault + "}}");
        BOOST_TEST((proxied.request("existing") == example.existing), example.name);
        BOOST_TEST(proxied.served == example.existingServed, example.name);
        BOOST_TEST((proxied.request("fresh") == example.fresh), example.name);
        BOOST_TEST((proxied.request("other pair", "two") == answered), example.name);
        proxied.control(R"({"heal":true})");
        BOOST_TEST((proxied.request("healed") == answered), example.name);
    }
}

BOOST_FIXTURE_TEST_CASE(Delay_OneExchange_IsDelayedInEachDirection, ProxiedServer)
{
    client.timeout = 2000ms;
    control(R"({"pairs":{"*":{"delay_ms":60}}})");
    const auto start = std::chrono::steady_clock::now();
    BOOST_TEST((request("a") == ExchangeStatus::Answered));
    BOOST_TEST((std::chrono::steady_clock::now() - start >= 120ms));
}

// TCP never delivers the bytes after a gap, so the proxy must not deliver them either.
BOOST_FIXTURE_TEST_CASE(Cut_HealedWhileAnExchangeWaits_DeliversNothingOnThatConnection, ProxiedServer)
{
    client.timeout = 400ms;
    BOOST_TEST((request("existing") == ExchangeStatus::Answered));
    control(R"({"pairs":{"one":{"cut_to_client":true}}})");
    std::optional<HttpExchange> result;
    client.start("existing", proxy.listenAddress("one"), "POST", "/", "x", result);
    client.runFor(50ms);
    control(R"({"heal":true})");
    client.runUntil([&] { return result.has_value(); });
    BOOST_REQUIRE(result);
    BOOST_TEST((result->status == ExchangeStatus::TimedOut));
}

// Simulates a paused process: all bytes must be delivered when the freeze ends.
BOOST_FIXTURE_TEST_CASE(Freeze_EndedWhileExchangesWait_DeliversTheHeldBytes, ProxiedServer)
{
    client.timeout = 2000ms;
    BOOST_TEST((request("existing") == ExchangeStatus::Answered));
    control(R"({"pairs":{"one":{"freeze":true}}})");
    std::optional<HttpExchange> existing;
    std::optional<HttpExchange> fresh;
    client.start("existing", proxy.listenAddress("one"), "POST", "/", "x", existing);
    client.start("fresh", proxy.listenAddress("one"), "POST", "/", "y", fresh);
    client.runFor(100ms);
    BOOST_TEST(!existing);
    BOOST_TEST(!fresh);
    control(R"({"pairs":{"one":{"freeze":false}}})");
    client.runUntil([&] { return existing && fresh; });
    BOOST_REQUIRE((existing && fresh));
    BOOST_TEST(existing->body == "x");
    BOOST_TEST(fresh->body == "y");
}

BOOST_FIXTURE_TEST_CASE(Silence_Healed_StaysForTheSilencedConnection, ProxiedServer)
{
    BOOST_TEST((request("existing") == ExchangeStatus::Answered));
    control(R"({"pairs":{"one":{"silent":true}}})");
    control(R"({"heal":true})");
    BOOST_TEST((request("existing") == ExchangeStatus::TimedOut));
}

BOOST_FIXTURE_TEST_CASE(Connection_ClientCloses_IsClosedAtTheTarget, ProxiedServer)
{
    BOOST_TEST((request("a") == ExchangeStatus::Answered));
    BOOST_TEST(server.connectionCount() == 1U);
    client.close("a");
    BOOST_TEST(client.runUntil([&] { return server.connectionCount() == 0; }));
}

BOOST_FIXTURE_TEST_CASE(Control_UnknownPair_IsRejected, ProxiedServer)
{
    const auto answer = client.exchange("control", "127.0.0.1:" + std::to_string(proxy.controlPort()), "POST",
        "/control", R"({"pairs":{"nowhere":{"freeze":true}}})");
    BOOST_TEST(answer.httpStatus == 400U);
}

BOOST_AUTO_TEST_SUITE_END()
