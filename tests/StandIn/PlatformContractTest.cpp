#include "StandIn/PlatformServer.h"
#include "StandIn/StandInClient.h"

#include <boost/test/unit_test.hpp>

using namespace Lavendervane;
using namespace Lavendervane::StandIn;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(PlatformContractTest)

struct Step {
    std::string method;
    std::string path;
    std::string request;
    std::string expected; ///< part of the response, "broken" for a closed connection, or an HTTP status
    bool eventually = false;
};

struct PlatformCase {
    std::string name;
    std::vector<Step> steps;
};

static Step post(const std::string& path, const std::string& request, const std::string& expected)
{
    return { "POST", path, request, expected };
}

static Step put(const std::string& key, int revision, int value, const std::string& expected)
{
    return post("/table/transact",
        R"({"change_id":"c","compare":[{"key":")" + key + R"(","revision":)" + std::to_string(revision)
            + R"(}],"put":[{"key":")" + key + R"(","value":{"n":)" + std::to_string(value) + "}}]}",
        expected);
}

static Step readRow(const std::string& key, const std::string& row)
{
    return post("/table/read", R"({"keys":[")" + key + "\"]}", R"({"rows":[)" + row + "]}");
}

static const std::string committed = R"({"committed":true})";
static const std::string conflict = R"({"committed":false})";
static const std::string absent = R"({"revision":0,"value":null})";

static const std::vector<PlatformCase> cases = {
    { "an absent row has revision 0", { readRow("a", R"({"key":"a","revision":0,"value":null})") } },
    { "a put is read back", { put("a", 0, 1, committed), readRow("a", R"({"revision":1,"value":{"n":1}})") } },
    { "a compared row that changed is a conflict and gives the current row",
        { put("a", 0, 1, committed),
            put("a", 0, 2, R"({"committed":false,"rows":[{"key":"a","revision":1,"value":{"n":1}}]})"),
            readRow("a", R"({"value":{"n":1}})"), put("a", 1, 2, committed), readRow("a", R"({"value":{"n":2}})") } },
    { "a conflict changes no row of the transaction",
        { put("a", 0, 1, committed),
            post("/table/transact",
                R"({"compare":[{"key":"a","revision":0}],"put":[{"key":"b","value":1}],"delete":["a"]})", conflict),
            readRow("b", absent), readRow("a", R"({"value":{"n":1}})") } },
    { "a request of the wrong form changes no row",
        { post("/table/transact", R"({"put":[{"key":"b","value":1},{"value":1}]})", "400"), readRow("b", absent),
            post("/table/read", "{}", "400"), post("/nowhere", "{}", "404") } },
    { "a deleted and rewritten row gets a new revision",
        { put("a", 0, 1, committed),
            post("/table/transact", R"({"compare":[{"key":"a","revision":1}],"delete":["a"]})", committed),
            readRow("a", absent), put("a", 1, 2, conflict), put("a", 0, 2, committed),
            readRow("a", R"({"revision":3})") } },
    { "a scan is ordered, bounded and continues after a key",
        { put("p/2", 0, 2, committed), put("p/1", 0, 1, committed), put("p/3", 0, 3, committed),
            put("q", 0, 4, committed),
            post("/table/scan", R"({"prefix":"p/","limit":2})", R"({"rows":[{"key":"p/1"},{"key":"p/2"}]})"),
            post("/table/scan", R"({"prefix":"p/","after":"p/2","limit":2})", R"({"rows":[{"key":"p/3"}]})") } },
    { "objects",
        { { "GET", "/objects/snapshot", "", "404" }, { "PUT", "/objects/snapshot", R"({"version":100})", "200" },
            { "GET", "/objects/snapshot", "", R"({"version":100})" } } },
    { "the VM list lags",
        { { "GET", "/vms", "", R"({"vms":[{"id":"first"}],"age_ms":0})" },
            post("/control", R"({"vm_list_lag_ms":200,"vms":[{"id":"second"}]})", R"({"vm_list_lag_ms":200})"),
            { "GET", "/vms", "", R"({"vms":[{"id":"first"}],"age_ms":200})" },
            { "GET", "/vms", "", R"({"vms":[{"id":"second"}]})", true } } },
    { "an outage runs nothing",
        { post("/control", R"({"outage":true})", "{}"), put("a", 0, 1, "broken"), { "GET", "/vms", "", "broken" },
            post("/control", R"({"outage":false})", "{}"), readRow("a", absent) } },
    { "a lost answer belongs to a transaction that committed",
        { post("/control", R"({"lose_answers":true})", "{}"), put("a", 0, 1, "broken"),
            post("/control", R"({"lose_answers":false})", "{}"), readRow("a", R"({"value":{"n":1}})") } },
};

struct Platform {
    boost::asio::io_context context;
    PlatformServer server { context, "127.0.0.1:0", Json::parse(R"([{"id":"first"}])") };
    StandInClient client { context };

    HttpExchange exchange(const Step& step)
    {
        return this->client.exchange(
            "main", "127.0.0.1:" + std::to_string(this->server.port()), step.method, step.path, step.request);
    }

    static bool matches(const Step& step, const HttpExchange& exchange)
    {
        if (step.expected == "broken" || exchange.status != ExchangeStatus::Answered)
            return step.expected == "broken" && exchange.status == ExchangeStatus::Broken;
        if (step.expected.front() != '{')
            return std::to_string(exchange.httpStatus) == step.expected;
        return exchange.httpStatus == 200 && contains(Json::parse(exchange.body), Json::parse(step.expected));
    }

    void run(const Step& step, const std::string& name)
    {
        HttpExchange last = this->exchange(step);
        const auto deadline = std::chrono::steady_clock::now() + 5s;
        while (step.eventually && !matches(step, last) && std::chrono::steady_clock::now() < deadline) {
            this->client.runFor(5ms);
            last = this->exchange(step);
        }
        BOOST_TEST(matches(step, last),
            name << ": " << step.path << " " << step.request << " gave " << last.httpStatus << " " << last.body);
    }
};

// Each case checks the guarantee of section 6.3 that its name states.
BOOST_AUTO_TEST_CASE(Platform_Contract_HoldsInEveryCase)
{
    for (const PlatformCase& example : cases) {
        Platform platform;
        for (const Step& step : example.steps)
            platform.run(step, example.name);
    }
}

BOOST_AUTO_TEST_CASE(Platform_Delay_HoldsBackTheEffect)
{
    Platform platform;
    platform.run(post("/control", R"({"delay_ms":100})", R"({"delay_ms":100})"), "control");
    const auto start = std::chrono::steady_clock::now();
    platform.run(put("a", 0, 1, committed), "slow put");
    BOOST_TEST((std::chrono::steady_clock::now() - start >= 100ms));
}

BOOST_AUTO_TEST_SUITE_END()
