#pragma once

#include "Core/Identifiers.h"
#include "Core/Instant.h"
#include "Statements/BrokenConnection.h"
#include "Statements/EndpointHealth.h"
#include "Statements/GuardedBatch.h"
#include "Statements/StatementAnswer.h"

#include <string>
#include <string_view>

namespace Lavendervane {

/// A statement that was not completed successfully.
struct FailedStatement {
    std::string id; ///< as the caller gave it
    OrganisationId organisation;
    std::string database;
    AnswerCode code = AnswerCode::Done;
    std::string reason;
    EndpointId endpoint; ///< last endpoint tried; empty if none
    Duration duration {};
    uint32_t attempts = 0;
    uint64_t configurationVersion = 0;
};

/// A statement that this VM relayed for another VM and could not answer. The other VM logs the outcome under the same
/// request ID.
struct FailedRelay {
    std::string id; ///< as the caller gave it
    OrganisationId organisation;
    EndpointId endpoint;
    std::string reason;
};

/// A statement that this VM passes on to an endpoint that is leaving.
struct StatementToDraining {
    std::string id; ///< as the caller gave it
    EndpointId endpoint;
    std::string from; ///< address of the VM that relayed the statement to this one; empty if it came from a caller
    std::string via; ///< address of the VM that owns the connection; empty if it is this VM's own
    Duration workTimeLeft {}; ///< time until the endpoint accepts no new work, as far as this VM knows
};

/// A batch whose statements after the begin were to be sent only after the begin had succeeded.
struct GuardedBatchOutcome {
    GuardPath path = GuardPath::Direct;
    bool isRestWithheld = false; ///< the statements after the begin have not been sent
    // Set only if the rest was withheld and the caller still waits.
    std::string id; ///< as the caller gave it
    EndpointId endpoint;
    std::string reason;
};

/// A batch that an owner VM has not run and that was passed on to the next one.
struct RepeatedBatch {
    std::string id; ///< as the caller gave it; empty if the batch has no statement of a caller
    OrganisationId organisation;
    EndpointId endpoint;
    std::string from; ///< address of the VM that has not run the batch
    std::string reason;
};

/// Receives the outcome of statements and other traffic events, for logs and metrics. All calls are made on the traffic
/// thread and must not block.
class TrafficLog {
public:
    virtual ~TrafficLog() = default;

    virtual void statementFailed(const FailedStatement&) = 0;
    virtual void relayFailed(const FailedRelay&) = 0;

    /// A connection was opened before a statement needed it, or could not be opened if `failure` is not empty.
    virtual void connectionOpenedAhead(const EndpointId&, const OrganisationId&, const std::string& /*failure*/) { }

    /// A transaction waits because its organisation holds too many connections in transactions of idle callers.
    virtual void transactionDelayed(const EndpointId&, const OrganisationId&) { }

    /// A link through an owner VM was used without waiting for its confirmation.
    virtual void linkOpenedEarly() { }

    virtual void batchRepeated(const RepeatedBatch&) { }
    virtual void statementDone(bool atReplica, Duration duration) = 0;
    virtual void sentToDraining(const StatementToDraining&) = 0;
    virtual void guardedBatchEnded(const GuardedBatchOutcome&) { }

    /// An open transaction was rolled back, because the data centre of its endpoint is evacuated.
    virtual void transactionEvacuated(const EndpointId&) = 0;

    virtual void endpointChanged(const EndpointId&, std::string_view change) = 0;
    virtual void connectionBroke(const BrokenConnection&) = 0;
    virtual void repeatedAnswerIgnored(const EndpointId&) = 0;

    /// An endpoint gets more or less work because of its recent failures.
    virtual void endpointHealthChanged(const EndpointHealthChange&) = 0;

    /// A read that an endpoint has not answered or has failed goes to another one. `reason` is "timed_out", "failed" or
    /// "not_sent".
    virtual void attemptMoved(std::string_view reason) = 0;

    /// A further attempt was not made, because the organisation's budget for the group is used up.
    virtual void attemptBudgetUsedUp(const GroupId&, const OrganisationId&) = 0;

    /// A message of a caller was refused because it is not part of the protocol; the caller's connection is closed.
    virtual void messageRefused(const std::string& database, const std::string& reason) = 0;

    /// Keys of open transactions have been withdrawn, `pending` of them while a statement was pending.
    virtual void keysWithdrawn(size_t transactions, size_t pending) = 0;

    /// Called when the number of open sessions has changed.
    virtual void sessionsChanged(size_t count) = 0;
};

} // namespace Lavendervane
