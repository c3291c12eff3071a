#pragma once

#include "Core/Identifiers.h"

#include <cstdint>
#include <string>

namespace Lavendervane {

enum class MemberState {
    Alive,
    Suspect,
    Leaving,
    Dead,
};

/// Known state of one VM. Of two states, the higher incarnation wins; at equal incarnations the one later in
/// MemberState wins.
struct Member {
    VmId vm;
    std::string address; ///< gRPC address "IP:port"
    DataCentre dataCentre;
    /// Start time of the process in ns. The VM itself increments it to refute a suspicion.
    uint64_t incarnation = 0;
    MemberState state = MemberState::Alive;

    friend bool operator==(const Member&, const Member&) = default;
};

} // namespace Lavendervane
