#include "Control/Reduce.h"
#include "Configuration/Change.h"
#include "Control/ControlJson.h"
#include "Control/ControlState.h"
#include "Control/MakeTrafficSnapshot.h"
#include "Control/Trace.h"

#include <boost/test/unit_test.hpp>

#include <sstream>

using namespace Lavendervane;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(ReduceTest)

static EndpointStatus makeStatus(const Term& term, uint64_t position)
{
    EndpointStatus status;
    status.term = term;
    status.position = position;
    return status;
}

static Member makeMember(const std::string& name, const std::string& dataCentre)
{
    return { VmId(name), name + ":7000", DataCentre(dataCentre), 1, MemberState::Alive };
}

static ControlSettings makeSettings()
{
    ControlSettings settings;
    settings.self = makeMember("vm-0", "szeged");
    settings.seed = 3;
    return settings;
}

static Endpoint makeEndpoint(const std::string& name, const std::string& dataCentre)
{
    return { EndpointId(name), name + ":9000", DataCentre(dataCentre), 2, 10, {} };
}

/// Returns an event with configuration version `version`, which declares one group per name. Each group has an endpoint
/// in each of three data centres.
static ChainEvent makeChangesReceived(Instant now, uint64_t version, const std::vector<std::string>& groups)
{
    Change change;
    change.version = version;
    change.previousVersion = version - 1;
    change.id = "change-" + std::to_string(version);
    for (const std::string& group : groups) {
        change.groups.push_back({ GroupId(group), {},
            { makeEndpoint(group + "-a", "szeged"), makeEndpoint(group + "-b", "csongrad"),
                makeEndpoint(group + "-c", "kecskemet") } });
    }
    return PeerChangesReceived { now, VmId("vm-1"), { change }, std::nullopt };
}

struct ControlFixture {
    ControlState state { makeSettings() };
    Instant now { 1000s };

    Effects run(const ControlEvent& event) { return reduce(this->state, event); }

    Effects joinVm(const std::string& name, const std::string& dataCentre)
    {
        return this->run(PeerAnswered { this->now, { makeMember(name, dataCentre), {}, 0, {} } });
    }

    template <typename Effect> static std::vector<Effect> selectEffects(const Effects& effects)
    {
        std::vector<Effect> selected;
        for (const ControlEffect& effect : effects) {
            if (const auto* match = std::get_if<Effect>(&effect))
                selected.push_back(*match);
        }
        return selected;
    }
};

BOOST_FIXTURE_TEST_CASE(Probe_Arrives_IsAnsweredWithOwnState, ControlFixture)
{
    const auto effects = run(ProbeArrived { now, 42, { makeMember("vm-1", "szeged"), {}, 0, {} } });
    const auto answers = selectEffects<AnswerProbe>(effects);
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_TEST(answers[0].call == 42U);
    BOOST_TEST(answers[0].message.from.vm == VmId("vm-0"));
    BOOST_TEST(state.membership.members().count(VmId("vm-1")) == 1U);
}

// Guards against a VM that missed the push of a version and keeps an old configuration until it restarts.
BOOST_FIXTURE_TEST_CASE(Probe_SenderHasNewerConfiguration_ChangesAreFetched, ControlFixture)
{
    const auto effects = run(ProbeArrived { now, 1, { makeMember("vm-1", "szeged"), {}, 5, {} } });
    const auto fetches = selectEffects<FetchChanges>(effects);
    BOOST_REQUIRE(fetches.size() == 1U);
    BOOST_TEST(fetches[0].peer.vm == VmId("vm-1"));
    BOOST_TEST(fetches[0].fromVersion == 0U);
}

BOOST_FIXTURE_TEST_CASE(Configuration_Advances_IsPublishedAndPushed, ControlFixture)
{
    for (int index = 1; index <= 6; ++index)
        joinVm("vm-" + std::to_string(index), "csongrad");
    const auto effects = run(makeChangesReceived(now, 1, { "stock" }));
    BOOST_TEST(selectEffects<PublishSnapshot>(effects).size() == 1U);
    const auto pushes = selectEffects<PushGossip>(effects);
    BOOST_TEST(pushes.size() == 4U);
    BOOST_TEST(pushes[0].message.configurationVersion == 1U);
    BOOST_TEST(makeTrafficSnapshot(state)->groups.count(GroupId("stock")) == 1U);
}

BOOST_FIXTURE_TEST_CASE(Configuration_OlderVersionArrives_IsIgnored, ControlFixture)
{
    run(makeChangesReceived(now, 1, { "stock" }));
    run(makeChangesReceived(now, 2, { "orders" }));
    run(makeChangesReceived(now, 1, { "stock" }));
    BOOST_TEST(state.configuration->version == 2U);
}

