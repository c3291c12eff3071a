#include "Control/ControlState.h"

#include "Configuration/Configuration.h"

#include <tuple>
#include <utility>

namespace Lavendervane {

ControlState::ControlState(ControlSettings initialSettings)
    : settings(std::move(initialSettings))
    , membership(this->settings.membership, this->settings.self)
    , groups(this->settings.groups, this->settings.self.vm)
    , chain(this->settings.chain)
    , holder(this->settings.holder, this->settings.self.vm, this->settings.self.dataCentre,
          this->settings.self.incarnation)
    , allocator(this->settings.allocator, this->settings.self.vm, this->settings.self.incarnation,
          this->settings.self.dataCentre)
    , random(this->settings.seed)
    , configuration(this->chain.current())
{
    this->placement.setVms({ { this->settings.self.vm, this->settings.self.dataCentre } });
}

bool operator==(const ControlState& left, const ControlState& right)
{
    const auto members = [](const ControlState& state) {
        return std::tie(state.settings, state.membership, state.groups, state.chain, state.holder, state.allocator,
            state.localVms, state.placement, state.random, *state.configuration, state.keysValid, state.lastVmListFetch,
            state.lastSeedProbe, state.latestViews, state.lastSentViewGroup, state.watchRanks, state.leaving);
    };
    return members(left) == members(right);
}

} // namespace Lavendervane
