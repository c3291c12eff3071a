#pragma once

#include "Core/RandomGenerator.h"
#include "Fleet/Directory.h"
#include "Relay/ConnectionPreopening.h"
#include "Relay/OwnerPlacement.h"
#include "Relay/OwnerPools.h"
#include "Runtime/Timers.h"
#include "Statements/TrafficLog.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace Lavendervane {

/// Opens connections to the endpoints that this VM owns before statements need them. Does nothing for endpoints that
/// accept connections from every VM.
class OwnerPreopening {
public:
    OwnerPreopening(const VmId& selfVm, Timers&, OwnerPools&, const OwnerPlacement&, TrafficLog&);
    ~OwnerPreopening();

    OwnerPreopening(const OwnerPreopening&) = delete;
    OwnerPreopening& operator=(const OwnerPreopening&) = delete;

    void setDirectory(const std::shared_ptr<const Directory>&);

    /// Must be called when the members of the placement have changed.
    void handleMembersChanged();

    /// Opens no further connections.
    void stop();

private:
    struct Target {
        RegisteredEndpoint endpoint;
        std::shared_ptr<ConnectionPreopening> preopening;
        std::optional<bool> isOwner; ///< whether this VM is one of the endpoint's owners; empty if not looked up
    };

    bool isOwner(const RegisteredEndpoint&) const;
    void schedule(Duration delay);
    bool openNext(Target&);

    VmId selfVm;
    Timers& timers;
    OwnerPools& pools;
    const OwnerPlacement& placement;
    TrafficLog& log;
    RandomGenerator random;
    std::vector<OrganisationId> organisations; ///< in descending order of their rate limits
    std::map<EndpointId, Target> targets;
    std::optional<Timers::Handle> timer;
    bool isStopped = false;
};

} // namespace Lavendervane
