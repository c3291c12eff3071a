#pragma once

#include "Limits/GrantMessages.h"

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace Lavendervane {

/// Content of the table row `allocator/<data centre>`, which is the lease of the grant allocator.
struct LeaseRow {
    uint64_t epoch = 0;
    VmId holder; ///< empty after the lease was released
    std::string changeId; ///< id of the transaction that wrote the row
    /// VMs that may hold grants. A VM is listed before it gets its first grant, so that the next allocator knows which
    /// VMs have to report.
    std::set<VmId> vms;

    friend bool operator==(const LeaseRow&, const LeaseRow&) = default;
};

/// Entry of one data centre in a row `share/<organisation>`.
struct DataCentreShare {
    Capacity capacity;
    uint64_t wantedMilliRate = 0; ///< rate that the VMs of the data centre want
    std::string changeId; ///< id of the last transaction of this data centre

    friend bool operator==(const DataCentreShare&, const DataCentreShare&) = default;
};

/// Content of the table row `share/<organisation>`. The sum of the shares never exceeds the limit.
struct ShareRow {
    uint64_t configurationVersion = 0; ///< version that `limit` was taken from; never decreases
    RateLimit limit;
    std::map<DataCentre, DataCentreShare> shares;

    /// Share of the data centre; zero if the row has no entry for it.
    Capacity share(const DataCentre&) const;

    friend bool operator==(const ShareRow&, const ShareRow&) = default;
};

std::string leaseKey(const DataCentre&);
std::string shareKey(const OrganisationId&);

std::string toJson(const LeaseRow&);
std::string toJson(const ShareRow&);

/// Throws Error (step "parse lease row").
LeaseRow parseLeaseRow(std::string_view);

/// Throws Error (step "parse share row").
ShareRow parseShareRow(std::string_view);

/// Divides the limit evenly among the data centres; the remainder goes to the first.
ShareRow makeBaseShares(uint64_t configurationVersion, const RateLimit&, const std::vector<DataCentre>&);

/// Converts the row to another limit. Every share is scaled in proportion and rounded down. If neither rate nor burst
/// is lowered, the remainder goes to the first share.
ShareRow rescaleShares(const ShareRow&, uint64_t configurationVersion, const RateLimit&);

/// Returns `value * numerator / denominator` without overflow of the product. `denominator` must be greater than 0.
uint64_t scale(uint64_t value, uint64_t numerator, uint64_t denominator);

} // namespace Lavendervane
