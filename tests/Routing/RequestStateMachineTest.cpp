#include "Routing/RequestStateMachine.h"

#include "Routing/RoutingFixture.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace Lavendervane;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(RequestStateMachineTest)

struct Request {
    explicit Request(Access access, ReadRequirements requirements = {})
        : machine({ lanes, access, std::move(requirements), now + 5s }, router, budget)
    {
        router.setSnapshot(makeSnapshot(3, 0));
    }

    RequestAction endAttempt(uint32_t number, Outcome outcome, std::string code = "")
    {
        AttemptResult result;
        result.outcome = outcome;
        result.failure.code = std::move(code);
        result.primaryRole = true;
        return machine.onAttemptEnd(number, result, now);
    }

    RequestAction changePrimary(uint64_t term, std::optional<int> primary)
    {
        router.setSnapshot(makeSnapshot(term, primary));
        return machine.onRoutingChange(now);
    }

    Instant now { 100s };
    Router router { 1 };
    RetryBudget budget;
    RequestStateMachine machine;
};

struct WriteRequest : Request {
    WriteRequest()
        : Request(Access::Write)
    {
    }
};

struct CoveredRead : Request {
    CoveredRead()
        : Request(Access::Read, { LogPosition { makeTerm(3), 7 }, std::nullopt, false })
    {
    }
};

static bool sends(const RequestAction& action, uint32_t number, int endpoint)
{
    const auto* send = std::get_if<SendAttempt>(&action);
    return send && send->number == number && send->choice.endpoint == endpointName(endpoint);
}

static bool finishes(const RequestAction& action, Outcome outcome, const std::string& code = "")
{
    const auto* finish = std::get_if<FinishRequest>(&action);
    return finish && finish->outcome == outcome && finish->failure.code == code;
}

static bool waits(const RequestAction& action) { return std::holds_alternative<WaitUntil>(action); }

// A final result of the first attempt ends the request with the same outcome.
BOOST_AUTO_TEST_CASE(Write_FinalAnswers_EndTheRequest)
{
    struct Row {
        Outcome outcome;
        const char* code;
    };
    for (const Row& row : { Row { Outcome::Done, "" }, Row { Outcome::NotRun, "idempotency_conflict" },
             Row { Outcome::NotRun, "bad_request" }, Row { Outcome::NotRun, "queue_full" } }) {
        WriteRequest write;
        BOOST_TEST(sends(write.machine.start(write.now), 1, 0));
        BOOST_TEST(finishes(write.endAttempt(1, row.outcome, row.code), row.outcome, row.code), row.code);
    }
}

// After an ambiguous attempt the outcome must not be not_run, whatever a later attempt reports.
BOOST_FIXTURE_TEST_CASE(Write_AmbiguousThenRejected_IsUnknown, WriteRequest)
{
    machine.start(now);
    BOOST_TEST(sends(endAttempt(1, Outcome::Unknown, "connection_lost"), 2, 0));
    BOOST_TEST(finishes(endAttempt(2, Outcome::NotRun, "queue_full"), Outcome::Unknown, "queue_full"));
}

BOOST_FIXTURE_TEST_CASE(Write_AmbiguousThenRepeatedWithKey_IsDone, WriteRequest)
{
    machine.start(now);
    endAttempt(1, Outcome::Unknown, "connection_lost");
    BOOST_TEST(finishes(endAttempt(2, Outcome::Done), Outcome::Done));
}

// Guards against refusing a write during a failover instead of waiting for the new primary.
BOOST_FIXTURE_TEST_CASE(Write_WrongTerm_WaitsForTheNewPrimary, WriteRequest)
{
    machine.start(now);
    BOOST_TEST(waits(endAttempt(1, Outcome::NotRun, "wrong_term")));
    BOOST_TEST(waits(changePrimary(4, std::nullopt)));
    BOOST_TEST(sends(changePrimary(4, 2), 2, 2));
    BOOST_TEST(finishes(endAttempt(2, Outcome::Done), Outcome::Done));
}

