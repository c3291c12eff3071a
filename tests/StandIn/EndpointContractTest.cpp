#include "StandIn/EndpointServer.h"
#include "StandIn/StandInClient.h"

#include <boost/test/unit_test.hpp>

#include <regex>

using namespace Lavendervane;
using namespace Lavendervane::StandIn;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(EndpointContractTest)

/// A request and the expected content of its response. In texts, "$0" to "$2" stand for the members' addresses and
/// "@1", "@2" for the terms {1, ""}, {2, "x"} and so on.
struct Step {
    int member;
    std::string path;
    std::string request;
    std::string expected; ///< "broken": the connection must end without a response
    std::string connection = "main";
    bool eventually = false; ///< repeats the request until the response is as expected
};

struct EndpointCase {
    std::string name;
    std::vector<Step> steps;
    EndpointSettings settings = {};
};

static std::string write(const std::string& term, const std::string& key, const std::string& value,
    const std::string& idempotency = "", const std::string& digest = "")
{
    return R"({"exchange_id":"w","organisation":"o","access":"write","term":)" + term + R"(,"idempotency_key":")"
        + idempotency + R"(","digest":")" + digest + R"(","statements":[{"op":"put","key":")" + key + R"(","value":)"
        + value + "}]}";
}

static std::string read(const std::string& key, const std::string& organisation = "o", const std::string& more = "")
{
    return R"({"exchange_id":"r","organisation":")" + organisation
        + R"(","access":"read","statements":[{"op":"get","key":")" + key + "\"}]" + more + "}";
}

static std::string value(const std::string& json) { return R"({"outcome":"done","results":[{"value":)" + json + "}]}"; }

static std::string notRun(const std::string& code) { return R"({"outcome":"not_run","code":")" + code + "\"}"; }

static const std::string done = R"({"outcome":"done","code":""})";
static const std::string accepted = R"({"accepted":true})";
static const std::string rejected = R"({"accepted":false})";
static const std::string delayReplication = R"({"lag_ms":100000})"; // replication does not start within a test

/// Member 0 is the first primary of a group of three.
struct EndpointGroup {
    boost::asio::io_context context;
    std::vector<std::unique_ptr<EndpointServer>> members;
    StandInClient client { context };

    explicit EndpointGroup(EndpointSettings settings = {})
    {
        settings.address = "127.0.0.1:0";
        for (int index = 0; index < 2; ++index)
            this->members.push_back(std::make_unique<EndpointServer>(this->context, settings));
        settings.firstPrimary = true;
        settings.replicas = { this->members[0]->address(), this->members[1]->address() };
        this->members.insert(this->members.begin(), std::make_unique<EndpointServer>(this->context, settings));
    }

    std::string expand(std::string text) const
    {
        for (size_t index = 0; index < this->members.size(); ++index)
            text = std::regex_replace(text, std::regex("\\$" + std::to_string(index)), this->members[index]->address());
        text = std::regex_replace(text, std::regex("@1"), R"({"counter":1,"vm":""})");
        return std::regex_replace(text, std::regex("@([2-9])"), R"({"counter":$1,"vm":"x"})");
    }

    std::string answer(const Step& step)
    {
        const std::string connection = std::to_string(step.member) + step.connection;
        if (step.path == "close") {
            this->client.close(connection);
            return "{}";
        }
        const auto exchange = this->client.exchange(
            connection, this->members[step.member]->address(), "POST", step.path, this->expand(step.request));
        return exchange.status == ExchangeStatus::Answered ? exchange.body : "broken";
    }

    bool matches(const Step& step, const std::string& answer) const
    {
        if (step.expected == "broken" || answer == "broken")
            return step.expected == answer;
        return contains(Json::parse(answer), Json::parse(this->expand(step.expected)));
    }

    void run(const Step& step, const std::string& name)
    {
        std::string last = this->answer(step);
        const auto deadline = std::chrono::steady_clock::now() + 5s;
        while (step.eventually && !this->matches(step, last) && std::chrono::steady_clock::now() < deadline) {
            this->client.runFor(5ms);
            last = this->answer(step);
        }
        BOOST_TEST(this->matches(step, last), name << ": " << step.path << " " << step.request << " gave " << last);
    }
};

