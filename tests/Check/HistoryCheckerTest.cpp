#include "Check/HistoryChecker.h"
#include "Core/Error.h"

#include <boost/test/unit_test.hpp>

#include <set>
#include <sstream>

using namespace Lavendervane;
using Json = nlohmann::json;

BOOST_AUTO_TEST_SUITE(HistoryCheckerTest)

// Returns a history line of one request. Times are in ms; `changes` is a JSON object that overrides default members.
static std::string line(int start, int end, const std::string& operation, const std::string& key,
    const std::string& value, const std::string& outcome, const std::string& changes = "{}")
{
    Json object { { "kind", "request" }, { "start", start * 1'000'000 }, { "end", end * 1'000'000 }, { "session", "s" },
        { "organisation", "o" }, { "vm", "v" }, { "group", "g" }, { "operation", operation }, { "key", key },
        { "value", value }, { "idempotency_key", "i-" + value }, { "outcome", outcome } };
    const size_t results = operation == "put_pair" ? 2 : 1;
    object["results"] = std::vector<Json>(results, Json { { "ok", true } });
    object.update(Json::parse(changes));
    return object.dump() + "\n";
}

static std::string read(
    int start, int end, const std::string& key, const std::string& value, const std::string& changes = "{}")
{
    Json result { { "value", value.empty() ? Json() : Json(value) } };
    Json results = Json::array();
    results.push_back(result);
    Json all { { "results", results } };
    all.update(Json::parse(changes));
    return line(start, end, "get", key, "", "done", all.dump());
}

static std::string readPair(int start, int end, const std::string& first, const std::string& second)
{
    const Json results = Json::parse(R"([{"value":")" + first + R"("},{"value":")" + second + "\"}]");
    return line(start, end, "get_pair", "p", "", "done", Json { { "results", results } }.dump());
}

/// Returns a log entry. Statements have the form "put key value" and are separated by commas.
static Json entry(const std::string& statements, const std::string& organisation = "o")
{
    Json list = Json::array();
    std::istringstream parts(statements);
    for (std::string part; std::getline(parts, part, ',');) {
        std::istringstream words(part);
        std::string operation;
        std::string key;
        std::string value;
        words >> operation >> key >> value;
        list.push_back({ { "op", operation }, { "key", key }, { "value", value } });
    }
    return { { "organisation", organisation }, { "statements", list } };
}

/// Returns the dump of an endpoint that has applied each of its log entries once.
static Json dump(const std::vector<Json>& entries, uint64_t term = 1)
{
    Json log = Json::array();
    Json data = Json::object();
    for (Json entry : entries) {
        entry["position"] = log.size() + 1;
        for (const Json& statement : entry["statements"]) {
            Json& value = data[entry["organisation"].get<std::string>()][statement["key"].get<std::string>()];
            const auto written = statement["value"].get<std::string>();
            if (statement["op"] == "append" && value.is_string())
                value = value.get<std::string>() + written;
            else
                value = written;
        }
        log.push_back(entry);
    }
    return { { "term", { { "counter", term }, { "vm", "" } } }, { "log", log }, { "data", data } };
}

static std::vector<Violation> check(const std::string& history, const std::vector<Json>& dumps)
{
    std::istringstream input(history);
    FinalContent content;
    for (const Json& dump : dumps)
        content.add("g", dump);
    content.buildIndex();
    return checkHistory(readHistory(input), content);
}

struct CheckCase {
    std::string name;
    std::string history;
    std::vector<Json> dumps;
    std::set<std::string> rules; ///< exactly the rules that must be reported
    std::set<size_t> lines = {}; ///< history lines that the first violation must refer to; not checked if empty
};

static std::string describe(const std::vector<Violation>& violations)
{
    std::string text;
    for (const Violation& violation : violations)
        text += violation.rule + " (" + violation.text + ") ";
    return text;
}

static void run(const std::vector<CheckCase>& cases)
{
    for (const CheckCase& example : cases) {
        const auto violations = check(example.history, example.dumps);
        std::set<std::string> rules;
        for (const Violation& violation : violations)
            rules.insert(violation.rule);
        BOOST_TEST((rules == example.rules), example.name << ": " << describe(violations));
        if (example.lines.empty() || violations.empty())
            continue;
        const std::set<size_t> lines(violations[0].lines.begin(), violations[0].lines.end());
        BOOST_TEST((lines == example.lines), example.name << ": " << describe(violations));
    }
}

