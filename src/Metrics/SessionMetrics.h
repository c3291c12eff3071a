#pragma once

#include "Core/Instant.h"

#include <memory>
#include <string>
#include <string_view>

namespace prometheus {
class Registry;
} // namespace prometheus

namespace Lavendervane {

/// Metrics of a VM that serves sessions. Calls are safe from any thread.
class SessionMetrics {
public:
    explicit SessionMetrics(prometheus::Registry&);
    ~SessionMetrics();

    SessionMetrics(const SessionMetrics&) = delete;
    SessionMetrics& operator=(const SessionMetrics&) = delete;

    void statementDone(bool atReplica, Duration took);

    /// `code` is the name of the answer's code.
    void statementFailed(std::string_view code, Duration took);

    /// `change` is "reachable" or "unreachable".
    void endpointChanged(std::string_view change);

    void setSessions(size_t);
    void setConfigurationVersion(uint64_t);

    /// Share of every limit, between 0 and 1.
    void setLimitShare(double);

    void setStoreAvailable(bool);

    /// `result` is the outcome of an order to promote.
    void promotionOrdered(std::string_view result);

private:
    struct Families;
    std::unique_ptr<Families> families;
};

} // namespace Lavendervane
