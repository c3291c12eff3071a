#pragma once

#include "Core/Identifiers.h"
#include "Statements/EndpointLink.h"
#include "Statements/Statement.h"
#include "Statements/StatementAnswer.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Lavendervane {

// Messages between a VM that serves a caller and the owner of an endpoint's connections. `link` is a number that the
// first one chose; it is unique on their connection.

/// Asks the owner to carry an organisation's statements to an endpoint.
struct RelayOpen {
    uint64_t link = 0;
    GroupId group;
    EndpointId endpoint;
    OrganisationId organisation;

    friend bool operator==(const RelayOpen&, const RelayOpen&) = default;
};

/// The owner takes statements and reaches the endpoint, as far as it knows.
struct RelayOpened {
    uint64_t link = 0;

    friend bool operator==(const RelayOpened&, const RelayOpened&) = default;
};

/// One batch; it must be answered within `timeoutMs`.
struct RelayBatch {
    uint64_t link = 0;
    uint64_t timeoutMs = 0;
    std::vector<Statement> statements;

    friend bool operator==(const RelayBatch&, const RelayBatch&) = default;
};

struct RelayAnswers {
    uint64_t link = 0;
    std::vector<EndpointAnswer> answers;

    friend bool operator==(const RelayAnswers&, const RelayAnswers&) = default;
};

/// The link has ended. A batch without an answer may have run.
struct RelayFailed {
    uint64_t link = 0;
    LinkFailure failure = LinkFailure::Broken;
    AnswerCode code = AnswerCode::Busy;
    std::string message;

    friend bool operator==(const RelayFailed&, const RelayFailed&) = default;
};

/// The serving VM needs the link no more; what is open at the endpoint is rolled back.
struct RelayClose {
    uint64_t link = 0;

    friend bool operator==(const RelayClose&, const RelayClose&) = default;
};

using RelayMessage = std::variant<RelayOpen, RelayOpened, RelayBatch, RelayAnswers, RelayFailed, RelayClose>;

/// Encodes a message in CBOR (RFC 8949).
std::string encodeRelayMessage(const RelayMessage&);

/// Nothing if the bytes are not a message.
std::optional<RelayMessage> decodeRelayMessage(std::string_view bytes);

} // namespace Lavendervane
