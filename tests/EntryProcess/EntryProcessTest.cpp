#include "EntryFleet.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <iostream>
#include <map>
#include <sstream>
#include <string>

using namespace Lavendervane::EntryProcess;

BOOST_AUTO_TEST_SUITE(EntryProcessTest)

/// A case with the smallest share of statements that must succeed.
struct Scenario {
    std::string name;
    uint64_t seed = 1;
    FaultShares faults;
    double smallestSuccess = 0;
};

static std::string readEnvironment(const char* name, const std::string& missing)
{
    const char* text = std::getenv(name); // NOLINT(concurrency-mt-unsafe): the test has one thread
    return text ? text : missing;
}

static uint64_t readNumber(const char* name, uint64_t missing)
{
    return std::stoull(readEnvironment(name, std::to_string(missing)));
}

// Reads shares in the form "repeatedAnswers=0.1 oddRows=0.3".
static FaultShares readFaults(const FaultShares& missing)
{
    static const std::map<std::string, double FaultShares::*> names {
        { "repeatedAnswers", &FaultShares::repeatedAnswers },
        { "busyRefusals", &FaultShares::busyRefusals },
        { "oddRows", &FaultShares::oddRows },
        { "oddTexts", &FaultShares::oddTexts },
        { "smallSegments", &FaultShares::smallSegments },
    };
    std::istringstream text(readEnvironment("LAVENDERVANE_FAULTS", ""));
    FaultShares faults = text.str().empty() ? missing : FaultShares {};
    for (std::string entry; text >> entry;) {
        const size_t equals = entry.find('=');
        faults.*names.at(entry.substr(0, equals)) = std::stod(entry.substr(equals + 1));
    }
    return faults;
}

static void runSeed(const Scenario& scenario, uint64_t seed)
{
    FleetSettings settings;
    settings.program = readEnvironment("LAVENDERVANE_ENTRYD", settings.program);
    settings.seed = seed;
    settings.callers = readNumber("LAVENDERVANE_CALLERS", settings.callers);
    settings.duration = std::chrono::seconds(readNumber("LAVENDERVANE_SECONDS", 12));
    settings.longestPause = std::chrono::milliseconds(readNumber("LAVENDERVANE_PAUSE_MS", 150));
    settings.faults = readFaults(scenario.faults);
    EntryFleet fleet(settings);
    const bool isReady = fleet.waitUntilReady();
    if (isReady)
        fleet.run();
    const PromiseChecker& result = fleet.result();
    const bool areRunning = fleet.areAllRunning();
    const bool isKept
        = isReady && areRunning && result.violations().empty() && result.successShare() >= scenario.smallestSuccess;
    std::cout << scenario.name << " seed " << seed << ": " << result.summary() << std::endl;
    if (!isKept)
        fleet.keepDirectory();
    BOOST_TEST(isReady, "seed " << seed << ": the processes were not ready in time, logs in " << fleet.directory());
    BOOST_TEST(areRunning, "seed " << seed << ": a process ended by itself, logs in " << fleet.directory());
    BOOST_TEST(result.violations().empty(),
        "seed " << seed << ": promises were broken, logs in " << fleet.directory() << result.examples());
    if (isReady)
        BOOST_TEST(result.successShare() >= scenario.smallestSuccess,
            "seed " << seed << ": only " << result.successShare() << " of the statements succeeded, logs in "
                    << fleet.directory());
}

// Runs the seeds of LAVENDERVANE_SEEDS ("first-last"), or that of the case.
static void runScenario(const Scenario& scenario)
{
    const std::string seeds = readEnvironment("LAVENDERVANE_SEEDS", std::to_string(scenario.seed));
    const uint64_t first = std::stoull(seeds);
    const size_t dash = seeds.find('-');
    const uint64_t last = dash == std::string::npos ? first : std::stoull(seeds.substr(dash + 1));
    for (uint64_t seed = first; seed <= last; ++seed)
        runSeed(scenario, seed);
}

// Guards against promises that are broken, or statements that fail, while nothing is wrong.
BOOST_AUTO_TEST_CASE(Statements_NoFaults_SucceedAndKeepTheirPromises) { runScenario({ "no faults", 1, {}, 0.95 }); }

// Guards against callers that run a process out of memory with the values of their sessions.
BOOST_AUTO_TEST_CASE(SessionValues_MoreThanMemoryHolds_ProcessStaysWithinIt)
{
    FleetSettings settings;
    settings.memoryMegabytes = 64;
    settings.callers = 1;
    settings.duration = std::chrono::milliseconds(500);
    EntryFleet fleet(settings);
    BOOST_REQUIRE(fleet.waitUntilReady());
    const size_t highest = fleet.keepValues(24, 4, 1'000'000);
    BOOST_TEST(highest <= settings.memoryMegabytes << 20);
    BOOST_TEST(fleet.areAllRunning());
    fleet.run();
    BOOST_TEST(fleet.result().violations().empty());
    BOOST_TEST(fleet.result().successShare() > 0);
}

static FaultShares makeOddBytes()
{
    FaultShares faults;
    faults.oddTexts = 0.3;
    faults.oddRows = 0.3;
    faults.smallSegments = 0.2;
    return faults;
}

// Guards against messages that end at another byte than CR LF, so that data runs as statements or is cut.
BOOST_AUTO_TEST_CASE(Statements_TextsAndRowsHoldAnyBytes_KeepTheirPromises)
{
    runScenario({ "odd bytes", 2, makeOddBytes(), 0.95 });
}

// Guards against a late second answer that is taken for the answer to another statement.
BOOST_AUTO_TEST_CASE(Statements_AnswersRepeatedAndRefusedAsBusy_KeepTheirPromises)
{
    FaultShares faults = makeOddBytes();
    faults.repeatedAnswers = 0.1;
    faults.busyRefusals = 0.05;
    runScenario({ "repeated answers", 3, faults, 0.5 });
}

BOOST_AUTO_TEST_SUITE_END()
