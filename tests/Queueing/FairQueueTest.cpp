#include "Queueing/FairQueue.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <memory>
#include <string>

using namespace Lavendervane;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(FairQueueTest)

using Queue = FairQueue<std::unique_ptr<int>>;

static const Instant start {};
static const OrganisationId desk("desk");
static const OrganisationId lanes("lanes");

static PushResult push(
    Queue& queue, const OrganisationId& organisation, int value, uint32_t weight = 1, Duration deadline = 10s)
{
    return queue.push(organisation, weight, start + deadline, std::make_unique<int>(value));
}

// An organisation that floods the queue must not take more than its weighted share.
BOOST_AUTO_TEST_CASE(Pop_OneOrganisationFloods_SharesByWeight)
{
    Queue queue(64);
    for (int value = 0; value < 64; ++value) {
        push(queue, desk, value, 1);
        push(queue, lanes, value, 3);
    }
    std::map<OrganisationId, int> popped;
    for (int count = 0; count < 40; ++count)
        ++popped[queue.pop(start)->organisation];
    BOOST_TEST(popped[desk] == 10);
    BOOST_TEST(popped[lanes] == 30);
}

// Entries of one organisation are popped in order, so that a later request does not overtake an earlier one.
BOOST_AUTO_TEST_CASE(Pop_EntriesOfOneOrganisation_KeepsOrder)
{
    Queue queue(64);
    for (int value = 0; value < 5; ++value)
        push(queue, desk, value);
    for (int value = 0; value < 5; ++value)
        BOOST_TEST(*queue.pop(start)->entry == value);
    BOOST_TEST(!queue.pop(start));
    BOOST_TEST(queue.empty());
}

// An organisation at its limit is refused, keeps its entry, and does not affect the limit of other organisations.
BOOST_AUTO_TEST_CASE(Push_OrganisationFull_RefusesOnlyThatOrganisation)
{
    Queue queue(2);
    BOOST_TEST((push(queue, desk, 1) == PushResult::Accepted));
    BOOST_TEST((push(queue, desk, 2) == PushResult::Accepted));
    auto refused = std::make_unique<int>(3);
    BOOST_TEST((queue.push(desk, 1, start + 1s, std::move(refused)) == PushResult::OrganisationFull));
    BOOST_TEST(*refused == 3); // NOLINT(bugprone-use-after-move): a refused entry is not moved from.
    BOOST_TEST((push(queue, lanes, 4) == PushResult::Accepted));
    BOOST_TEST(queue.size() == 3U);
    BOOST_TEST(queue.size(desk) == 2U);
}

// An expired request must not take a slot, and must be returned once so that its caller is told.
BOOST_AUTO_TEST_CASE(Expire_DeadlinePassed_HandsOutOnceAndNeverPops)
{
    Queue queue(64);
    push(queue, desk, 1, 1, 1s);
    push(queue, desk, 2, 1, 3s);
    push(queue, desk, 3, 1, 2s);
    push(queue, lanes, 4, 1, 1s);
    BOOST_TEST((queue.nextDeadline() == start + 1s));
    BOOST_TEST(*queue.pop(start + 2s)->entry == 2);
    BOOST_TEST(!queue.pop(start + 2s));
    BOOST_TEST(queue.size() == 3U);
    BOOST_TEST(queue.expire(start + 2s).size() == 3U);
    BOOST_TEST(queue.expire(start + 2s).empty());
    BOOST_TEST(queue.empty());
}

// An organisation with only expired entries must not block the others.
BOOST_AUTO_TEST_CASE(Pop_FirstOrganisationExpired_ServesTheNext)
{
    Queue queue(64);
    push(queue, desk, 1, 1, 1s);
    push(queue, lanes, 2, 1, 5s);
    BOOST_TEST(*queue.pop(start + 1s)->entry == 2);
}

// The estimate lets the caller refuse a request at once that would only wait until its deadline.
BOOST_AUTO_TEST_CASE(EstimatedWait_SlotsEvery10Ms_CountsEntriesAhead)
{
    Queue queue(64);
    BOOST_TEST((queue.estimatedWait(desk, 1) == 0ms));
    for (int value = 0; value < 20; ++value) {
        push(queue, desk, value);
        push(queue, lanes, value);
    }
    Instant now = start;
    for (int count = 0; count < 10; ++count)
        queue.pop(now += 10ms);
    // 15 entries of the same organisation and 15 of the other are ahead of the new entry.
    BOOST_TEST((queue.estimatedWait(desk, 1) == 300ms));
    // A new organisation waits for at most one entry of each other organisation.
    BOOST_TEST((queue.estimatedWait(OrganisationId("new"), 1) == 20ms));
}

// Idle time without waiting entries must not count as the time between free slots.
BOOST_AUTO_TEST_CASE(EstimatedWait_AfterIdleTime_IgnoresThePause)
{
    Queue queue(64);
    push(queue, desk, 1);
    push(queue, desk, 2);
    queue.pop(start);
    queue.pop(start + 10ms);
    push(queue, desk, 3);
    queue.pop(start + 5s);
    push(queue, desk, 4);
    BOOST_TEST((queue.estimatedWait(desk, 1) == 10ms));
}

BOOST_AUTO_TEST_SUITE_END()
