#include "PromiseChecker.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <string>
#include <vector>

using namespace Lavendervane::EntryProcess;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(PromiseCheckerTest)

static SentStatement makeSent(const std::string& id, const std::string& text, uint64_t transaction = 0)
{
    SentStatement sent { id, text, "stock", "desk", transaction, {}, {}, 0, "stock-own" };
    if (text.starts_with("EXECUTE "))
        sent.shape = PreparedShape { true, "q" };
    return sent;
}

static EndpointRun makeRun(const SentStatement& sent, uint64_t transaction = 0)
{
    return { sent.id, sent.text, "i-1", sent.group, sent.organisation, transaction, sent.shape, sent.values, 7 };
}

static const SentStatement read = makeSent("1", "READ a");
static const SentStatement write = makeSent("2", "WRITE a x");
static const SentStatement execution = makeSent("3", "EXECUTE a x");
static const SentStatement inTransaction = makeSent("4", "WRITE a x", 9);

// What callers and endpoints report in the order of a run without faults.
static void runCorrectly(PromiseChecker& checker)
{
    const SentStatement commit = makeSent("5", "COMMIT", 9);
    for (const SentStatement& sent : { read, write, execution, inTransaction, commit })
        checker.handleSent(sent);
    checker.handleRun(makeRun(read, 30));
    checker.handleRun(makeRun(write));
    checker.handleCommit("2", 0, 8, { "2" });
    checker.handleRun(makeRun(execution));
    checker.handleRun(makeRun(inTransaction, 31));
    checker.handleRun(makeRun(commit, 31));
    checker.handleCommit("5", 31, 9, { "4" });
    checker.handleAnswer("1", "mac1", { "row" });
    checker.handleAnswer("2", "mac2", {});
    checker.handleAnswer("5", "mac5", {});
    BOOST_TEST(checker.handleSuccess("1", "mac1", { "row" }) == 0U);
    BOOST_TEST(checker.handleSuccess("2", "mac2", {}) == 8U);
    BOOST_TEST(checker.handleSuccess("5", "mac5", {}) == 9U);
}

BOOST_AUTO_TEST_CASE(Finish_NothingWrong_FindsNothing)
{
    PromiseChecker checker;
    runCorrectly(checker);
    checker.finish();
    BOOST_TEST(checker.violations().empty(), checker.examples());
    BOOST_TEST(checker.requiredPosition("stock", RouteType::Primary, 0ms, 0) == 9U);
    BOOST_TEST(checker.requiredPosition("stock", RouteType::OwnWrites, 1h, 8) == 8U);
    BOOST_TEST(checker.requiredPosition("stock", RouteType::BoundedStaleness, 1h, 8) == 0U);
}

// Guards against a run that passes because a violation is not noticed.
BOOST_AUTO_TEST_CASE(Finish_OneThingWrong_FindsIt)
{
    struct Row {
        std::string name;
        std::function<void(PromiseChecker&)> act;
    };
    const auto run
        = [](const EndpointRun& changed) { return [changed](PromiseChecker& checker) { checker.handleRun(changed); }; };
    const auto changedRun = [&run](const SentStatement& sent, const std::function<void(EndpointRun&)>& change) {
        EndpointRun changed = makeRun(sent);
        change(changed);
        return run(changed);
    };
    const std::vector<Row> rows {
        { "MIXED", [](PromiseChecker& checker) { checker.handleSuccess("1", "mac1", { "other" }); } },
        { "MIXED", [](PromiseChecker& checker) { checker.handleSuccess("1", "mac2", { "row" }); } },
        { "MIXED", [](PromiseChecker& checker) { checker.handleSuccess("5", "-", {}); } },
        { "UNASKED", run(makeRun(makeSent("none", "READ a"))) },
        { "UNASKED", run(makeRun(makeSent("-", "COMMIT"))) },
        { "UNASKED", changedRun(read, [](EndpointRun& changed) { changed.text = "READ b"; }) },
        { "ROUTE", changedRun(read, [](EndpointRun& changed) { changed.group = "sales"; }) },
        { "ROUTE", changedRun(read, [](EndpointRun& changed) { changed.organisation = "shop"; }) },
        { "PREPARED", changedRun(execution, [](EndpointRun& changed) { changed.shape->text = "other"; }) },
        { "PREPARED", [](PromiseChecker& checker) { checker.handleError("3", "NOSTMT"); } },
        { "VALUES", changedRun(read, [](EndpointRun& changed) { changed.values["v1"] = "x"; }) },
        { "PINNED", run(makeRun(inTransaction)) },
        { "PINNED", run(makeRun(write, 31)) },
        { "PINNED", run(makeRun(inTransaction, 30)) },
        { "PINNED",
            [](PromiseChecker& checker) {
                checker.handleSuccess("4", "mac4", {});
                checker.handleCommit("5", 31, 10, {});
            } },
        { "TWICE", [](PromiseChecker& checker) { checker.handleCommit("2", 0, 10, { "2" }); } },
        { "REFUSED", [](PromiseChecker& checker) { checker.handleError("2", "BUSY"); } },
        { "REFUSED", [](PromiseChecker& checker) { checker.handleError("5", "ABORTED"); } },
        { "UNANSWERED", [](PromiseChecker& checker) { checker.handleUnanswered("1"); } },
        { "STALE",
            [](PromiseChecker& checker) {
                SentStatement late = makeSent("6", "READ a");
                late.requiredPosition = 8;
                checker.handleSent(late);
                checker.handleRun(makeRun(late));
            } },
    };
    for (const Row& row : rows) {
        PromiseChecker checker;
        runCorrectly(checker);
        checker.handleAnswer("4", "mac4", {});
        row.act(checker);
        checker.finish();
        BOOST_TEST(checker.violations().count(row.name) == 1U, row.name << checker.examples());
    }
}

BOOST_AUTO_TEST_SUITE_END()
