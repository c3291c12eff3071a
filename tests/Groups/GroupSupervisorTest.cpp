#include "Groups/GroupScript.h"

#include <boost/test/unit_test.hpp>

#include <functional>

using namespace Lavendervane;
using namespace Lavendervane::Test;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(GroupSupervisorTest)

static const GroupId groupName("scores");

/// When the supervisor starts a promotion after the group was healthy.
struct DecisionCase {
    const char* name;
    uint32_t rank;
    std::function<void(GroupScript&)> fault;
    Duration notBefore; ///< no fence up to here
    std::optional<Duration> before; ///< a fence up to here; never within 10 s if absent
};

static void fail(GroupScript& script, std::initializer_list<size_t> endpoints)
{
    for (size_t index : endpoints)
        script.answers[GroupScript::endpoint(index)] = std::nullopt;
}

static void silenceReplicas(GroupScript& script, std::initializer_list<size_t> endpoints, Duration heard)
{
    for (size_t index : endpoints)
        script.answers[GroupScript::endpoint(index)] = GroupScript::replicaStatus(5, 0, heard);
}

static void killPrimary(GroupScript& script)
{
    fail(script, { 0 });
    silenceReplicas(script, { 1, 2 }, 900ms);
}

// A promotion too early interrupts writes; one that is missing leaves the group without a primary.
BOOST_AUTO_TEST_CASE(Decision_FaultsOfSection7_StartsAPromotionInTime)
{
    const std::vector<DecisionCase> cases = {
        { "healthy", 0, [](GroupScript&) {}, 10s, {} },
        { "primary killed, rank 0", 0, killPrimary, 300ms, 1200ms },
        { "primary killed, rank 2", 2, killPrimary, 1100ms, 2000ms },
        { "primary unreachable, replicas hear it", 0, [](GroupScript& script) { fail(script, { 0 }); }, 2600ms,
            3500ms },
        { "one replica still hears the primary", 0,
            [](GroupScript& script) {
                killPrimary(script);
                silenceReplicas(script, { 2 }, 500ms);
            },
            2600ms, 3500ms },
        { "primary answers, replicas lost it", 0,
            [](GroupScript& script) {
                silenceReplicas(script, { 1, 2 }, 4s);
            },
            0ms, 600ms },
        { "primary answers, one replica lost it", 0, [](GroupScript& script) { silenceReplicas(script, { 1 }, 4s); },
            10s, {} },
        { "one replica cut off", 0, [](GroupScript& script) { fail(script, { 1 }); }, 10s, {} },
        { "both replicas cut off", 0,
            [](GroupScript& script) {
                fail(script, { 1, 2 });
            },
            10s, {} },
        { "primary and one replica cut off", 0,
            [](GroupScript& script) {
                fail(script, { 0, 1 });
                silenceReplicas(script, { 2 }, 900ms);
            },
            10s, {} },
        { "all cut off", 0,
            [](GroupScript& script) {
                fail(script, { 0, 1, 2 });
            },
            10s, {} },
        { "primary restarted without its role", 0,
            [](GroupScript& script) {
                script.answers[GroupScript::endpoint(0)] = GroupScript::replicaStatus(5, 0, 0ms);
            },
            0ms, 600ms },
        { "one replica fenced by a failed rival", 0,
            [](GroupScript& script) { script.answers[GroupScript::endpoint(1)]->promised = GroupScript::term(6); },
            500ms, 1300ms },
        { "primary leaving", 0, [](GroupScript& script) { script.configure(0); }, 0ms, 300ms },
        { "replica leaving", 0, [](GroupScript& script) { script.configure(1); }, 10s, {} },
        { "primary leaving, no member can replace it", 0,
            [](GroupScript& script) {
                fail(script, { 1 });
                script.answers[GroupScript::endpoint(2)]->position = 99;
                script.run(1s);
                script.configure(0);
            },
            10s, {} },
    };
    for (const DecisionCase& example : cases) {
        GroupScript script(example.rank);
        BOOST_TEST(only<SendFence>(script.run(5s)).empty(), example.name);
        example.fault(script);
        BOOST_TEST(only<SendFence>(script.run(example.notBefore)).empty(), example.name << ": too early");
        if (example.before)
            BOOST_TEST(!only<SendFence>(script.run(*example.before - example.notBefore)).empty(),
                example.name << ": too late");
    }
}

