#include "Groups/GroupScript.h"

#include <boost/test/unit_test.hpp>

#include <functional>

using namespace Lavendervane;
using namespace Lavendervane::Test;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(GroupSupervisorTest)

static const GroupId groupName("scores");

/// A fault in a healthy group and the time in which the supervisor must start a promotion.
struct DecisionCase {
    const char* name;
    uint32_t rank;
    std::function<void(GroupScript&)> fault;
    Duration earliest; ///< no fence command is sent up to this time after the fault
    /// A fence command is sent by this time. If absent, none is sent until `earliest`, which is 10 s.
    std::optional<Duration> latest;
};

static void failQueries(GroupScript& script, std::initializer_list<size_t> endpoints)
{
    for (size_t index : endpoints)
        script.statusAnswers[GroupScript::endpoint(index)] = std::nullopt;
}

/// Makes replicas report that they last heard the primary `heard` ago.
static void setPrimaryHeard(GroupScript& script, std::initializer_list<size_t> endpoints, Duration heard)
{
    for (size_t index : endpoints)
        script.statusAnswers[GroupScript::endpoint(index)] = GroupScript::replicaStatus(5, 0, heard);
}

static void killPrimary(GroupScript& script)
{
    failQueries(script, { 0 });
    setPrimaryHeard(script, { 1, 2 }, 900ms);
}

// A promotion that starts too early interrupts writes; a missing one leaves the group without a primary.
BOOST_AUTO_TEST_CASE(Decision_FaultsInHealthyGroup_StartsAPromotionInTime)
{
    const std::vector<DecisionCase> cases = {
        { "healthy", 0, [](GroupScript&) {}, 10s, {} },
        { "primary killed, rank 0", 0, killPrimary, 300ms, 1200ms },
        { "primary killed, rank 2", 2, killPrimary, 1100ms, 2000ms },
        { "primary unreachable, replicas hear it", 0, [](GroupScript& script) { failQueries(script, { 0 }); }, 2600ms,
            3500ms },
        { "one replica still hears the primary", 0,
            [](GroupScript& script) {
                killPrimary(script);
                setPrimaryHeard(script, { 2 }, 500ms);
            },
            2600ms, 3500ms },
        { "primary answers, replicas lost it", 0,
            [](GroupScript& script) {
                setPrimaryHeard(script, { 1, 2 }, 4s);
            },
            0ms, 600ms },
        { "primary answers, one replica lost it", 0, [](GroupScript& script) { setPrimaryHeard(script, { 1 }, 4s); },
            10s, {} },
        { "one replica cut off", 0, [](GroupScript& script) { failQueries(script, { 1 }); }, 10s, {} },
        { "both replicas cut off", 0,
            [](GroupScript& script) {
                failQueries(script, { 1, 2 });
            },
            10s, {} },
        { "primary and one replica cut off", 0,
            [](GroupScript& script) {
                failQueries(script, { 0, 1 });
                setPrimaryHeard(script, { 2 }, 900ms);
            },
            10s, {} },
        { "all cut off", 0,
            [](GroupScript& script) {
                failQueries(script, { 0, 1, 2 });
            },
            10s, {} },
        { "primary restarted without its role", 0,
            [](GroupScript& script) {
                script.statusAnswers[GroupScript::endpoint(0)] = GroupScript::replicaStatus(5, 0, 0ms);
            },
            0ms, 600ms },
        { "one replica fenced by a failed rival", 0,
            [](GroupScript& script) {
                script.statusAnswers[GroupScript::endpoint(1)]->promised = GroupScript::term(6);
            },
            500ms, 1300ms },
        { "primary leaving", 0, [](GroupScript& script) { script.configure(0); }, 0ms, 300ms },
        { "replica leaving", 0, [](GroupScript& script) { script.configure(1); }, 10s, {} },
        { "primary leaving, no member can replace it", 0,
            [](GroupScript& script) {
                failQueries(script, { 1 });
                script.statusAnswers[GroupScript::endpoint(2)]->position = 99;
                script.run(1s);
                script.configure(0);
            },
            10s, {} },
    };
    for (const DecisionCase& example : cases) {
        GroupScript script(example.rank);
        BOOST_TEST(selectEffects<SendFence>(script.run(5s)).empty(), example.name);
        example.fault(script);
        BOOST_TEST(selectEffects<SendFence>(script.run(example.earliest)).empty(), example.name << ": too early");
        if (example.latest)
            BOOST_TEST(!selectEffects<SendFence>(script.run(*example.latest - example.earliest)).empty(),
                example.name << ": too late");
    }
}

