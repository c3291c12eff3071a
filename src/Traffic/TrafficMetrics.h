#pragma once

#include "Core/Identifiers.h"
#include "Core/Instant.h"
#include "Core/Outcome.h"

#include <memory>
#include <string>

namespace prometheus {
class Gauge;
class Registry;
} // namespace prometheus

namespace Lavendervane {

/// Gauges that the owner of an endpoint maintains.
struct EndpointGauges {
    prometheus::Gauge* queued = nullptr;
    prometheus::Gauge* connections = nullptr;
};

/// Metrics of the traffic threads. Thread-safe.
class TrafficMetrics {
public:
    explicit TrafficMetrics(prometheus::Registry&);
    ~TrafficMetrics();

    TrafficMetrics(const TrafficMetrics&) = delete;
    TrafficMetrics& operator=(const TrafficMetrics&) = delete;

    void recordRequest(Outcome, const std::string& code, Duration latency);
    void countRead(bool atPrimary);
    void countConfirmation(bool confirmed);
    void countForward(bool answered);
    void countRetry();
    EndpointGauges addEndpoint(const EndpointId&);
    void removeEndpoint(const EndpointGauges&);

private:
    struct Families;
    std::unique_ptr<Families> families;
};

} // namespace Lavendervane
