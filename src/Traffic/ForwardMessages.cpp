#include "Traffic/ForwardMessages.h"

#include "Core/Error.h"
#include "Traffic/EndpointProtocol.h"

#include "forward.pb.h"

#include <algorithm>

namespace Lavendervane {

void fillRequest(const EndpointTask& task, Instant now, lavendervane::ForwardRequest& request)
{
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(task.deadline - now);
    request.set_request_id(task.requestId);
    request.set_endpoint(task.endpoint.str());
    request.set_organisation(task.organisation.str());
    request.set_weight(task.weight);
    request.set_path(task.path);
    request.set_body(task.body);
    request.set_timeout_ms(static_cast<uint32_t>(std::max<int64_t>(1, remaining.count())));
    request.set_confirm(task.confirm);
}

EndpointTask parseRequest(const lavendervane::ForwardRequest& request, Instant now)
{
    static constexpr std::string_view paths[] = { "/execute", "/begin", "/statement", "/commit", "/rollback" };
    const std::string& body = request.body();
    if (std::find(std::begin(paths), std::end(paths), request.path()) == std::end(paths))
        throw Error("read the forwarded request", "", "unknown path \"" + request.path() + '"');
    if (body.size() < 2 || body.front() != '{' || body.back() != '}')
        throw Error("read the forwarded request", "", "the body is not a JSON object");
    return { request.request_id(), EndpointId(request.endpoint()), OrganisationId(request.organisation()),
        request.weight(), request.path(), body, now + std::chrono::milliseconds(request.timeout_ms()),
        request.confirm() };
}

void fillResponse(const std::string& requestId, EndpointResult&& result, lavendervane::ForwardResponse& response)
{
    response.set_request_id(requestId);
    response.set_outcome(std::string(toString(result.outcome)));
    response.set_code(result.failure.code);
    response.set_step(result.failure.step);
    response.set_peer(result.failure.peer);
    response.set_message(result.failure.message);
    response.set_body(std::move(result.body));
    response.set_retry_after_ms(result.failure.retryAfterMs);
}

EndpointResult parseResponse(const lavendervane::ForwardResponse& response, const std::string& vm)
{
    EndpointResult result;
    try {
        result.outcome = parseOutcome(response.outcome());
        if (!response.body().empty())
            result.answer = parseEndpointAnswer(response.body());
    } catch (const Error& error) {
        return makeUnknown("malformed_answer", "read the owner's answer", vm, error.message());
    }
    if (result.outcome == Outcome::Done && !result.answer)
        return makeUnknown("malformed_answer", "read the owner's answer", vm, "the endpoint's answer is missing");
    result.failure
        = { response.code(), response.step(), response.peer(), response.message(), response.retry_after_ms() };
    return result;
}

} // namespace Lavendervane