static const Step writeAtFirst { 0, "/execute", write("@1", "a", "1"), done };
static const Step replicatedTo1 { 1, "/execute", read("a"), value("1"), "main", true };
static const Step replicatedTo2 { 2, "/execute", read("a"), value("1"), "main", true };

static std::vector<Step> operator+(std::vector<Step> left, const std::vector<Step>& right)
{
    left.insert(left.end(), right.begin(), right.end());
    return left;
}

// Members 1 and 2 promise term 2 and member 1 becomes its primary; member 0 is not notified.
static const std::vector<Step> promote1 = { { 1, "/fence", R"({"term":@2})", accepted },
    { 2, "/fence", R"({"term":@2})", accepted }, { 1, "/promote", R"({"term":@2,"members":["$0","$2"]})", accepted } };

static std::vector<EndpointCase> executeCases()
{
    return {
        { "results are in order and the exchange id is echoed",
            { { 0, "/execute",
                R"({"exchange_id":7,"organisation":"o","access":"write","term":@1,"statements":[
                    {"op":"put","key":"a","value":1},{"op":"add","key":"a","amount":4},{"op":"get","key":"a"},
                    {"op":"append","key":"b","value":"x"},{"op":"append","key":"b","value":"y"},
                    {"op":"get","key":"b"},{"op":"get","key":"none"}]})",
                R"({"exchange_id":7,"outcome":"done","role":"primary","primary":"$0","term":@1,"position":2,
                    "first_position":1,"replayed":false,"results":[{"ok":true},{"value":5},{"value":5},{"ok":true},
                    {"ok":true},{"value":"xy"},{"value":null}]})" } } },
        { "a failing statement undoes the whole request",
            { { 0, "/execute",
                  R"({"organisation":"o","access":"write","term":@1,"statements":[{"op":"put","key":"a","value":"t"},
                    {"op":"add","key":"a","amount":1}]})",
                  notRun("bad_request") },
                { 0, "/execute", read("a"), value("null") } } },
        { "data of organisations are separate",
            { writeAtFirst, { 0, "/execute", read("a", "other"), value("null") } } },
        { "a read may not write",
            { { 0, "/execute",
                R"({"organisation":"o","access":"read","statements":[{"op":"put","key":"a","value":1}]})",
                notRun("bad_request") } } },
        { "requests of the wrong form",
            { { 0, "/execute", "no json", notRun("bad_request") }, { 0, "/execute", "[1]", notRun("bad_request") },
                { 0, "/execute", R"({"access":"read","statements":[]})", notRun("bad_request") },
                { 0, "/execute", R"({"organisation":"o","statements":[{"op":"drop","key":"a"}]})",
                    notRun("bad_request") },
                { 0, "/fence", "{}", notRun("bad_request") } } },
        { "writes need the term and the primary",
            { { 0, "/execute", write("@2", "a", "1"), notRun("wrong_term") },
                { 1, "/execute", read("a"), R"({"outcome":"done","role":"replica","term":@1,"primary":"$0"})", "main",
                    true },
                { 1, "/execute", write("@1", "a", "1"), notRun("not_primary") } } },
        { "a repeated idempotency key gives the recorded answer",
            { { 0, "/execute", write("@1", "a", "1", "k", "d"), R"({"outcome":"done","position":2})" },
                { 0, "/execute", write("@1", "b", "1"), R"({"outcome":"done","position":3})" },
                { 0, "/execute", write("@1", "a", "1", "k", "d"),
                    R"({"outcome":"done","position":2,"replayed":true,"results":[{"ok":true}]})" },
                { 0, "/execute", write("@1", "a", "2", "k", "e"), notRun("idempotency_conflict") },
                { 0, "/execute", read("a"), value("1") } } },
        { "records are replicated with the write and survive a promotion",
            std::vector<Step> { { 0, "/execute", write("@1", "a", "1", "k", "d"), done }, replicatedTo1 } + promote1
                + std::vector<Step> { { 1, "/execute", write("@2", "a", "1", "k", "d"),
                                          R"({"outcome":"done","replayed":true,"term":@2,"position":2})" },
                    { 1, "/execute", write("@2", "a", "2", "k", "e"), notRun("idempotency_conflict") } } },
        { "coverage of a session's position",
            { writeAtFirst, replicatedTo1, { 0, "/control", delayReplication, "{}" },
                { 0, "/execute", write("@1", "a", "2"), R"({"position":3})" },
                { 1, "/execute", read("a", "o", R"(,"cover":{"term":@1,"position":2},"cover_wait_ms":0)"), value("1") },
                { 1, "/execute", read("a", "o", R"(,"cover":{"term":@1,"position":3},"cover_wait_ms":20)"),
                    notRun("not_covered") },
                { 0, "/execute", read("a", "o", R"(,"cover":{"term":@1,"position":3})"), value("2") },
                { 0, "/control", R"({"lag_ms":0})", "{}" },
                { 1, "/execute", read("a", "o", R"(,"cover":{"term":@1,"position":3},"cover_wait_ms":1900)"),
                    value("2") } } },
    };
}

