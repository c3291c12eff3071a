#include "Limits/AdmissionTable.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <thread>

using namespace Lavendervane;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(AdmissionTableTest)

static const Instant start { 1h };
static const OrganisationId desk("desk");

static int takeAll(AdmissionTable& table, Instant now)
{
    int taken = 0;
    while (table.tryTakeToken(desk, now))
        ++taken;
    return taken;
}

// Without a grant no request is admitted, because other VMs may use the capacity of this VM.
BOOST_AUTO_TEST_CASE(Table_WithoutGrant_RefusesAndAsksToRetryInASecond)
{
    AdmissionTable table;
    BOOST_TEST(!table.tryTakeToken(desk, start));
    BOOST_TEST((table.retryAfter(desk, start) == 1s));
    BOOST_TEST((table.collectDemand(start) == std::vector<MeasuredDemand> { { desk, 0, 1, 0 } }));
}

// The allocator grants the capacity of an expired grant to other VMs, so its tokens must not survive, not even when a
// new grant arrives.
BOOST_AUTO_TEST_CASE(Table_GrantExpired_DropsItsTokens)
{
    AdmissionTable table;
    table.apply({ desk, { 0, 9'000 }, 5'000, start + 60s }, start);
    BOOST_TEST(table.tryTakeToken(desk, start + 60s - 1ns));
    BOOST_TEST(!table.tryTakeToken(desk, start + 60s));
    table.apply({ desk, { 0, 9'000 }, 2'000, start + 120s }, start + 61s);
    BOOST_TEST(takeAll(table, start + 61s) == 2);
}

// Tokens that stay in a bucket after being reported as removed would be spent twice.
BOOST_AUTO_TEST_CASE(Table_Lowered_RemovesWhatItReports)
{
    AdmissionTable table;
    table.apply({ desk, { 0, 9'000 }, 8'000, start + 60s }, start);
    const auto excess = table.lower({ { { desk, { 0, 6'000 }, 0 } } }, start);
    BOOST_TEST((excess == std::vector<LoweredGrant> { { desk, 2'000 } }));
    const auto offered = table.lower({ { { desk, { 0, 5'000 }, 4'000 } } }, start);
    BOOST_TEST((offered == std::vector<LoweredGrant> { { desk, 4'000 } }));
    BOOST_TEST(takeAll(table, start) == 2);
    BOOST_TEST(
        (table.lower({ { { desk, { 0, 1'000 }, 4'000 } } }, start) == std::vector<LoweredGrant> { { desk, 0 } }));
}

// A request that is refused after admission, for instance by a full queue, must not consume a token.
BOOST_AUTO_TEST_CASE(Table_TokenGivenBack_CanBeTakenOnceMore)
{
    AdmissionTable table;
    table.apply({ desk, { 0, 2'000 }, 2'000, start + 60s }, start);
    BOOST_TEST(takeAll(table, start) == 2);
    table.returnToken(desk);
    BOOST_TEST(takeAll(table, start) == 1);
}

// Two traffic threads must not take the same token.
BOOST_AUTO_TEST_CASE(Table_ManyThreads_AdmitNoMoreThanTheTokens)
{
    AdmissionTable table;
    table.apply({ desk, { 0, 10'000'000 }, 10'000'000, start + 60s }, start);
    std::atomic<int> taken = 0;
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int count = 0; count < 4; ++count) {
        threads.emplace_back([&] {
            for (int attempt = 0; attempt < 4000; ++attempt)
                taken += table.tryTakeToken(desk, start) ? 1 : 0;
        });
    }
    for (auto& thread : threads)
        thread.join();
    BOOST_TEST(taken == 10'000);
}

BOOST_AUTO_TEST_SUITE_END()
