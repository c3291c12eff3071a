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
    std::vector<std::string> seedPeers; ///< gRPC addresses of VMs to probe in addition to the platform's VM list
    /// Time between probes of the seed peers while no other VM is known to be alive.
    Duration seedInterval = std::chrono::seconds(1);
    /// Time between probes of the seed peers while other VMs are alive. These probes reunite two parts of the fleet
    /// that consider each other dead.
    Duration seedRepeatInterval = std::chrono::seconds(15);
    /// Time between fetches of the platform's VM list by VMs that read the configuration, or that know no other VM.
    Duration vmListInterval = std::chrono::seconds(2);
    /// Time between fetches of the VM list by all other VMs, which learn of changes by gossip. 7,600 VMs that fetch it
    /// every 2 s would exceed the platform's limit of 2,000 reads a second.
    Duration vmListRepeatInterval = std::chrono::seconds(60);
    /// Age of the configuration beyond which API keys are no longer accepted; 0 means no limit.
    Duration maxConfigurationAge {};
    size_t viewsPerMessage = 10; ///< maximum number of group views in a probe or its answer
    size_t pushFanOut = 4; ///< number of random peers to which a change is pushed at once
    MembershipSettings membership;
    GroupSettings groups;
    ChainSettings chain;
    HolderSettings holder;
    AllocatorSettings allocator;

    friend bool operator==(const ControlSettings&, const ControlSettings&) = default;
};

/// The whole control state of a VM. Owned by the control thread and changed only by `reduce`.
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
    /// Configuration that was last passed to the other parts of the state.
    std::shared_ptr<const Configuration> configuration;
    bool keysValid = true; ///< false while the configuration is older than `maxConfigurationAge`
    std::optional<Instant> lastVmListFetch;
    std::optional<Instant> lastSeedProbe;
    /// Latest view of each group. Probes repeat the views in the order of this map.
    std::map<GroupId, GroupView> latestViews;
    GroupId lastSentViewGroup; ///< group of the last view that a probe repeated
    std::map<GroupId, uint32_t> watchRanks; ///< rank of this VM among the watchers of each group that it watches
    std::vector<VmId> localVms; ///< active VMs of this data centre that were last passed to the allocator
    bool leaving = false; ///< true once this VM was asked to leave

    friend bool operator==(const ControlState&, const ControlState&);
};

} // namespace Lavendervane
