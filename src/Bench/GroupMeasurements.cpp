#include "Bench/GroupMeasurements.h"

#include "Bench/Measurement.h"
#include "Groups/GroupSupervisor.h"

#include <optional>
#include <utility>

namespace Lavendervane {

using namespace std::chrono_literals;

static constexpr size_t groupSize = 3;

static std::vector<DatabaseGroup> makeGroups(size_t endpoints)
{
    std::vector<DatabaseGroup> groups;
    for (size_t index = 0; index < endpoints / groupSize; ++index) {
        DatabaseGroup group;
        group.name = GroupId("group-" + std::to_string(10000 + index));
        for (size_t member = 0; member < groupSize; ++member) {
            const std::string number = std::to_string(index % 250) + "." + std::to_string(10 + member);
            group.endpoints.push_back(
                { EndpointId("db-" + std::to_string(10000 + index) + "-" + std::to_string(member)),
                    "10." + std::to_string(index / 250) + "." + number + ":5400",
                    DataCentre("dc-" + std::to_string(member)), 2, 35, {} });
        }
        groups.push_back(std::move(group));
    }
    return groups;
}

namespace {

/// Sets up a supervisor with its groups. If the groups are watched, it has received one status of each endpoint.
class GroupWorkload : public Workload {
public:
    GroupWorkload(size_t endpoints, bool isWatched)
        : groups(makeGroups(endpoints))
        , isWatched(isWatched)
    {
        for (const DatabaseGroup& group : this->groups) {
            for (const Endpoint& endpoint : group.endpoints) {
                EndpointStatus status;
                status.promised = status.term = status.lastEntryTerm = this->term;
                status.primary = &endpoint == &group.endpoints.front();
                status.primaryHeard = 20ms;
                if (!status.primary)
                    status.primaryAddress = group.endpoints.front().address;
                this->statusEvents.emplace_back(StatusReceived { this->now, endpoint.name, std::move(status) });
            }
        }
    }

    void buildState() override
    {
        this->supervisor.emplace(GroupSettings {}, VmId("vm-10000"));
        this->supervisor->handle(GroupsConfigured { this->now, this->groups });
        for (const DatabaseGroup& group : this->groups) {
            if (this->isWatched)
                this->supervisor->handle(WatchRankChanged { this->now, group.name, 0 });
            this->supervisor->handle(
                GroupViewLearnt { this->now, { group.name, this->term, group.endpoints.front().name } });
        }
        for (size_t index = 0; this->isWatched && index < this->statusEvents.size(); ++index)
            this->handleStatus(index);
    }

protected:
    void handleStatus(size_t index)
    {
        GroupEvent& event = this->statusEvents[index];
        std::get<StatusReceived>(event).now = this->now;
        this->supervisor->handle(event);
    }

    std::vector<DatabaseGroup> groups;
    bool isWatched;
    Term term { 7, VmId("vm-10001") };
    std::vector<GroupEvent> statusEvents;
    std::optional<GroupSupervisor> supervisor;
    Instant now { 1h };
};

/// Measures the handling of one status response. Each round over all endpoints starts with a tick that sends the
/// status queries; its cost is included.
class StatusWorkload : public GroupWorkload {
public:
    explicit StatusWorkload(size_t endpoints)
        : GroupWorkload(endpoints, true)
    {
    }

    void handleEvent(size_t index) override
    {
        const size_t position = index % this->statusEvents.size();
        if (position == 0) {
            this->now += 300ms;
            this->supervisor->handle(GroupTick { this->now, index });
        }
        this->handleStatus(position);
    }
};

/// Measures a tick in which no status query is due.
class IdleTickWorkload : public GroupWorkload {
public:
    explicit IdleTickWorkload(size_t endpoints)
        : GroupWorkload(endpoints, true)
    {
    }

    void handleEvent(size_t index) override { this->supervisor->handle(GroupTick { this->now, index }); }
};

/// Measures a tick on a VM that watches none of the groups.
class UnwatchedTickWorkload : public GroupWorkload {
public:
    explicit UnwatchedTickWorkload(size_t endpoints)
        : GroupWorkload(endpoints, false)
    {
    }

    void handleEvent(size_t index) override { this->supervisor->handle(GroupTick { this->now, index }); }
};

/// Measures the handling of a view with a new term, for a group that is not watched.
class ViewWorkload : public GroupWorkload {
public:
    explicit ViewWorkload(size_t endpoints)
        : GroupWorkload(endpoints, false)
    {
    }

    void handleEvent(size_t index) override
    {
        const DatabaseGroup& group = this->groups[index % this->groups.size()];
        GroupView view { group.name, { 8 + index, VmId("vm-10001") }, group.endpoints.back().name };
        this->supervisor->handle(GroupViewLearnt { this->now, std::move(view) });
    }
};

} // namespace

template <typename Kind> static Measurement makeMeasurement(const std::string& name, const std::string& sizeUnit)
{
    return { name, sizeUnit, { 9, 90, 900, 3000, 9000, 18000 },
        [](size_t size) { return std::make_unique<Kind>(size); } };
}

void addGroupMeasurements(std::vector<Measurement>& measurements)
{
    measurements.push_back(makeMeasurement<StatusWorkload>("groups: query and status answer", "watched endpoints"));
    measurements.push_back(makeMeasurement<IdleTickWorkload>("groups: tick, no query due", "watched endpoints"));
    measurements.push_back(
        makeMeasurement<UnwatchedTickWorkload>("groups: tick, nothing watched", "declared endpoints"));
    measurements.push_back(makeMeasurement<ViewWorkload>("groups: view of a new term", "declared endpoints"));
}

} // namespace Lavendervane