// Guards against a write that waits for the old primary, which may not answer for seconds.
BOOST_FIXTURE_TEST_CASE(Write_FailoverWhileRunning_IsRepeatedAtTheNewPrimary, WriteRequest)
{
    machine.start(now);
    BOOST_TEST(sends(changePrimary(4, 2), 2, 2));
    BOOST_TEST(finishes(endAttempt(2, Outcome::NotRun, "bad_request"), Outcome::Unknown, "bad_request"));
}

// If the abandoned attempt itself reports not_run, the request can still end with not_run.
BOOST_FIXTURE_TEST_CASE(Write_AbandonedAttemptReportsNotRun_OutcomeIsNotRun, WriteRequest)
{
    machine.start(now);
    changePrimary(4, 2);
    BOOST_TEST((endAttempt(1, Outcome::NotRun, "wrong_term") == RequestAction(KeepWaiting {})));
    BOOST_TEST(finishes(endAttempt(2, Outcome::NotRun, "bad_request"), Outcome::NotRun, "bad_request"));
}

BOOST_FIXTURE_TEST_CASE(Write_NoMajority_IsRejectedEarlyUnlessAmbiguous, WriteRequest)
{
    auto snapshot = makeSnapshot(3, 0);
    snapshot->groups[lanes].majorityReachable = false;
    router.setSnapshot(snapshot);
    BOOST_TEST(finishes(machine.start(now), Outcome::NotRun, "no_majority"));

    WriteRequest running;
    running.machine.start(running.now);
    running.router.setSnapshot(snapshot);
    BOOST_TEST(!finishes(running.endAttempt(1, Outcome::Unknown, "unconfirmed"), Outcome::NotRun, "no_majority"));
}

BOOST_FIXTURE_TEST_CASE(Write_NoPrimaryUntilDeadline_IsNotRun, WriteRequest)
{
    router.setSnapshot(makeSnapshot(3, std::nullopt));
    BOOST_TEST(waits(machine.start(now)));
    now += 5s;
    BOOST_TEST(finishes(machine.onTimer(now), Outcome::NotRun, "no_primary"));
}

BOOST_FIXTURE_TEST_CASE(Write_RunningAtDeadline_IsUnknown, WriteRequest)
{
    machine.start(now);
    now += 5s;
    BOOST_TEST(finishes(machine.onTimer(now), Outcome::Unknown, "deadline"));
}

BOOST_FIXTURE_TEST_CASE(Read_NotCovered_GoesToThePrimary, CoveredRead)
{
    BOOST_TEST(sends(machine.start(now), 1, 1));
    BOOST_TEST(sends(endAttempt(1, Outcome::NotRun, "not_covered"), 2, 0));
}

// Guards against a stale read in a session when an endpoint ignores the required position.
BOOST_FIXTURE_TEST_CASE(Read_AnswerOlderThanTheToken_IsNotReturned, CoveredRead)
{
    machine.start(now);
    AttemptResult result;
    result.outcome = Outcome::Done;
    result.applied = AppliedPosition { makeTerm(3), 6, 1 };
    BOOST_TEST(sends(machine.onAttemptEnd(1, result, now), 2, 0));
}

BOOST_FIXTURE_TEST_CASE(Read_ReplicaFails_GoesToAnotherEndpoint, CoveredRead)
{
    machine.start(now);
    BOOST_TEST(sends(endAttempt(1, Outcome::NotRun, "endpoint_unreachable"), 2, 2));
    BOOST_TEST(sends(endAttempt(2, Outcome::Unknown, "connection_lost"), 3, 0));
}

BOOST_AUTO_TEST_CASE(RetryBudget_Spent_RefillsWithTimeAndRequests)
{
    RetryBudget budget;
    Instant now { 100s };
    int taken = 0;
    while (budget.tryTake(now))
        ++taken;
    BOOST_TEST(taken == 10);
    now += 100ms;
    BOOST_TEST(budget.tryTake(now));
    BOOST_TEST(!budget.tryTake(now));
    for (int count = 0; count < 11; ++count)
        budget.recordRequest();
    BOOST_TEST(budget.tryTake(now));
}

