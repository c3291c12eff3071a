#include "Limits/GrantHolder.h"

#include <boost/test/unit_test.hpp>

using namespace Lavendervane;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(GrantHolderTest)

static const OrganisationId desk("desk");
static const VmId allocator("vm-1");
static const DataCentre dataCentre("dc-0");
constexpr uint64_t incarnation = 5000;

/// A holder that has accepted epoch 1 and sent its first request.
struct ClaimedHolderFixture {
    ClaimedHolderFixture()
        : holder({}, VmId("vm-0"), dataCentre, incarnation)
    {
        this->holder.handle(ClaimReceived { this->start, { dataCentre, allocator, 1, {} } });
    }

    std::vector<HolderEffect> answer(
        Instant now, uint64_t sequence, Capacity capacity, uint64_t tokens, uint64_t epoch = 1)
    {
        return this->holder.handle(
            GrantAnswered { now, { epoch, sequence, 60s, true, { { desk, capacity, tokens } } } });
    }

    Instant start { 1h };
    GrantHolder holder;
};

template <typename Effect> static const Effect* find(const std::vector<HolderEffect>& effects)
{
    for (const auto& effect : effects) {
        if (const auto* found = std::get_if<Effect>(&effect))
            return found;
    }
    return nullptr;
}

// A new process must not use capacity that an earlier process held, and must not send requests before it knows the
// allocator.
BOOST_AUTO_TEST_CASE(Holder_New_HoldsNothingAndWaitsForAClaim)
{
    GrantHolder holder({}, VmId("vm-0"), dataCentre, incarnation);
    BOOST_TEST(!holder.wakeAt());
    BOOST_TEST(holder.handle(ShortageObserved { Instant(1h), desk }).empty());
    const auto effects = holder.handle(ClaimReceived { Instant(1h), { dataCentre, allocator, 1, {} } });
    BOOST_TEST(find<AnswerClaim>(effects)->accepted);
    BOOST_TEST(find<SendGrantRequest>(effects)->request.sequence == incarnation + 1);
    BOOST_TEST(find<SendGrantRequest>(effects)->request.demands.front().held.empty());
}

// The validity counts from the send time of the request. Counted from the response, the grant would outlast the
// allocator's record of it.
BOOST_AUTO_TEST_CASE(Holder_SlowAnswer_ExpiresSixtySecondsAfterTheRequest)
{
    ClaimedHolderFixture claimed;
    const auto effects = claimed.answer(claimed.start + 900ms, incarnation + 1, { 1000, 2000 }, 2000);
    BOOST_TEST((find<ApplyGrant>(effects)->validUntil == claimed.start + 60s));
    claimed.holder.handle(HolderTick { claimed.start + 60s - 1ns });
    BOOST_TEST((claimed.holder.held(desk) == Capacity { 1000, 2000 }));
    claimed.holder.handle(HolderTick { claimed.start + 60s });
    BOOST_TEST(claimed.holder.held(desk).empty());
}

// Late or repeated responses and those of another epoch would raise the VM above what the allocator has recorded.
BOOST_AUTO_TEST_CASE(Holder_StaleAnswers_AreIgnored)
{
    ClaimedHolderFixture claimed;
    BOOST_TEST(!find<ApplyGrant>(claimed.answer(claimed.start, incarnation, { 1000, 2000 }, 0)));
    BOOST_TEST(!find<ApplyGrant>(claimed.answer(claimed.start, incarnation + 1, { 1000, 2000 }, 0, 2)));
    BOOST_TEST(find<ApplyGrant>(claimed.answer(claimed.start, incarnation + 1, { 1000, 2000 }, 500)));
    BOOST_TEST(!find<ApplyGrant>(claimed.answer(claimed.start, incarnation + 1, { 9000, 9000 }, 500)));
    // The second request has timed out and the third is in flight.
    claimed.holder.handle(HolderTick { claimed.start + 2s });
    claimed.holder.handle(HolderTick { claimed.start + 4s });
    BOOST_TEST(!find<ApplyGrant>(claimed.answer(claimed.start + 4s, incarnation + 2, { 9000, 9000 }, 500)));
    BOOST_TEST((claimed.holder.held(desk) == Capacity { 1000, 2000 }));
}