// A single lost query must not count as a failure of the primary.
BOOST_AUTO_TEST_CASE(Decision_SingleFailedQuery_KeepsThePrimary)
{
    GroupScript script;
    script.run(2s);
    for (int round = 0; round < 10; ++round) {
        const bool fails = round % 2 == 0;
        script.statusAnswers[GroupScript::endpoint(0)]
            = fails ? std::nullopt : std::optional(GroupScript::primaryStatus(5));
        setPrimaryHeard(script, { 1, 2 }, 900ms);
        BOOST_TEST(selectEffects<SendFence>(script.run(300ms)).empty());
    }
}

/// Answers of members to fence commands, and the member that must be promoted.
struct ChoiceCase {
    const char* name;
    std::vector<std::pair<size_t, LogPosition>> answers; ///< endpoint and its log, in order of arrival
    std::optional<size_t> chosen;
    std::optional<size_t> leaving {};
};

/// Returns a script in which the supervisor has just sent the fence commands of `term`.
static GroupScript startPromotion(std::optional<size_t> leaving, Term& term)
{
    GroupScript script;
    script.run(2s);
    if (leaving)
        script.configure(leaving);
    if (leaving != 0U)
        killPrimary(script);
    std::vector<SendFence> fences;
    for (int step = 0; step < 30 && fences.empty(); ++step)
        fences = selectEffects<SendFence>(script.run(100ms));
    BOOST_REQUIRE(fences.size() == 3);
    term = fences.front().term;
    return script;
}

// Guards against the loss of acknowledged writes by promotion of a member that lacks a confirmed entry.
BOOST_AUTO_TEST_CASE(Promotion_FenceAnswers_ChoosesALogThatCoversAMajority)
{
    const Term old = GroupScript::term(4);
    const Term current = GroupScript::term(5);
    const std::vector<ChoiceCase> cases = {
        { "one answer is no majority", { { 1, { current, 100 } } }, {} },
        { "the same member twice is no majority", { { 1, { current, 100 } }, { 1, { current, 100 } } }, {} },
        { "longer log", { { 1, { current, 100 } }, { 2, { current, 101 } } }, 2 },
        { "longer log, other order", { { 2, { current, 101 } }, { 1, { current, 100 } } }, 2 },
        { "newer term before longer log", { { 1, { current, 100 } }, { 2, { old, 200 } } }, 1 },
        { "equal logs", { { 1, { current, 100 } }, { 2, { current, 100 } } }, 1 },
        { "longest log leaves, another covers a majority",
            { { 0, { current, 102 } }, { 1, { current, 100 } }, { 2, { current, 101 } } }, 2, 0 },
        { "leaving member has the longer log, no third answer", { { 0, { current, 102 } }, { 1, { current, 100 } } },
            {}, 0 },
        { "leaving member has an equal log", { { 0, { current, 100 } }, { 1, { current, 100 } } }, 1, 0 },
    };
    for (const ChoiceCase& example : cases) {
        Term term;
        GroupScript script = startPromotion(example.leaving, term);
        BOOST_TEST((term == Term { 6, VmId("vm-self") }), example.name);
        std::vector<GroupEffect> effects;
        for (const auto& [index, log] : example.answers) {
            for (const auto& effect : script.feed(
                     FenceAnswered { {}, GroupScript::endpoint(index), term, true, term, log.term, log.position }))
                effects.push_back(effect);
        }
        const auto promotes = selectEffects<SendPromote>(effects);
        BOOST_TEST(promotes.size() == (example.chosen ? 1U : 0U), example.name);
        if (example.chosen && promotes.size() == 1)
            BOOST_TEST(promotes[0].endpoint == GroupScript::endpoint(*example.chosen), example.name);
    }
}

/// Lets endpoints 1 and 2 accept the fence. Returns the promote command.
static SendPromote answerFences(GroupScript& script, const Term& term)
{
    for (size_t index : { 1, 2 }) {
        const auto effects = script.feed(
            FenceAnswered { {}, GroupScript::endpoint(index), term, true, term, GroupScript::term(5), 100 + index });
        if (const auto promotes = selectEffects<SendPromote>(effects); !promotes.empty())
            return promotes.front();
    }
    BOOST_FAIL("no promotion");
    return {};
}