// Dropping one query must not count as a failure of the primary.
BOOST_AUTO_TEST_CASE(Decision_SingleFailedQuery_KeepsThePrimary)
{
    GroupScript script;
    script.run(2s);
    for (int round = 0; round < 10; ++round) {
        const bool fails = round % 2 == 0;
        script.answers[GroupScript::endpoint(0)] = fails ? std::nullopt : std::optional(GroupScript::primaryStatus(5));
        silenceReplicas(script, { 1, 2 }, 900ms);
        BOOST_TEST(only<SendFence>(script.run(300ms)).empty());
    }
}

/// Fence answers of three members, and who is promoted.
struct ChoiceCase {
    const char* name;
    std::vector<std::pair<size_t, LogPosition>> answers; ///< endpoint and its log, in order of arrival
    std::optional<size_t> chosen;
    std::optional<size_t> leaving {};
};

static GroupScript startedPromotion(std::optional<size_t> leaving, Term& term)
{
    GroupScript script;
    script.run(2s);
    if (leaving)
        script.configure(leaving);
    if (leaving != 0U)
        killPrimary(script);
    std::vector<SendFence> fences;
    for (int step = 0; step < 30 && fences.empty(); ++step)
        fences = only<SendFence>(script.run(100ms));
    BOOST_REQUIRE(fences.size() == 3);
    term = fences.front().term;
    return script;
}

// Promoting a member that lacks a confirmed entry loses an acknowledged write.
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
        GroupScript script = startedPromotion(example.leaving, term);
        BOOST_TEST((term == Term { 6, VmId("vm-self") }), example.name);
        std::vector<GroupEffect> effects;
        for (const auto& [index, log] : example.answers) {
            for (const auto& effect : script.feed(
                     FenceAnswered { {}, GroupScript::endpoint(index), term, true, term, log.term, log.position }))
                effects.push_back(effect);
        }
        const auto promotes = only<SendPromote>(effects);
        BOOST_TEST(promotes.size() == (example.chosen ? 1U : 0U), example.name);
        if (example.chosen && promotes.size() == 1)
            BOOST_TEST(promotes[0].endpoint == GroupScript::endpoint(*example.chosen), example.name);
    }
}

static SendPromote fencedPromotion(GroupScript& script, const Term& term)
{
    for (size_t index : { 1, 2 }) {
        const auto effects = script.feed(
            FenceAnswered { {}, GroupScript::endpoint(index), term, true, term, GroupScript::term(5), 100 + index });
        if (const auto promotes = only<SendPromote>(effects); !promotes.empty())
            return promotes.front();
    }
    BOOST_FAIL("no promotion");
    return {};
}

