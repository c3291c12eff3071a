#include "Traffic/EndpointProtocol.h"

#include "Core/Error.h"
#include "Http/HttpConnection.h"
#include "Traffic/JsonText.h"

namespace Lavendervane {

std::string termToJson(const Term& term)
{
    return "{\"counter\":" + std::to_string(term.counter) + ",\"vm\":" + quoteJson(term.vm.str()) + "}";
}

std::string addExchangeId(std::string_view exchangeId, std::string_view body)
{
    std::string request;
    request.reserve(body.size() + exchangeId.size() + 20);
    request += "{\"exchange_id\":\"";
    request += exchangeId;
    request += '"';
    body.remove_prefix(1);
    if (body != "}")
        request += ',';
    request += body;
    return request;
}

static uint64_t unsignedMember(const Json& object, const char* name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_number_unsigned() ? found->get<uint64_t>() : 0;
}

static AppliedPosition parsePosition(const Json& object)
{
    AppliedPosition applied;
    const auto term = object.find("term");
    if (term != object.end() && term->is_object())
        applied.term = { unsignedMember(*term, "counter"), VmId(stringMember(*term, "vm")) };
    applied.position = unsignedMember(object, "position");
    applied.firstPosition = unsignedMember(object, "first_position");
    return applied;
}

EndpointAnswer parseEndpointAnswer(std::string_view body)
{
    const Json object = parseJson(body);
    if (!object.is_object())
        throw Error("read the endpoint's answer", "", "the answer is not a JSON object");
    EndpointAnswer answer;
    answer.outcome = parseOutcome(stringMember(object, "outcome"));
    answer.exchangeId = stringMember(object, "exchange_id");
    answer.code = stringMember(object, "code");
    answer.message = stringMember(object, "message");
    const auto results = object.find("results");
    answer.results = results == object.end() ? "[]" : results->dump();
    answer.applied = parsePosition(object);
    answer.primaryRole = stringMember(object, "role") == "primary";
    answer.primaryAddress = stringMember(object, "primary");
    answer.lag = std::chrono::milliseconds(unsignedMember(object, "lag_ms"));
    return answer;
}

EndpointResult makeResult(EndpointAnswer answer, const EndpointId& endpoint, std::string body)
{
    EndpointResult result;
    result.outcome = answer.outcome;
    if (answer.outcome != Outcome::Done)
        result.failure = { answer.code.empty() ? "endpoint_error" : answer.code, "run at the endpoint", endpoint.str(),
            answer.message, 0 };
    result.answer = std::move(answer);
    result.body = std::move(body);
    return result;
}

EndpointResult interpretExchange(
    HttpExchange&& exchange, std::string_view exchangeId, const EndpointId& endpoint, bool& closeConnection)
{
    closeConnection = true;
    EndpointResult failure;
    switch (exchange.status) {
    case ExchangeStatus::ConnectFailed:
        failure = makeNotRun("endpoint_unreachable", "connect to the endpoint", endpoint.str(), exchange.reason);
        failure.endpointFailed = true;
        return failure;
    case ExchangeStatus::TimedOut:
        failure = makeUnknown("endpoint_timeout", "wait for the endpoint", endpoint.str(), exchange.reason);
        failure.endpointFailed = true;
        return failure;
    case ExchangeStatus::Broken:
        return makeUnknown("connection_lost", "wait for the endpoint", endpoint.str(), exchange.reason);
    case ExchangeStatus::Answered:
        break;
    }
    try {
        EndpointAnswer answer = parseEndpointAnswer(exchange.body);
        if (answer.exchangeId != exchangeId)
            return makeUnknown("wrong_exchange_id", "read the endpoint's answer", endpoint.str(),
                "the answer belongs to another exchange");
        closeConnection = false;
        return makeResult(std::move(answer), endpoint, std::move(exchange.body));
    } catch (const Error& error) {
        return makeUnknown("malformed_answer", "read the endpoint's answer", endpoint.str(), error.message());
    }
}

AppliedPosition parseAwaitAnswer(std::string_view body, std::string_view exchangeId)
{
    const Json object = parseJson(body);
    if (!object.is_object() || stringMember(object, "exchange_id") != exchangeId || !object.contains("position"))
        throw Error("read the endpoint's answer", "", "the answer belongs to another exchange");
    return parsePosition(object);
}

} // namespace Lavendervane