static const std::string put1 = line(0, 10, "put", "k", "v1", "done");
static const std::string put2 = line(20, 30, "put", "k", "v2", "done", R"({"session":"t"})");

BOOST_AUTO_TEST_CASE(Writes_AgainstTheFinalLog_AreChecked)
{
    const std::string retried = line(0, 10, "put", "k", "v1", "unknown")
        + line(11, 20, "put", "k", "v1", "done", R"({"attempt":2,"vm":"w"})");
    run({
        { "acknowledged and present", put1, { dump({ entry("put k v1") }) }, {} },
        { "acknowledged and absent", put1, { dump({}) }, { "lost_write" }, { 1 } },
        { "acknowledged, and in another organisation's data", put1, { dump({ entry("put k v1", "other") }) },
            { "lost_write" } },
        { "the member with the newest term is used", put1,
            { dump({ entry("put k v1"), entry("put k v0") }, 1), dump({}, 2) }, { "lost_write" } },
        { "a lagging member is ignored", put1, { dump({ entry("put k v1") }), dump({}) }, {} },
        { "retried and run once", retried, { dump({ entry("put k v1") }) }, {} },
        { "retried and run twice", retried, { dump({ entry("put k v1"), entry("put k v1") }) }, { "double_write" },
            { 1, 2 } },
        { "unknown and absent", line(0, 10, "put", "k", "v1", "unknown"), { dump({}) }, {} },
        { "unknown and run twice", line(0, 10, "put", "k", "v1", "unknown"),
            { dump({ entry("put k v1"), entry("put k v1") }) }, { "double_write" } },
        { "not_run and absent", line(0, 10, "put", "k", "v1", "not_run"), { dump({}) }, {} },
        { "not_run and present", line(0, 10, "put", "k", "v1", "not_run"), { dump({ entry("put k v1") }) },
            { "false_not_run" }, { 1 } },
        { "unknown, then not_run, and present",
            line(0, 10, "put", "k", "v1", "unknown") + line(11, 12, "put", "k", "v1", "not_run"),
            { dump({ entry("put k v1") }) }, {} },
        { "append run twice", line(0, 10, "append", "l", "v1", "done"),
            { dump({ entry("append l v1;"), entry("append l v1;") }) }, { "double_write" } },
        { "appends present once", line(0, 10, "append", "l", "v1", "done") + line(0, 9, "append", "l", "v2", "done"),
            { dump({ entry("append l v2;"), entry("append l v1;") }) }, {} },
        { "no dump of the group", put1, {}, {} },
    });
}

// An endpoint that applies a log entry twice or never has wrong data, although its log is correct.
BOOST_AUTO_TEST_CASE(List_ThatDiffersFromItsLog_IsReported)
{
    Json twice = dump({ entry("append l v1;") });
    twice["data"]["o"]["l"] = "v1;v1;";
    Json missing = dump({ entry("append l v1;") });
    missing["data"] = Json::object();
    const std::string append = line(0, 10, "append", "l", "v1", "done");
    run({ { "applied twice", append, { twice }, { "double_write" } },
        { "not applied", append, { missing }, { "lost_write" } } });
}

