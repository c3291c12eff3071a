#pragma once

#include "Core/Identifiers.h"
#include "Statements/EndpointLink.h"
#include "Statements/RecentOutcomes.h"
#include "Statements/Statement.h"
#include "Statements/StatementAnswer.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Lavendervane {

// Messages between a VM that serves a caller and a VM that owns connections to an endpoint. `link` is a number chosen
// by the serving VM; it is unique on the connection between the two VMs.

/// Asks the owner to open a link to an endpoint for an organisation's statements.
struct RelayOpen {
    uint64_t link = 0;
    GroupId group;
    EndpointId endpoint;
    OrganisationId organisation;

    friend bool operator==(const RelayOpen&, const RelayOpen&) = default;
};

/// The owner has opened the link; to its knowledge the endpoint is reachable.
struct RelayOpened {
    uint64_t link = 0;
    bool guardsBatches = false; ///< the owner evaluates RelayBatch::guardCount

    friend bool operator==(const RelayOpened&, const RelayOpened&) = default;
};

/// Sends a batch of statements to the endpoint. The first batch of a link may follow RelayOpen without a wait for
/// RelayOpened.
struct RelayBatch {
    uint64_t link = 0;
    uint64_t timeoutMs = 0; ///< time limit for the answers
    std::vector<Statement> statements;
    uint64_t guardCount = 0; ///< see BatchOptions; sent only to owners that have announced it in RelayOpened

    friend bool operator==(const RelayBatch&, const RelayBatch&) = default;
};

/// The endpoint's answers to the statements of a batch, in order.
struct RelayAnswers {
    uint64_t link = 0;
    std::vector<EndpointAnswer> answers;
    /// Recent outcomes at the endpoint as seen by the owner; missing without failures, or from an older version.
    std::optional<OutcomeCounts> outcomes {};

    friend bool operator==(const RelayAnswers&, const RelayAnswers&) = default;
};

/// The link has failed. A batch without an answer may have been executed, unless the failure is Rejected or Unreachable
/// and no RelayOpened was sent: the owner then executes no batch of the link.
struct RelayFailed {
    uint64_t link = 0;
    LinkFailure failure = LinkFailure::Broken;
    AnswerCode code = AnswerCode::Busy;
    std::string message;
    std::optional<OutcomeCounts> outcomes {}; ///< as in `RelayAnswers`

    friend bool operator==(const RelayFailed&, const RelayFailed&) = default;
};

/// The serving VM closes the link. The owner rolls back a transaction that is open on it.
struct RelayClose {
    uint64_t link = 0;

    friend bool operator==(const RelayClose&, const RelayClose&) = default;
};

using RelayMessage = std::variant<RelayOpen, RelayOpened, RelayBatch, RelayAnswers, RelayFailed, RelayClose>;

/// Encodes a message in CBOR (RFC 8949).
std::string encodeRelayMessage(const RelayMessage&);

/// Returns nothing if the bytes are not a valid message.
std::optional<RelayMessage> decodeRelayMessage(std::string_view bytes);

} // namespace Lavendervane
