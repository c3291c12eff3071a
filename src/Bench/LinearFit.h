#pragma once

#include <span>
#include <utility>

namespace Lavendervane {

/// Straight line fitted to points by least squares.
struct LinearFit {
    double slope = 0;
    double intercept = 0;
    /// Coefficient of determination; 1 if all y are equal.
    double rSquared = 1;

    /// Fits a line to the points (x, y), which must have at least two different x.
    static LinearFit through(std::span<const std::pair<double, double>> points);
};

} // namespace Lavendervane
