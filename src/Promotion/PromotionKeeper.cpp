#include "Promotion/PromotionKeeper.h"

#include "Core/Rendezvous.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace Lavendervane {

using Json = nlohmann::json;

PromotionKeeper::PromotionKeeper(VmId own, std::string run, PromotionKeeperSettings settings)
    : own(std::move(own))
    , run(std::move(run))
    , settings(settings)
    , promotionTime(settings.assumedPromotion)
{
}

std::string PromotionKeeper::claimKey(const GroupId& group) { return "promotion/" + group.str(); }

std::vector<PromotionEffect> PromotionKeeper::handle(const PromotionEvent& event, Instant now)
{
    if (const auto* fleetSeen = std::get_if<FleetSeen>(&event)) {
        this->fleet = fleetSeen->vms;
        return {};
    }
    if (const auto* seen = std::get_if<RegistrySeen>(&event))
        return this->registryRead(*seen, now);
    if (const auto* reachability = std::get_if<EndpointReachability>(&event))
        return this->reachabilityChanged(*reachability, now);
    if (const auto* opinions = std::get_if<OpinionsCollected>(&event))
        return this->opinionsCollected(*opinions, now);
    if (const auto* read = std::get_if<ClaimRead>(&event))
        return this->claimRead(*read, now);
    if (const auto* written = std::get_if<ClaimWritten>(&event))
        return this->claimWritten(*written, now);
    if (const auto* statuses = std::get_if<EndpointsInspected>(&event))
        return this->inspected(*statuses, now);
    if (const auto* step = std::get_if<SteppedDown>(&event))
        return this->steppedDown(*step, now);
    if (const auto* answered = std::get_if<OrderAnswered>(&event))
        return this->orderAnswered(*answered, now);
    if (const auto* notice = std::get_if<PromotionNoticed>(&event))
        return this->noticeReceived(*notice, now);
    return this->timerFired(std::get<PromotionTimer>(event), now);
}

std::vector<PromotionEffect> PromotionKeeper::wakeAt(const Group& group, Instant when) const
{
    return { SetPromotionTimer { group.name, group.attempt, when } };
}

PromotionKeeper::Group* PromotionKeeper::find(const GroupId& name, uint64_t attempt, Phase phase)
{
    const auto found = this->groups.find(name);
    if (found == this->groups.end() || found->second.attempt != attempt || found->second.phase != phase)
        return nullptr;
    return &found->second;
}

// VMs act in the order of their rank for the group, so that mostly the first one does all the work.
Duration PromotionKeeper::turnOf(const GroupId& group) const
{
    const auto ranking = rankByRendezvous(this->fleet, group.str(), this->fleet.size());
    const auto place = std::find(ranking.begin(), ranking.end(), this->own) - ranking.begin();
    const auto vms = std::max<int64_t>(1, static_cast<int64_t>(this->fleet.size()));
    const Duration interval = std::min<Duration>(this->settings.turnInterval, this->settings.longestTurn / vms);
    return interval * place;
}

// Of several endpoints that call themselves primary, the one that began to do so last: an old primary may not have
// noticed yet that it has been replaced.
template <typename Members>
static EndpointId newestPrimary(const Members& before, const Members& after, const EndpointId& current)
{
    EndpointId primary;
    for (const auto& [id, member] : after) {
        if (!member.primary)
            continue;
        const auto known = before.find(id);
        if (known == before.end() || !known->second.primary)
            return id;
        if (primary.empty() || id == current)
            primary = id;
    }
    return primary;
}

std::optional<EndpointId> PromotionKeeper::primaryOf(const GroupId& name) const
{
    const auto group = this->groups.find(name);
    if (group == this->groups.end() || group->second.primary.empty())
        return std::nullopt;
    return group->second.primary;
}

