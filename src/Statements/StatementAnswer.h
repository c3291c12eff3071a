#pragma once

#include "Core/LogPosition.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Lavendervane {

/// Result of a statement, as reported by endpoints and by the proxy.
enum class AnswerCode {
    Done,
    Busy, ///< not run
    Aborted, ///< the transaction was rolled back
    Lagging, ///< not run: the endpoint's log lacks the required position
    ReadOnly, ///< not run: the endpoint is not the primary
    WrongEndpoint, ///< not run: another endpoint is at this address
    TooMany, ///< not run: connection or rate limit
    Failed, ///< the statement ran and failed
    UnknownPrepared, ///< not run: no prepared statement with this name
    TimedOut, ///< may have run
    InDoubt, ///< may have run
    Malformed,
    Unauthenticated,
    UnknownDatabase,
    TooLarge,
};

/// Name of the code in logs and metrics, such as "read_only".
std::string_view toString(AnswerCode);

/// State of a session's transaction after an answer.
enum class TransactionState {
    Idle,
    Open,
    Failed, ///< only a commit or rollback is accepted
};

enum class EndpointRole {
    Primary,
    Replica,
};

/// Status that an endpoint reports about itself.
struct EndpointStatus {
    EndpointRole role = EndpointRole::Replica;
    uint64_t term = 0; ///< newest term known to the endpoint
    LogPosition received; ///< position of the newest log entry held by the endpoint
    uint64_t heldTerm = 0; ///< term with which the receipt of commits is paused; 0 if it is not paused

    friend bool operator==(const EndpointStatus&, const EndpointStatus&) = default;
};

/// Answer of an endpoint to one statement.
struct EndpointAnswer {
    AnswerCode code = AnswerCode::Failed;
    /// Rows and completion message as encoded by the endpoint, passed to the caller unchanged; empty unless Done.
    std::string result;
    std::string message; ///< error message; empty on success
    /// Proof of the endpoint that it ran the statement; empty if it gave none. Checked by the VM that holds the
    /// connection and not passed on to other VMs.
    std::string signature;
    TransactionState state = TransactionState::Idle;
    std::optional<LogPosition> position; ///< position of the end of the endpoint's log
    std::optional<EndpointStatus> status; ///< set in answers to statements for which `returnsStatus` is true

    friend bool operator==(const EndpointAnswer&, const EndpointAnswer&) = default;
};

/// Answer to a caller. An empty result with Done means that the proxy executed the statement itself.
struct CallerAnswer {
    AnswerCode code = AnswerCode::Done;
    std::string result;
    std::string message;
    TransactionState state = TransactionState::Idle;
};

} // namespace Lavendervane