// Peers that are not told route writes to the old primary; members that do not follow confirm nothing.
BOOST_AUTO_TEST_CASE(Promotion_Accepted_AnnouncesAndMakesAllFollow)
{
    Term term;
    GroupScript script = startedPromotion({}, term);
    const SendPromote promote = fencedPromotion(script, term);
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

// A second member promoted in the same term would be a second primary.
BOOST_AUTO_TEST_CASE(Promotion_AnswerLost_AsksOnlyTheSameMemberAndThenStartsAHigherTerm)
{
    Term term;
    GroupScript script = startedPromotion({}, term);
    const SendPromote promote = fencedPromotion(script, term);
    const auto repeated = only<SendPromote>(script.feed(EndpointFailed { {}, promote.endpoint }));
    BOOST_REQUIRE(repeated.size() == 1);
    BOOST_TEST((repeated[0] == promote));
    BOOST_TEST(only<SendPromote>(script.feed(EndpointFailed { {}, promote.endpoint })).empty());
    const auto effects = script.run(3s);
    BOOST_TEST(only<SendPromote>(effects).empty());
    BOOST_REQUIRE(!only<SendFence>(effects).empty());
    BOOST_TEST((only<SendFence>(effects).front().term == Term { 7, VmId("vm-self") }));
}

// An answer to an earlier attempt tells nothing of the log in this one.
BOOST_AUTO_TEST_CASE(Promotion_FenceAnswerOfAnEarlierTerm_IsNotCounted)
{
    Term term;
    GroupScript script = startedPromotion({}, term);
    script.feed(FenceAnswered { {}, GroupScript::endpoint(1), term, true, term, GroupScript::term(5), 100 });
    const Term earlier { 4, VmId("vm-self") };
    for (const Term& other : { earlier, GroupScript::term(6) }) {
        const FenceAnswered answer { {}, GroupScript::endpoint(2), other, true, other, GroupScript::term(5), 100 };
        BOOST_TEST(only<SendPromote>(script.feed(answer)).empty());
    }
    const FenceAnswered answer { {}, GroupScript::endpoint(2), term, true, term, GroupScript::term(5), 100 };
    BOOST_TEST(only<SendPromote>(script.feed(answer)).size() == 1);
}

// Without growing delays rivals could preempt each other for ever.
BOOST_AUTO_TEST_CASE(Promotion_RejectedByAHigherTerm_WaitsLongerAfterEachAttempt)
{
    Term term;
    GroupScript script = startedPromotion({}, term);
    std::vector<Duration> waits;
    for (int attempt = 0; attempt < 7; ++attempt) {
        const Term rival = GroupScript::term(term.counter + 1);
        const auto effects = script.feed(
            FenceAnswered { {}, GroupScript::endpoint(1), term, false, rival, GroupScript::term(5), 100 });
        BOOST_TEST(only<SendPromote>(effects).empty());
        const Instant failedAt = script.now;
        std::vector<SendFence> fences;
        while (fences.empty() && script.now - failedAt < 20s)
            fences = only<SendFence>(script.run(100ms));
        BOOST_REQUIRE(!fences.empty());
        waits.push_back(script.now - failedAt);
        BOOST_TEST(fences.front().term.counter > rival.counter);
        term = fences.front().term;
    }
    BOOST_TEST((waits[0] >= 200ms && waits[0] <= 600ms));
    BOOST_TEST((waits[3] >= 1600ms && waits[3] <= 2600ms));
    BOOST_TEST((waits[6] >= 5s && waits[6] <= 7700ms));
}

// An old primary that is not made to follow stays behind for ever.
BOOST_AUTO_TEST_CASE(OldPrimary_ComesBack_IsMadeToFollowUntilItDoes)
{
    GroupScript script;
    script.answers[GroupScript::endpoint(0)] = std::nullopt;
    script.answers[GroupScript::endpoint(1)] = GroupScript::primaryStatus(6);
    script.answers[GroupScript::endpoint(2)] = GroupScript::replicaStatus(6, 1, 10ms);
    BOOST_TEST(only<SendFollow>(script.run(3s)).empty());

    script.answers[GroupScript::endpoint(0)] = GroupScript::primaryStatus(5);
    const auto follows = only<SendFollow>(script.run(3s));
    BOOST_TEST(follows.size() >= 2);
    BOOST_TEST(follows.size() <= 4);
    for (const SendFollow& follow : follows) {
        const SendFollow expected { GroupScript::endpoint(0), GroupScript::address(0), GroupScript::term(6),
            GroupScript::address(1) };
        BOOST_TEST((follow == expected));
    }
    script.answers[GroupScript::endpoint(0)] = GroupScript::replicaStatus(6, 1, 10ms);
    script.run(500ms);
    BOOST_TEST(only<SendFollow>(script.run(3s)).empty());
}

// A group that was never used has no primary to discover.
BOOST_AUTO_TEST_CASE(NewGroup_WithoutPrimary_GetsTheFirstTerm)
{
    GroupScript script;
    script.supervisor = GroupSupervisor(GroupSettings {}, VmId("vm-self"));
    for (auto& [name, status] : script.answers)
        status = EndpointStatus {};
    script.configure();
    std::vector<GroupEffect> effects = script.feed(WatchRankChanged { {}, groupName, 0 });
    for (const auto& effect : script.run(500ms))
        effects.push_back(effect);
    BOOST_TEST(only<SendFence>(effects).size() == 3);
    BOOST_TEST((only<SendFence>(effects).front().term == Term { 1, VmId("vm-self") }));
}

// Routing needs the primary that exists, not a new one.
BOOST_AUTO_TEST_CASE(Discovery_PrimaryAnswers_BecomesTheView)
{
    GroupScript script;
    const GroupView expected { groupName, GroupScript::term(5), GroupScript::endpoint(0) };
    BOOST_TEST((*script.supervisor.findView(groupName) == expected));
    BOOST_TEST((script.supervisor.views() == std::vector<GroupView> { expected }));
    BOOST_TEST(script.supervisor.findStatus(GroupScript::endpoint(0))->primary);
}

// A replica that follows a newer primary reports its last entry's term until it has caught up. Taking both together
// would name a primary that this term never had.
BOOST_AUTO_TEST_CASE(Discovery_ReplicaPromisedAHigherTerm_ItsPrimaryIsNotThatOfTheOldTerm)
{
    GroupScript script;
    script.supervisor = GroupSupervisor(GroupSettings {}, VmId("vm-self"));
    fail(script, { 0, 1 });
    script.answers[GroupScript::endpoint(2)] = GroupScript::replicaStatus(5, 1, 10ms);
    script.answers[GroupScript::endpoint(2)]->promised = GroupScript::term(6);
    script.configure();
    script.feed(WatchRankChanged { {}, groupName, 0 });
    BOOST_TEST((*script.supervisor.findView(groupName) == GroupView { groupName, GroupScript::term(5), std::nullopt }));
    script.answers[GroupScript::endpoint(2)] = GroupScript::replicaStatus(6, 1, 10ms);
    script.run(500ms);
    const GroupView expected { groupName, GroupScript::term(6), GroupScript::endpoint(1) };
    BOOST_TEST((*script.supervisor.findView(groupName) == expected));
}

struct LearntCase {
    const char* name;
    GroupView learnt;
    GroupView expected;
};

// A view that goes back would send writes to a deposed primary.
BOOST_AUTO_TEST_CASE(Learning_ViewsOfPeers_NeverGoBack)
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
        // Without a watch as well.
        GroupScript other;
        other.feed(WatchRankChanged { {}, groupName, std::nullopt });
        other.feed(GroupViewLearnt { {}, example.learnt });
        BOOST_TEST((*other.supervisor.findView(groupName) == example.expected), example.name);
    }
}

