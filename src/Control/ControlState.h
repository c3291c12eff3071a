#pragma once

#include "Configuration/ConfigurationChain.h"
#include "Control/Placement.h"
#include "Core/RandomGenerator.h"
#include "Groups/GroupSupervisor.h"
#include "Limits/GrantAllocator.h"
#include "Limits/GrantHolder.h"
#include "Membership/Membership.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Lavendervane {

struct Configuration;

/// Everything that determines the initial state.
struct ControlSettings {
    Member self;
    uint64_t seed = 0;
    std::vector<std::string> seedPeers; ///< gRPC addresses of VMs that are asked besides the platform's list
    Duration seedInterval = std::chrono::seconds(1); ///< while no other VM is known
    /// While others are known. Joins two parts of the fleet that hold each other for dead.
    Duration seedRepeatInterval = std::chrono::seconds(15);
    Duration vmListInterval = std::chrono::seconds(2); ///< of the configuration readers, and while no VM is known
    /// Of all other VMs, which learn the list's news by probes. 7,600 VMs at 2 s would exceed the platform's reads.
    Duration vmListRepeatInterval = std::chrono::seconds(60);
    Duration maxConfigurationAge {}; ///< 0: keys stay valid however old the configuration is
    size_t viewsPerMessage = 10;
    size_t pushFanOut = 4; ///< random peers that are told at once
    MembershipSettings membership;
    GroupSettings groups;
    ChainSettings chain;
    HolderSettings holder;
    AllocatorSettings allocator;

    friend bool operator==(const ControlSettings&, const ControlSettings&) = default;
};

/// All control state of a VM; owned by the control thread and changed by `reduce` only.
struct ControlState {
    explicit ControlState(ControlSettings);

    ControlSettings settings;
    Membership membership;
    GroupSupervisor groups;
    ConfigurationChain chain;
    GrantHolder holder;
    GrantAllocator allocator;
    Placement placement;
    RandomGenerator random;
    std::shared_ptr<const Configuration> configuration; ///< what the other parts of the state were last told
    bool keysValid = true; ///< false while the configuration is older than `maxConfigurationAge`
    std::optional<Instant> lastVmListFetch;
    std::optional<Instant> lastSeedProbe;
    /// Views as they were last pushed; also the order in which probes repeat them.
    std::map<GroupId, GroupView> pushedViews;
    GroupId lastSentViewGroup;
    std::map<GroupId, uint32_t> watchRanks;
    std::vector<VmId> localVms; ///< active VMs of this data centre, as the allocator was last told
    bool leaving = false;

    friend bool operator==(const ControlState&, const ControlState&);
};

} // namespace Lavendervane
