#include "Peers/PeerMessages.h"

#include "Core/StrictJson.h"

#include <nlohmann/json.hpp>

namespace Lavendervane {

using Json = nlohmann::json;

// A message is encoded as an array of its kind followed by its fields. The numbers of the kinds are part of the
// protocol and must not change.
namespace {

// Lower priorities are not told apart.
static constexpr uint64_t maxPriority = 1000;

enum Kind : uint64_t {
    TokenRequestKind = 1,
    TokenReplyKind = 2,
    ReachabilityRequestKind = 3,
    ReachabilityReplyKind = 4,
    PromotionNoticeKind = 5,
    LeaseRequestKind = 6,
    LeaseReplyKind = 7,
    ConfirmationRequestKind = 8,
    ConfirmationReplyKind = 9,
    RevocationRequestKind = 10,
    RevocationReplyKind = 11,
    MemberAnnouncementKind = 12,
    TablesConfirmedKind = 13,
    TokenReturnKind = 14,
};

Json encodeRevocation(const PrimaryRevocation& revocation)
{
    return Json::array({ revocation.group.str(), revocation.endpoint.str(), revocation.number, revocation.address });
}

Json encodeRevocations(const std::vector<PrimaryRevocation>& revocations)
{
    Json list = Json::array();
    for (const PrimaryRevocation& revocation : revocations)
        list.push_back(encodeRevocation(revocation));
    return list;
}

Json encodeEvidence(const CommitEvidence& evidence)
{
    Json json = Json::array({ evidence.atLeast.term.counter, evidence.atLeast.position, evidence.atMost.term.counter,
        evidence.atMost.position, evidence.observedMs });
    if (const auto& coverage = evidence.coverage) {
        for (const uint64_t field : { coverage->position.term.counter, coverage->position.position, coverage->ageMs })
            json.push_back(field);
    }
    return json;
}

struct Encoder {
    Json operator()(const TokenRequest& message) const
    {
        return { TokenRequestKind, message.requestId, message.organisation.str(), message.requestedMilliTokens,
            message.collect, message.priority };
    }
    Json operator()(const TokenReply& message) const
    {
        return { TokenReplyKind, message.requestId, message.organisation.str(), message.lentMilliTokens };
    }
    Json operator()(const TokenReturn& message) const
    {
        return { TokenReturnKind, message.requestId, message.organisation.str(), message.milliTokens };
    }
    Json operator()(const ReachabilityRequest& message) const
    {
        return { ReachabilityRequestKind, message.requestId, message.group.str(), message.endpoint.str() };
    }
    Json operator()(const ReachabilityReply& message) const
    {
        return { ReachabilityReplyKind, message.requestId, message.endpoint.str(),
            static_cast<uint64_t>(message.reachability), message.newestTerm, encodeEvidence(message.commits) };
    }
    Json operator()(const PromotionNotice& message) const
    {
        return { PromotionNoticeKind, message.group.str(), message.endpoint.str(), message.expectedInMs };
    }
    Json operator()(const LeaseRequest& message) const { return { LeaseRequestKind, message.requestId }; }
    Json operator()(const LeaseReply& message) const
    {
        return { LeaseReplyKind, message.requestId, message.confirmed, message.ageMs,
            encodeRevocations(message.revocations) };
    }
    Json operator()(const ConfirmationRequest& message) const { return { ConfirmationRequestKind, message.requestId }; }
    Json operator()(const ConfirmationReply& message) const
    {
        return { ConfirmationReplyKind, message.requestId, message.fleetSize, encodeRevocations(message.revocations) };
    }
    Json operator()(const RevocationRequest& message) const
    {
        return { RevocationRequestKind, message.requestId, encodeRevocation(message.revocation) };
    }
    Json operator()(const RevocationReply& message) const
    {
        return { RevocationReplyKind, message.requestId, message.fleetSize, encodeEvidence(message.commits) };
    }
    Json operator()(const MemberAnnouncement& message) const
    {
        const FleetMember& member = message.member;
        return { MemberAnnouncementKind, member.vm.str(), member.dataCentre.str(), member.address,
            member.cpuMillicores };
    }
    Json operator()(const TablesConfirmed& message) const
    {
        Json tables = Json::array();
        for (const TableConfirmation& table : message.tables)
            tables.push_back(Json::array({ table.table, table.lastChange, table.storeTimeMs }));
        return { TablesConfirmedKind, message.generation, std::move(tables) };
    }
};

} // namespace

static std::string stringAt(const Json& json, size_t index) { return json.at(index).get<std::string>(); }

static uint64_t numberAt(const Json& json, size_t index) { return decodeUnsigned(json.at(index)); }

static uint64_t millisecondsAt(const Json& json, size_t index)
{
    return decodeUnsigned(json.at(index), maxMessageMilliseconds);
}

static PrimaryRevocation revocationAt(const Json& json, size_t index)
{
    const Json& entry = json.at(index);
    // The address is missing in messages of earlier versions.
    return { GroupId(stringAt(entry, 0)), EndpointId(stringAt(entry, 1)), numberAt(entry, 2),
        entry.size() > 3 ? stringAt(entry, 3) : std::string() };
}

static std::vector<PrimaryRevocation> revocationsAt(const Json& json, size_t index)
{
    const Json& list = json.at(index);
    std::vector<PrimaryRevocation> revocations;
    for (size_t entry = 0; entry < list.size(); ++entry)
        revocations.push_back(revocationAt(list, entry));
    return revocations;
}

// Missing in messages of earlier versions.
static CommitEvidence evidenceAt(const Json& json, size_t index)
{
    if (json.size() <= index)
        return {};
    const Json& fields = json.at(index);
    const auto position = [&fields](size_t first) {
        return LogPosition { { numberAt(fields, first), {} }, numberAt(fields, first + 1) };
    };
    CommitEvidence evidence { position(0), position(2), std::nullopt, millisecondsAt(fields, 4) };
    if (fields.size() > 5)
        evidence.coverage = CommitCoverage { position(5), millisecondsAt(fields, 7) };
    return evidence;
}

static std::vector<TableConfirmation> tableConfirmationsAt(const Json& json, size_t index)
{
    std::vector<TableConfirmation> tables;
    for (const Json& entry : json.at(index))
        tables.push_back({ stringAt(entry, 0), numberAt(entry, 1), numberAt(entry, 2) });
    return tables;
}

static std::optional<PeerMessage> decode(const Json& json)
{
    switch (numberAt(json, 0)) {
    case TokenRequestKind:
        // The last two fields are missing in messages of earlier versions.
        return TokenRequest { numberAt(json, 1), OrganisationId(stringAt(json, 2)), numberAt(json, 3),
            json.size() > 4 && json.at(4).get<bool>(),
            json.size() > 5 ? static_cast<uint32_t>(std::min<uint64_t>(numberAt(json, 5), maxPriority)) : 0 };
    case TokenReplyKind:
        return TokenReply { numberAt(json, 1), OrganisationId(stringAt(json, 2)), numberAt(json, 3) };
    case ReachabilityRequestKind:
        return ReachabilityRequest { numberAt(json, 1), GroupId(stringAt(json, 2)), EndpointId(stringAt(json, 3)) };
    case ReachabilityReplyKind: {
        const uint64_t reachability = numberAt(json, 3);
        if (reachability > static_cast<uint64_t>(Reachability::Unreachable))
            return std::nullopt;
        // The term is missing in messages of earlier versions.
        return ReachabilityReply { numberAt(json, 1), EndpointId(stringAt(json, 2)),
            static_cast<Reachability>(reachability), json.size() > 4 ? numberAt(json, 4) : 0, evidenceAt(json, 5) };
    }
    case PromotionNoticeKind:
        return PromotionNotice { GroupId(stringAt(json, 1)), EndpointId(stringAt(json, 2)), millisecondsAt(json, 3) };
    case LeaseRequestKind:
        return LeaseRequest { numberAt(json, 1) };
    case LeaseReplyKind:
        return LeaseReply { numberAt(json, 1), json.at(2).get<bool>(), millisecondsAt(json, 3),
            revocationsAt(json, 4) };
    case ConfirmationRequestKind:
        return ConfirmationRequest { numberAt(json, 1) };
    case ConfirmationReplyKind:
        return ConfirmationReply { numberAt(json, 1), numberAt(json, 2), revocationsAt(json, 3) };
    case RevocationRequestKind:
        return RevocationRequest { numberAt(json, 1), revocationAt(json, 2) };
    case RevocationReplyKind:
        return RevocationReply { numberAt(json, 1), numberAt(json, 2), evidenceAt(json, 3) };
    case MemberAnnouncementKind:
        return MemberAnnouncement { { VmId(stringAt(json, 1)), DataCentre(stringAt(json, 2)), stringAt(json, 3),
            decodeUnsignedAs<uint32_t>(json.at(4)) } };
    case TablesConfirmedKind:
        return TablesConfirmed { numberAt(json, 1), tableConfirmationsAt(json, 2) };
    case TokenReturnKind:
        return TokenReturn { numberAt(json, 1), OrganisationId(stringAt(json, 2)), numberAt(json, 3) };
    default:
        return std::nullopt; // message of a newer program version
    }
}

std::string encodePeerMessage(const PeerMessage& message)
{
    std::string bytes;
    Json::to_cbor(std::visit(Encoder {}, message), bytes);
    return bytes;
}

std::optional<PeerMessage> decodePeerMessage(std::string_view bytes)
{
    try {
        return decode(parseCbor(bytes));
    } catch (const std::exception&) {
        return std::nullopt; // the caller logs the error
    }
}

} // namespace Lavendervane