static std::vector<EndpointCase> fencingCases()
{
    return {
        { "an old primary rejects writes after a fence",
            { writeAtFirst,
                { 0, "/fence", R"({"term":@2})",
                    R"({"accepted":true,"promised":@2,"last_entry_term":@1,"position":2})" },
                { 0, "/execute", write("@1", "a", "2"), notRun("wrong_term") },
                { 0, "/execute", write("@2", "a", "2"), notRun("wrong_term") },
                { 0, "/status", "{}", R"({"role":"replica","promised":@2,"term":@1,"position":2})" },
                { 0, "/fence", R"({"term":@1})", R"({"accepted":false,"promised":@2})" },
                { 0, "/execute", read("a"), value("1") } } },
        { "a fenced replica rejects replication of a lower term",
            { writeAtFirst, replicatedTo1, { 1, "/fence", R"({"term":@2})", accepted },
                { 1, "/replicate",
                    R"({"term":@1,"primary":"$0","previous":{"term":@1,"position":2},"behind_ns":0,"entries":[
                    {"term":@1,"organisation":"o","statements":[{"op":"put","key":"a","value":9}],
                    "idempotency_key":"","digest":"","results":[]}]})",
                    R"({"accepted":false,"promised":@2})" },
                { 1, "/execute", read("a"), value("1") } } },
        { "a primary that meets a higher promise steps down",
            { writeAtFirst, { 1, "/fence", R"({"term":@2})", accepted },
                { 0, "/status", "{}", R"({"role":"replica","promised":@2})", "main", true } } },
        { "only the promised term can be promoted",
            { { 1, "/promote", R"({"term":@2,"members":[]})", rejected }, { 1, "/fence", R"({"term":@3})", accepted },
                { 1, "/promote", R"({"term":@2,"members":[]})", rejected },
                { 1, "/promote", R"({"term":@3,"members":[]})", accepted },
                { 1, "/promote", R"({"term":@3,"members":[]})", accepted },
                { 1, "/status", "{}", R"({"role":"primary","term":@3})" } } },
        { "a promotion picks up the data and replicates its term",
            std::vector<Step> { writeAtFirst, replicatedTo1, replicatedTo2 } + promote1
                + std::vector<
                    Step> { { 1, "/status", "{}",
                                R"({"role":"primary","term":@2,"position":3,"first_position":3,"primary":"$1"})" },
                    { 1, "/execute", read("a"), value("1") },
                    { 1, "/execute", write("@2", "b", "2"), R"({"outcome":"done","position":4,"first_position":3})" },
                    { 2, "/execute", read("b"), value("2"), "main", true },
                    { 0, "/execute", read("b"), value("2"), "main", true },
                    { 0, "/status", "{}", R"({"role":"replica","term":@2,"primary":"$1","position":4})" } } },
        { "a follow truncates entries that the new primary does not have",
            std::vector<Step> { writeAtFirst, replicatedTo1, replicatedTo2, { 0, "/control", delayReplication, "{}" },
                { 0, "/execute", write("@1", "a", "2", "lost", "d"), R"({"position":3})" },
                { 0, "/execute", write("@1", "c", "3"), R"({"position":4})" },
                { 0, "/execute", read("a"), value("2") } }
                + promote1
                + std::vector<Step> { { 0, "/follow", R"({"term":@2,"primary":"$1"})", accepted },
                    { 0, "/execute", write("@1", "a", "5"), notRun("wrong_term") },
                    { 0, "/control", R"({"lag_ms":0})", "{}" },
                    { 0, "/status", "{}", R"({"term":@2,"position":3,"first_position":3})", "main", true },
                    { 0, "/execute", read("a"), value("1") }, { 0, "/execute", read("c"), value("null") },
                    { 0, "/control/dump", "", R"({"records":{}})" } } },
        { "a follow of a lower term is rejected",
            { { 1, "/fence", R"({"term":@3})", accepted },
                { 1, "/follow", R"({"term":@2,"primary":"$0"})", rejected } } },
        { "an await confirms a held position",
            { writeAtFirst,
                { 1, "/await", R"({"exchange_id":4,"term":@1,"position":2,"timeout_ms":1900})",
                    R"({"exchange_id":4,"term":@1,"position":2})" },
                { 1, "/await", R"({"term":@1,"position":9,"timeout_ms":20})", R"({"term":@1,"position":2})" } } },
        { "an await does not confirm across terms",
            std::vector<Step> { writeAtFirst, replicatedTo1, replicatedTo2, { 0, "/control", delayReplication, "{}" },
                { 0, "/execute", write("@1", "a", "2"), R"({"position":3})" } }
                + promote1
                // Position 3 is now the first entry of term 2, not the write of term 1.
                + std::vector<Step> { { 2, "/status", "{}", R"({"term":@2,"position":3})", "main", true },
                    { 2, "/await", R"({"term":@1,"position":3,"timeout_ms":30})", R"({"term":@2,"position":3})" },
                    { 2, "/await", R"({"term":@3,"position":3,"timeout_ms":30})", R"({"term":@2,"position":3})" } } },
    };
}

