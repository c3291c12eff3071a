#include "Membership/ProbeCandidates.h"

#include <cassert>
#include <utility>

namespace Lavendervane {

std::vector<VmId>& ProbeCandidates::list(ProbeClass probeClass)
{
    return this->lists.at(static_cast<size_t>(probeClass));
}

const std::vector<VmId>& ProbeCandidates::list(ProbeClass probeClass) const
{
    return this->lists.at(static_cast<size_t>(probeClass));
}

void ProbeCandidates::assign(const VmId& vm, ProbeClass probeClass)
{
    const auto found = this->locations.find(vm);
    if (found != this->locations.end() && found->second.probeClass == probeClass)
        return;
    this->remove(vm);
    auto& target = this->list(probeClass);
    this->locations.emplace(vm, Location { probeClass, static_cast<uint32_t>(target.size()) });
    target.push_back(vm);
}

void ProbeCandidates::remove(const VmId& vm)
{
    const auto found = this->locations.find(vm);
    if (found == this->locations.end())
        return;
    auto& source = this->list(found->second.probeClass);
    const uint32_t freedIndex = found->second.index;
    this->locations.erase(found);
    // The last VM moves to the freed index, so that the indexes of all other VMs stay valid.
    if (freedIndex + 1 != source.size()) {
        source[freedIndex] = std::move(source.back());
        this->locations.at(source[freedIndex]).index = freedIndex;
    }
    source.pop_back();
}

size_t ProbeCandidates::size(ProbeClass probeClass) const { return this->list(probeClass).size(); }

const VmId& ProbeCandidates::at(ProbeClass probeClass, size_t index) const { return this->list(probeClass).at(index); }

size_t ProbeCandidates::liveSize() const { return this->size(ProbeClass::Near) + this->size(ProbeClass::Far); }

const VmId& ProbeCandidates::liveAt(size_t index) const
{
    assert(index < this->liveSize());
    const size_t near = this->size(ProbeClass::Near);
    return index < near ? this->at(ProbeClass::Near, index) : this->at(ProbeClass::Far, index - near);
}

} // namespace Lavendervane