// Peers that do not learn of the promotion route writes to the old primary. Members that do not follow the new primary
// cannot confirm its writes.
BOOST_AUTO_TEST_CASE(Promotion_Accepted_AnnouncesAndMakesAllFollow)
{
    Term term;
    GroupScript script = startPromotion({}, term);
    const SendPromote promote = answerFences(script, term);
    const std::vector<std::string> others { GroupScript::address(0), GroupScript::address(1) };
    BOOST_TEST((promote == SendPromote { GroupScript::endpoint(2), GroupScript::address(2), term, others }));

    const auto effects = script.feed(PromoteAnswered { {}, promote.endpoint, term, true });
    const std::vector<GroupEffect> expected {
        SendFollow { GroupScript::endpoint(0), GroupScript::address(0), term, GroupScript::address(2) },
        SendFollow { GroupScript::endpoint(1), GroupScript::address(1), term, GroupScript::address(2) },
        GroupChanged { { groupName, term, promote.endpoint }, true },
    };
    BOOST_TEST((effects == expected));
}

// Guards against two primaries in one term when the answer to a promote command is lost.
BOOST_AUTO_TEST_CASE(Promotion_AnswerLost_AsksOnlyTheSameMemberAndThenStartsAHigherTerm)
{
    Term term;
    GroupScript script = startPromotion({}, term);
    const SendPromote promote = answerFences(script, term);
    const auto repeated = selectEffects<SendPromote>(script.feed(EndpointFailed { {}, promote.endpoint }));
    BOOST_REQUIRE(repeated.size() == 1);
    BOOST_TEST((repeated[0] == promote));
    BOOST_TEST(selectEffects<SendPromote>(script.feed(EndpointFailed { {}, promote.endpoint })).empty());
    const auto effects = script.run(3s);
    BOOST_TEST(selectEffects<SendPromote>(effects).empty());
    BOOST_REQUIRE(!selectEffects<SendFence>(effects).empty());
    BOOST_TEST((selectEffects<SendFence>(effects).front().term == Term { 7, VmId("vm-self") }));
}

// The answer to an earlier fence may describe an outdated log, so it must not count in a later promotion.
BOOST_AUTO_TEST_CASE(Promotion_FenceAnswerOfAnEarlierTerm_IsNotCounted)
{
    Term term;
    GroupScript script = startPromotion({}, term);
    script.feed(FenceAnswered { {}, GroupScript::endpoint(1), term, true, term, GroupScript::term(5), 100 });
    const Term earlier { 4, VmId("vm-self") };
    for (const Term& other : { earlier, GroupScript::term(6) }) {
        const FenceAnswered answer { {}, GroupScript::endpoint(2), other, true, other, GroupScript::term(5), 100 };
        BOOST_TEST(selectEffects<SendPromote>(script.feed(answer)).empty());
    }
    const FenceAnswered answer { {}, GroupScript::endpoint(2), term, true, term, GroupScript::term(5), 100 };
    BOOST_TEST(selectEffects<SendPromote>(script.feed(answer)).size() == 1);
}

// Without growing delays two VMs could preempt each other's promotions for ever.
BOOST_AUTO_TEST_CASE(Promotion_RejectedByAHigherTerm_WaitsLongerAfterEachAttempt)
{
    Term term;
    GroupScript script = startPromotion({}, term);
    std::vector<Duration> waits;
    for (int attempt = 0; attempt < 7; ++attempt) {
        const Term rival = GroupScript::term(term.counter + 1);
        const auto effects = script.feed(
            FenceAnswered { {}, GroupScript::endpoint(1), term, false, rival, GroupScript::term(5), 100 });
        BOOST_TEST(selectEffects<SendPromote>(effects).empty());
        const Instant failedAt = script.now;
        std::vector<SendFence> fences;
        while (fences.empty() && script.now - failedAt < 20s)
            fences = selectEffects<SendFence>(script.run(100ms));
        BOOST_REQUIRE(!fences.empty());
        waits.push_back(script.now - failedAt);
        BOOST_TEST(fences.front().term.counter > rival.counter);
        term = fences.front().term;
    }
    BOOST_TEST((waits[0] >= 200ms && waits[0] <= 600ms));
    BOOST_TEST((waits[3] >= 1600ms && waits[3] <= 2600ms));
    BOOST_TEST((waits[6] >= 5s && waits[6] <= 7700ms));
}

