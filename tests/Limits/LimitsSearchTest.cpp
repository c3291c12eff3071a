#include "Limits/LimitsModel.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>

using namespace Lavendervane;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(LimitsSearchTest)

constexpr size_t vmsPerDataCentre = 3;

/// Most intervals and timeouts are about a tenth of the defaults or less, so that a short run covers many expiries and
/// takeovers.
static ModelSettings searchSettings(uint64_t seed)
{
    ModelSettings settings;
    settings.seed = seed;
    settings.dataCentres = 2 + seed % 2;
    settings.vmsPerDataCentre = vmsPerDataCentre;
    settings.limits = { { OrganisationId("desk"), { 40, 60 } }, { OrganisationId("lanes"), { 90, 12 } } };
    settings.holder.requestInterval = 200ms;
    settings.holder.answerTimeout = 500ms;
    settings.holder.urgentAnswerTimeout = 300ms;
    settings.allocator.cycleInterval = 300ms;
    settings.allocator.moveLimit = 12s;
    settings.allocator.outageLimit = 12s;
    settings.allocator.validity = 3s;
    settings.allocator.clockMargin = 0ms; // All VMs of the model share one clock, so a margin would hide faults.
    settings.allocator.inactiveAfter = 500ms;
    settings.allocator.claimInterval = 100ms;
    settings.allocator.claimAgainAfter = 250ms;
    settings.allocator.reportWait = 200ms;
    settings.allocator.operationTimeout = 600ms;
    settings.failureDetectionDelay = 300ms;
    settings.tableTimeout = 400ms;
    settings.longestDelay = 3s;
    settings.faultyMessages = seed % 3 * 20;
    settings.retryInterval = 50ms;
    return settings;
}

static void changeTraffic(LimitsModel& model, RandomGenerator& random)
{
    for (size_t organisation = 0; organisation < 2; ++organisation) {
        std::vector<uint64_t> weights(model.vmCount());
        for (auto& weight : weights)
            weight = random.below(3) ? random.below(20) : 0;
        weights[random.below(weights.size())] += 10;
        // Tokens accumulate without traffic. A flood then shows whether any token exists twice.
        const double rate = random.below(3) ? 300 : static_cast<double>(random.below(30));
        model.setTraffic(organisation, rate, std::move(weights));
    }
}

static void injectFault(LimitsModel& model, RandomGenerator& random)
{
    const size_t vm = random.below(model.vmCount());
    const size_t dataCentre = vm / vmsPerDataCentre;
    const size_t target = random.below(2) ? model.allocatorOf(dataCentre).value_or(vm) : vm;
    switch (random.below(10)) {
    case 0:
        if (model.isUp(target))
            model.kill(target);
        break;
    case 1:
    case 2:
        if (!model.isUp(target))
            model.start(target);
        break;
    case 3:
        if (model.isUp(target) && !model.isSuspended(target))
            model.suspend(target);
        break;
    case 4:
        if (model.isSuspended(target))
            model.resume(target);
        break;
    case 5:
        model.setIsolation(target, random.below(2), random.below(2));
        break;
    case 6:
        model.setIsolation(vm, false, false);
        break;
    case 7:
        model.setTable(
            std::vector { TableMode::Up, TableMode::Up, TableMode::Down, TableMode::Lossy }[random.below(4)]);
        break;
    case 8:
        model.setFalselyDead(random.below(model.vmCount()), target, random.below(2));
        break;
    default:
        if (model.isUp(target) && !model.isSuspended(target))
            model.stopGracefully(target);
        break;
    }
}

/// Runs the search with one seed. Returns the violation found; empty if none.
static std::string search(uint64_t seed, uint64_t* admitted)
{
    LimitsModel model(searchSettings(seed));
    RandomGenerator random(seed * 7919);
    // Many faults leave few admissions, and with few faults they do not overlap, so the rate varies with the seed.
    const uint64_t faultsPerHundred = 3 + seed % 4 * 9;
    for (int step = 0; step < 300 && model.violation().empty(); ++step) {
        if (step % 10 == 0)
            changeTraffic(model, random);
        if (random.below(100) < faultsPerHundred)
            injectFault(model, random);
        for (size_t vm = 0; vm < model.vmCount(); ++vm) {
            // Restarts keep the fleet from running empty. The resume rate covers times before and after the expiry.
            if (!model.isUp(vm) && !random.below(12))
                model.start(vm);
            if (model.isSuspended(vm) && !random.below(16))
                model.resume(vm);
            if (!random.below(25))
                model.setIsolation(vm, false, false);
        }
        if (!random.below(15))
            model.setTable(TableMode::Up);
        model.run(200ms);
    }
    *admitted += model.counts(0).admitted + model.counts(1).admitted;
    return model.violation();
}

// Checks property P7: under random faults all VMs together never admit more than burst + rate * w in a window of length
// w. LIMITS_SEEDS sets the number of seeds, LIMITS_FIRST_SEED the first seed.
BOOST_AUTO_TEST_CASE(Search_RandomFaults_NeverExceedsTheLimit)
{
    const char* count = std::getenv("LIMITS_SEEDS");
    const char* first = std::getenv("LIMITS_FIRST_SEED");
    const uint64_t begin = first ? std::strtoull(first, nullptr, 10) : 1;
    const uint64_t end = begin + (count ? std::strtoull(count, nullptr, 10) : 60);
    uint64_t admitted = 0;
    for (uint64_t seed = begin; seed < end; ++seed) {
        const std::string violation = search(seed, &admitted);
        BOOST_TEST(violation.empty(), violation);
    }
    BOOST_TEST_MESSAGE("admitted " << admitted << " requests with " << end - begin << " seeds");
    // Without admissions the check above would pass trivially.
    BOOST_TEST(admitted > (end - begin) * 1000);
}

BOOST_AUTO_TEST_SUITE_END()
