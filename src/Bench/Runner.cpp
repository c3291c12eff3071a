#include "Bench/Runner.h"

#include "Bench/AllocationCounter.h"

#include <algorithm>
#include <ctime>

namespace Lavendervane {

/// CPU time of this thread, which excludes the time that other programs on the machine take.
static double cpuNanoseconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e9 + static_cast<double>(time.tv_nsec);
}

static MeasuredPoint measurePoint(const Measurement& measurement, size_t size, const RunnerSettings& settings)
{
    const auto workload = measurement.makeWorkload(size);
    MeasuredPoint point;
    point.size = size;
    const uint64_t bytesBefore = AllocationCount::current().liveBytes;
    workload->buildState();
    point.stateBytes = static_cast<double>(AllocationCount::current().liveBytes - bytesBefore);

    // A tenth of the time is spent on warming the caches; its number of events determines the size of a batch.
    const double budgetNanoseconds = static_cast<double>(std::chrono::nanoseconds(settings.timePerPoint).count());
    size_t nextEvent = 0;
    const double warmUpStart = cpuNanoseconds();
    do {
        workload->handleEvent(nextEvent++);
    } while (cpuNanoseconds() - warmUpStart < budgetNanoseconds / 10);
    const size_t batchSize = std::max<size_t>(1, nextEvent * 9 / settings.batches);

    std::vector<double> times;
    times.reserve(settings.batches);
    const uint64_t allocationsBefore = AllocationCount::current().allocations;
    for (size_t batch = 0; batch < settings.batches; ++batch) {
        const double start = cpuNanoseconds();
        for (size_t event = 0; event < batchSize; ++event)
            workload->handleEvent(nextEvent++);
        times.push_back((cpuNanoseconds() - start) / static_cast<double>(batchSize));
    }
    const auto allocations = static_cast<double>(AllocationCount::current().allocations - allocationsBefore);
    point.allocations = allocations / static_cast<double>(batchSize * settings.batches);
    std::sort(times.begin(), times.end());
    point.nanoseconds = times[times.size() / 2];
    return point;
}

static LinearFit fit(const std::vector<MeasuredPoint>& points, double MeasuredPoint::*value)
{
    std::vector<std::pair<double, double>> pairs;
    pairs.reserve(points.size());
    for (const MeasuredPoint& point : points)
        pairs.emplace_back(static_cast<double>(point.size), point.*value);
    return LinearFit::through(pairs);
}

MeasurementResult runMeasurement(const Measurement& measurement, const RunnerSettings& settings)
{
    MeasurementResult result { measurement.name, measurement.sizeUnit, {}, {}, {}, {} };
    for (const size_t size : measurement.sizes)
        result.points.push_back(measurePoint(measurement, size, settings));
    result.nanoseconds = fit(result.points, &MeasuredPoint::nanoseconds);
    result.allocations = fit(result.points, &MeasuredPoint::allocations);
    result.stateBytes = fit(result.points, &MeasuredPoint::stateBytes);
    return result;
}

} // namespace Lavendervane
