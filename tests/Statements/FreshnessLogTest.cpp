#include "Statements/FreshnessLog.h"

#include <boost/test/unit_test.hpp>

using namespace Lavendervane;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(FreshnessLogTest)

static const Instant start { 100s };

static LogPosition at(uint64_t term, uint64_t position) { return { { term, {} }, position }; }

// Several known positions can satisfy a read. The lowest is best, because it is the one that most replicas hold.
BOOST_AUTO_TEST_CASE(Covering_SeveralYoungEnough_ReturnsOldest)
{
    FreshnessLog log;
    log.record(start, at(1, 10));
    log.record(start + 1s, at(1, 20));
    log.record(start + 2s, at(1, 30));
    BOOST_TEST((log.positionCovering(start + 500ms) == at(1, 20)));
    BOOST_TEST((log.positionCovering(start + 1s) == at(1, 20)));
    BOOST_TEST((log.positionCovering(start + 1500ms) == at(1, 30)));
}

// Commits since the last query are unknown, so older positions must not be used.
BOOST_AUTO_TEST_CASE(Covering_NothingYoungEnough_ReturnsNothing)
{
    FreshnessLog log;
    BOOST_TEST(!log.positionCovering(start));
    log.record(start, at(1, 10));
    BOOST_TEST(!log.positionCovering(start + 1ms));
}

// Positions of an earlier term may have been rolled back; then no replica would ever hold them.
BOOST_AUTO_TEST_CASE(Learn_NewTerm_ForgetsEarlierTerm)
{
    FreshnessLog log;
    log.record(start, at(1, 50));
    log.record(start + 1s, at(2, 40));
    BOOST_TEST((log.positionCovering(start) == at(2, 40)));
    log.record(start + 2s, at(1, 60));
    BOOST_TEST((log.newestPosition() == at(2, 40)));
}

// Answers may arrive out of order. An older answer must not replace a newer one.
BOOST_AUTO_TEST_CASE(Learn_AnswersOutOfOrder_KeepsNewest)
{
    FreshnessLog log;
    log.record(start + 1s, at(1, 20));
    log.record(start, at(1, 10));
    BOOST_TEST((log.newestPosition() == at(1, 20)));
    BOOST_TEST((log.positionCovering(start + 1s) == at(1, 20)));
}

// Frequent answers must not make the log grow without bound, and merging them must not move entries away from the times
// of their queries.
BOOST_AUTO_TEST_CASE(Learn_ManyAnswersClosely_KeepsEntriesWithinSpacing)
{
    FreshnessLog log;
    for (int i = 0; i < 5000; ++i)
        log.record(start + i * 1ms, at(1, static_cast<uint64_t>(i)));
    const auto covering = log.positionCovering(start + 2500ms);
    BOOST_REQUIRE(covering);
    BOOST_TEST(covering->position >= 2500U);
    BOOST_TEST(covering->position <= 2545U);
}

// If a promotion has rolled back a session's commit, the session's reads must not wait for it forever.
BOOST_AUTO_TEST_CASE(Required_OwnCommitOfEarlierTerm_IsDropped)
{
    FreshnessLog log;
    log.record(start, at(2, 40));
    BOOST_TEST((log.requiredPosition(start, at(1, 50)) == at(2, 40)));
    BOOST_TEST((log.requiredPosition(start, at(2, 50)) == at(2, 50)));
    BOOST_TEST((log.requiredPosition(start, at(2, 30)) == at(2, 40)));
}

BOOST_AUTO_TEST_SUITE_END()
