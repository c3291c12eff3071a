#include "Bench/Report.h"

#include <nlohmann/json.hpp>

#include <iomanip>
#include <sstream>

namespace Lavendervane {

static void writeFit(std::ostream& out, const LinearFit& fit)
{
    out << " | " << std::setprecision(4) << fit.slope << " | " << fit.intercept << " | " << std::setprecision(3)
        << fit.rSquared;
}

std::string toMarkdown(const std::vector<MeasurementResult>& results)
{
    std::ostringstream out;
    out << "| event | size in | ns slope | ns intercept | ns R² | allocations slope | allocations intercept "
           "| allocations R² | bytes slope | bytes intercept | bytes R² |\n"
        << "|---|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|\n";
    for (const MeasurementResult& result : results) {
        out << "| " << result.name << " | " << result.sizeUnit;
        writeFit(out, result.nanoseconds);
        writeFit(out, result.allocations);
        writeFit(out, result.stateBytes);
        out << " |\n";
    }
    out << "\n| event | size | ns per event | allocations per event | bytes of state |\n|---|--:|--:|--:|--:|\n"
        << std::fixed;
    for (const MeasurementResult& result : results) {
        for (const MeasuredPoint& point : result.points) {
            out << "| " << result.name << " | " << point.size << " | " << std::setprecision(1) << point.nanoseconds
                << " | " << std::setprecision(2) << point.allocations << " | " << std::setprecision(0)
                << point.stateBytes << " |\n";
        }
    }
    return out.str();
}

static nlohmann::json toJson(const LinearFit& fit)
{
    return { { "slope", fit.slope }, { "intercept", fit.intercept }, { "r_squared", fit.rSquared } };
}

std::string toJson(const std::vector<MeasurementResult>& results)
{
    nlohmann::json document = nlohmann::json::array();
    for (const MeasurementResult& result : results) {
        nlohmann::json points = nlohmann::json::array();
        for (const MeasuredPoint& point : result.points) {
            points.push_back({ { "size", point.size }, { "nanoseconds", point.nanoseconds },
                { "allocations", point.allocations }, { "state_bytes", point.stateBytes } });
        }
        document.push_back({ { "name", result.name }, { "entry", result.sizeUnit }, { "points", std::move(points) },
            { "nanoseconds", toJson(result.nanoseconds) }, { "allocations", toJson(result.allocations) },
            { "state_bytes", toJson(result.stateBytes) } });
    }
    return document.dump(2) + "\n";
}

} // namespace Lavendervane
