#include "Statements/ColdStartLimiter.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

using namespace Lavendervane;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(ColdStartLimiterTest)

// Guards against VMs that together send more than the endpoint's rate in some second, whether there are fewer VMs than
// requests or more. The load is a VM that always has a request waiting.
BOOST_AUTO_TEST_CASE(Take_AllVmsHaveRequests_SumStaysBelowRateInAnySecond)
{
    for (const auto& [rate, vms] : { std::pair<uint32_t, uint32_t> { 20, 5 }, { 7, 5 }, { 3, 115 } }) {
        std::vector<ColdStartLimiter> limiters(vms);
        for (uint32_t rank = 0; rank < vms; ++rank)
            limiters[rank].setShare(ColdStartLimiter::share(rate, rank, vms));
        std::vector<Instant> sent;
        const Instant start { 100s };
        for (Instant now = start; now < start + 5s; now += 10ms) {
            for (ColdStartLimiter& limiter : limiters) {
                if (limiter.take(start + 5s, now))
                    sent.push_back(now);
            }
        }
        BOOST_TEST(sent.size() == 5U * rate);
        for (const Instant& begin : sent) {
            const auto inSecond = std::count_if(sent.begin(), sent.end(),
                [&begin](const Instant& other) { return other >= begin && other < begin + 1s; });
            BOOST_TEST(static_cast<uint32_t>(inSecond) <= rate);
        }
    }
}

// Guards against a limit on endpoints that are warm or whose group states no rate.
BOOST_AUTO_TEST_CASE(Take_EndpointIsWarmOrHasNoRate_IsNotLimited)
{
    ColdStartLimiter limiter;
    BOOST_TEST(limiter.take(Instant(200s), Instant(100s)));
    limiter.setShare(0);
    BOOST_TEST(!limiter.take(Instant(200s), Instant(199s)));
    BOOST_TEST(limiter.take(Instant(200s), Instant(200s)));
}

// Guards against statements of open transactions that are sent in addition to the share.
BOOST_AUTO_TEST_CASE(Record_TransactionSendsStatement_CountsTowardsShare)
{
    ColdStartLimiter limiter;
    limiter.setShare(1);
    limiter.record(Instant(200s), Instant(100s));
    BOOST_TEST(!limiter.take(Instant(200s), Instant(100s)));
    BOOST_TEST(limiter.take(Instant(200s), Instant(101s)));
}

BOOST_AUTO_TEST_SUITE_END()