static std::vector<EndpointCase> transactionCases()
{
    const std::string begin = R"({"organisation":"o","access":"write","term":@1})";
    const std::string put = R"({"statements":[{"op":"put","key":"a","value":1}]})";
    const std::string get = R"({"statements":[{"op":"get","key":"a"}]})";
    return {
        { "an interactive transaction is visible after its commit only",
            { { 0, "/begin", begin, done, "one" }, { 0, "/statement", put, done, "one" },
                { 0, "/statement", get, value("1"), "one" }, { 0, "/execute", read("a"), value("null"), "two" },
                { 0, "/commit", R"({"idempotency_key":"k","digest":"d"})", R"({"outcome":"done","position":2})",
                    "one" },
                { 0, "/execute", read("a"), value("1"), "two" },
                { 0, "/statement", get, notRun("no_transaction"), "one" } } },
        { "a rollback leaves nothing",
            { { 0, "/begin", begin, done }, { 0, "/statement", put, done }, { 0, "/rollback", "{}", done },
                { 0, "/execute", read("a"), value("null") }, { 0, "/commit", "{}", notRun("no_transaction") } } },
        { "a transaction belongs to its connection and ends with it",
            { { 0, "/begin", begin, done, "one" }, { 0, "/statement", put, done, "one" },
                { 0, "/statement", get, notRun("no_transaction"), "two" },
                { 0, "/commit", "{}", notRun("no_transaction"), "two" }, { 0, "close", "", "{}", "one" },
                { 0, "/commit", "{}", notRun("no_transaction"), "one" },
                { 0, "/execute", read("a"), value("null"), "two" } } },
        { "a transaction may not see half of another one",
            { { 0, "/begin", R"({"organisation":"o","access":"read"})", done, "one" },
                { 0, "/statement", get, done, "one" }, writeAtFirst, { 0, "/statement", get, notRun("busy"), "one" },
                { 0, "/statement", get, notRun("no_transaction"), "one" } } },
        { "of two transactions that write the same key the second fails",
            { { 0, "/begin", begin, done, "one" }, { 0, "/begin", begin, done, "two" },
                { 0, "/statement", put, done, "one" }, { 0, "/statement", put, done, "two" },
                { 0, "/commit", "{}", done, "one" }, { 0, "/commit", "{}", notRun("busy"), "two" } } },
        { "a transaction does not survive a fence",
            { { 0, "/begin", begin, done }, { 0, "/statement", put, done }, { 0, "/fence", R"({"term":@2})", accepted },
                { 0, "/commit", "{}", notRun("wrong_term") }, { 0, "/execute", read("a"), value("null") } } },
        { "a repeated commit gives the recorded answer",
            { { 0, "/begin", begin, done }, { 0, "/statement", put, done },
                { 0, "/commit", R"({"idempotency_key":"k","digest":"d"})", R"({"replayed":false,"position":2})" },
                { 0, "/begin", begin, done }, { 0, "/statement", put, done },
                { 0, "/commit", R"({"idempotency_key":"k","digest":"d"})", R"({"replayed":true,"position":2})" } } },
        { "a transaction is bound to its organisation",
            { { 0, "/begin", begin, done },
                { 0, "/statement", R"({"organisation":"other","statements":[]})", notRun("bad_request") },
                { 0, "/begin", begin, notRun("bad_request") } } },
    };
}

