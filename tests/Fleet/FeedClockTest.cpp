#include "Fleet/FeedClock.h"

#include <boost/test/unit_test.hpp>

using namespace Lavendervane;
using namespace std::chrono_literals;

namespace {

/// Clock of a feed whose requests reach the store within 3 s. The table was read at 100 s.
struct FeedClockFixture {
    FeedClockFixture() { this->clock.handleTableRead(at(100s)); }

    static Instant at(Duration time) { return Instant(time); }

    FeedClock clock { 3s };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FeedClockTest, FeedClockFixture)

BOOST_AUTO_TEST_CASE(TableRead_First_TellsNoTime)
{
    FeedClock fresh(3s);
    BOOST_TEST(!fresh.handleTableRead(at(100s)));
    BOOST_TEST(!FeedClock(3s).handleFeedAnswer(at(100s), at(120s - 20s)));
}

// Guards against a change that is taken for new because the feed's request had been delayed on its way to the store.
BOOST_AUTO_TEST_CASE(FeedAnswer_RequestMayHaveBeenDelayed_ChangeIsAfterPreviousAnswer)
{
    BOOST_TEST((this->clock.handleFeedAnswer(at(101s), at(104s)) == at(100s)));
    BOOST_TEST((this->clock.handleFeedAnswer(at(105s), at(105s)) == at(104s)));
}

BOOST_AUTO_TEST_CASE(FeedAnswer_RequestWaitedAtStore_ChangeIsAtAnswer)
{
    BOOST_TEST((this->clock.handleFeedAnswer(at(101s), at(120s)) == at(120s)));
}

// Guards against the time of hearing taken for that of the change after the VM was cut off from the store.
BOOST_AUTO_TEST_CASE(TableRead_AfterTimeWithoutStore_ChangesAreAfterPreviousAnswer)
{
    this->clock.handleFeedAnswer(at(101s), at(110s));
    BOOST_TEST((this->clock.handleTableRead(at(140s)) == at(110s)));
    BOOST_TEST((this->clock.handleTableRead(at(150s)) == at(140s)));
}

// Guards against a change that is taken for much older than it is, because the store dropped its history just then.
BOOST_AUTO_TEST_CASE(HistoryLost_RequestWaitedAtStore_LaterReadReportsChangesAfterIt)
{
    this->clock.handleHistoryLost(at(101s), at(120s));
    BOOST_TEST((this->clock.handleTableRead(at(121s)) == at(120s)));
}

BOOST_AUTO_TEST_CASE(HistoryLost_RequestAnsweredAtOnce_LaterReadReportsChangesAfterPreviousAnswer)
{
    this->clock.handleHistoryLost(at(119s), at(120s));
    BOOST_TEST((this->clock.handleTableRead(at(121s)) == at(100s)));
}

BOOST_AUTO_TEST_SUITE_END()