std::vector<PromotionEffect> PromotionKeeper::registryRead(const RegistrySeen& seen, Instant now)
{
    std::map<GroupId, std::map<EndpointId, Member>> present;
    for (const RegisteredEndpoint& endpoint : seen.endpoints)
        present[endpoint.group][endpoint.id] = { endpoint.role == EndpointRole::Primary, endpoint.draining };
    Effects effects;
    for (auto& [name, members] : present) {
        Group& group = this->groups[name];
        group.name = name;
        const auto synchronous = seen.synchronousReplicas.find(name);
        group.synchronousReplicas = synchronous == seen.synchronousReplicas.end() ? 0 : synchronous->second;
        if (group.members == members)
            continue;
        const EndpointId primary = newestPrimary(group.members, members, group.primary);
        group.members = std::move(members);
        if (primary != group.primary) {
            if (group.phase == Phase::AwaitingEffect && primary == group.chosen)
                this->promotionTime = now - group.ordered;
            effects.emplace_back(LogPromotion { name, "primary_changed", primary.str() });
            group.primary = primary;
            group.unreachable = false;
            // A primary that has stepped down leaves the group without one while its successor is being promoted.
            if (!primary.empty()) {
                group.phase = Phase::Idle;
                ++group.attempt;
            }
        }
        for (auto& effect : this->consider(group, now))
            effects.push_back(std::move(effect));
    }
    return effects;
}

bool PromotionKeeper::needsPromotion(const Group& group) const
{
    const bool others = std::any_of(group.members.begin(), group.members.end(),
        [&group](const auto& member) { return member.first != group.primary && !member.second.draining; });
    if (!others)
        return false;
    if (group.primary.empty())
        return true;
    const auto primary = group.members.find(group.primary);
    return group.unreachable || (primary != group.members.end() && primary->second.draining);
}

std::vector<PromotionEffect> PromotionKeeper::consider(Group& group, Instant now)
{
    if (!this->needsPromotion(group)) {
        if (group.phase == Phase::WaitingForTurn)
            group.phase = Phase::Idle;
        return {};
    }
    if (group.phase != Phase::Idle)
        return {};
    group.phase = Phase::WaitingForTurn;
    ++group.attempt;
    return this->wakeAt(group, now + this->turnOf(group.name));
}

std::vector<PromotionEffect> PromotionKeeper::reachabilityChanged(const EndpointReachability& event, Instant now)
{
    const auto found = this->groups.find(event.group);
    if (found == this->groups.end() || found->second.primary != event.endpoint)
        return {};
    found->second.unreachable = !event.reachable;
    return this->consider(found->second, now);
}

std::vector<PromotionEffect> PromotionKeeper::timerFired(const PromotionTimer& event, Instant now)
{
    const auto found = this->groups.find(event.group);
    if (found == this->groups.end() || found->second.attempt != event.attempt)
        return {};
    Group& group = found->second;
    switch (group.phase) {
    case Phase::WaitingForTurn:
        return this->startTurn(group, now);
    case Phase::CatchingUp:
        return this->inspect(group);
    case Phase::AwaitingEffect:
        return this->retry(group, now, "the new primary has not appeared");
    default:
        return {};
    }
}

std::vector<PromotionEffect> PromotionKeeper::startTurn(Group& group, Instant)
{
    if (!this->needsPromotion(group)) {
        group.phase = Phase::Idle;
        return {};
    }
    group.replaced = group.primary;
    group.planned = !group.unreachable && !group.primary.empty();
    group.lastPosition.reset();
    if (group.planned || group.primary.empty()) {
        group.phase = Phase::ReadingClaim;
        return { ReadClaim { group.name, group.attempt, claimKey(group.name) } };
    }
    group.phase = Phase::AskingPeers;
    return { AskOpinions { group.name, group.attempt, group.primary } };
}

// One VM's cut link is not a dead primary: more than half of the VMs asked, this one included, must not reach it.
std::vector<PromotionEffect> PromotionKeeper::opinionsCollected(const OpinionsCollected& event, Instant now)
{
    Group* group = this->find(event.group, event.attempt, Phase::AskingPeers);
    if (!group)
        return {};
    const std::string counts = std::to_string(event.unreachable + 1) + " of " + std::to_string(event.asked + 1)
        + " VMs do not reach it, " + std::to_string(event.reachable) + " do";
    if (2 * (event.unreachable + 1) <= event.asked + 1 || !group->unreachable)
        return this->retry(*group, now, counts);
    group->phase = Phase::ReadingClaim;
    return { LogPromotion { group->name, "primary_unreachable", counts },
        ReadClaim { group->name, group->attempt, claimKey(group->name) } };
}