// Guards against an old primary that comes back and never replicates from the new one.
BOOST_AUTO_TEST_CASE(OldPrimary_ComesBack_IsMadeToFollowUntilItDoes)
{
    GroupScript script;
    script.statusAnswers[GroupScript::endpoint(0)] = std::nullopt;
    script.statusAnswers[GroupScript::endpoint(1)] = GroupScript::primaryStatus(6);
    script.statusAnswers[GroupScript::endpoint(2)] = GroupScript::replicaStatus(6, 1, 10ms);
    BOOST_TEST(selectEffects<SendFollow>(script.run(3s)).empty());

    script.statusAnswers[GroupScript::endpoint(0)] = GroupScript::primaryStatus(5);
    const auto follows = selectEffects<SendFollow>(script.run(3s));
    BOOST_TEST(follows.size() >= 2);
    BOOST_TEST(follows.size() <= 4);
    for (const SendFollow& follow : follows) {
        const SendFollow expected { GroupScript::endpoint(0), GroupScript::address(0), GroupScript::term(6),
            GroupScript::address(1) };
        BOOST_TEST((follow == expected));
    }
    script.statusAnswers[GroupScript::endpoint(0)] = GroupScript::replicaStatus(6, 1, 10ms);
    script.run(500ms);
    BOOST_TEST(selectEffects<SendFollow>(script.run(3s)).empty());
}

// A new group has no primary to discover, so the supervisor must promote one.
BOOST_AUTO_TEST_CASE(NewGroup_WithoutPrimary_GetsTheFirstTerm)
{
    GroupScript script;
    script.supervisor = GroupSupervisor(GroupSettings {}, VmId("vm-self"));
    for (auto& [name, status] : script.statusAnswers)
        status = EndpointStatus {};
    script.configure();
    std::vector<GroupEffect> effects = script.feed(WatchRankChanged { {}, groupName, 0 });
    for (const auto& effect : script.run(500ms))
        effects.push_back(effect);
    BOOST_TEST(selectEffects<SendFence>(effects).size() == 3);
    BOOST_TEST((selectEffects<SendFence>(effects).front().term == Term { 1, VmId("vm-self") }));
}

// A supervisor that starts must adopt the existing primary instead of promoting a new one.
BOOST_AUTO_TEST_CASE(Discovery_PrimaryAnswers_BecomesTheView)
{
    GroupScript script;
    const GroupView expected { groupName, GroupScript::term(5), GroupScript::endpoint(0) };
    BOOST_TEST((*script.supervisor.findView(groupName) == expected));
    BOOST_TEST((script.supervisor.views() == std::vector<GroupView> { expected }));
    BOOST_TEST(script.supervisor.findStatus(GroupScript::endpoint(0))->primary);
}

// A replica that follows a newer primary reports the term of its last log entry until it has caught up. Guards against
// a view that combines this old term with the address of the newer primary.
BOOST_AUTO_TEST_CASE(Discovery_ReplicaPromisedAHigherTerm_ItsPrimaryIsNotThatOfTheOldTerm)
{
    GroupScript script;
    script.supervisor = GroupSupervisor(GroupSettings {}, VmId("vm-self"));
    failQueries(script, { 0, 1 });
    script.statusAnswers[GroupScript::endpoint(2)] = GroupScript::replicaStatus(5, 1, 10ms);
    script.statusAnswers[GroupScript::endpoint(2)]->promised = GroupScript::term(6);
    script.configure();
    script.feed(WatchRankChanged { {}, groupName, 0 });
    BOOST_TEST((*script.supervisor.findView(groupName) == GroupView { groupName, GroupScript::term(5), std::nullopt }));
    script.statusAnswers[GroupScript::endpoint(2)] = GroupScript::replicaStatus(6, 1, 10ms);
    script.run(500ms);
    const GroupView expected { groupName, GroupScript::term(6), GroupScript::endpoint(1) };
    BOOST_TEST((*script.supervisor.findView(groupName) == expected));
}

struct LearntCase {
    const char* name;
    GroupView learnt;
    GroupView expected;
};

