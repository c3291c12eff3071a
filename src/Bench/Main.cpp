#include "Bench/ConfigurationMeasurements.h"
#include "Bench/GroupMeasurements.h"
#include "Bench/MembershipMeasurements.h"
#include "Bench/PoolMeasurements.h"
#include "Bench/QueueMeasurements.h"
#include "Bench/RankingMeasurements.h"
#include "Bench/Report.h"
#include "Bench/Runner.h"
#include "Core/Error.h"

#include <docopt.h>

#include <exception>
#include <fstream>
#include <iostream>

static const char usage[] = R"(Measures the cost of reducer events at several sizes of the state.

Prints a Markdown table with time, allocations and bytes of state, and the line fitted to each by least squares.

Usage:
  lavendervane-bench [--filter=TEXT] [--time-per-point=MS] [--json=FILE]
  lavendervane-bench --help

Options:
  --filter=TEXT        Run only measurements whose name contains the text.
  --time-per-point=MS  Measuring time of each size [default: 100].
  --json=FILE          Also write the results as JSON.
)";

using namespace Lavendervane;

static std::vector<Measurement> allMeasurements()
{
    std::vector<Measurement> measurements;
    addMembershipMeasurements(measurements);
    addGroupMeasurements(measurements);
    addPoolMeasurements(measurements);
    addQueueMeasurements(measurements);
    addRankingMeasurements(measurements);
    addConfigurationMeasurements(measurements);
    return measurements;
}

static void writeFile(const std::string& path, const std::string& content)
{
    std::ofstream file(path);
    file << content;
    file.close();
    if (!file)
        throw Error("write JSON", "", "cannot write file \"" + path + "\"");
}

static void run(std::map<std::string, docopt::value> arguments)
{
    const auto& filter = arguments["--filter"];
    RunnerSettings settings;
    settings.timePerPoint = std::chrono::milliseconds(arguments["--time-per-point"].asLong());
    std::vector<MeasurementResult> results;
    for (const Measurement& measurement : allMeasurements()) {
        if (!filter || measurement.name.find(filter.asString()) != std::string::npos)
            results.push_back(runMeasurement(measurement, settings));
    }
    std::cout << toMarkdown(results);
    if (arguments["--json"])
        writeFile(arguments["--json"].asString(), toJson(results));
}

int main(int argc, char** argv)
{
    try {
        run(docopt::docopt(usage, { argv + 1, argv + argc }, true, "lavendervane-bench " LAVENDERVANE_VERSION));
    } catch (const std::exception& error) {
        std::cerr << "lavendervane-bench: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
