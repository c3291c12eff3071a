#include "Control/Trace.h"

#include "Control/ControlJson.h"
#include "Control/ControlState.h"
#include "Control/Reduce.h"
#include "Core/Error.h"

#include <istream>
#include <ostream>
#include <string>

namespace Lavendervane {

TraceRecorder::TraceRecorder(std::ostream& out, const ControlSettings& settings)
    : out(out)
{
    this->out << toJson(settings) << '\n';
}

void TraceRecorder::record(const ControlEvent& event) { this->out << toJson(event) << '\n'; }

ControlState replayTrace(std::istream& in, const std::function<void(const Effects&)>& sink)
{
    std::string line;
    if (!std::getline(in, line))
        throw Error("parse trace", "", "the trace is empty");
    ControlState state(parseControlSettings(line));
    while (std::getline(in, line))
        sink(reduce(state, parseControlEvent(line)));
    return state;
}

} // namespace Lavendervane
