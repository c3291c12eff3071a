#include "Control/ControlJson.h"

#include "Configuration/Change.h"
#include "Control/ControlState.h"
#include "Control/JsonAdapters.h"
#include "Core/Error.h"

#include <nlohmann/json.hpp>

#include <type_traits>

// Defines the JSON form of an aggregate and the name, `Kind`, that identifies it as an alternative of a variant.
#define LAVENDERVANE_JSON_AS(Kind, Type, ...)                                                                          \
    [[maybe_unused]] static constexpr const char* kindName(std::type_identity<Type>) { return Kind; }                  \
    NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Type, __VA_ARGS__)

#define LAVENDERVANE_JSON(Type, ...) LAVENDERVANE_JSON_AS(#Type, Type, __VA_ARGS__)

// Like LAVENDERVANE_JSON_AS for an aggregate whose member `message` is a GossipMessage, which traces call "news".
#define LAVENDERVANE_JSON_WITH_GOSSIP(Kind, Type, ...)                                                                 \
    [[maybe_unused]] static constexpr const char* kindName(std::type_identity<Type>) { return Kind; }                  \
    inline void to_json(nlohmann::json& nlohmann_json_j, const Type& nlohmann_json_t)                                  \
    {                                                                                                                  \
        NLOHMANN_JSON_EXPAND(NLOHMANN_JSON_PASTE(NLOHMANN_JSON_TO, __VA_ARGS__))                                       \
        nlohmann_json_j["news"] = nlohmann_json_t.message;                                                             \
    }                                                                                                                  \
    inline void from_json(const nlohmann::json& nlohmann_json_j, Type& nlohmann_json_t)                                \
    {                                                                                                                  \
        NLOHMANN_JSON_EXPAND(NLOHMANN_JSON_PASTE(NLOHMANN_JSON_FROM, __VA_ARGS__))                                     \
        nlohmann_json_j.at("news").get_to(nlohmann_json_t.message);                                                    \
    }

namespace nlohmann {

template <> struct adl_serializer<Lavendervane::Configuration> {
    static void to_json(json& out, const Lavendervane::Configuration& value)
    {
        out = json::parse(Lavendervane::toJson(value));
    }
    static void from_json(const json& in, Lavendervane::Configuration& value)
    {
        value = Lavendervane::parseConfiguration(in.dump());
    }
};

template <> struct adl_serializer<Lavendervane::Change> {
    static void to_json(json& out, const Lavendervane::Change& value)
    {
        out = json::parse(Lavendervane::toJson(value));
    }
    static void from_json(const json& in, Lavendervane::Change& value) { value = Lavendervane::parseChange(in.dump()); }
};

} // namespace nlohmann