/// Drives one state machine with random events and records which attempts may have run.
class RandomRun {
public:
    explicit RandomRun(uint64_t seed)
        : random(seed)
        , router(seed)
        , machine({ lanes, this->random.below(2) ? Access::Write : Access::Read, {}, now + 2s }, router, budget)
    {
        this->router.setSnapshot(makeSnapshot(1, 0));
    }

    void run()
    {
        this->handleAction(this->machine.start(this->now));
        for (int step = 0; step < 200 && !this->machine.isFinished(); ++step)
            this->injectRandomEvent();
        this->now += 3s;
        if (!this->machine.isFinished())
            this->handleAction(this->machine.onTimer(this->now));
        BOOST_TEST(this->machine.isFinished());
    }

private:
    void injectRandomEvent()
    {
        this->now += std::chrono::milliseconds(this->random.below(60));
        switch (this->random.below(4)) {
        case 0:
            if (!this->runningAttempts.empty())
                this->endRandomAttempt();
            break;
        case 1:
            this->term += this->random.below(2);
            this->router.setSnapshot(makeSnapshot(this->term,
                this->random.below(3) ? std::optional<int>(static_cast<int>(this->random.below(3))) : std::nullopt));
            this->handleAction(this->machine.onRoutingChange(this->now));
            break;
        case 2:
            this->router.learnTerm(lanes, makeTerm(this->term + 1), std::nullopt);
            this->handleAction(this->machine.onRoutingChange(this->now));
            break;
        default:
            this->handleAction(this->machine.onTimer(this->now));
        }
    }

    void endRandomAttempt()
    {
        static const char* const codes[] = { "wrong_term", "not_primary", "not_covered", "busy", "endpoint_unreachable",
            "peer_unreachable", "queue_full", "bad_request" };
        const auto chosen
            = std::next(this->runningAttempts.begin(), static_cast<long>(this->random.below(runningAttempts.size())));
        const uint32_t number = *chosen;
        this->runningAttempts.erase(chosen);
        AttemptResult result;
        result.outcome = static_cast<Outcome>(this->random.below(3));
        result.primaryRole = this->random.below(2);
        result.vmFailed = !this->random.below(4);
        result.endpointFailed = !this->random.below(4);
        if (result.outcome == Outcome::NotRun)
            result.failure.code = codes[this->random.below(std::size(codes))];
        this->mayHaveRun = this->mayHaveRun || result.outcome != Outcome::NotRun;
        if (result.outcome == Outcome::Done)
            this->doneAttempts.insert(number);
        this->handleAction(this->machine.onAttemptEnd(number, result, this->now));
    }

    void handleAction(const RequestAction& action)
    {
        if (const auto* send = std::get_if<SendAttempt>(&action)) {
            BOOST_TEST(this->runningAttempts.insert(send->number).second);
            BOOST_TEST((this->now < this->machine.plan().deadline));
        }
        const auto* finish = std::get_if<FinishRequest>(&action);
        if (!finish)
            return;
        if (finish->outcome == Outcome::NotRun)
            BOOST_TEST((!this->mayHaveRun && this->runningAttempts.empty()));
        if (finish->outcome == Outcome::Done)
            BOOST_TEST(this->doneAttempts.contains(finish->number));
    }

    Instant now { 100s };
    RandomGenerator random;
    Router router;
    RetryBudget budget;
    RequestStateMachine machine;
    std::set<uint32_t> runningAttempts;
    std::set<uint32_t> doneAttempts;
    uint64_t term = 1;
    bool mayHaveRun = false;
};

// Guards against a false not_run after lost and late results around failovers. It would make a caller repeat a
// payment that was carried out.
BOOST_AUTO_TEST_CASE(Machine_RandomEventOrders_NeverReportsAFalseNotRun)
{
    for (uint64_t seed = 0; seed < 20000; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed) { RandomRun(seed).run(); }
    }
}

BOOST_AUTO_TEST_SUITE_END()