BOOST_AUTO_TEST_CASE(Reads_OfASessionsOwnWrites_AreChecked)
{
    const std::vector<Json> both = { dump({ entry("put k v1"), entry("put k v2") }) };
    const std::string append = line(0, 10, "append", "l", "v1", "done");
    const std::vector<Json> list = { dump({ entry("append l v1;"), entry("append l v2;") }) };
    const std::string append2 = line(20, 30, "append", "l", "v2", "done");
    run({
        { "reads its write", put1 + read(11, 12, "k", "v1"), { dump({ entry("put k v1") }) }, {} },
        { "reads nothing", put1 + read(11, 12, "k", ""), { dump({ entry("put k v1") }) }, { "stale_read" }, { 1, 2 } },
        { "reads nothing while the write runs", put1 + read(5, 12, "k", ""), { dump({ entry("put k v1") }) }, {} },
        { "another session reads nothing", put1 + read(11, 12, "k", "", R"({"session":"t"})"),
            { dump({ entry("put k v1") }) }, {} },
        { "reads a newer write of another session", put1 + put2 + read(31, 32, "k", "v2"), both, {} },
        { "reads an older write of another session", put1 + put2 + read(31, 32, "k", "v1", R"({"session":"t"})"), both,
            { "stale_read" }, { 2, 3 } },
        { "reads an older write of another session, without a dump",
            put1 + put2 + read(31, 32, "k", "v1", R"({"session":"t"})"), {}, { "stale_read" } },
        { "order unknown without a dump",
            put1 + line(5, 30, "put", "k", "v2", "done", R"({"session":"t"})")
                + read(31, 32, "k", "v1", R"({"session":"t"})"),
            {}, {} },
        { "a list with both items", append + append2 + read(31, 32, "l", "v1;v2;"), list, {} },
        { "a list without the newer item", append + append2 + read(31, 32, "l", "v1;"), list, { "stale_read" } },
        { "an unacknowledged write need not be read", line(0, 10, "put", "k", "v1", "unknown") + read(11, 12, "k", ""),
            { dump({ entry("put k v1") }) }, {} },
    });
}

BOOST_AUTO_TEST_CASE(Answers_OfOtherRequests_AreReported)
{
    const std::vector<Json> one = { dump({ entry("put k v1") }) };
    run({
        { "a value of another key", put1 + read(11, 12, "other", "v1"), one, { "crossed_answer" }, { 2 } },
        { "a value of another organisation", put1 + read(11, 12, "k", "v1", R"({"organisation":"other"})"), one,
            { "crossed_answer" }, { 2 } },
        { "a value that nobody wrote", read(11, 12, "k", "v9"), one, { "crossed_answer" } },
        { "a value before its write", read(0, 5, "k", "v1") + line(6, 10, "put", "k", "v1", "done"), one,
            { "crossed_answer" } },
        { "a number", put1 + read(11, 12, "k", "", R"({"results":[{"value":7}]})"), one, { "crossed_answer" } },
        { "results of a write for a read", put1 + read(11, 12, "k", "", R"({"results":[{"ok":true}]})"), one,
            { "crossed_answer" } },
        { "too many results", put1 + read(11, 12, "k", "", R"({"results":[{"value":"v1"},{"value":"v1"}]})"), one,
            { "crossed_answer" } },
        { "results of a read for a write", line(0, 10, "put", "k", "v1", "done", R"({"results":[{"value":null}]})"),
            one, { "crossed_answer" } },
        { "one request id twice",
            read(0, 5, "k", "", R"({"request_id":"r1"})") + read(6, 7, "k", "", R"({"request_id":"r1"})"), one,
            { "crossed_answer" }, { 1, 2 } },
        { "different request ids",
            read(0, 5, "k", "", R"({"request_id":"r1"})") + read(6, 7, "k", "", R"({"request_id":"r2"})"), one, {} },
    });
}

// A failover must not discard a value that a client has already read.
BOOST_AUTO_TEST_CASE(Value_ThatWasReadAndIsLost_IsReported)
{
    const std::string history = line(0, 100, "put", "k", "v1", "unknown") + read(11, 12, "k", "v1");
    run({ { "present", history, { dump({ entry("put k v1") }) }, {} },
        { "absent", history, { dump({}) }, { "vanished_read" }, { 1, 2 } } });
}

BOOST_AUTO_TEST_CASE(Transactions_ThatAreNotAtomic_AreReported)
{
    const std::string pair = line(0, 10, "put_pair", "p", "v1", "done");
    const std::string other = line(0, 10, "put_pair", "p", "v2", "done", R"({"session":"t"})");
    const std::vector<Json> whole = { dump({ entry("put p/a v1,put p/b v1"), entry("put p/a v2,put p/b v2") }) };
    run({
        { "whole", pair + other + readPair(11, 12, "v2", "v2"), whole, {} },
        { "the two values read differ", pair + other + readPair(11, 12, "v2", "v1"), whole, { "mixed_transaction" } },
        { "written in two entries", pair, { dump({ entry("put p/a v1"), entry("put p/b v1") }) },
            { "mixed_transaction" }, { 1 } },
        { "only one of two keys written", line(0, 10, "put_pair", "p", "v1", "unknown"),
            { dump({ entry("put p/a v1") }) }, { "mixed_transaction" } },
        { "two requests in one entry", pair + other, { dump({ entry("put p/a v1,put p/b v1,put p/a v2,put p/b v2") }) },
            { "mixed_transaction" } },
    });
}