namespace Lavendervane {

LAVENDERVANE_JSON(Term, counter, vm)
LAVENDERVANE_JSON(Endpoint, name, address, dataCentre, slots, connections, labels)
LAVENDERVANE_JSON(DatabaseGroup, name, labels, endpoints)
LAVENDERVANE_JSON(Member, vm, address, dataCentre, incarnation, state)
LAVENDERVANE_JSON(GroupView, group, term, primary)
LAVENDERVANE_JSON_AS("PeerNews", GossipMessage, from, updates, configurationVersion, views)

LAVENDERVANE_JSON(MembershipSettings, probeInterval, suspicionTimeout, deadRetention, updatesPerMessage, indirectProbes)
LAVENDERVANE_JSON(
    GroupSettings, pollInterval, primarySilence, unreachableLimit, majorityLossLimit, rankDelay, failuresUntilSuspected)
LAVENDERVANE_JSON(ControlSettings, self, seed, vmListInterval, vmListRepeatInterval, maxConfigurationAge,
    viewsPerMessage, pushFanOut, membership, groups)

LAVENDERVANE_JSON(MembershipTick, now, seed)
LAVENDERVANE_JSON(ProbeReceived, now, from, updates)
LAVENDERVANE_JSON(ProbeAnswered, now, from, updates)
LAVENDERVANE_JSON(ProbeFailed, now, target, via)
LAVENDERVANE_JSON(VmListReceived, now, vms)
LAVENDERVANE_JSON(LeaveRequested, now)

LAVENDERVANE_JSON(
    EndpointStatus, promised, term, primary, position, firstPosition, lastEntryTerm, primaryHeard, lag, primaryAddress)
LAVENDERVANE_JSON(GroupTick, now, seed)
LAVENDERVANE_JSON(GroupsConfigured, now, groups)
LAVENDERVANE_JSON(WatchRankChanged, now, group, rank)
LAVENDERVANE_JSON(StatusReceived, now, endpoint, status)
LAVENDERVANE_JSON(EndpointFailed, now, endpoint)
LAVENDERVANE_JSON(FenceAnswered, now, endpoint, term, accepted, promised, lastEntryTerm, position)
LAVENDERVANE_JSON(PromoteAnswered, now, endpoint, term, accepted)
LAVENDERVANE_JSON(FollowAnswered, now, endpoint, term, accepted)
LAVENDERVANE_JSON(GroupViewLearnt, now, view)

LAVENDERVANE_JSON(HigherTermObserved, group, term, primary)
LAVENDERVANE_JSON(EndpointUnreachableObserved, endpoint)
LAVENDERVANE_JSON(TokenShortageObserved, organisation)

LAVENDERVANE_JSON(ControlTick, now, seed)
LAVENDERVANE_JSON_WITH_GOSSIP("ProbeArrived", ProbeArrived, now, call)
LAVENDERVANE_JSON_WITH_GOSSIP("PeerAnswered", PeerAnswered, now)
LAVENDERVANE_JSON(TrafficObserved, now, observation)

LAVENDERVANE_JSON(TableRow, key, revision, value)
LAVENDERVANE_JSON(RowCondition, key, revision)
LAVENDERVANE_JSON(RowWrite, key, value)
LAVENDERVANE_JSON(TableTransaction, changeId, conditions, writes)
LAVENDERVANE_JSON(TableResult, status, rows)
LAVENDERVANE_JSON(ChainTick, now, reader)
LAVENDERVANE_JSON(ChainRowsRead, now, purpose, operation, result)
LAVENDERVANE_JSON(ChainSnapshotRead, now, snapshot)
LAVENDERVANE_JSON(PeerVersionSeen, now, peer, version)
LAVENDERVANE_JSON(PeerChangesReceived, now, peer, changes, snapshot)
LAVENDERVANE_JSON(CommitRequested, now, operation, change)
LAVENDERVANE_JSON(ChainRowsWritten, now, operation, result)

LAVENDERVANE_JSON_WITH_GOSSIP("ProbePeer", ProbePeer, target, via)
LAVENDERVANE_JSON_WITH_GOSSIP("ProbeSeed", ProbeSeed, address)
LAVENDERVANE_JSON(FetchChanges, peer, fromVersion)
LAVENDERVANE_JSON(ReadChainRows, purpose, operation, keys)
LAVENDERVANE_JSON(WriteChainRows, operation, transaction)
LAVENDERVANE_JSON(ReadChainSnapshot, object)
LAVENDERVANE_JSON(WriteChainSnapshot, object, snapshot)
LAVENDERVANE_JSON(CommitFinished, operation, result, version)
LAVENDERVANE_JSON_WITH_GOSSIP("PushNews", PushGossip, target)
LAVENDERVANE_JSON_WITH_GOSSIP("AnswerProbe", AnswerProbe, call)
static constexpr const char* kindName(std::type_identity<FetchVmList>) { return "FetchVmList"; }
static constexpr const char* kindName(std::type_identity<PublishSnapshot>) { return "PublishSnapshot"; }
LAVENDERVANE_JSON(QueryStatus, endpoint, address, freshConnection)
LAVENDERVANE_JSON(SendFence, endpoint, address, term)
LAVENDERVANE_JSON(SendPromote, endpoint, address, term, members)
LAVENDERVANE_JSON(SendFollow, endpoint, address, term, primaryAddress)

LAVENDERVANE_JSON(RateLimit, rate, burst)
LAVENDERVANE_JSON(Capacity, milliRate, milliBurst)
LAVENDERVANE_JSON(GrantDemand, organisation, held, wanted, returnedMilliTokens)
LAVENDERVANE_JSON(GrantRequest, holder, incarnation, epoch, sequence, demands)
LAVENDERVANE_JSON(GrantedCapacity, organisation, capacity, addedMilliTokens)
LAVENDERVANE_JSON(GrantResponse, epoch, sequence, validity, moves, grants)
LAVENDERVANE_JSON(AllocatorClaim, dataCentre, allocator, epoch, recalled)
LAVENDERVANE_JSON(ClaimReport, holder, incarnation, epoch, sequence, held)
LAVENDERVANE_JSON(MeasuredDemand, organisation, admitted, refused, milliTokens)
LAVENDERVANE_JSON(HolderTick, now)
LAVENDERVANE_JSON(DemandMeasured, now, demands)
LAVENDERVANE_JSON(ShortageObserved, now, organisation)
LAVENDERVANE_JSON(ClaimReceived, now, claim)
LAVENDERVANE_JSON(GrantAnswered, now, response)
LAVENDERVANE_JSON(GrantFailed, now, sequence)
LAVENDERVANE_JSON(LoweredGrant, organisation, removedMilliTokens)
LAVENDERVANE_JSON(GrantsLowered, now, grants)
LAVENDERVANE_JSON(HolderStopping, now)
LAVENDERVANE_JSON(ApplyGrant, organisation, capacity, addedMilliTokens, validUntil)
LAVENDERVANE_JSON(GrantLowering, organisation, capacity, offeredMilliTokens)
LAVENDERVANE_JSON(LowerGrants, grants)
LAVENDERVANE_JSON(AnswerClaim, accepted, report)
LAVENDERVANE_JSON(AllocatorTick, now)
LAVENDERVANE_JSON(OrganisationLimit, organisation, limit)
LAVENDERVANE_JSON(LimitsConfigured, now, configurationVersion, dataCentres, limits)
LAVENDERVANE_JSON(LiveVmsChanged, now, vms)
LAVENDERVANE_JSON(GrantRequested, now, request)
LAVENDERVANE_JSON(ClaimAnswered, now, report)
LAVENDERVANE_JSON(EpochObserved, now, epoch)
LAVENDERVANE_JSON(AllocatorTableAnswered, now, operation, result)
LAVENDERVANE_JSON(AllocatorStopping, now)
LAVENDERVANE_JSON(AllocatorRead, operation, keys)
LAVENDERVANE_JSON(AllocatorTransact, operation, transaction)
LAVENDERVANE_JSON(AnswerGrant, accepted, holder, response)
static constexpr const char* kindName(std::type_identity<AllocatorStopped>) { return "AllocatorStopped"; }
LAVENDERVANE_JSON(GrantCallArrived, now, call, request)
LAVENDERVANE_JSON(ClaimCallArrived, now, call, claim)
LAVENDERVANE_JSON(CallAllocator, allocator, request)
LAVENDERVANE_JSON(ClaimFromPeer, peer, claim)
LAVENDERVANE_JSON(ReplyToGrantCall, call, answer)
LAVENDERVANE_JSON(ReplyToClaimCall, call, answer)

template <typename Value> static std::string serialize(const Value& value) { return nlohmann::json(value).dump(); }

template <typename Value> static Value parse(std::string_view json)
{
    try {
        return nlohmann::json::parse(json).get<Value>();
    } catch (const std::exception& error) {
        throw Error("parse trace", "", error.what());
    }
}

std::string toJson(const ControlSettings& settings) { return serialize(settings); }

std::string toJson(const ControlEvent& event) { return serialize(event); }

std::string toJson(const Effects& effects) { return serialize(effects); }

ControlSettings parseControlSettings(std::string_view json) { return parse<ControlSettings>(json); }

ControlEvent parseControlEvent(std::string_view json) { return parse<ControlEvent>(json); }

} // namespace Lavendervane
