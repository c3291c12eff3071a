#include "Traffic/CallerResponse.h"

#include "Traffic/JsonText.h"

#include <utility>

namespace Lavendervane {

unsigned httpStatusFor(Outcome outcome, const std::string& code)
{
    static constexpr std::pair<std::string_view, unsigned> statuses[] = {
        { "bad_request", 400 },
        { "invalid_session", 400 },
        { "session_too_large", 400 },
        { "invalid_key", 401 },
        { "key_required", 401 },
        { "not_allowed", 403 },
        { "unknown_group", 404 },
        { "unknown_path", 404 },
        { "idempotency_conflict", 409 },
        { "no_transaction", 409 },
        { "transaction_open", 409 },
        { "body_too_large", 413 },
        { "queue_full", 429 },
        { "rate_limited", 429 },
        { "header_too_large", 431 },
    };
    if (outcome == Outcome::Done)
        return 200;
    if (outcome == Outcome::Unknown)
        return 504;
    for (const auto& [known, status] : statuses) {
        if (code == known)
            return status;
    }
    return 503;
}

HttpResponse makeHttpResponse(const CallerResponse& response)
{
    std::string body;
    body.reserve(256 + response.results.size());
    body += "{\"outcome\":\"";
    body += toString(response.outcome);
    body += "\",\"request_id\":\"" + response.requestId + "\",\"results\":" + response.results;
    body += ",\"served_by\":{\"vm\":" + quoteJson(response.vm.str());
    if (!response.endpoint.empty()) {
        body += ",\"endpoint\":" + quoteJson(response.endpoint.str());
        body += response.primary ? ",\"role\":\"primary\"" : ",\"role\":\"replica\"";
    }
    body += '}';
    const RequestFailure& failure = response.failure;
    if (response.outcome != Outcome::Done) {
        body += ",\"error\":{\"code\":" + quoteJson(failure.code) + ",\"step\":" + quoteJson(failure.step)
            + ",\"peer\":" + quoteJson(failure.peer) + ",\"message\":" + quoteJson(failure.message) + "}";
        if (failure.retryAfterMs)
            body += ",\"retry_after_ms\":" + std::to_string(failure.retryAfterMs);
    }
    body += '}';

    const unsigned status = httpStatusFor(response.outcome, failure.code);
    HttpResponse http = makeJsonResponse(status, std::move(body));
    if (!response.session.empty())
        http.set("Lavendervane-Session", response.session);
    if (response.outcome == Outcome::NotRun && failure.retryAfterMs)
        http.set(boost::beast::http::field::retry_after, std::to_string((failure.retryAfterMs + 999) / 1000));
    return http;
}

} // namespace Lavendervane
