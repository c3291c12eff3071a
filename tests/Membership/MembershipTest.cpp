#include "Membership/Membership.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

using namespace Lavendervane;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(MembershipTest)

static const Instant start(1h);

static Member member(const std::string& name, uint64_t incarnation = 10, MemberState state = MemberState::Alive)
{
    return { VmId(name), "10.0.0.1:7100", DataCentre("szeged"), incarnation, state };
}

static Membership makeMembership(const std::vector<Member>& others = {})
{
    Membership membership(MembershipSettings {}, member("self"));
    for (const Member& other : others)
        membership.handle(ProbeReceived { start, other, {} });
    return membership;
}

template <typename Effect> static std::vector<Effect> effectsOfType(const std::vector<MembershipEffect>& effects)
{
    std::vector<Effect> result;
    for (const MembershipEffect& effect : effects) {
        if (const auto* match = std::get_if<Effect>(&effect))
            result.push_back(*match);
    }
    return result;
}

static MemberState stateOf(const Membership& membership, const std::string& name)
{
    return membership.members().at(VmId(name)).state;
}

struct MergeCase {
    const char* name;
    std::optional<Member> known;
    Member update;
    std::optional<Member> expected;
    bool changes;
};

// Guards against a wrong order of states, which would bring dead VMs back or keep a restarted VM dead.
BOOST_AUTO_TEST_CASE(Update_OfOneVm_TheHigherIncarnationThenTheLaterStateWins)
{
    using enum MemberState;
    const std::vector<MergeCase> cases = {
        { "unknown, alive", {}, member("b", 5), member("b", 5), true },
        { "unknown, dead", {}, member("b", 5, Dead), {}, false },
        { "alive, suspect", member("b", 5), member("b", 5, Suspect), member("b", 5, Suspect), true },
        { "suspect, alive again", member("b", 5, Suspect), member("b", 5), member("b", 5, Suspect), false },
        { "suspect, refuted", member("b", 5, Suspect), member("b", 6), member("b", 6), true },
        { "suspect, leaving", member("b", 5, Suspect), member("b", 5, Leaving), member("b", 5, Leaving), true },
        { "leaving, dead", member("b", 5, Leaving), member("b", 5, Dead), member("b", 5, Dead), true },
        { "alive, old death", member("b", 5), member("b", 4, Dead), member("b", 5), false },
        { "dead, alive in the same incarnation", member("b", 5, Suspect), member("b", 5, Dead), member("b", 5, Dead),
            true },
        { "restarted", member("b", 5), member("b", 900), member("b", 900), true },
        { "known from the list only, confirmed", member("b", 0), member("b", 5), member("b", 5), false },
    };
    for (const MergeCase& example : cases) {
        Membership membership = makeMembership();
        if (example.known)
            membership.handle(ProbeReceived { start, *example.known, {} });
        const auto effects = membership.handle(ProbeAnswered { start, member("c"), { example.update } });
        const auto changed = effectsOfType<MembersChanged>(effects);
        const bool isReported = !changed.empty()
            && std::find(changed[0].vms.begin(), changed[0].vms.end(), VmId("b")) != changed[0].vms.end();
        BOOST_TEST(isReported == example.changes, example.name);
        const auto found = membership.members().find(VmId("b"));
        BOOST_TEST((found != membership.members().end()) == example.expected.has_value(), example.name);
        if (example.expected && found != membership.members().end())
            BOOST_TEST((found->second == *example.expected), example.name);
    }
}

struct RefutationCase {
    const char* name;
    Member update;
    uint64_t incarnation;
    MemberState state;
};

// Guards against a VM that does not refute a false suspicion and so loses its roles.
BOOST_AUTO_TEST_CASE(Update_OfThisVm_IsRefutedOrAccepted)
{
    using enum MemberState;
    const std::vector<RefutationCase> cases = {
        { "older death", member("self", 9, Dead), 10, Alive },
        { "suspicion", member("self", 10, Suspect), 11, Alive },
        { "death", member("self", 10, Dead), 11, Alive },
        { "death in a later incarnation", member("self", 70, Dead), 71, Alive },
        { "previous process with a clock ahead", member("self", 70), 71, Alive },
        { "marked as leaving by the platform", member("self", 10, Leaving), 10, Leaving },
    };
    for (const RefutationCase& example : cases) {
        Membership membership = makeMembership();
        membership.handle(ProbeReceived { start, member("b"), { example.update } });
        BOOST_TEST(membership.self().incarnation == example.incarnation, example.name);
        BOOST_TEST((membership.self().state == example.state), example.name);
        const auto updates = membership.takeUpdates();
        const bool isSent = std::find(updates.begin(), updates.end(), membership.self()) != updates.end();
        BOOST_TEST(isSent == (example.incarnation != 10 || example.state == Leaving), example.name);
    }
}

