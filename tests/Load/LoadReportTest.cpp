#include "Load/LoadReport.h"
#include "Core/Error.h"
#include "Load/RequestGenerator.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

using namespace Lavendervane;

BOOST_AUTO_TEST_SUITE(LoadReportTest)

constexpr int64_t millisecond = 1'000'000; // ns

static HistoryEvent event(int64_t startMs, int64_t endMs, HistoryOperation operation, Outcome outcome,
    const std::string& code = "", const std::string& organisation = "o")
{
    HistoryEvent event;
    event.start = startMs * millisecond;
    event.end = endMs * millisecond;
    event.operation = operation;
    event.outcome = outcome;
    event.code = code;
    event.organisation = organisation;
    event.group = "g";
    return event;
}

static HistoryEvent readAt(const std::string& role, int64_t startMs = 0)
{
    HistoryEvent read = event(startMs, startMs + 1, HistoryOperation::Get, Outcome::Done);
    read.role = role;
    return read;
}

BOOST_AUTO_TEST_CASE(ReplicaShare_OfMixedReads_CountsDoneReadsOnly)
{
    LoadReport report;
    for (const char* role : { "replica", "replica", "replica", "primary" })
        report.add(readAt(role));
    report.add(event(0, 1, HistoryOperation::Get, Outcome::NotRun));
    report.add(event(0, 1, HistoryOperation::Put, Outcome::Done));
    BOOST_TEST(report.compute().replicaReadShare == 0.75);
}

// A write in flight at the kill may be acknowledged just after the kill. Its acknowledgement must not end the failover.
BOOST_AUTO_TEST_CASE(FailoverGap_WithAnAcknowledgementJustAfterTheKill_IsTheLongGap)
{
    LoadReport report;
    report.setKill("g", 1000 * millisecond);
    report.setKill("silent group", 1000 * millisecond);
    for (const int64_t end : { 0, 500, 900, 1005, 2500, 2600, 9000 })
        report.add(event(end - 1, end, HistoryOperation::Put, Outcome::Done));
    report.add(event(1500, 1501, HistoryOperation::Put, Outcome::Unknown));
    const LoadFigures figures = report.compute();
    BOOST_TEST(figures.groups.at("g").failoverGapSeconds == 1.495);
    BOOST_TEST(figures.groups.at("g").killToRecoverySeconds == 1.5);
    BOOST_TEST(figures.groups.at("g").longestWriteGapSeconds == 6.4);
    BOOST_TEST(figures.groups.at("silent group").killToRecoverySeconds < 0);
}

struct RefusalCase {
    const char* name;
    int sent; ///< requests, 10 ms apart
    int limitedEvery; ///< every n-th request is rejected by the rate limit; 0: none
    uint64_t wrongful;
};

// The limit is 50 requests per second with a burst of 10; the requests arrive at 100 per second.
BOOST_AUTO_TEST_CASE(Refusals_WithinRateAndBurst_AreWrongful)
{
    const std::vector<RefusalCase> cases = {
        { "a burst is within the limit", 10, 2, 5 },
        { "no rejection", 10, 0, 0 },
    };
    for (const auto& example : cases) {
        LoadReport report;
        report.setLimit("o", { 50, 10 });
        for (int index = 0; index < example.sent; ++index) {
            const bool limited = example.limitedEvery && index % example.limitedEvery == 0;
            report.add(event(index * 10, index * 10 + 1, HistoryOperation::Get,
                limited ? Outcome::NotRun : Outcome::Done, limited ? "rate_limited" : ""));
        }
        BOOST_TEST(report.compute().organisations.at("o").wrongfullyRateLimited == example.wrongful, example.name);
    }
}

// An ideal limiter rejects every second request once the burst is used up, because they arrive at twice the rate.
BOOST_AUTO_TEST_CASE(Refusals_ByAnIdealLimiter_AreNotWrongful)
{
    LoadReport report;
    report.setLimit("o", { 50, 10 });
    double tokens = 10;
    for (int index = 0; index < 1000; ++index) {
        tokens = std::min(10.0, tokens + (index ? 0.5 : 0.0));
        const bool limited = tokens < 1;
        tokens -= limited ? 0 : 1;
        report.add(event(index * 10, index * 10 + 1, HistoryOperation::Get, limited ? Outcome::NotRun : Outcome::Done,
            limited ? "rate_limited" : ""));
    }
    const LoadFigures figures = report.compute();
    BOOST_TEST(figures.wrongfulRefusalShare == 0);
    BOOST_TEST(figures.organisations.at("o").rateLimited > 400U);
    BOOST_TEST(figures.organisations.at("o").servedShare == 1.0);
}

