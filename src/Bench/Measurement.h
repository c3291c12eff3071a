#pragma once

#include "Bench/LinearFit.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Lavendervane {

/// Holds a state of a given size and handles the event whose cost is measured.
class Workload {
public:
    virtual ~Workload() = default;

    /// Builds the state. Memory that is allocated here counts as bytes of state, so create the input events in the
    /// constructor.
    virtual void buildState() = 0;

    /// Handles one event. `index` counts the events from 0, so that a workload can vary them.
    virtual void handleEvent(size_t index) = 0;
};

/// A workload to measure at several state sizes. To add one, write a function `void
/// addXMeasurements(std::vector<Measurement>&)` in a file pair of its own and call it in Main.cpp.
struct Measurement {
    std::string name;
    std::string sizeUnit; ///< what the size counts, in the plural
    std::vector<size_t> sizes; ///< at least five
    std::function<std::unique_ptr<Workload>(size_t size)> makeWorkload;
};

struct MeasuredPoint {
    size_t size = 0;
    double nanoseconds = 0; ///< CPU time per event, median of the batches
    double allocations = 0; ///< per event
    double stateBytes = 0;
};

struct MeasurementResult {
    std::string name;
    std::string sizeUnit;
    std::vector<MeasuredPoint> points;
    LinearFit nanoseconds; ///< fitted over the size
    LinearFit allocations; ///< fitted over the size
    LinearFit stateBytes; ///< fitted over the size
};

} // namespace Lavendervane
