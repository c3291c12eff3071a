#pragma once

#include "Groups/GroupMessages.h"

#include <string>
#include <vector>

namespace Lavendervane::Test {

struct LogEntry {
    Term term;
    uint64_t id = 0;

    friend bool operator==(const LogEntry&, const LogEntry&) = default;
};

using Log = std::vector<LogEntry>;

/// True if one of the logs is a prefix of the other one.
bool logsAgree(const Log&, const Log&);

/// Term of the last entry and length of the log. Candidates for promotion are compared by it.
LogPosition lastPosition(const Log&);

/// Model of a database endpoint with fencing and replication by term (docs/design.md, 6.2).
struct ModelEndpoint {
    EndpointId name;
    std::string address;
    Term promised;
    Term term;
    Term syncedTerm; ///< term of the primary from which the log was last copied
    bool primary = false;
    std::string followedAddress;
    Log log;
    /// True: status reports the term of the last entry, and a fence ends the role of a primary, as in the stand-in
    /// endpoint.
    bool reportsLastEntryTerm = false;
    Instant primaryHeardAt; ///< when replication from the primary was last accepted
    bool down = false; ///< connections are refused
    bool suspended = false; ///< requests wait until the endpoint resumes

    bool fence(const Term&);
    bool promote(const Term&);
    bool follow(const Term&, const std::string& primaryAddress, Instant now);
    /// Copies the primary's log. Returns false if the endpoint does not follow the term.
    bool replicate(const Term&, const std::string& primaryAddress, const Log& primaryLog, Instant now);
    bool canWrite() const { return this->primary && this->promised == this->term && !this->down && !this->suspended; }
    EndpointStatus status(Instant now) const;
};

} // namespace Lavendervane::Test
