#include "Fleet/StoreClock.h"

#include <boost/test/unit_test.hpp>

using namespace Lavendervane;
using namespace std::chrono_literals;

namespace {

TableClock reading(uint64_t milliseconds, Duration sent, Duration received)
{
    return { milliseconds, Instant(sent), Instant(received) };
}

} // namespace

BOOST_AUTO_TEST_SUITE(StoreClockTest)

BOOST_AUTO_TEST_CASE(Reading_NothingKnown_IsAfterRequest)
{
    BOOST_TEST((StoreClock().earliestTimeOf(reading(5000, 10s, 14s)) == Instant(10s)));
}

// Guards against an answer that was held up on its way, or read late by a frozen VM, and is taken for new.
BOOST_AUTO_TEST_CASE(Reading_AnswerWasDelayed_IsWhenStoreAnswered)
{
    StoreClock clock;
    clock.observe(reading(5000, 10s, 10s + 4ms));
    const Instant answered = clock.earliestTimeOf(reading(9000, 11s, 20s));
    BOOST_TEST((answered <= Instant(14s + 4ms)));
    BOOST_TEST((answered >= Instant(13s + 990ms)));
}

// Guards against a reference that grows old and promises more than clocks of slightly different rates allow.
BOOST_AUTO_TEST_CASE(Reading_LongAfterReference_AllowsForDrift)
{
    StoreClock clock;
    clock.observe(reading(5000, 10s, 10s + 4ms));
    const Instant answered = clock.earliestTimeOf(reading(1'005'000, 1000s, 1020s));
    BOOST_TEST((answered <= Instant(1009s)));
    BOOST_TEST((answered >= Instant(1008s)));
}

BOOST_AUTO_TEST_CASE(Reference_LaterCallWasQuicker_IsReplaced)
{
    StoreClock clock;
    clock.observe(reading(5000, 10s, 12s));
    clock.observe(reading(8000, 14s, 14s + 4ms));
    BOOST_TEST((clock.earliestTimeOf(reading(9000, 11s, 20s)) >= Instant(14s + 990ms)));
}

// Guards against times that lie in the future after the store's clock was set forward.
BOOST_AUTO_TEST_CASE(Reading_StoresClockSetForward_IsNotAfterAnswer)
{
    StoreClock clock;
    clock.observe(reading(5000, 10s, 10s + 4ms));
    const TableClock later = reading(900'000, 20s, 20s + 4ms);
    BOOST_TEST((clock.earliestTimeOf(later) <= later.received));
    clock.observe(later);
    BOOST_TEST((clock.earliestTimeOf(reading(901'000, 10s, 30s)) <= Instant(21s + 4ms)));
}

BOOST_AUTO_TEST_CASE(Reading_WithoutClock_IsAfterRequest)
{
    StoreClock clock;
    clock.observe(reading(0, 10s, 10s + 4ms));
    BOOST_TEST((clock.earliestTimeOf(reading(0, 12s, 30s)) == Instant(12s)));
}

BOOST_AUTO_TEST_SUITE_END()