// Guards against adoption of an older view, which would route writes to a deposed primary.
BOOST_AUTO_TEST_CASE(Learning_ViewsOfPeers_NeverReturnToAnOlderTerm)
{
    const auto view = [](uint64_t counter, std::optional<size_t> primary) {
        return GroupView { groupName, GroupScript::term(counter),
            primary ? std::optional(GroupScript::endpoint(*primary)) : std::nullopt };
    };
    const std::vector<LearntCase> cases = {
        { "lower term", view(4, 1), view(5, 0) },
        { "equal term", view(5, 1), view(5, 0) },
        { "higher term", view(6, 1), view(6, 1) },
        { "higher term without primary", view(6, {}), view(6, {}) },
        { "higher term, undeclared primary", view(6, 9), view(6, {}) },
    };
    for (const LearntCase& example : cases) {
        GroupScript script;
        script.feed(GroupViewLearnt { {}, example.learnt });
        BOOST_TEST((*script.supervisor.findView(groupName) == example.expected), example.name);
        // The same holds for a VM that does not watch the group.
        GroupScript other;
        other.feed(WatchRankChanged { {}, groupName, std::nullopt });
        other.feed(GroupViewLearnt { {}, example.learnt });
        BOOST_TEST((*other.supervisor.findView(groupName) == example.expected), example.name);
    }
}

// Guards against writes that wait until their timeout because the loss of the majority was not published.
BOOST_AUTO_TEST_CASE(Reachability_MajorityLost_IsPublishedAfterTheLimitAndWithdrawn)
{
    GroupScript script;
    script.run(1s);
    failQueries(script, { 1, 2 });
    script.run(1500ms);
    BOOST_TEST(script.supervisor.isMajorityReachable(groupName));
    BOOST_TEST(!script.supervisor.isReachable(GroupScript::endpoint(1)));
    BOOST_TEST(script.supervisor.isReachable(GroupScript::endpoint(0)));
    BOOST_TEST(!selectEffects<GroupChanged>(script.run(1s)).empty());
    BOOST_TEST(!script.supervisor.isMajorityReachable(groupName));
    script.setHealthyAnswers();
    BOOST_TEST(!selectEffects<GroupChanged>(script.run(400ms)).empty());
    BOOST_TEST(script.supervisor.isMajorityReachable(groupName));
}

// Guards against endpoints that a VM reports as unreachable for ever after it has stopped watching the group.
BOOST_AUTO_TEST_CASE(Watching_RankWithdrawn_ClearsReachabilityAndSendsNothing)
{
    GroupScript script;
    failQueries(script, { 0, 1, 2 });
    script.run(5s);
    BOOST_TEST(!script.supervisor.isMajorityReachable(groupName));
    BOOST_TEST(selectEffects<GroupChanged>(script.feed(WatchRankChanged { {}, groupName, std::nullopt })).size() == 1);
    BOOST_TEST(script.supervisor.isMajorityReachable(groupName));
    BOOST_TEST(script.supervisor.isReachable(GroupScript::endpoint(0)));
    BOOST_TEST(script.supervisor.handle(GroupTick { script.now + 1s, 1 }).empty());
}

// A lost answer must not stop the polling, and the query after a failure must use a fresh connection.
BOOST_AUTO_TEST_CASE(Polling_AnswerLostOrFailed_AsksAgainOnAFreshConnection)
{
    GroupSupervisor supervisor(GroupSettings {}, VmId("vm-self"));
    DatabaseGroup group;
    group.name = groupName;
    group.endpoints.push_back({ GroupScript::endpoint(0), GroupScript::address(0), DataCentre("szeged"), 1, 1, {} });
    const Instant start(1h);
    supervisor.handle(GroupsConfigured { start, { group } });
    const auto poll = [](bool fresh) {
        return std::vector<GroupEffect> { QueryStatus { GroupScript::endpoint(0), GroupScript::address(0), fresh } };
    };
    BOOST_TEST((supervisor.handle(WatchRankChanged { start, groupName, 0 }) == poll(false)));
    BOOST_TEST(supervisor.handle(GroupTick { start + 700ms, 1 }).empty());
    BOOST_TEST((supervisor.handle(GroupTick { start + 1s, 1 }) == poll(true)));
    const auto afterFailure = supervisor.handle(EndpointFailed { start + 1100ms, GroupScript::endpoint(0) });
    BOOST_TEST(selectEffects<QueryStatus>(afterFailure).empty());
    BOOST_TEST((supervisor.handle(GroupTick { start + 1300ms, 1 }) == poll(true)));
}

BOOST_AUTO_TEST_SUITE_END()