// Guards against a group without a watcher, which would never get a new primary.
BOOST_FIXTURE_TEST_CASE(Watchers_OneVmPerDataCentre_HaveDistinctRanks, ControlFixture)
{
    joinVm("vm-1", "csongrad");
    joinVm("vm-2", "csongrad");
    run(makeChangesReceived(now, 1, { "stock" }));
    BOOST_TEST(state.watchRanks.count(GroupId("stock")) == 1U);
    const auto watchers = state.placement.watchers(*state.configuration->findGroup(GroupId("stock")));
    BOOST_TEST(watchers.size() == 2U);
    BOOST_TEST((watchers[0] != watchers[1]));
}

BOOST_FIXTURE_TEST_CASE(Owners_VmsInTheEndpointsDataCentre_ArePreferred, ControlFixture)
{
    joinVm("vm-1", "csongrad");
    joinVm("vm-2", "csongrad");
    joinVm("vm-3", "csongrad");
    run(makeChangesReceived(now, 1, { "stock" }));
    const auto snapshot = makeTrafficSnapshot(state);
    BOOST_TEST(snapshot->endpoints.at(EndpointId("stock-a")).owners.size() == 1U);
    BOOST_TEST((snapshot->endpoints.at(EndpointId("stock-a")).owners[0] == VmId("vm-0")));
    BOOST_TEST(snapshot->endpoints.at(EndpointId("stock-b")).owners.size() == 2U);
    // No VM is in the data centre kecskemet, so all VMs are candidates.
    BOOST_TEST(snapshot->endpoints.at(EndpointId("stock-c")).owners.size() == 2U);
}

// Requests that peers still forward to a leaving VM would be aborted, so it must not stay the owner of an endpoint.
BOOST_FIXTURE_TEST_CASE(Leave_Requested_OwnershipMoves, ControlFixture)
{
    joinVm("vm-1", "szeged");
    run(makeChangesReceived(now, 1, { "stock" }));
    run(MembershipEvent(LeaveRequested { now }));
    const auto owners = makeTrafficSnapshot(state)->endpoints.at(EndpointId("stock-a")).owners;
    BOOST_REQUIRE(owners.size() == 1U);
    BOOST_TEST(owners[0] == VmId("vm-1"));
}

// Guards against overload of the platform: 7,600 VMs that fetch the VM list every 2 s would exceed its 2,000 reads a
// second.
BOOST_AUTO_TEST_CASE(VmList_ManyVms_IsFetchedOftenByTwoVmsOfADataCentre)
{
    const size_t vms = 12;
    size_t fetches = 0;
    for (size_t self = 0; self < vms; ++self) {
        ControlSettings settings = makeSettings();
        settings.self = makeMember("vm-" + std::to_string(self), "szeged");
        ControlState state(settings);
        Instant now { 1000s };
        for (size_t other = 0; other < vms; ++other) {
            if (other != self)
                reduce(state, PeerAnswered { now, { makeMember("vm-" + std::to_string(other), "szeged"), {}, 0, {} } });
        }
        for (int tick = 0; tick < 600; ++tick) {
            now += 100ms;
            for (const auto& effect : reduce(state, ControlTick { now, 1 }))
                fetches += std::holds_alternative<FetchVmList>(effect);
            for (size_t other = 0; other < vms; ++other) {
                if (other != self)
                    reduce(state,
                        PeerAnswered { now, { makeMember("vm-" + std::to_string(other), "szeged"), {}, 0, {} } });
            }
        }
    }
    // In one minute, two VMs fetch the list 30 times each, and each other VM once or twice.
    BOOST_TEST(fetches >= 60U);
    BOOST_TEST(fetches <= 62U + 2 * (vms - 2));
}

// Guards against VMs that do not watch a group and never learn of its new primary, as they learn of it only by gossip.
BOOST_FIXTURE_TEST_CASE(GroupView_HigherTermFromPeer_IsPublishedAndPassedOnOnce, ControlFixture)
{
    joinVm("vm-1", "csongrad");
    run(makeChangesReceived(now, 1, { "stock" }));
    const GroupView view { GroupId("stock"), { 4, VmId("vm-1") }, EndpointId("stock-b") };
    const ProbeArrived probe { now, 1, { makeMember("vm-1", "csongrad"), {}, 1, { view } } };
    const auto first = run(probe);
    BOOST_TEST(selectEffects<PublishSnapshot>(first).size() == 1U);
    const auto pushes = selectEffects<PushGossip>(first);
    BOOST_REQUIRE(pushes.size() == 1U);
    BOOST_TEST((pushes[0].message.views == std::vector { view }));
    BOOST_TEST((makeTrafficSnapshot(state)->groups.at(GroupId("stock")).primary == EndpointId("stock-b")));
    BOOST_TEST(selectEffects<PushGossip>(run(probe)).empty());
}

