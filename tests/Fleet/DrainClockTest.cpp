#include "Fleet/DrainClock.h"

#include <boost/test/unit_test.hpp>

using namespace Lavendervane;
using namespace std::chrono_literals;

namespace {

/// Clock of an endpoint that gets new work for 5 s after it has begun to drain.
struct DrainClockFixture {
    DrainClockFixture()
    {
        this->endpoint.id = EndpointId("a");
        this->endpoint.startedAt = 1000;
    }

    /// Returns the number of endpoints that have begun to drain.
    size_t read(bool draining, Duration now, std::optional<Duration> earliestChange = std::nullopt)
    {
        this->endpoint.draining = draining;
        std::map<EndpointId, Instant> changes;
        if (earliestChange)
            changes.emplace(this->endpoint.id, Instant(*earliestChange));
        return this->clock.update({ this->endpoint }, changes, Instant(now)).size();
    }

    std::optional<Instant> workEnd() const { return this->clock.workEnd(this->endpoint); }

    RegisteredEndpoint endpoint;
    DrainClock clock { 5s };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(DrainClockTest, DrainClockFixture)

BOOST_AUTO_TEST_CASE(WorkEnd_EndpointDoesNotDrain_IsEmpty)
{
    BOOST_TEST(this->read(false, 10s) == 0U);
    BOOST_TEST(!this->workEnd());
}

BOOST_AUTO_TEST_CASE(WorkEnd_ChangeLearntLate_CountsFromTheChange)
{
    this->read(false, 10s);
    BOOST_TEST(this->read(true, 20s, 12s) == 1U);
    BOOST_TEST((this->workEnd() == Instant(17s)));
}

BOOST_AUTO_TEST_CASE(WorkEnd_StartUnknown_HasPassed)
{
    this->read(true, 20s);
    BOOST_TEST((this->workEnd() <= Instant(20s)));
}

// Guards against a drain time that starts again with each change of the entry.
BOOST_AUTO_TEST_CASE(WorkEnd_EntryChangesWhileDraining_StaysTheSame)
{
    this->read(true, 20s, 20s);
    BOOST_TEST(this->read(true, 24s, 24s) == 0U);
    BOOST_TEST((this->workEnd() == Instant(25s)));
}

// Guards against a drain time that starts again because the entry lapsed while the store was away.
BOOST_AUTO_TEST_CASE(WorkEnd_EntryLapsesAndReturns_StaysTheSame)
{
    this->read(true, 20s, 20s);
    this->clock.update({}, {}, Instant(22s));
    BOOST_TEST(this->read(true, 26s, 25s) == 0U);
    BOOST_TEST((this->workEnd() == Instant(25s)));
}

BOOST_AUTO_TEST_CASE(WorkEnd_EndpointStartsAgain_CountsForTheNewRun)
{
    this->read(true, 20s, 20s);
    this->endpoint.startedAt = 2000;
    this->read(false, 24s, 24s);
    BOOST_TEST(!this->workEnd());
    this->read(true, 30s, 30s);
    BOOST_TEST((this->workEnd() == Instant(35s)));
}

BOOST_AUTO_TEST_SUITE_END()
