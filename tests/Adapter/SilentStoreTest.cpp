#include "ControlledVm.h"

#include <boost/test/unit_test.hpp>

#include <chrono>

using namespace Lavendervane;
using namespace Lavendervane::Adapter;
using namespace std::chrono_literals;

namespace {

constexpr auto applyTime = 3s;

/// A VM that is the only one in touch with the store, so that no other VM can tell it what it has missed.
struct SilentStoreFixture : ControlledVm {
    SilentStoreFixture()
    {
        this->putConfiguration(4);
        this->store.put("servers", "a", entryText("primary", "10.128.0.8:8080", 1));
        this->start();
        // The feed requests are waiting.
        this->runFor(300ms);
    }

    bool hasConfiguration(uint64_t version) const
    {
        return this->traffic.directory->configuration().version == version;
    }

    bool isDraining() const { return this->traffic.directory->endpoints().front().draining; }

    void beSilentFor(std::chrono::milliseconds duration)
    {
        this->store.fallSilent();
        this->runFor(duration);
        this->store.answerAgain();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SilentStoreTest, SilentStoreFixture)

// Guards against keys and routes that stay in force because a feed request was sent while the store was silent.
BOOST_AUTO_TEST_CASE(Configuration_ChangedAfterRequestWasLost_IsAppliedInTime)
{
    this->putConfiguration(8);
    this->waitFor([this] { return this->hasConfiguration(8); });
    this->beSilentFor(600ms);
    this->putConfiguration(15);
    this->waitFor([this] { return this->hasConfiguration(15); }, applyTime);
}

// Guards against a change that is never seen because the answer to a waiting feed request was lost.
BOOST_AUTO_TEST_CASE(Configuration_ChangedWhileStoreIsSilent_IsAppliedInTime)
{
    this->store.fallSilent();
    this->putConfiguration(15);
    this->runFor(600ms);
    this->store.answerAgain();
    this->waitFor([this] { return this->hasConfiguration(15); }, applyTime);
}

// Guards against new work for an endpoint that leaves, because a feed request was sent while the store was silent.
BOOST_AUTO_TEST_CASE(Endpoint_LeavesAfterRequestWasLost_WorkEndsInTime)
{
    this->store.put("servers", "a", entryText("replica", "10.128.0.8:8080", 2));
    this->waitFor(
        [this] { return this->traffic.directory->endpoints().front().role == EndpointRole::Replica; }, applyTime);
    this->beSilentFor(600ms);
    const Instant leftAt = this->timers.now();
    this->store.put("servers", "a", entryText("replica", "10.128.0.8:8080", 3, "draining"));
    this->waitFor([this] { return this->isDraining(); }, applyTime);
    const auto workEnd = this->traffic.directory->endpoints().front().workEnd;
    const Duration drainLimit = makeSettings().drainLimit;
    BOOST_REQUIRE(workEnd.has_value());
    BOOST_TEST((*workEnd <= leftAt + drainLimit + 100ms));
    // The endpoint keeps what is left of its time.
    BOOST_TEST((*workEnd > leftAt + drainLimit - applyTime));
}

BOOST_AUTO_TEST_SUITE_END()