static std::string limitLine(int rate, int burst)
{
    return limitToJson("o", { static_cast<double>(rate), static_cast<double>(burst) }).dump() + "\n";
}

static std::string reads(int count, int firstStart, int step, const std::string& outcome = "done")
{
    std::string text;
    for (int index = 0; index < count; ++index) {
        const int start = firstStart + index * step;
        text += read(start, start + 1, "k", "", R"({"outcome":")" + outcome + "\"}");
    }
    return text;
}

// With 10/s and a burst of 5, one request per 100 ms is allowed after a burst.
BOOST_AUTO_TEST_CASE(Rate_OverAnyWindow_IsChecked)
{
    run({
        { "a burst", limitLine(10, 5) + reads(5, 0, 1), {}, {} },
        { "more than a burst", limitLine(10, 5) + reads(6, 0, 1), {}, { "rate_exceeded" }, { 2, 7 } },
        { "burst and rate", limitLine(10, 5) + reads(5, 0, 0) + reads(20, 100, 100), {}, {} },
        { "a second burst after full use of the rate",
            limitLine(10, 5) + reads(5, 0, 0) + reads(20, 100, 100) + reads(2, 2100, 1), {}, { "rate_exceeded" } },
        { "a second burst after a pause", limitLine(10, 5) + reads(5, 0, 0) + reads(5, 600, 0), {}, {} },
        { "a second burst too early", limitLine(10, 5) + reads(5, 0, 0) + reads(5, 300, 0), {}, { "rate_exceeded" } },
        { "rejected requests do not count", limitLine(10, 5) + reads(5, 0, 1) + reads(50, 10, 1, "not_run"), {}, {} },
        { "slow requests may have been admitted at different times",
            limitLine(10, 1) + read(0, 1, "k", "") + read(0, 500, "k", ""), {}, {} },
        { "no limit", reads(500, 0, 0), {}, {} },
    });
}

BOOST_AUTO_TEST_CASE(History_ThatCannotBeRead_IsRejectedWithItsLine)
{
    const std::vector<std::string> inputs
        = { "no json\n", "{\"kind\":\"other\"}\n", "{}\n", line(10, 0, "put", "k", "v", "done"),
              line(0, 10, "drop", "k", "v", "done"), line(0, 10, "put", "k", "v", "perhaps") };
    for (const std::string& input : inputs) {
        std::istringstream stream("\n" + input);
        BOOST_CHECK_EXCEPTION(readHistory(stream), Error,
            [](const Error& error) { return error.message().find("line 2") != std::string::npos; });
    }
}

// A value that is written by two requests cannot be traced to one of them when it is read.
BOOST_AUTO_TEST_CASE(History_WithOneValueForTwoWrites_IsRejected)
{
    const std::string history = put1 + line(20, 30, "put", "k", "v1", "done", R"({"idempotency_key":"other"})");
    BOOST_CHECK_THROW(check(history, {}), Error);
}

BOOST_AUTO_TEST_CASE(Event_WrittenAndRead_IsEqual)
{
    std::istringstream input(line(0, 10, "append", "k", "v1", "unknown",
        R"({"attempt":2,"interactive":true,"code":"timeout","endpoint":"e","role":"primary","position":4,"token":"t",
            "request_id":"r"})"));
    HistoryEvent event = readHistory(input).events.at(0);
    BOOST_TEST(event.position == 4U);
    BOOST_TEST(event.line == 1U);
    event.line = 0;
    BOOST_TEST((parseHistoryEvent(toJson(event)) == event));
}

BOOST_AUTO_TEST_SUITE_END()