// One lost packet between two VMs must not make a member suspect.
BOOST_AUTO_TEST_CASE(Probe_Fails_ThreeOthersAreAskedBeforeTheSuspicion)
{
    Membership membership = makeMembership({ member("a"), member("b"), member("c"), member("d"), member("e") });
    const auto probes = effectsOfType<SendProbe>(membership.handle(ProbeFailed { start, VmId("a"), {} }));
    BOOST_REQUIRE(probes.size() == 3);
    std::set<VmId> helpers;
    for (const SendProbe& probe : probes) {
        BOOST_TEST(probe.target.vm == VmId("a"));
        helpers.insert(probe.via->vm);
    }
    BOOST_TEST(helpers.size() == 3);
    BOOST_TEST(!helpers.contains(VmId("a")));

    Membership answered = membership;
    answered.handle(ProbeFailed { start, VmId("a"), probes[0].via->vm });
    answered.handle(ProbeAnswered { start, member("a"), {} });
    answered.handle(ProbeFailed { start, VmId("a"), probes[1].via->vm });
    BOOST_TEST((stateOf(answered, "a") == MemberState::Alive));

    for (const SendProbe& probe : probes) {
        BOOST_TEST((stateOf(membership, "a") == MemberState::Alive));
        membership.handle(ProbeFailed { start, VmId("a"), probe.via->vm });
    }
    BOOST_TEST((stateOf(membership, "a") == MemberState::Suspect));
    BOOST_TEST(membership.activeVms().size() == 6);
}

// With two VMs there is no third one to send an indirect probe.
BOOST_AUTO_TEST_CASE(Probe_FailsWithoutOthers_SuspectsAtOnceAndDeathFollows)
{
    Membership membership = makeMembership({ member("a") });
    membership.handle(ProbeFailed { start, VmId("a"), {} });
    BOOST_TEST((stateOf(membership, "a") == MemberState::Suspect));
    for (Instant now = start; now < start + 2s; now += 100ms)
        membership.handle(MembershipTick { now, 1 });
    BOOST_TEST((stateOf(membership, "a") == MemberState::Suspect));
    const auto effects = membership.handle(MembershipTick { start + 2s, 1 });
    BOOST_TEST((stateOf(membership, "a") == MemberState::Dead));
    BOOST_TEST((effectsOfType<MembersChanged>(effects) == std::vector<MembersChanged> { { { VmId("a") } } }));
    BOOST_TEST((membership.activeVms() == std::vector<VmId> { VmId("self") }));
}

// Guards against a suspected member that cannot refute the suspicion because nobody tells it.
BOOST_AUTO_TEST_CASE(Suspect_IsProbedAgainAndToldOfTheSuspicion)
{
    Membership membership = makeMembership({ member("a") });
    membership.handle(ProbeFailed { start, VmId("a"), {} });
    bool isSent = false;
    for (Instant now = start; now <= start + 1100ms; now += 100ms) {
        for (const SendProbe& probe : effectsOfType<SendProbe>(membership.handle(MembershipTick { now, 1 })))
            isSent = isSent || (!probe.updates.empty() && probe.updates[0] == member("a", 10, MemberState::Suspect));
    }
    BOOST_TEST(isSent);
    membership.handle(ProbeAnswered { start + 1200ms, member("a", 11), {} });
    for (Instant now = start + 1200ms; now <= start + 5s; now += 100ms)
        membership.handle(MembershipTick { now, 1 });
    BOOST_TEST((stateOf(membership, "a") == MemberState::Alive));
}

// Guards against declaring peers dead after a pause of this process, in which it could receive no refutations.
BOOST_AUTO_TEST_CASE(Suspicion_ThisProcessPaused_StartsAnew)
{
    Membership membership = makeMembership({ member("a") });
    membership.handle(MembershipTick { start, 1 });
    membership.handle(ProbeFailed { start, VmId("a"), {} });
    membership.handle(MembershipTick { start + 60s, 1 });
    BOOST_TEST((stateOf(membership, "a") == MemberState::Suspect));
    for (Instant now = start + 60s; now <= start + 62s; now += 100ms)
        membership.handle(MembershipTick { now, 1 });
    BOOST_TEST((stateOf(membership, "a") == MemberState::Dead));
}

// An outdated update must not revive a dead VM, and a dead VM must not be kept for ever.
BOOST_AUTO_TEST_CASE(Dead_RetentionOver_IsForgottenUnlessThePlatformStillListsIt)
{
    for (const bool listed : { false, true }) {
        Membership membership = makeMembership({ member("a") });
        if (listed)
            membership.handle(VmListReceived { start, { member("a", 0), member("self", 0) } });
        membership.handle(ProbeReceived { start, member("b"), { member("a", 10, MemberState::Dead) } });
        membership.handle(ProbeReceived { start + 59s, member("b"), { member("a", 10) } });
        BOOST_TEST((stateOf(membership, "a") == MemberState::Dead));
        membership.handle(MembershipTick { start + 60s, 1 });
        BOOST_TEST(membership.members().contains(VmId("a")) == listed);
        // The platform's list must not remove a VM either.
        membership.handle(VmListReceived { start + 61s, {} });
        BOOST_TEST((stateOf(membership, "b") == MemberState::Alive));
        membership.handle(MembershipTick { start + 120s, 1 });
        BOOST_TEST(!membership.members().contains(VmId("a")));
    }
}

