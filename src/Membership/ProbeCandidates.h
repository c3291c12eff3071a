#pragma once

#include "Core/Identifiers.h"

#include <array>
#include <cstdint>
#include <map>
#include <vector>

namespace Lavendervane {

enum class ProbeClass : uint8_t {
    Near, ///< live, in the data centre of this VM
    Far, ///< live, in another data centre
    Dead,
};

/// VMs from which probe targets are selected, by class. Access by index is O(1); assigning and removing are O(log n).
class ProbeCandidates {
public:
    /// Adds the VM to the class, or moves it there from another class.
    void assign(const VmId&, ProbeClass);
    void remove(const VmId&);

    size_t size(ProbeClass) const;
    const VmId& at(ProbeClass, size_t index) const;

    /// Number of near and far VMs.
    size_t liveSize() const;
    /// VM at `index` in the sequence of the near VMs followed by the far VMs.
    const VmId& liveAt(size_t index) const;

    friend bool operator==(const ProbeCandidates&, const ProbeCandidates&) = default;

private:
    struct Location {
        ProbeClass probeClass = ProbeClass::Near;
        uint32_t index = 0;

        friend bool operator==(const Location&, const Location&) = default;
    };

    std::vector<VmId>& list(ProbeClass);
    const std::vector<VmId>& list(ProbeClass) const;

    std::array<std::vector<VmId>, 3> lists;
    std::map<VmId, Location> locations;
};

} // namespace Lavendervane