static std::vector<EndpointCase> switchCases()
{
    EndpointSettings oneConnection;
    oneConnection.connections = 1;
    return {
        { "connections beyond the limit are refused, but not polls of the status",
            { { 0, "/execute", read("a"), done, "one" },
                { 0, "/execute", read("a"), notRun("too_many_connections"), "two" },
                { 0, "/status", "{}", R"({"connections":1})", "three" }, { 0, "close", "", "{}", "one" },
                { 0, "/execute", read("a"), done, "two", true } },
            oneConnection },
        { "a dropped answer belongs to a write that ran",
            { { 0, "/control", R"({"drop_answers":1})", R"({"drop_answers":1})" },
                { 0, "/execute", write("@1", "a", "1", "k", "d"), "broken" },
                { 0, "/execute", write("@1", "a", "1", "k", "d"), R"({"replayed":true})" } } },
        { "a crossed answer is given once",
            { { 0, "/execute", write("@1", "a", "1"), R"({"exchange_id":"w"})" },
                { 0, "/control", R"({"cross_next":true})", "{}" },
                { 0, "/execute", read("a"), R"({"exchange_id":"w"})" },
                { 0, "/execute", read("a"), R"({"exchange_id":"r"})" } } },
        { "a caller's key that arrives is shown",
            { { 0, "/execute", read("lvk_key1_secret"), done },
                { 0, "/control/dump", "",
                    R"({"key_like":["lvk_key1_secret"],"header_names":["content-length","content-type","host"]})" } } },
        { "replication lag",
            { writeAtFirst, replicatedTo1, { 1, "/control", R"({"lag_ms":300})", "{}" }, { 1, "/status", "{}", "{}" },
                { 0, "/execute", write("@1", "a", "2"), done },
                { 1, "/execute", read("a"), value("2"), "main", true } } },
    };
}

// Each case checks the guarantee of section 6.2 that its name states.
BOOST_AUTO_TEST_CASE(Endpoint_Contract_HoldsInEveryCase)
{
    for (const auto& table : { executeCases(), fencingCases(), transactionCases(), switchCases() }) {
        for (const EndpointCase& example : table) {
            EndpointGroup group(example.settings);
            for (const Step& step : example.steps)
                group.run(step, example.name);
        }
    }
}

// A replica that returns data before its lag has elapsed would hide stale reads from the tests of the proxy.
BOOST_AUTO_TEST_CASE(Endpoint_LagOfOneReplica_DelaysThatReplicaOnly)
{
    EndpointGroup group;
    group.run(writeAtFirst, "before");
    group.run(replicatedTo1, "before");
    group.run(replicatedTo2, "before");
    group.run({ 1, "/control", R"({"lag_ms":400})", "{}" }, "lag");
    group.client.runFor(150ms); // the primary learns the lag with its next heartbeat
    const auto start = std::chrono::steady_clock::now();
    group.run({ 0, "/execute", write("@1", "b", "2"), done }, "write");
    group.run({ 2, "/execute", read("b"), value("2"), "main", true }, "replica without lag");
    BOOST_TEST((std::chrono::steady_clock::now() - start < 300ms));
    group.run({ 1, "/execute", read("b"), value("2"), "main", true }, "replica with lag");
    BOOST_TEST((std::chrono::steady_clock::now() - start >= 400ms));
}

