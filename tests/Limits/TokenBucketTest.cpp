#include "Limits/TokenBucket.h"

#include <boost/test/unit_test.hpp>

using namespace Lavendervane;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(TokenBucketTest)

static const Instant start { 1h };

// A bucket that starts full would grant each restarted VM another burst.
BOOST_AUTO_TEST_CASE(Bucket_New_IsEmptyAndFillsUpToItsBurst)
{
    TokenBucket bucket({ 10'000, 5'000 }, start);
    BOOST_TEST(!bucket.take(1000, start));
    BOOST_TEST(bucket.milliTokens(start + 100ms) == 1000U);
    BOOST_TEST(bucket.milliTokens(start + 10s) == 5000U);
    BOOST_TEST(bucket.milliTokens(start + 8760h) == 5000U);
}

// Rounding at each call would lose or create tokens in a slow bucket that is queried often.
BOOST_AUTO_TEST_CASE(Bucket_AskedOften_AccruesExactly)
{
    TokenBucket bucket({ 333, 1'000'000 }, start);
    for (int step = 1; step <= 100'000; ++step)
        BOOST_TEST(!bucket.take(2'000'000, start + step * 100us));
    BOOST_TEST(bucket.milliTokens(start + 10s) == 3330U);
}

// A change of the capacity must neither create tokens nor lose those that the caller can transfer.
BOOST_AUTO_TEST_CASE(Bucket_CapacityChanges_ConservesTokens)
{
    TokenBucket bucket({ 10'000, 5'000 }, start);
    BOOST_TEST(bucket.setCapacity({ 20'000, 50'000 }, start + 1s) == 0U);
    BOOST_TEST(bucket.milliTokens(start + 1s) == 5000U);
    BOOST_TEST(bucket.setCapacity({ 0, 2'000 }, start + 1s) == 3000U);
    bucket.add(500, start + 2s);
    BOOST_TEST(bucket.milliTokens(start + 2s) == 2000U);
}

// Traffic threads read the clock before they take the lock, so times may run backwards.
BOOST_AUTO_TEST_CASE(Bucket_EarlierTime_AccruesNothingTwice)
{
    TokenBucket bucket({ 10'000, 5'000 }, start);
    BOOST_TEST(bucket.take(1000, start + 100ms));
    BOOST_TEST(!bucket.take(1000, start + 50ms));
    BOOST_TEST(!bucket.take(1000, start + 199ms));
    BOOST_TEST(bucket.take(1000, start + 200ms));
}

// Callers get the wait as Retry-After. If it is too short, their retry is refused again.
BOOST_AUTO_TEST_CASE(Bucket_TimeUntil_IsEnoughAndNotMuchMore)
{
    const TokenBucket bucket({ 3'000, 5'000 }, start);
    const Duration wait = bucket.timeUntil(1000, start);
    BOOST_TEST(bucket.milliTokens(start + wait) >= 1000U);
    BOOST_TEST((wait < 334ms));
    BOOST_TEST((bucket.timeUntil(6000, start) == Duration::max()));
    BOOST_TEST((TokenBucket().timeUntil(1, start) == Duration::max()));
}

BOOST_AUTO_TEST_SUITE_END()
