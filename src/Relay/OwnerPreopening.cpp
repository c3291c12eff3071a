#include "Relay/OwnerPreopening.h"

#include "Core/Rendezvous.h"

#include <algorithm>
#include <utility>

namespace Lavendervane {

// Upper bound of the random delay before the first connection to an endpoint is opened ahead, so that its owners do not
// open theirs at the same moments.
static constexpr Duration startJitter = std::chrono::milliseconds(500);
// Interval of the checks while connections are left to open, and otherwise.
static constexpr Duration activeInterval = std::chrono::milliseconds(25);
static constexpr Duration idleInterval = std::chrono::milliseconds(1000);

OwnerPreopening::OwnerPreopening(
    const VmId& selfVm, Timers& timers, OwnerPools& pools, const OwnerPlacement& placement, TrafficLog& log)
    : selfVm(selfVm)
    , timers(timers)
    , pools(pools)
    , placement(placement)
    , log(log)
    , random(stableHash(selfVm.str() + "/connections"))
{
}

OwnerPreopening::~OwnerPreopening() { this->stop(); }

static std::vector<OrganisationId> orderByLimit(std::vector<SessionOrganisation> organisations)
{
    std::stable_sort(organisations.begin(), organisations.end(),
        [](const SessionOrganisation& left, const SessionOrganisation& right) {
            return left.limit.rate != right.limit.rate ? left.limit.rate > right.limit.rate : left.name < right.name;
        });
    std::vector<OrganisationId> names;
    names.reserve(organisations.size());
    for (const SessionOrganisation& organisation : organisations)
        names.push_back(organisation.name);
    return names;
}

void OwnerPreopening::setDirectory(const std::shared_ptr<const Directory>& directory)
{
    if (this->isStopped)
        return;
    auto ordered = orderByLimit(directory->configuration().organisations);
    const bool sameOrder = ordered == this->organisations;
    this->organisations = std::move(ordered);
    auto previous = std::exchange(this->targets, {});
    for (const RegisteredEndpoint& endpoint : directory->endpoints()) {
        if (!directory->isRelayed(endpoint))
            continue;
        Target target { endpoint, nullptr, std::nullopt };
        const auto known = previous.find(endpoint.id);
        if (known != previous.end() && sameOrder && known->second.endpoint.isSameRun(endpoint)) {
            target.preopening = known->second.preopening;
            target.isOwner = known->second.isOwner;
        } else {
            const Instant start = this->timers.now() + this->random.below(startJitter);
            target.preopening = std::make_shared<ConnectionPreopening>(this->organisations, start);
        }
        this->targets.emplace(endpoint.id, std::move(target));
    }
    this->schedule(activeInterval);
}

void OwnerPreopening::handleMembersChanged()
{
    for (auto& [id, target] : this->targets) {
        target.isOwner.reset();
        target.preopening->forgetOwners();
    }
    if (!this->isStopped)
        this->schedule(activeInterval);
}

void OwnerPreopening::stop()
{
    this->isStopped = true;
    this->targets.clear();
    if (this->timer)
        this->timers.cancel(*std::exchange(this->timer, std::nullopt));
}

void OwnerPreopening::schedule(Duration delay)
{
    if (this->timer)
        this->timers.cancel(*std::exchange(this->timer, std::nullopt));
    if (this->targets.empty())
        return;
    this->timer = this->timers.schedule(this->timers.now() + delay, [this] {
        this->timer.reset();
        bool complete = true;
        for (auto& [id, target] : this->targets)
            complete = this->openNext(target) && complete;
        this->schedule(complete ? idleInterval : activeInterval);
    });
}

bool OwnerPreopening::isOwner(const RegisteredEndpoint& endpoint) const
{
    const auto all = this->placement.candidates(endpoint.id, endpoint.dataCentre, OrganisationId());
    const auto ownerCount
        = static_cast<std::ptrdiff_t>(std::min<size_t>(OwnerPlacementSettings().ownersPerEndpoint, all.size()));
    return std::any_of(
        all.begin(), all.begin() + ownerCount, [this](const FleetMember& member) { return member.vm == this->selfVm; });
}

// Returns true if nothing is left to open at the endpoint for now.
bool OwnerPreopening::openNext(Target& target)
{
    const RegisteredEndpoint& endpoint = target.endpoint;
    if (!target.isOwner)
        target.isOwner = this->isOwner(endpoint);
    const auto pool = *target.isOwner ? this->pools.find(endpoint.id) : nullptr;
    if (!pool)
        return true;
    const Instant now = this->timers.now();
    const auto isFirstOwner = [this, &endpoint](const OrganisationId& organisation) {
        const auto all = this->placement.candidates(endpoint.id, endpoint.dataCentre, organisation);
        return !all.empty() && all.front().vm == this->selfVm;
    };
    const bool mayOpen = pool->isReachable() && pool->endpoint().acceptsWork(now);
    const auto organisation = target.preopening->next(pool->occupancy(), mayOpen, isFirstOwner, now);
    if (!organisation)
        return target.preopening->isComplete();
    std::weak_ptr<ConnectionPreopening> weak = target.preopening;
    pool->openAhead(
        *organisation, [this, weak, id = endpoint.id, organisation = *organisation](const std::string& failure) {
            const auto preopening = weak.lock();
            if (!preopening)
                return; // this VM is stopping, or the endpoint has restarted
            if (failure.empty())
                preopening->recordOpened(this->timers.now());
            else
                preopening->recordFailed(this->timers.now());
            this->log.connectionOpenedAhead(id, organisation, failure);
        });
    return false;
}

} // namespace Lavendervane
