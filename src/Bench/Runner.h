#pragma once

#include "Bench/Measurement.h"

#include <chrono>

namespace Lavendervane {

struct RunnerSettings {
    std::chrono::milliseconds timePerPoint { 100 }; ///< CPU time spent on one size, excluding the building of the state
    size_t batches = 9;
};

/// Measures the workload at all sizes and fits a line to each cost over the size.
MeasurementResult runMeasurement(const Measurement&, const RunnerSettings&);

} // namespace Lavendervane
