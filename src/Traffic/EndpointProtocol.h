#pragma once

#include "Traffic/EndpointTask.h"

#include <string>
#include <string_view>

namespace Lavendervane {

struct HttpExchange;

/// Formats a term as a JSON object.
std::string termToJson(const Term&);

/// Returns the request body, a JSON object as text, with the exchange id as its first member.
std::string addExchangeId(std::string_view exchangeId, std::string_view body);

/// Parses the body of an endpoint's response. Throws Error if it is malformed.
EndpointAnswer parseEndpointAnswer(std::string_view body);

/// Makes the result of a task from the endpoint's answer.
EndpointResult makeResult(EndpointAnswer, const EndpointId&, std::string body);

/// Makes the result of a task from an exchange. `closeConnection` is set to whether the connection must be closed.
EndpointResult interpretExchange(HttpExchange&&, std::string_view exchangeId, const EndpointId&, bool& closeConnection);

/// Parses the log position in a replica's answer to "/await". Throws Error if the body is malformed or belongs to
/// another exchange.
AppliedPosition parseAwaitAnswer(std::string_view body, std::string_view exchangeId);

} // namespace Lavendervane
