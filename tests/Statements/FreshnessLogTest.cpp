#include "Statements/FreshnessLog.h"

#include <boost/test/unit_test.hpp>

using namespace Lavendervane;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(FreshnessLogTest)

static const Instant start { 100s };

static LogPosition at(uint64_t term, uint64_t position) { return { { term, {} }, position }; }

// A read may use any position learnt young enough; the oldest of these is the one that most replicas hold.
BOOST_AUTO_TEST_CASE(Covering_SeveralYoungEnough_ReturnsOldest)
{
    FreshnessLog log;
    log.learn(start, at(1, 10));
    log.learn(start + 1s, at(1, 20));
    log.learn(start + 2s, at(1, 30));
    BOOST_TEST((log.covering(start + 500ms) == at(1, 20)));
    BOOST_TEST((log.covering(start + 1s) == at(1, 20)));
    BOOST_TEST((log.covering(start + 1500ms) == at(1, 30)));
}

// Commits since the last question are unknown, so old knowledge must not be used.
BOOST_AUTO_TEST_CASE(Covering_NothingYoungEnough_ReturnsNothing)
{
    FreshnessLog log;
    BOOST_TEST(!log.covering(start));
    log.learn(start, at(1, 10));
    BOOST_TEST(!log.covering(start + 1ms));
}

// Positions of an earlier term may have been rolled back; no replica would ever hold them.
BOOST_AUTO_TEST_CASE(Learn_NewTerm_ForgetsEarlierTerm)
{
    FreshnessLog log;
    log.learn(start, at(1, 50));
    log.learn(start + 1s, at(2, 40));
    BOOST_TEST((log.covering(start) == at(2, 40)));
    log.learn(start + 2s, at(1, 60));
    BOOST_TEST((log.newest() == at(2, 40)));
}

// An answer that overtook another one must not make knowledge older.
BOOST_AUTO_TEST_CASE(Learn_AnswersOutOfOrder_KeepsNewest)
{
    FreshnessLog log;
    log.learn(start + 1s, at(1, 20));
    log.learn(start, at(1, 10));
    BOOST_TEST((log.newest() == at(1, 20)));
    BOOST_TEST((log.covering(start + 1s) == at(1, 20)));
}

// Frequent answers must neither grow the log without bound nor make its entries drift away in time.
BOOST_AUTO_TEST_CASE(Learn_ManyAnswersClosely_KeepsEntriesWithinSpacing)
{
    FreshnessLog log;
    for (int i = 0; i < 5000; ++i)
        log.learn(start + i * 1ms, at(1, static_cast<uint64_t>(i)));
    const auto covering = log.covering(start + 2500ms);
    BOOST_REQUIRE(covering);
    BOOST_TEST(covering->position >= 2500U);
    BOOST_TEST(covering->position <= 2545U);
}

// A session whose commit was rolled back by a promotion must not wait for it for ever.
BOOST_AUTO_TEST_CASE(Required_OwnCommitOfEarlierTerm_IsDropped)
{
    FreshnessLog log;
    log.learn(start, at(2, 40));
    BOOST_TEST((log.required(start, at(1, 50)) == at(2, 40)));
    BOOST_TEST((log.required(start, at(2, 50)) == at(2, 50)));
    BOOST_TEST((log.required(start, at(2, 30)) == at(2, 40)));
}

BOOST_AUTO_TEST_SUITE_END()
