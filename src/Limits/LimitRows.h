#pragma once

#include "Limits/GrantMessages.h"

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace Lavendervane {

/// Row `allocator/<data centre>`.
struct LeaseRow {
    uint64_t epoch = 0;
    VmId holder; ///< empty after the lease has been given up
    std::string changeId; ///< of the transaction that wrote the row
    /// VMs that may hold grants. A VM is listed before it gets its first grant, so that the next allocator knows whose
    /// report is missing.
    std::set<VmId> vms;

    friend bool operator==(const LeaseRow&, const LeaseRow&) = default;
};

/// Part of one data centre in a row `share/<organisation>`.
struct DataCentreShare {
    Capacity capacity;
    uint64_t wantedMilliRate = 0; ///< what the VMs of the data centre ask for
    std::string changeId; ///< of the last transaction of this data centre

    friend bool operator==(const DataCentreShare&, const DataCentreShare&) = default;
};

/// Row `share/<organisation>`. The shares add up to at most the limit.
struct ShareRow {
    uint64_t configurationVersion = 0; ///< version from which `limit` was taken; never lowered
    RateLimit limit;
    std::map<DataCentre, DataCentreShare> shares;

    Capacity share(const DataCentre&) const;

    friend bool operator==(const ShareRow&, const ShareRow&) = default;
};

std::string leaseKey(const DataCentre&);
std::string shareKey(const OrganisationId&);

std::string toJson(const LeaseRow&);
std::string toJson(const ShareRow&);

/// Throw Error (step "parse lease row" or "parse share row").
LeaseRow parseLeaseRow(std::string_view);
ShareRow parseShareRow(std::string_view);

/// The limit divided evenly over the data centres; the remainder goes to the first.
ShareRow makeBaseShares(uint64_t configurationVersion, const RateLimit&, const std::vector<DataCentre>&);

/// The row under another limit: every share in proportion, rounded down, the remainder of a raise to the first share.
ShareRow rescaleShares(const ShareRow&, uint64_t configurationVersion, const RateLimit&);

/// `value * numerator / denominator` without overflow of the product; `denominator` must be greater than 0.
uint64_t scale(uint64_t value, uint64_t numerator, uint64_t denominator);

} // namespace Lavendervane