BOOST_FIXTURE_TEST_CASE(Traffic_ObservesHigherTerm_IsPublished, ControlFixture)
{
    run(makeChangesReceived(now, 1, { "stock" }));
    run(TrafficObserved { now, HigherTermObserved { GroupId("stock"), { 2, VmId("vm-9") }, EndpointId("stock-c") } });
    const auto snapshot = makeTrafficSnapshot(state);
    BOOST_TEST((snapshot->groups.at(GroupId("stock")).term == Term { 2, VmId("vm-9") }));
}

BOOST_AUTO_TEST_CASE(SeedPeers_NoOtherVmKnown_AreProbedEachSecond)
{
    auto settings = makeSettings();
    settings.seedPeers = { "10.0.0.1:7000", settings.self.address };
    ControlState state(settings);
    const Instant start { 1000s };
    const auto countSeedProbes = [&state](Instant now) {
        return ControlFixture::selectEffects<ProbeSeed>(reduce(state, ControlTick { now, 1 })).size();
    };
    BOOST_TEST(countSeedProbes(start) == 1U);
    BOOST_TEST(countSeedProbes(start + 100ms) == 0U);
    BOOST_TEST(countSeedProbes(start + 1s) == 1U);
    reduce(state, PeerAnswered { start + 1s, { makeMember("vm-1", "szeged"), {}, 0, {} } });
    BOOST_TEST(countSeedProbes(start + 2s) == 0U);
}

// Guards against a withdrawn key that keeps working because the VM can no longer read the configuration.
BOOST_AUTO_TEST_CASE(ConfigurationAge_BeyondLimit_KeysAreInvalid)
{
    auto settings = makeSettings();
    settings.maxConfigurationAge = 60s;
    ControlState state(settings);
    const Instant start { 1000s };
    reduce(state, makeChangesReceived(start, 1, { "stock" }));
    reduce(state, ControlTick { start + 60s, 1 });
    BOOST_TEST(makeTrafficSnapshot(state)->keysValid);
    const auto effects = reduce(state, ControlTick { start + 61s, 1 });
    BOOST_TEST(!makeTrafficSnapshot(state)->keysValid);
    BOOST_TEST(ControlFixture::selectEffects<PublishSnapshot>(effects).size() == 1U);
}

/// Applies ticks, probes, answers and views in a pseudo-random order and records them. Returns the effects as JSON.
static std::string runRandomEvents(uint64_t seed, std::ostream& trace)
{
    RandomGenerator random(seed);
    ControlState state(makeSettings());
    TraceRecorder recorder(trace, state.settings);
    std::string effects;
    Instant now { 1000s };
    uint64_t version = 0;
    for (int step = 0; step < 400; ++step) {
        now += std::chrono::milliseconds(random.below(150));
        const Member peer
            = makeMember("vm-" + std::to_string(1 + random.below(5)), random.below(2) ? "szeged" : "csongrad");
        const GroupView view { GroupId("stock"), { random.below(9), peer.vm }, EndpointId("stock-b") };
        ControlEvent event = ControlTick { now, random.next() };
        switch (random.below(8)) {
        case 0:
            event = ProbeArrived { now, random.next(), { peer, {}, version, { view } } };
            break;
        case 1:
            event = PeerAnswered { now, { peer, {}, version, {} } };
            break;
        case 2:
            event = MembershipEvent(ProbeFailed { now, peer.vm, std::nullopt });
            break;
        case 3:
            event = GroupEvent(EndpointFailed { now, EndpointId("stock-a") });
            break;
        case 4:
            event = GroupEvent(StatusReceived { now, EndpointId("stock-b"), makeStatus(view.term, 7) });
            break;
        case 5:
            event = makeChangesReceived(now, ++version, { version % 2 ? "stock" : "orders" });
            break;
        default:
            break;
        }
        recorder.record(event);
        effects += toJson(reduce(state, event)) + "\n";
    }
    return effects;
}

// A trace helps to analyse a fault only if its replay gives the recorded effects.
BOOST_AUTO_TEST_CASE(Trace_Replayed_GivesTheSameEffectsByteForByte)
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        std::stringstream trace;
        const std::string recorded = runRandomEvents(seed, trace);
        std::string replayed;
        replayTrace(trace, [&replayed](const Effects& effects) { replayed += toJson(effects) + "\n"; });
        BOOST_TEST((recorded == replayed));
    }
}

BOOST_AUTO_TEST_CASE(Trace_Truncated_IsRejected)
{
    std::stringstream trace;
    runRandomEvents(1, trace);
    std::stringstream truncated(trace.str().substr(0, trace.str().size() - 10));
    BOOST_CHECK_THROW(replayTrace(truncated, [](const Effects&) {}), std::exception);
}

BOOST_AUTO_TEST_SUITE_END()
