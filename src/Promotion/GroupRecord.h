#pragma once

#include "Core/Identifiers.h"
#include "Fleet/TableStore.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Lavendervane {

/// The newest promotion that was ordered in a group.
struct LeadershipRecord {
    uint64_t term = 0; ///< term that the endpoint leads if the order is carried out; 0 if none is known
    EndpointId endpoint;
    uint64_t startedAt = 0; ///< of the endpoint's run, Unix time in ms

    friend bool operator==(const LeadershipRecord&, const LeadershipRecord&) = default;
};

/// One run of an endpoint, from its start to its end. A later run may have kept the log, or hold nothing of it.
struct EndpointRun {
    EndpointId endpoint;
    uint64_t startedAt = 0; ///< Unix time in ms; 0 if it is not known

    /// True if both may be the same run.
    bool matches(const EndpointRun& other) const
    {
        return this->endpoint == other.endpoint
            && (this->startedAt == other.startedAt || !this->startedAt || !other.startedAt);
    }

    friend auto operator<=>(const EndpointRun&, const EndpointRun&) = default;
};

/// Describes a run in logs, such as "i-7f3a91c2 (started at 1765154700000)".
std::string describe(const EndpointRun&);

/// What the platform's table holds about a group: the promotion lease, and what must outlast all VMs.
struct GroupRecord {
    // Promotion lease
    std::string holder; ///< VM that holds the lease
    std::string run; ///< run of that VM
    uint64_t until = 0; ///< end of the lease by the table's clock in ms
    uint64_t generation = 0; ///< generation of the table in which the row was written

    std::optional<EndpointId> revoked; ///< revoked primary; empty ID if none is; nothing if none ever was
    std::string revokedAddress;

    LeadershipRecord leadership;

    /// Runs that may hold commits which were acknowledged, including those that are not registered any more, with the
    /// addresses ("IP:port") of their endpoints. Kept for groups with synchronous replication only.
    std::map<EndpointRun, std::string> members;
    EndpointId primary; ///< the primary when `members` was written

    /// Runs that have ended and held nothing that the members lack, with the addresses of their endpoints. An endpoint
    /// may start again with its log and receive commits before it is registered.
    std::map<EndpointRun, std::string> ended;

    /// Rows may be missing or written by another version of the program: what cannot be read is left empty.
    static GroupRecord parse(const TableRow&);
    std::string encode() const;

    /// Returns the transaction that replaces the row, on condition that it still has the given revision.
    TableTransaction replaceRow(const std::string& key, uint64_t revision, uint64_t tableGeneration) const;

    friend bool operator==(const GroupRecord&, const GroupRecord&) = default;
};

} // namespace Lavendervane
