#pragma once

#include "Control/ControlEffect.h"
#include "Control/ControlEvent.h"

#include <functional>
#include <iosfwd>

namespace Lavendervane {

struct ControlSettings;
struct ControlState;

/// Writes a trace: the settings of the initial state in the first line, then one event per line.
class TraceRecorder {
public:
    TraceRecorder(std::ostream&, const ControlSettings&);

    void record(const ControlEvent&);

private:
    std::ostream& out;
};

/// Applies the events of a trace to its initial state and passes the effects of each event to `sink`. Returns the final
/// state. Throws Error (step "parse trace").
ControlState replayTrace(std::istream&, const std::function<void(const Effects&)>& sink);

} // namespace Lavendervane
