#include "Platform/PlatformClient.h"
#include "Http/HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>

#include <optional>
#include <vector>

using namespace Lavendervane;
using namespace std::chrono_literals;
using nlohmann::json;

BOOST_AUTO_TEST_SUITE(PlatformClientTest)

/// Records requests and answers them with `status` and `body`, or keeps the answers back while `withholdsAnswers`.
struct ScriptedPlatform {
    struct Handler : HttpHandler {
        explicit Handler(ScriptedPlatform& platform)
            : platform(platform)
        {
        }
        void handle(HttpRequest request, HttpRespond respond) override
        {
            this->platform.requests.push_back(std::move(request));
            if (this->platform.withholdsAnswers)
                this->platform.withheldAnswers.push_back(std::move(respond));
            else
                respond(makeJsonResponse(this->platform.status, this->platform.body));
        }
        HttpResponse makeErrorResponse(unsigned status, const std::string&) override
        {
            return makeJsonResponse(status, "{}");
        }
        ScriptedPlatform& platform;
    };

    boost::asio::io_context context;
    std::vector<HttpRequest> requests;
    std::vector<HttpRespond> withheldAnswers;
    bool withholdsAnswers = false;
    unsigned status = 200;
    std::string body = "{}";
    HttpServer server { context, { .address = "127.0.0.1:0" }, [this] { return std::make_shared<Handler>(*this); } };
    PlatformClient client { context, "127.0.0.1:" + std::to_string(server.port()), 200ms };

    template <typename Result> auto capture(std::optional<Result>& result)
    {
        return [&result](Result value) { result = std::move(value); };
    }

    template <typename Result> Result await(std::optional<Result>& result)
    {
        const auto deadline = std::chrono::steady_clock::now() + 5s;
        while (!result && std::chrono::steady_clock::now() < deadline)
            this->context.run_one_for(100ms);
        BOOST_REQUIRE(result);
        return *result;
    }

    TableResult transact()
    {
        std::optional<TableResult> result;
        this->client.transact({ "change-1", { { "head", 3 } }, { { "head", "four" } } }, this->capture(result));
        return this->await(result);
    }

    TableResult read()
    {
        std::optional<TableResult> result;
        this->client.read({ "head" }, this->capture(result));
        return this->await(result);
    }
};

BOOST_FIXTURE_TEST_CASE(Transaction_Committed_SendsConditionsAndWrites, ScriptedPlatform)
{
    body = R"({"committed":true,"rows":[]})";
    BOOST_TEST((transact().status == TableStatus::Done));
    const json sent = json::parse(requests.at(0).body());
    BOOST_TEST(requests.at(0).target() == "/table/transact");
    BOOST_TEST(sent["change_id"] == "change-1");
    BOOST_TEST(sent["compare"].dump() == R"([{"key":"head","revision":3}])");
    BOOST_TEST(sent["put"].dump() == R"([{"key":"head","value":"four"}])");
}

// A writer whose condition failed needs the current rows for its next attempt.
BOOST_FIXTURE_TEST_CASE(Transaction_ConditionFails_ReturnsCurrentRows, ScriptedPlatform)
{
    body = R"({"committed":false,"rows":[{"key":"head","revision":4,"value":"other"}]})";
    const TableResult expected { TableStatus::Conflict, { { "head", 4, "other" } } };
    BOOST_TEST((transact() == expected));
}

// Guards against a transaction that runs twice: if its answer was lost, it may be committed.
BOOST_FIXTURE_TEST_CASE(Transaction_AnswerIsLost_IsUnknown, ScriptedPlatform)
{
    withholdsAnswers = true;
    BOOST_TEST((transact().status == TableStatus::Unknown));
    BOOST_TEST(requests.size() == 1U);
}

// An error answer may come from a gateway, after the transaction was committed behind it.
BOOST_FIXTURE_TEST_CASE(Transaction_ServerError_IsUnknown, ScriptedPlatform)
{
    status = 503;
    BOOST_TEST((transact().status == TableStatus::Unknown));
}

BOOST_FIXTURE_TEST_CASE(Transaction_NothingListens_IsNotSent, ScriptedPlatform)
{
    server.stopAccepting();
    BOOST_TEST((transact().status == TableStatus::NotSent));
}

// Guards against a late answer to a timed-out call that is taken for the answer to the next call.
BOOST_FIXTURE_TEST_CASE(Read_EarlierAnswerIsLate_GetsItsOwnAnswer, ScriptedPlatform)
{
    withholdsAnswers = true;
    BOOST_TEST((read().status == TableStatus::Unknown));
    withholdsAnswers = false;
    withheldAnswers.at(0)(makeJsonResponse(200, R"({"rows":[{"key":"head","revision":1,"value":"late"}]})"));
    body = R"({"rows":[{"key":"head","revision":2,"value":"current"}]})";
    const TableResult expected { TableStatus::Done, { { "head", 2, "current" } } };
    BOOST_TEST((read() == expected));
}

BOOST_FIXTURE_TEST_CASE(Read_MalformedAnswer_IsUnknown, ScriptedPlatform)
{
    body = R"({"rows":[{"revision":2}]})";
    BOOST_TEST((read().status == TableStatus::Unknown));
}

// The first read of the configuration chain finds no head row, which the platform reports with a null value.
BOOST_FIXTURE_TEST_CASE(Read_AbsentRow_HasRevisionZero, ScriptedPlatform)
{
    body = R"({"rows":[{"key":"head","revision":0,"value":null}]})";
    const TableResult expected { TableStatus::Done, { { "head", 0, "" } } };
    BOOST_TEST((read() == expected));
}

BOOST_FIXTURE_TEST_CASE(Scan_Rows_SendsRange, ScriptedPlatform)
{
    body = R"({"rows":[{"key":"a/2","revision":1,"value":"x"}]})";
    std::optional<TableResult> result;
    client.scan("a/", "a/1", 50, capture(result));
    BOOST_TEST(await(result).rows.size() == 1U);
    BOOST_TEST(json::parse(requests.at(0).body()).dump() == R"({"after":"a/1","limit":50,"prefix":"a/"})");
}

BOOST_FIXTURE_TEST_CASE(VmList_LeavingVm_IsMarked, ScriptedPlatform)
{
    body = R"({"vms":[{"id":"vm-1","address":"10.0.0.1:7000","data_centre":"szeged","state":"live"},
        {"id":"vm-2","address":"10.0.0.2:7000","data_centre":"szeged","state":"leaving"}],"age_ms":5})";
    std::optional<std::optional<std::vector<Member>>> result;
    client.listVms(capture(result));
    const auto vms = await(result);
    BOOST_REQUIRE(vms.has_value());
    BOOST_TEST((vms->at(0).state == MemberState::Alive));
    BOOST_TEST((vms->at(1) == Member { VmId("vm-2"), "10.0.0.2:7000", DataCentre("szeged"), 0, MemberState::Leaving }));
}

// Guards against a failed call that is taken for an empty list of VMs.
BOOST_FIXTURE_TEST_CASE(VmList_NoAnswer_IsEmptyOptional, ScriptedPlatform)
{
    withholdsAnswers = true;
    std::optional<std::optional<std::vector<Member>>> result;
    client.listVms(capture(result));
    BOOST_TEST(!await(result).has_value());
}

BOOST_FIXTURE_TEST_CASE(Object_Absent_IsEmpty, ScriptedPlatform)
{
    status = 404;
    std::optional<std::optional<std::string>> result;
    client.getObject("snapshot", capture(result));
    BOOST_TEST(!await(result).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
