#pragma once

#include "History/HistoryEvent.h"

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <vector>

namespace Lavendervane {

/// Rate limit that was declared for an organisation during the run.
struct HistoryLimit {
    double rate = 0; ///< requests per second
    double burst = 0; ///< requests

    friend bool operator==(const HistoryLimit&, const HistoryLimit&) = default;
};

/// Requests and responses of all clients of a run, and the rate limits in force.
struct History {
    std::map<std::string, HistoryLimit> limits; ///< by organisation; absent if not limited
    std::vector<HistoryEvent> events; ///< in the order in which the requests ended
};

/// Returns the history line that declares the limit of an organisation.
nlohmann::json limitToJson(const std::string& organisation, const HistoryLimit&);

/// Reads a history in JSON Lines format. Throws Error (step "read history") with the number of the invalid line.
History readHistory(std::istream&);

} // namespace Lavendervane