// Writes wait in vain for a majority that is gone, unless they are rejected early.
BOOST_AUTO_TEST_CASE(Reachability_MajorityLost_IsPublishedAfterTheLimitAndWithdrawn)
{
    GroupScript script;
    script.run(1s);
    fail(script, { 1, 2 });
    script.run(1500ms);
    BOOST_TEST(script.supervisor.isMajorityReachable(groupName));
    BOOST_TEST(!script.supervisor.isReachable(GroupScript::endpoint(1)));
    BOOST_TEST(script.supervisor.isReachable(GroupScript::endpoint(0)));
    BOOST_TEST(!only<GroupChanged>(script.run(1s)).empty());
    BOOST_TEST(!script.supervisor.isMajorityReachable(groupName));
    script.answerHealthily();
    BOOST_TEST(!only<GroupChanged>(script.run(400ms)).empty());
    BOOST_TEST(script.supervisor.isMajorityReachable(groupName));
}

// A VM that no longer watches must not hold endpoints as unreachable for ever.
BOOST_AUTO_TEST_CASE(Watching_RankWithdrawn_ForgetsReachabilityAndSendsNothing)
{
    GroupScript script;
    fail(script, { 0, 1, 2 });
    script.run(5s);
    BOOST_TEST(!script.supervisor.isMajorityReachable(groupName));
    BOOST_TEST(only<GroupChanged>(script.feed(WatchRankChanged { {}, groupName, std::nullopt })).size() == 1);
    BOOST_TEST(script.supervisor.isMajorityReachable(groupName));
    BOOST_TEST(script.supervisor.isReachable(GroupScript::endpoint(0)));
    BOOST_TEST(script.supervisor.handle(GroupTick { script.now + 1s, 1 }).empty());
}

// A query whose answer is lost must not stop the polling; a failure asks for a fresh connection.
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
    BOOST_TEST(only<QueryStatus>(afterFailure).empty());
    BOOST_TEST((supervisor.handle(GroupTick { start + 1300ms, 1 }) == poll(true)));
}

BOOST_AUTO_TEST_SUITE_END()