// Without the bound on the wait, an overloaded endpoint would never report the overload to the proxy.
BOOST_AUTO_TEST_CASE(Endpoint_SlotsTaken_QueuesThenAnswersBusy)
{
    EndpointSettings settings;
    settings.slots = 1;
    settings.slotWait = 250ms;
    settings.serviceTime = 150ms;
    EndpointGroup group(settings);
    const std::string address = group.members[0]->address();
    std::array<std::optional<HttpExchange>, 4> results;
    for (size_t index = 0; index < results.size(); ++index)
        group.client.start(std::to_string(index), address, "POST", "/execute", read("a"), results[index]);
    group.client.runUntil([&] {
        return std::all_of(results.begin(), results.end(), [](const auto& result) { return result.has_value(); });
    });
    size_t doneCount = 0;
    size_t busyCount = 0;
    for (const auto& result : results) {
        BOOST_REQUIRE(result);
        const Json answer = Json::parse(result->body);
        doneCount += answer["outcome"] == "done";
        busyCount += answer["code"] == "busy";
    }
    BOOST_TEST(doneCount == 2U); // the second starts after 150 ms, the third would start after 300 ms
    BOOST_TEST(busyCount == 2U);
}

// An early response for another term would make the caller repeat the request without a pause.
BOOST_AUTO_TEST_CASE(Endpoint_AwaitOfAnotherTerm_IsAnsweredAtItsTimeoutOrWhenTheTermArrives)
{
    EndpointGroup group;
    for (const Step& step : std::vector<Step> { writeAtFirst, replicatedTo1, replicatedTo2 })
        group.run(step, "before");
    std::optional<HttpExchange> newer;
    group.client.start("await", group.members[2]->address(), "POST", "/await",
        group.expand(R"({"term":@2,"position":3,"timeout_ms":1900})"), newer);
    group.client.runFor(20ms);
    BOOST_TEST(!newer);
    for (const Step& step : promote1)
        group.run(step, "promotion");
    BOOST_TEST(group.client.runUntil([&] { return newer.has_value(); }));
    BOOST_REQUIRE(newer);
    BOOST_TEST(contains(Json::parse(newer->body), Json::parse(group.expand(R"({"term":@2,"position":3})"))));

    const auto start = std::chrono::steady_clock::now();
    group.run({ 2, "/await", R"({"term":@1,"position":3,"timeout_ms":200})", R"({"term":@2})" }, "older term");
    BOOST_TEST((std::chrono::steady_clock::now() - start >= 200ms));
}

BOOST_AUTO_TEST_CASE(Endpoint_ConnectionCost_DelaysTheFirstRequestOnly)
{
    EndpointSettings settings;
    settings.connectionCost = 100ms;
    EndpointGroup group(settings);
    const auto elapsed = [&] {
        const auto start = std::chrono::steady_clock::now();
        group.run({ 0, "/execute", read("a"), done }, "read");
        return std::chrono::steady_clock::now() - start;
    };
    BOOST_TEST((elapsed() >= 100ms));
    BOOST_TEST((elapsed() < 90ms));
}

// A closed connection that is still counted would use up the connection limit.
BOOST_AUTO_TEST_CASE(Endpoint_ConnectionClosedInTransaction_FreesTheConnectionAndRollsBack)
{
    EndpointGroup group;
    group.run({ 0, "/begin", R"({"organisation":"o","access":"write","term":@1})", done, "one" }, "begin");
    group.run({ 0, "/statement", R"({"statements":[{"op":"put","key":"a","value":1}]})", done, "one" }, "put");
    group.run({ 0, "close", "", "{}", "one" }, "close");
    group.run({ 0, "/status", "{}", R"({"connections":0,"busy_slots":0})", "two", true }, "status");
    group.run({ 0, "/execute", read("a"), value("null"), "two" }, "read");
}

BOOST_AUTO_TEST_SUITE_END()