std::vector<PromotionEffect> PromotionKeeper::claimRead(const ClaimRead& event, Instant now)
{
    Group* group = this->find(event.group, event.attempt, Phase::ReadingClaim);
    if (!group)
        return {};
    if (event.reply.result.status != TableStatus::Done || event.reply.result.rows.empty())
        return this->retry(*group, now, "the claim cannot be read: " + event.reply.reason);
    const TableRow& row = event.reply.result.rows.front();
    const uint64_t tableNow = event.reply.clock.atLeast(now);
    if (row.revision) {
        const Json claim = Json::parse(row.value, nullptr, false);
        const uint64_t until = claim.is_object() ? claim.value("until", uint64_t { 0 }) : 0;
        const bool own = claim.is_object() && claim.value("run", std::string()) == this->run;
        if (until > tableNow && !own)
            return this->retry(*group, now, "another VM holds the claim");
    }
    group->phase = Phase::Claiming;
    group->claimRevision = row.revision;
    TableTransaction transaction;
    transaction.conditions.push_back({ claimKey(group->name), row.revision });
    transaction.writes.push_back({ claimKey(group->name),
        Json { { "holder", this->own.str() }, { "run", this->run }, { "until", tableNow + this->settings.claimMs } }
            .dump() });
    return { WriteClaim { group->name, group->attempt, std::move(transaction) } };
}

std::vector<PromotionEffect> PromotionKeeper::claimWritten(const ClaimWritten& event, Instant now)
{
    Group* group = this->find(event.group, event.attempt, Phase::Claiming);
    if (!group)
        return {};
    if (event.reply.result.status != TableStatus::Done)
        return this->retry(*group, now, "the claim was not written: " + event.reply.reason);
    // The revision of the row grows with each claim, so a later holder always has a higher token.
    group->token = event.reply.revision;
    group->phase = Phase::Inspecting;
    return this->inspect(*group);
}

std::vector<PromotionEffect> PromotionKeeper::inspect(Group& group)
{
    std::vector<EndpointId> endpoints;
    for (const auto& [id, member] : group.members) {
        // A leaving replica may be the only one that holds an acknowledged commit.
        const bool leaving = member.draining && id != group.replaced && !group.synchronousReplicas;
        const bool gone = id == group.replaced && !(group.planned && group.phase == Phase::Inspecting);
        if (!leaving && !gone)
            endpoints.push_back(id);
    }
    return { InspectEndpoints { group.name, group.attempt, std::move(endpoints) } };
}

// With synchronous replicas, an acknowledged commit is on that many of them. The furthest one holds it for certain only
// if fewer than that many were not heard.
bool PromotionKeeper::mayLackAcknowledged(const Group& group, size_t replicasHeard) const
{
    const size_t replicas = group.members.size() - group.members.count(group.replaced);
    return group.synchronousReplicas && replicasHeard + group.synchronousReplicas <= replicas;
}

// The replica whose log goes furthest; a promotion rolls back whatever the chosen one lacks.
static std::optional<EndpointId> furthest(const std::map<EndpointId, EndpointStatus>& statuses)
{
    std::optional<EndpointId> best;
    for (const auto& [id, status] : statuses) {
        if (!best || statuses.at(*best).received < status.received)
            best = id;
    }
    return best;
}

