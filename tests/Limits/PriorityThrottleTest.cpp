#include "Limits/PriorityThrottle.h"

#include "Core/RandomGenerator.h"
#include "Limits/TokenBucket.h"

#include <boost/test/unit_test.hpp>

#include <array>

using namespace Lavendervane;

namespace {

constexpr size_t priorityCount = 3;
using Rates = std::array<double, priorityCount>;

struct Outcome {
    std::array<double, priorityCount> asked {};
    std::array<double, priorityCount> served {};

    double share(size_t priority) const { return this->served[priority] / this->asked[priority]; }
    double total() const { return this->served[0] + this->served[1] + this->served[2]; }
};

/// An organisation with a limit of 50 requests a second and a burst of 46, whose requests have three priorities. Plays
/// random arrivals in steps of 1 ms, either with the throttle or in order of arrival.
struct ThrottleFixture {
    Outcome play(const Rates& rates, Duration length, bool throttled)
    {
        Outcome outcome;
        for (const Instant end = this->now + length; this->now < end; this->now += std::chrono::milliseconds(1)) {
            for (uint32_t priority = 0; priority < priorityCount; ++priority) {
                if (static_cast<double>(this->random.below(1'000'000)) >= rates.at(priority) * 1000)
                    continue;
                ++outcome.asked.at(priority);
                outcome.served.at(priority) += this->request(priority, throttled);
            }
        }
        return outcome;
    }

    bool request(uint32_t priority, bool throttled)
    {
        if (throttled && this->throttle.permit(priority, 1, limitRate, this->now) < 1)
            return false;
        if (!this->bucket.take(1000, this->now)) {
            this->throttle.recordShortage(this->now);
            return false;
        }
        this->throttle.recordUse(priority, 1);
        return true;
    }

    static constexpr double limitRate = 50;
    Instant now { std::chrono::seconds(2) }; ///< when the bucket, which starts empty, is full
    RandomGenerator random { 7 };
    TokenBucket bucket { { 50'000, 46'000 }, Instant {} };
    PriorityThrottle throttle;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PriorityThrottleTest, ThrottleFixture)

// In order of arrival, an organisation at one and a half times its limit loses as many urgent requests as others,
// although the limit has room for all of them.
BOOST_AUTO_TEST_CASE(Overload_ThreePriorities_UrgentOnesAreServed)
{
    const Rates rates { 10, 45, 20 };
    ThrottleFixture other;
    const Outcome earlier = other.play(rates, std::chrono::seconds(30), false);
    const Outcome present = this->play(rates, std::chrono::seconds(30), true);
    BOOST_TEST_MESSAGE("in order of arrival " << earlier.share(0) << " " << earlier.share(1) << " " << earlier.share(2)
                                              << ", throttled " << present.share(0) << " " << present.share(1) << " "
                                              << present.share(2));
    BOOST_TEST(earlier.share(0) < 0.85);
    BOOST_TEST(present.share(0) > 0.97);
    BOOST_TEST(present.share(1) > earlier.share(1));
    // The tokens that low priorities leave must not be wasted.
    BOOST_TEST(present.total() > earlier.total() * 0.95);
}

// Urgent requests that need the whole limit must not starve the others.
BOOST_AUTO_TEST_CASE(Overload_UrgentDemandAboveLimit_OthersGetMinimum)
{
    const Outcome present = this->play({ 100, 40, 40 }, std::chrono::seconds(30), true);
    BOOST_TEST(present.served[1] > 0.05 * limitRate * 30);
    BOOST_TEST(present.served[2] > 0.05 * limitRate * 30);
    BOOST_TEST(present.share(0) > 0.3);
}

// Requests inside the limit must not be refused because of their priority.
BOOST_AUTO_TEST_CASE(InsideLimit_AnyPriority_IsServed)
{
    const Outcome present = this->play({ 10, 15, 15 }, std::chrono::seconds(30), true);
    for (size_t priority = 0; priority < priorityCount; ++priority)
        BOOST_TEST(present.share(priority) == 1.0);
}

// What gave way in a burst must get its share back within 1 s.
BOOST_AUTO_TEST_CASE(AfterBurst_LowPriority_IsServedWithinOneSecond)
{
    this->play({ 60, 30, 20 }, std::chrono::seconds(10), true);
    this->play({ 10, 5, 5 }, std::chrono::seconds(1), true);
    const Outcome after = this->play({ 10, 5, 5 }, std::chrono::seconds(10), true);
    BOOST_TEST(after.share(2) == 1.0);
}

BOOST_AUTO_TEST_SUITE_END()
