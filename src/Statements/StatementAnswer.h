#pragma once

#include "Core/LogPosition.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Lavendervane {

/// Result of a statement, as endpoints and the proxy report it.
enum class AnswerCode {
    Done,
    Busy, ///< not run
    Aborted, ///< nothing of the transaction is kept
    Lagging, ///< not run: the endpoint's log lacks the required position
    ReadOnly, ///< not run: the endpoint is not the primary
    WrongEndpoint, ///< not run: another endpoint is at this address
    TooMany, ///< not run: connection or rate limit
    Failed, ///< ran and failed
    UnknownPrepared, ///< not run: no prepared statement of this name
    TimedOut, ///< may have run
    InDoubt, ///< may have run
    Malformed,
    Unauthenticated,
    UnknownDatabase,
    TooLarge,
};

/// Name for logs and metrics, such as "read_only".
std::string_view toString(AnswerCode);

/// State of a session after an answer.
enum class TransactionState {
    Idle,
    Open,
    Failed, ///< only the end of the transaction is accepted
};

enum class EndpointRole {
    Primary,
    Replica,
};

/// How an endpoint describes itself.
struct EndpointStatus {
    EndpointRole role = EndpointRole::Replica;
    uint64_t term = 0; ///< newest term that the endpoint knows
    LogPosition received; ///< newest log entry that it holds

    friend bool operator==(const EndpointStatus&, const EndpointStatus&) = default;
};

/// Answer of an endpoint to one statement.
struct EndpointAnswer {
    AnswerCode code = AnswerCode::Failed;
    /// Rows and completion as the endpoint encoded them, passed to the caller unchanged; empty unless Done.
    std::string result;
    std::string message; ///< of an error
    TransactionState state = TransactionState::Idle;
    std::optional<LogPosition> position; ///< end of the endpoint's log
    std::optional<EndpointStatus> status; ///< answer to StatementKind::Status

    friend bool operator==(const EndpointAnswer&, const EndpointAnswer&) = default;
};

/// Answer to a caller. An empty result with Done means a statement that the proxy carried out itself.
struct CallerAnswer {
    AnswerCode code = AnswerCode::Done;
    std::string result;
    std::string message;
    TransactionState state = TransactionState::Idle;
};

} // namespace Lavendervane
