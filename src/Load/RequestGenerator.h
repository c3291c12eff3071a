#pragma once

#include "Core/RandomGenerator.h"
#include "History/HistoryEvent.h"
#include "Load/Workload.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Lavendervane {

/// Content of one request, independent of the session and VM that send it.
struct PlannedRequest {
    std::string group;
    HistoryOperation operation = HistoryOperation::Get;
    std::string key;
    std::string value; ///< unique in the run; empty for reads
    bool interactive = false;
};

/// Builds the statements of a request in the JSON form that the stand-in endpoint accepts.
nlohmann::json makeStatements(const PlannedRequest&);

/// Generates the requests of one organisation and the times between them at random. Equal seeds give equal sequences.
class RequestGenerator {
public:
    /// `run` is the prefix that keeps keys and values distinct from those of other runs.
    RequestGenerator(const OrganisationLoad&, uint32_t keys, std::string run, uint64_t seed);

    /// Time to the next request in ns, exponentially distributed.
    int64_t nextDelay();

    /// Returns the next request. Half of the reads use a key of `recentWrites`, the recent writes of the session.
    PlannedRequest next(const std::vector<PlannedRequest>& recentWrites);

private:
    double nextFraction(); ///< uniformly distributed in [0, 1)
    PlannedRequest makeWrite();
    PlannedRequest makeRead(const std::vector<PlannedRequest>& recentWrites);
    std::string keyFor(HistoryOperation);

    OrganisationLoad load;
    uint32_t keys;
    std::string run;
    RandomGenerator random;
    uint64_t values = 0;
    uint64_t appends = 0;
};

} // namespace Lavendervane