std::vector<PromotionEffect> PromotionKeeper::inspected(const EndpointsInspected& event, Instant now)
{
    const auto found = this->groups.find(event.group);
    if (found == this->groups.end() || found->second.attempt != event.attempt)
        return {};
    Group& group = found->second;
    if (group.phase != Phase::Inspecting && group.phase != Phase::CatchingUp)
        return {};
    auto replicas = event.statuses;
    const auto old = replicas.find(group.replaced);
    std::optional<EndpointStatus> primary;
    if (old != replicas.end()) {
        primary = old->second;
        replicas.erase(old);
    }
    const auto best = furthest(replicas);
    if (!best)
        return this->retry(group, now, "no replica answers");
    if (group.phase == Phase::Inspecting && group.planned && primary && primary->role == EndpointRole::Primary) {
        group.phase = Phase::SteppingDown;
        return { StepDownPrimary { group.name, group.attempt, group.replaced, primary->term + 1 } };
    }
    if (group.phase == Phase::CatchingUp && group.lastPosition && replicas.at(*best).received < *group.lastPosition
        && now < group.catchUpUntil)
        return this->wakeAt(group, now + this->settings.catchUpInterval);
    if (this->mayLackAcknowledged(group, replicas.size()))
        return this->retry(group, now, "a replica that may hold acknowledged commits does not answer");
    return this->order(group, *best, now);
}

std::vector<PromotionEffect> PromotionKeeper::steppedDown(const SteppedDown& event, Instant now)
{
    Group* group = this->find(event.group, event.attempt, Phase::SteppingDown);
    if (!group)
        return {};
    if (!event.status)
        return this->retry(*group, now, "the primary did not answer to the request to step down");
    group->lastPosition = event.status->received;
    group->catchUpUntil = now + this->settings.catchUpTimeout;
    group->phase = Phase::CatchingUp;
    Effects effects = this->inspect(*group);
    effects.emplace_back(AnnouncePromotion { group->name, {}, this->promotionTime });
    return effects;
}

std::vector<PromotionEffect> PromotionKeeper::order(Group& group, const EndpointId& endpoint, Instant now)
{
    group.phase = Phase::Ordering;
    group.chosen = endpoint;
    group.ordered = now;
    return { LogPromotion { group.name, "promotion_ordered", endpoint.str() + " token " + std::to_string(group.token) },
        OrderPromotion { group.name, group.attempt, endpoint, group.token } };
}

std::vector<PromotionEffect> PromotionKeeper::orderAnswered(const OrderAnswered& event, Instant now)
{
    Group* group = this->find(event.group, event.attempt, Phase::Ordering);
    if (!group)
        return {};
    if (event.status == OrderStatus::Refused || event.status == OrderStatus::NotCarriedOut)
        return this->retry(*group, now, "the order was refused");
    // An order without an answer may still be carried out, so nothing else is done before its effect could show.
    group->phase = Phase::AwaitingEffect;
    Effects effects = this->wakeAt(*group, now + this->settings.effectTimeout);
    if (event.status == OrderStatus::Accepted)
        effects.emplace_back(
            AnnouncePromotion { group->name, group->chosen, group->ordered + this->promotionTime - now });
    return effects;
}

// Another VM acts: this one looks again only if that has no effect.
std::vector<PromotionEffect> PromotionKeeper::noticeReceived(const PromotionNoticed& event, Instant now)
{
    const auto found = this->groups.find(event.group);
    if (found == this->groups.end())
        return {};
    Group& group = found->second;
    if (group.phase != Phase::Idle && group.phase != Phase::WaitingForTurn)
        return {};
    group.phase = Phase::WaitingForTurn;
    ++group.attempt;
    return this->wakeAt(group, now + this->settings.effectTimeout + this->turnOf(group.name));
}

std::vector<PromotionEffect> PromotionKeeper::retry(Group& group, Instant now, const std::string& reason)
{
    ++group.attempt;
    Effects effects { LogPromotion { group.name, "promotion_postponed", reason } };
    if (!this->needsPromotion(group)) {
        group.phase = Phase::Idle;
        return effects;
    }
    group.phase = Phase::WaitingForTurn;
    effects.emplace_back(
        SetPromotionTimer { group.name, group.attempt, now + this->settings.retryPause + this->turnOf(group.name) });
    return effects;
}

} // namespace Lavendervane
