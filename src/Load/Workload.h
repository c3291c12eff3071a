#pragma once

#include "History/History.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Lavendervane {

/// Request mix and rate of the callers of one organisation.
struct OrganisationLoad {
    std::string name;
    std::string key; ///< API key of the callers; empty: requests carry no key
    double rate = 0; ///< requests per second
    double readShare = 0.5; ///< share of reads among the requests
    double pairShare = 0.05; ///< share of reads, and of writes, that access two keys in one transaction
    double appendShare = 0.2; ///< share of writes that append to a list
    double interactiveShare = 0.02; ///< share of requests sent as interactive transactions (begin, statements, commit)
    std::vector<std::string> groups;
    std::optional<HistoryLimit> limit; ///< declared limit; used by the report and the checker
};

/// Load of all organisations in a run.
struct Workload {
    std::vector<OrganisationLoad> organisations;
    uint32_t keys = 100; ///< number of registers, of lists and of pairs per organisation and group
    uint32_t sessions = 50; ///< initial sessions per organisation; more are created while all are in use
};

/// Parses a workload in YAML. Throws Error (step "parse workload") that names the organisation and the field.
Workload parseWorkload(const std::string& yaml);

} // namespace Lavendervane