// A previous allocator must not raise a VM that has reported to its successor.
BOOST_AUTO_TEST_CASE(Holder_HigherEpochClaimed_RejectsLowerEpochs)
{
    ClaimedHolderFixture claimed;
    const VmId next("vm-2");
    BOOST_TEST(find<AnswerClaim>(claimed.holder.handle(ClaimReceived { claimed.start, { dataCentre, next, 2, {} } }))
                   ->accepted);
    BOOST_TEST(!find<ApplyGrant>(claimed.answer(claimed.start, incarnation + 1, { 1000, 2000 }, 0)));
    const auto effects = claimed.holder.handle(ClaimReceived { claimed.start, { dataCentre, allocator, 1, {} } });
    BOOST_TEST(!find<AnswerClaim>(effects)->accepted);
    BOOST_TEST(find<AnswerClaim>(effects)->report.epoch == 2U);
    const VmId other("vm-3");
    BOOST_TEST(!find<AnswerClaim>(claimed.holder.handle(ClaimReceived { claimed.start, { dataCentre, other, 2, {} } }))
                    ->accepted);
}

// Lowered capacity counts as held until the request that reports the lower value is sent. That request also returns the
// tokens.
BOOST_AUTO_TEST_CASE(Holder_LowerAnswer_ReturnsTokensWithTheNextRequest)
{
    ClaimedHolderFixture claimed;
    claimed.answer(claimed.start, incarnation + 1, { 4000, 8000 }, 8000);
    claimed.holder.handle(HolderTick { claimed.start + 2s });
    const auto effects = claimed.answer(claimed.start + 2s, incarnation + 2, { 4000, 5000 }, 0);
    BOOST_TEST((find<LowerGrants>(effects)->grants == std::vector<GrantLowering> { { desk, { 4000, 5000 }, 0 } }));
    claimed.holder.handle(GrantsLowered { claimed.start + 2s, { { desk, 3000 } } });
    const auto report
        = claimed.holder.handle(ClaimReceived { claimed.start + 2s, { dataCentre, VmId("vm-2"), 2, {} } });
    BOOST_TEST((find<AnswerClaim>(report)->report.held.front().held == Capacity { 4000, 8000 }));
    const auto sent = claimed.holder.handle(HolderTick { claimed.start + 2s + 20ms });
    BOOST_TEST((find<SendGrantRequest>(sent)->request.demands
        == std::vector<GrantDemand> { { desk, { 4000, 5000 }, {}, 3000 } }));
    claimed.holder.handle(HolderTick { claimed.start + 5s });
    const auto again = claimed.holder.handle(HolderTick { claimed.start + 8s });
    BOOST_TEST(find<SendGrantRequest>(again)->request.demands.front().returnedMilliTokens == 0U);
}

// A request waits for tokens for only 250 ms, so the holder must ask quickly, but not once per refused request.
BOOST_AUTO_TEST_CASE(Holder_Shortages_AsksAtOnceAndAtMostEvery20Ms)
{
    ClaimedHolderFixture claimed;
    claimed.answer(claimed.start, incarnation + 1, {}, 0);
    int sent = 0;
    for (Instant now = claimed.start + 1ms; now <= claimed.start + 1s; now += 1ms) {
        const auto effects = claimed.holder.handle(ShortageObserved { now, desk });
        if (const auto* request = find<SendGrantRequest>(effects)) {
            BOOST_TEST((now - claimed.start >= 20ms));
            BOOST_TEST(request->request.demands.front().wanted.milliBurst >= 1000U);
            claimed.answer(now, request->request.sequence, {}, 0);
            ++sent;
        }
    }
    BOOST_TEST(sent >= 4);
    BOOST_TEST(sent <= 10); // Responses that raise nothing lengthen the interval.
}

// Capacity that a stopping VM does not return would be unused for a minute.
BOOST_AUTO_TEST_CASE(Holder_Stopping_ReturnsEverything)
{
    ClaimedHolderFixture claimed;
    claimed.answer(claimed.start, incarnation + 1, { 4000, 8000 }, 8000);
    const auto effects = claimed.holder.handle(HolderStopping { claimed.start + 1s });
    BOOST_TEST((find<LowerGrants>(effects)->grants == std::vector<GrantLowering> { { desk, {}, 0 } }));
    const auto sent = claimed.holder.handle(GrantsLowered { claimed.start + 1s, { { desk, 7500 } } });
    BOOST_TEST((find<SendGrantRequest>(sent)->request.demands == std::vector<GrantDemand> { { desk, {}, {}, 7500 } }));
    BOOST_TEST(claimed.holder.held(desk).empty());
}

BOOST_AUTO_TEST_SUITE_END()