// Guards against work that is sent to a stopping VM and interrupted there.
BOOST_AUTO_TEST_CASE(Leaving_Requested_IsAnnouncedAtOnceAndEndsRoles)
{
    Membership membership = makeMembership({ member("a"), member("b") });
    const auto effects = membership.handle(LeaveRequested { start });
    BOOST_TEST((membership.self().state == MemberState::Leaving));
    BOOST_TEST((membership.activeVms() == std::vector<VmId> { VmId("a"), VmId("b") }));
    BOOST_TEST(effectsOfType<SendProbe>(effects).size() == 2);
    for (const SendProbe& probe : effectsOfType<SendProbe>(effects))
        BOOST_TEST((probe.updates.at(0) == membership.self()));
    // A leaving VM refutes suspicions but stays leaving.
    membership.handle(ProbeReceived { start, member("a"), { member("self", 10, MemberState::Dead) } });
    BOOST_TEST((membership.self() == member("self", 11, MemberState::Leaving)));
    BOOST_TEST(membership.handle(LeaveRequested { start }).empty());
}

// The platform's list lags, so it may add VMs and mark them as leaving but not remove them. A mark that the list
// drops must end.
BOOST_AUTO_TEST_CASE(VmList_AddsAndMarksLeaving_NeverRemoves)
{
    Membership membership = makeMembership({ member("a"), member("b") });
    membership.handle(VmListReceived { start,
        { member("b", 0, MemberState::Leaving), member("c", 0), member("self", 0, MemberState::Leaving),
            member("d", 0, MemberState::Dead) } });
    BOOST_TEST((stateOf(membership, "a") == MemberState::Alive));
    BOOST_TEST((membership.members().at(VmId("b")) == member("b", 10, MemberState::Leaving)));
    BOOST_TEST((stateOf(membership, "c") == MemberState::Alive));
    BOOST_TEST(!membership.members().contains(VmId("d")));
    BOOST_TEST((membership.activeVms() == std::vector<VmId> { VmId("a"), VmId("c") }));
    membership.handle(VmListReceived { start, { member("self", 0) } });
    BOOST_TEST((membership.self() == member("self", 11)));
}

// Guards against a leaving VM that dies silently and stays in the state Leaving for ever.
BOOST_AUTO_TEST_CASE(Leaving_StopsAnswering_Dies)
{
    Membership membership = makeMembership({ member("a", 10, MemberState::Leaving) });
    membership.handle(MembershipTick { start, 1 });
    membership.handle(ProbeFailed { start, VmId("a"), {} });
    for (Instant now = start; now <= start + 2s; now += 100ms)
        membership.handle(MembershipTick { now, 1 });
    BOOST_TEST((stateOf(membership, "a") == MemberState::Dead));
}

// Messages must stay small in a large fleet, and every update must leave the queue after enough sends.
BOOST_AUTO_TEST_CASE(Updates_ManyQueued_AreBoundedNewestFirstAndEnd)
{
    std::vector<Member> others;
    others.reserve(200);
    for (int index = 0; index < 200; ++index)
        others.push_back(member("vm-" + std::to_string(1000 + index)));
    Membership membership = makeMembership(others);
    std::set<VmId> sent;
    for (int message = 0; message < 20; ++message) {
        const auto updates = membership.takeUpdates();
        BOOST_TEST(updates.size() == 10);
        for (const Member& update : updates)
            sent.insert(update.vm);
    }
    BOOST_TEST(sent.size() == 200);
    while (membership.takeUpdates().front() != others[0]) { }
    membership.handle(ProbeReceived { start, member("vm-1000", 11, MemberState::Leaving), {} });
    BOOST_TEST((membership.takeUpdates().front() == member("vm-1000", 11, MemberState::Leaving)));
}

// Most probes stay in the own data centre, so that a slow link between data centres causes few suspicions.
BOOST_AUTO_TEST_CASE(Probing_TwoDataCentres_PrefersTheOwnOne)
{
    std::vector<Member> others;
    for (int index = 0; index < 20; ++index) {
        others.push_back(member("vm-" + std::to_string(index)));
        others.back().dataCentre = DataCentre(index % 2 == 0 ? "szeged" : "csongrad");
    }
    Membership membership = makeMembership(others);
    int near = 0;
    int all = 0;
    for (int tick = 0; tick < 10000; ++tick) {
        const auto effects = membership.handle(MembershipTick { start + tick * 100ms, static_cast<uint64_t>(tick) });
        for (const SendProbe& probe : effectsOfType<SendProbe>(effects)) {
            ++all;
            near += probe.target.dataCentre == DataCentre("szeged") ? 1 : 0;
        }
    }
    BOOST_TEST((all >= 1995 && all <= 2000));
    BOOST_TEST((near > all * 0.77 && near < all * 0.83));
}

BOOST_AUTO_TEST_SUITE_END()
