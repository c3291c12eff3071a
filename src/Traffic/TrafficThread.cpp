#include "Traffic/TrafficThread.h"

#include "Configuration/Configuration.h"
#include "Http/HttpServer.h"
#include "Runtime/BootTime.h"
#include "Security/Digest.h"
#include "Traffic/EndpointOwner.h"
#include "Traffic/RequestRunner.h"
#include "Traffic/TrafficShared.h"

namespace Lavendervane {

TrafficThread::TrafficThread(TrafficShared& shared, uint64_t seed)
    : common(shared)
    , io(1)
    , routing(seed)
    , random(seed)
    , requestPrefix(toHex(randomBytes(8)))
{
}

TrafficThread::~TrafficThread() = default;

void TrafficThread::setSnapshot(std::shared_ptr<const TrafficSnapshot> snapshot)
{
    if (!this->snapshot() || this->snapshot()->configuration != snapshot->configuration)
        this->permissions.clear();
    this->routing.setSnapshot(std::move(snapshot));
    const TrafficSnapshot& current = *this->snapshot();
    for (auto next = this->owners.begin(); next != this->owners.end();) {
        const auto owner = next++;
        const auto found = current.endpoints.find(owner->first);
        if (found != current.endpoints.end())
            owner->second->update(current, found->second);
        else
            this->owners.erase(owner); // running tasks hold references to the owner until they end
    }
    this->notifyRunners(nullptr);
}

void TrafficThread::learnFromAnswer(const GroupId& group, const EndpointId& endpoint, const EndpointAnswer& answer)
{
    this->routing.learnPosition(endpoint, answer.applied, answer.lag, bootTimeNow());
    if (answer.applied.term <= this->routing.term(group))
        return;
    std::optional<EndpointId> primary;
    if (answer.primaryRole)
        primary = endpoint;
    for (const auto& [name, routing] : this->snapshot()->endpoints) {
        if (!primary && routing.group == group && routing.endpoint.address == answer.primaryAddress)
            primary = name;
    }
    this->common.observer.observe(HigherTermObserved { group, answer.applied.term, primary });
    this->common.broadcastTerm(group, answer.applied.term, primary);
}

void TrafficThread::learnTerm(const GroupId& group, const Term& term, const std::optional<EndpointId>& primary)
{
    if (this->snapshot() && this->routing.learnTerm(group, term, primary))
        this->notifyRunners(&group);
}

void TrafficThread::notifyRunners(const GroupId* group)
{
    std::vector<std::shared_ptr<RequestRunner>> affected;
    for (const auto& [key, weak] : this->runners) {
        auto runner = weak.lock();
        if (runner && (!group || runner->group() == *group))
            affected.push_back(std::move(runner));
    }
    for (const auto& runner : affected)
        runner->handleRoutingChange();
}

std::shared_ptr<EndpointOwner> TrafficThread::findOwner(const EndpointId& endpoint)
{
    const auto owner = this->owners.find(endpoint);
    if (owner != this->owners.end())
        return owner->second;
    if (!this->snapshot())
        return nullptr;
    const auto routing = this->snapshot()->endpoints.find(endpoint);
    if (routing == this->snapshot()->endpoints.end())
        return nullptr;
    auto created = std::make_shared<EndpointOwner>(
        this->io, this->common.settings, this->common.observer, this->common.metrics, endpoint);
    created->update(*this->snapshot(), routing->second);
    this->owners[endpoint] = created;
    return created;
}

void TrafficThread::addRunner(const std::shared_ptr<RequestRunner>& runner) { this->runners[runner.get()] = runner; }

void TrafficThread::removeRunner(RequestRunner* runner) { this->runners.erase(runner); }

std::string TrafficThread::makeRequestId()
{
    const uint64_t number = this->random.next();
    return this->requestPrefix + toHex({ reinterpret_cast<const char*>(&number), sizeof number });
}

bool TrafficThread::allows(const OrganisationId& organisation, const GroupId& group, Access access)
{
    const std::string key = organisation.str() + '\n' + group.str() + (access == Access::Read ? "\nr" : "\nw");
    const auto found = this->permissions.find(key);
    if (found != this->permissions.end())
        return found->second;
    const bool allowed = this->snapshot()->configuration->allows(organisation, group, access);
    this->permissions[key] = allowed;
    return allowed;
}

void TrafficThread::stop()
{
    for (const auto& [name, owner] : this->owners)
        owner->stop();
}

} // namespace Lavendervane
