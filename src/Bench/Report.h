#pragma once

#include "Bench/Measurement.h"

#include <string>
#include <vector>

namespace Lavendervane {

/// Returns a Markdown table of the fitted lines, followed by a table of all points.
std::string toMarkdown(const std::vector<MeasurementResult>&);

/// Returns the fitted lines and all points as a JSON array with one object per measurement.
std::string toJson(const std::vector<MeasurementResult>&);

} // namespace Lavendervane
