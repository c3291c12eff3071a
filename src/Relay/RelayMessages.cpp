#include "Relay/RelayMessages.h"

#include "Core/StrictJson.h"

#include <nlohmann/json.hpp>

namespace Lavendervane {

using Json = nlohmann::json;

// A message is encoded as an array of its kind followed by its fields. The numbers of kinds and enumerators are part of
// the protocol and must not change.
namespace {

enum Kind : uint64_t {
    OpenKind = 1,
    OpenedKind = 2,
    BatchKind = 3,
    AnswersKind = 4,
    FailedKind = 5,
    CloseKind = 6,
};

} // namespace

static Json encodePosition(const std::optional<LogPosition>& position)
{
    if (!position)
        return nullptr;
    return Json::array({ position->term.counter, position->term.vm.str(), position->position });
}

static LogPosition decodePosition(const Json& json)
{
    return { { decodeUnsigned(json.at(0)), VmId(json.at(1).get<std::string>()) }, decodeUnsigned(json.at(2)) };
}

static std::optional<LogPosition> decodeOptionalPosition(const Json& json)
{
    if (json.is_null())
        return std::nullopt;
    return decodePosition(json);
}

// Throws Json::exception if the number is higher than that of `last`, the last enumerator.
template <typename Enumeration> static Enumeration decodeEnumeration(const Json& json, Enumeration last)
{
    const auto value = decodeUnsigned(json);
    if (value > static_cast<uint64_t>(last))
        throw Json::other_error::create(500, "unknown enumerator", &json);
    return static_cast<Enumeration>(value);
}

static Json encodeStatement(const Statement& statement)
{
    return Json::array({ static_cast<uint64_t>(statement.kind), statement.id, statement.text, statement.name,
        static_cast<uint64_t>(statement.effect), statement.term, encodePosition(statement.requiredPosition),
        statement.needsUniqueAnswer });
}

static Statement decodeStatement(const Json& json)
{
    Statement statement;
    statement.kind = decodeEnumeration(json.at(0), StatementKind::Malformed);
    statement.id = json.at(1).get<std::string>();
    statement.text = json.at(2).get<std::string>();
    statement.name = json.at(3).get<std::string>();
    statement.effect = decodeEnumeration(json.at(4), PreparedEffect::Write);
    statement.term = decodeUnsigned(json.at(5));
    statement.requiredPosition = decodeOptionalPosition(json.at(6));
    // Older program versions do not send the field.
    statement.needsUniqueAnswer = json.size() > 7 && json.at(7).get<bool>();
    return statement;
}

static Json encodeAnswer(const EndpointAnswer& answer)
{
    Json status;
    if (answer.status)
        status = Json::array({ static_cast<uint64_t>(answer.status->role), answer.status->term,
            encodePosition(answer.status->received), answer.status->heldTerm });
    return Json::array({ static_cast<uint64_t>(answer.code), answer.result, answer.message,
        static_cast<uint64_t>(answer.state), encodePosition(answer.position), std::move(status) });
}

static EndpointAnswer decodeAnswer(const Json& json)
{
    EndpointAnswer answer;
    answer.code = decodeEnumeration(json.at(0), AnswerCode::TooLarge);
    answer.result = json.at(1).get<std::string>();
    answer.message = json.at(2).get<std::string>();
    answer.state = decodeEnumeration(json.at(3), TransactionState::Failed);
    answer.position = decodeOptionalPosition(json.at(4));
    if (const Json& status = json.at(5); !status.is_null())
        answer.status = EndpointStatus { decodeEnumeration(status.at(0), EndpointRole::Replica),
            decodeUnsigned(status.at(1)), decodePosition(status.at(2)),
            // Older program versions do not send the field.
            status.size() > 3 ? decodeUnsigned(status.at(3)) : 0 };
    return answer;
}

namespace {

struct Encoder {
    Json operator()(const RelayOpen& message) const
    {
        return Json::array(
            { OpenKind, message.link, message.group.str(), message.endpoint.str(), message.organisation.str() });
    }
    Json operator()(const RelayOpened& message) const
    {
        return Json::array({ OpenedKind, message.link, message.guardsBatches });
    }
    Json operator()(const RelayBatch& message) const
    {
        Json statements = Json::array();
        for (const Statement& statement : message.statements)
            statements.push_back(encodeStatement(statement));
        return Json::array({ BatchKind, message.link, message.timeoutMs, std::move(statements), message.guardCount });
    }
    Json operator()(const RelayAnswers& message) const
    {
        Json answers = Json::array();
        for (const EndpointAnswer& answer : message.answers)
            answers.push_back(encodeAnswer(answer));
        return Json::array({ AnswersKind, message.link, std::move(answers) });
    }
    Json operator()(const RelayFailed& message) const
    {
        return Json::array({ FailedKind, message.link, static_cast<uint64_t>(message.failure),
            static_cast<uint64_t>(message.code), message.message });
    }
    Json operator()(const RelayClose& message) const { return Json::array({ CloseKind, message.link }); }
};

} // namespace

static std::optional<RelayMessage> decode(const Json& json)
{
    const auto link = decodeUnsigned(json.at(1));
    switch (decodeUnsigned(json.at(0))) {
    case OpenKind:
        return RelayOpen { link, GroupId(json.at(2).get<std::string>()), EndpointId(json.at(3).get<std::string>()),
            OrganisationId(json.at(4).get<std::string>()) };
    case OpenedKind:
        // Older program versions do not send the field.
        return RelayOpened { link, json.size() > 2 && json.at(2).get<bool>() };
    case BatchKind: {
        RelayBatch batch { link, decodeUnsigned(json.at(2), maxMessageMilliseconds), {}, 0 };
        for (const Json& statement : json.at(3))
            batch.statements.push_back(decodeStatement(statement));
        // Older program versions do not send the field.
        if (json.size() > 4)
            batch.guardCount = decodeUnsigned(json.at(4));
        return batch;
    }
    case AnswersKind: {
        RelayAnswers answers { link, {} };
        for (const Json& answer : json.at(2))
            answers.answers.push_back(decodeAnswer(answer));
        return answers;
    }
    case FailedKind:
        return RelayFailed { link, decodeEnumeration(json.at(2), LinkFailure::Broken),
            decodeEnumeration(json.at(3), AnswerCode::TooLarge), json.at(4).get<std::string>() };
    case CloseKind:
        return RelayClose { link };
    default:
        return std::nullopt; // message of a newer program version
    }
}

std::string encodeRelayMessage(const RelayMessage& message)
{
    std::string bytes;
    Json::to_cbor(std::visit(Encoder {}, message), bytes);
    return bytes;
}

std::optional<RelayMessage> decodeRelayMessage(std::string_view bytes)
{
    try {
        return decode(parseCbor(bytes));
    } catch (const std::exception&) {
        return std::nullopt; // the transport logs the error and closes the connection
    }
}

} // namespace Lavendervane
