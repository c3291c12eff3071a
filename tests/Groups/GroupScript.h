#pragma once

#include "Groups/GroupSupervisor.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Lavendervane::Test {

/// A supervisor of the group "scores" and a table from which the group's endpoints answer status queries at once.
class GroupScript {
public:
    explicit GroupScript(uint32_t rank = 0, size_t endpoints = 3);

    static EndpointId endpoint(size_t index) { return EndpointId("endpoint-" + std::to_string(index)); }
    static std::string address(size_t index) { return "10.0.0." + std::to_string(index) + ":7000"; }
    static Term term(uint64_t counter) { return { counter, VmId("vm-other") }; }
    static EndpointStatus primaryStatus(uint64_t counter);
    static EndpointStatus replicaStatus(uint64_t counter, size_t primary, Duration heard);

    /// Status that each endpoint answers; a query to an endpoint without a value fails.
    std::map<EndpointId, std::optional<EndpointStatus>> statusAnswers;

    /// Makes endpoint 0 primary in term 5 and all others its followers.
    void setHealthyAnswers();
    /// Declares the group to the supervisor, with the given endpoint labelled as leaving.
    void configure(std::optional<size_t> leaving = std::nullopt);

    /// Advances the time by the duration with a tick every 100 ms. Returns the effects except status queries, in order.
    std::vector<GroupEffect> run(Duration);

    /// Passes an event to the supervisor and answers the resulting status queries. Returns the other effects.
    std::vector<GroupEffect> feed(GroupEvent);

    Instant now;
    GroupSupervisor supervisor;

private:
    void handle(GroupEvent, std::vector<GroupEffect>&);

    size_t endpointCount;
    uint64_t ticks = 0;
};

/// Returns the effects of type `Effect`, in order.
template <typename Effect> std::vector<Effect> selectEffects(const std::vector<GroupEffect>& effects)
{
    std::vector<Effect> result;
    for (const GroupEffect& effect : effects) {
        if (const auto* match = std::get_if<Effect>(&effect))
            result.push_back(*match);
    }
    return result;
}

} // namespace Lavendervane::Test
