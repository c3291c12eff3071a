#pragma once

#include "Core/Identifiers.h"
#include "Limits/ShareLedger.h"
#include "PrimaryLease/PrimaryRevocation.h"
#include "Promotion/CommitEvidence.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Lavendervane {

/// Asks another VM to lend tokens of an organisation's limit.
struct TokenRequest {
    uint64_t requestId = 0; ///< copied to the reply
    OrganisationId organisation;
    uint64_t requestedMilliTokens = 0; ///< in 1/1000 of a request
    bool collect = false; ///< true if the VM is to gather tokens from all others that hold shares
    uint32_t priority = 0; ///< of the requests that need the tokens; 0 is the highest

    friend bool operator==(const TokenRequest&, const TokenRequest&) = default;
};

/// Answers a TokenRequest.
struct TokenReply {
    uint64_t requestId = 0;
    OrganisationId organisation;
    uint64_t lentMilliTokens = 0; ///< in 1/1000 of a request; 0 if the VM has no tokens to spare

    friend bool operator==(const TokenReply&, const TokenReply&) = default;
};

/// Gives tokens of requests that did not run back to a VM that holds a share of the limits.
struct TokenReturn {
    uint64_t requestId = 0; ///< tells repetitions of the message apart
    OrganisationId organisation;
    uint64_t milliTokens = 0; ///< in 1/1000 of a request

    friend bool operator==(const TokenReturn&, const TokenReturn&) = default;
};

/// Whether a VM can reach an endpoint.
enum class Reachability {
    Unknown, ///< the VM has no recent communication with the endpoint
    Reachable,
    Unreachable,
};

/// Asks another VM whether it can reach the primary of a group.
struct ReachabilityRequest {
    uint64_t requestId = 0;
    GroupId group;
    EndpointId endpoint; ///< the primary that the sender knows; empty if it knows none

    friend bool operator==(const ReachabilityRequest&, const ReachabilityRequest&) = default;
};

/// Answers a ReachabilityRequest.
struct ReachabilityReply {
    uint64_t requestId = 0;
    EndpointId endpoint; ///< as in the request
    /// Whether the VM can reach that endpoint or another one that it takes for the primary.
    Reachability reachability = Reachability::Unknown;
    uint64_t newestTerm = 0; ///< newest term in which a primary has answered the VM; 0 if none has
    CommitEvidence commits {};

    friend bool operator==(const ReachabilityReply&, const ReachabilityReply&) = default;
};

/// Tells other VMs that the sender is replacing the primary of a group.
struct PromotionNotice {
    GroupId group;
    EndpointId endpoint; ///< new primary; empty if it has not been chosen yet
    uint64_t expectedInMs = 0; ///< time until the promotion is expected to be complete

    friend bool operator==(const PromotionNotice&, const PromotionNotice&) = default;
};

/// Asks the keeper of a data centre for the age of its confirmation that primaries may be used.
struct LeaseRequest {
    uint64_t requestId = 0;

    friend bool operator==(const LeaseRequest&, const LeaseRequest&) = default;
};

/// Answers a LeaseRequest.
struct LeaseReply {
    uint64_t requestId = 0;
    bool confirmed = false; ///< false if the keeper has no confirmation
    uint64_t ageMs = 0; ///< time since the request on which the confirmation is based was sent
    std::vector<PrimaryRevocation> revocations; ///< recent revocations known to the keeper

    friend bool operator==(const LeaseReply&, const LeaseReply&) = default;
};

/// Asks another VM which revocations it knows.
struct ConfirmationRequest {
    uint64_t requestId = 0;

    friend bool operator==(const ConfirmationRequest&, const ConfirmationRequest&) = default;
};

/// Answers a ConfirmationRequest.
struct ConfirmationReply {
    uint64_t requestId = 0;
    uint64_t fleetSize = 0; ///< number of VMs that the sender knows
    std::vector<PrimaryRevocation> revocations; ///< recent revocations known to the sender

    friend bool operator==(const ConfirmationReply&, const ConfirmationReply&) = default;
};

/// Tells another VM to stop using an endpoint as a primary.
struct RevocationRequest {
    uint64_t requestId = 0;
    PrimaryRevocation revocation;

    friend bool operator==(const RevocationRequest&, const RevocationRequest&) = default;
};

/// Confirms that the sender does not use the revoked primary any more.
struct RevocationReply {
    uint64_t requestId = 0;
    uint64_t fleetSize = 0; ///< number of VMs that the sender knows
    CommitEvidence commits {}; ///< nothing is acknowledged later

    friend bool operator==(const RevocationReply&, const RevocationReply&) = default;
};

/// Announces a VM that has joined the fleet.
struct MemberAnnouncement {
    FleetMember member; ///< `holdsShare` is not sent

    friend bool operator==(const MemberAnnouncement&, const MemberAnnouncement&) = default;
};

/// A table of the platform's store had no change after `lastChange` at a time of the store's clock.
struct TableConfirmation {
    std::string table;
    uint64_t lastChange = 0; ///< revision of the table's newest change
    uint64_t storeTimeMs = 0;

    friend bool operator==(const TableConfirmation&, const TableConfirmation&) = default;
};

/// Tells another VM what the sender knows of the tables that all VMs follow.
struct TablesConfirmed {
    uint64_t generation = 0; ///< generation of the store's content; 0 if it is not reported
    std::vector<TableConfirmation> tables;

    friend bool operator==(const TablesConfirmed&, const TablesConfirmed&) = default;
};

using PeerMessage = std::variant<TokenRequest, TokenReply, ReachabilityRequest, ReachabilityReply, PromotionNotice,
    LeaseRequest, LeaseReply, ConfirmationRequest, ConfirmationReply, RevocationRequest, RevocationReply,
    MemberAnnouncement, TablesConfirmed, TokenReturn>;

/// Encodes a message in CBOR (RFC 8949). The result is shorter than 1,400 bytes.
std::string encodePeerMessage(const PeerMessage&);

/// Returns nothing if the bytes are not a valid message.
std::optional<PeerMessage> decodePeerMessage(std::string_view bytes);

} // namespace Lavendervane
