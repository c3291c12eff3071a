#include "Groups/GroupScript.h"

#include <utility>

namespace Lavendervane::Test {

using namespace std::chrono_literals;

static const GroupId groupName("scores");

GroupScript::GroupScript(uint32_t rank, size_t endpoints)
    : now(1h)
    , supervisor(GroupSettings {}, VmId("vm-self"))
    , endpointCount(endpoints)
{
    this->setHealthyAnswers();
    this->configure();
    this->feed(WatchRankChanged { {}, groupName, rank });
}

EndpointStatus GroupScript::primaryStatus(uint64_t counter)
{
    EndpointStatus status;
    status.promised = status.term = status.lastEntryTerm = GroupScript::term(counter);
    status.primary = true;
    status.position = 100;
    return status;
}

EndpointStatus GroupScript::replicaStatus(uint64_t counter, size_t primary, Duration heard)
{
    EndpointStatus status = GroupScript::primaryStatus(counter);
    status.primary = false;
    status.primaryHeard = heard;
    status.primaryAddress = GroupScript::address(primary);
    return status;
}

void GroupScript::setHealthyAnswers()
{
    this->statusAnswers[endpoint(0)] = primaryStatus(5);
    for (size_t index = 1; index < this->endpointCount; ++index)
        this->statusAnswers[endpoint(index)] = replicaStatus(5, 0, 20ms);
}

void GroupScript::configure(std::optional<size_t> leaving)
{
    DatabaseGroup group;
    group.name = groupName;
    for (size_t index = 0; index < this->endpointCount; ++index) {
        Endpoint declared;
        declared.name = endpoint(index);
        declared.address = address(index);
        if (leaving == index)
            declared.labels["leaving"] = "true";
        group.endpoints.push_back(std::move(declared));
    }
    this->feed(GroupsConfigured { {}, { std::move(group) } });
}

std::vector<GroupEffect> GroupScript::run(Duration length)
{
    std::vector<GroupEffect> effects;
    for (const Instant end = this->now + length; this->now < end;) {
        this->now += 100ms;
        this->handle(GroupTick { {}, ++this->ticks }, effects);
    }
    return effects;
}

std::vector<GroupEffect> GroupScript::feed(GroupEvent event)
{
    std::vector<GroupEffect> effects;
    this->handle(std::move(event), effects);
    return effects;
}

void GroupScript::handle(GroupEvent event, std::vector<GroupEffect>& effects)
{
    std::visit([this](auto& content) { content.now = this->now; }, event);
    for (const GroupEffect& effect : this->supervisor.handle(event)) {
        const auto* query = std::get_if<QueryStatus>(&effect);
        if (!query) {
            effects.push_back(effect);
            continue;
        }
        const auto& status = this->statusAnswers[query->endpoint];
        if (status)
            this->handle(StatusReceived { {}, query->endpoint, *status }, effects);
        else
            this->handle(EndpointFailed { {}, query->endpoint }, effects);
    }
}

} // namespace Lavendervane::Test
