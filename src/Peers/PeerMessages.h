#pragma once

#include "Core/Identifiers.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Lavendervane {

/// Asks for tokens of an organisation's limit.
struct TokenRequest {
    uint64_t requestId = 0; ///< repeated in the reply
    OrganisationId organisation;
    uint64_t requestedMilliTokens = 0; ///< 1/1000 requests

    friend bool operator==(const TokenRequest&, const TokenRequest&) = default;
};

struct TokenReply {
    uint64_t requestId = 0;
    OrganisationId organisation;
    uint64_t lentMilliTokens = 0; ///< 1/1000 requests

    friend bool operator==(const TokenReply&, const TokenReply&) = default;
};

/// What a VM has seen of an endpoint.
enum class Reachability {
    Unknown,
    Reachable,
    Unreachable,
};

/// Asks whether a VM reaches an endpoint.
struct ReachabilityRequest {
    uint64_t requestId = 0;
    GroupId group;
    EndpointId endpoint;

    friend bool operator==(const ReachabilityRequest&, const ReachabilityRequest&) = default;
};

struct ReachabilityReply {
    uint64_t requestId = 0;
    EndpointId endpoint;
    Reachability reachability = Reachability::Unknown;

    friend bool operator==(const ReachabilityReply&, const ReachabilityReply&) = default;
};

/// A new primary has been ordered for a group.
struct PromotionNotice {
    GroupId group;
    EndpointId endpoint;
    uint64_t expectedInMs = 0; ///< time until it leads

    friend bool operator==(const PromotionNotice&, const PromotionNotice&) = default;
};

using PeerMessage = std::variant<TokenRequest, TokenReply, ReachabilityRequest, ReachabilityReply, PromotionNotice>;

/// Encodes a message in CBOR (RFC 8949), below 1,400 bytes.
std::string encodePeerMessage(const PeerMessage&);

/// Nothing if the bytes are not a message.
std::optional<PeerMessage> decodePeerMessage(std::string_view bytes);

} // namespace Lavendervane