BOOST_AUTO_TEST_CASE(WorstServed_OfTwoOrganisations_IsComparedWithWhatWasDue)
{
    LoadReport report;
    report.setLimit("greedy", { 10, 1 });
    for (int index = 0; index < 100; ++index) {
        // 100 requests per second against a limit of 10 per second and a burst of 1; an ideal limiter admits 10.
        const bool done = index % 10 == 0;
        report.add(event(index * 10, index * 10 + 1, HistoryOperation::Get, done ? Outcome::Done : Outcome::NotRun,
            done ? "" : "rate_limited", "greedy"));
        const bool served = index % 5 != 0;
        report.add(event(index * 10, index * 10 + 1, HistoryOperation::Get, served ? Outcome::Done : Outcome::Unknown,
            "", "modest"));
    }
    const LoadFigures figures = report.compute();
    BOOST_TEST(figures.worstServedOrganisation == "modest");
    BOOST_TEST(figures.worstServedShare == 0.8);
    BOOST_TEST(figures.organisations.at("greedy").due == 10U);
}

// A successful retry completes its request and must not be counted as another one.
BOOST_AUTO_TEST_CASE(Retry_ThatSucceeds_CountsAsOneRequest)
{
    LoadReport report;
    report.add(event(0, 10, HistoryOperation::Put, Outcome::Unknown, "connection_broken"));
    HistoryEvent retry = event(10, 20, HistoryOperation::Put, Outcome::Done);
    retry.attempt = 2;
    report.add(retry);
    const auto figures = report.compute().organisations.at("o");
    BOOST_TEST(figures.sent == 1U);
    BOOST_TEST(figures.done == 1U);
    BOOST_TEST(figures.servedShare == 1.0);
}

static OrganisationLoad exampleLoad()
{
    OrganisationLoad load;
    load.name = "desk";
    load.rate = 100;
    load.readShare = 0.6;
    load.groups = { "g1", "g2" };
    return load;
}

// Values must be unique because the history checker maps every value to the write that stored it.
BOOST_AUTO_TEST_CASE(Generator_OfOneSeed_RepeatsItselfWithUniqueValues)
{
    RequestGenerator first(exampleLoad(), 10, "run", 7);
    RequestGenerator second(exampleLoad(), 10, "run", 7);
    std::set<std::string> values;
    std::map<HistoryOperation, int> counts;
    int64_t time = 0;
    for (int index = 0; index < 10000; ++index) {
        const auto request = first.next({});
        const auto repeated = second.next({});
        BOOST_TEST_REQUIRE((request.key == repeated.key && request.value == repeated.value
            && request.operation == repeated.operation && request.group == repeated.group));
        time += first.nextDelay();
        second.nextDelay();
        ++counts[request.operation];
        if (isWrite(request.operation))
            BOOST_TEST_REQUIRE(values.insert(request.value).second);
    }
    const double reads = counts[HistoryOperation::Get] + counts[HistoryOperation::GetPair];
    BOOST_TEST(reads == 6000.0, boost::test_tools::tolerance(0.05));
    BOOST_TEST(static_cast<double>(time) / 1e9 == 100.0, boost::test_tools::tolerance(0.05));
    BOOST_TEST(counts.size() == 5U);
}

BOOST_AUTO_TEST_CASE(Workload_OfTheWrongForm_IsRejectedWithItsField)
{
    const std::map<std::string, std::string> cases = {
        { "organisations: 3", "organisations" },
        { "organisations: [{rate: 3, groups: [g]}]", "name" },
        { "organisations: [{name: o, groups: [g]}]", "rate" },
        { "organisations: [{name: o, rate: many, groups: [g]}]", "rate" },
        { "organisations: [{name: o, rate: 3}]", "groups" },
        { "organisations: [{name: o, rate: 3, groups: [g], read_share: 2}]", "read_share" },
        { "keys: 0\norganisations: []", "keys" },
    };
    for (const auto& example : cases) {
        BOOST_CHECK_EXCEPTION(parseWorkload(example.first), Error,
            [&](const Error& error) { return std::string(error.what()).find(example.second) != std::string::npos; });
    }
}

BOOST_AUTO_TEST_SUITE_END()
