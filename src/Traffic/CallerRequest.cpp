#include "Traffic/CallerRequest.h"

#include "Traffic/CallerError.h"
#include "Traffic/JsonText.h"
#include "Traffic/TrafficServer.h"

#include <algorithm>
#include <charconv>

namespace Lavendervane {

using boost::beast::http::field;

static constexpr uint32_t maxTimeoutMs = 60000;
static constexpr uint32_t maxStalenessMs = 3600000;
static constexpr size_t maxIdempotencyKeyBytes = 128;

static std::string_view header(const HttpRequest& request, std::string_view name)
{
    const auto value = request[boost::beast::string_view(name.data(), name.size())];
    return { value.data(), value.size() };
}

[[noreturn]] static void reject(const std::string& message)
{
    throw CallerError("bad_request", "read the request", message);
}

static std::optional<uint32_t> numberHeader(const HttpRequest& request, std::string_view name, uint32_t maximum)
{
    const std::string_view text = header(request, name);
    if (text.empty())
        return std::nullopt;
    uint32_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc {} || parsed.ptr != text.data() + text.size() || value > maximum)
        reject(std::string(name) + " is not a number from 0 to " + std::to_string(maximum));
    return value;
}

std::optional<std::string> takeCallerKey(HttpRequest& request)
{
    const auto found = request.find(field::authorization);
    if (found == request.end())
        return std::nullopt;
    std::string_view value(found->value().data(), found->value().size());
    std::string key;
    constexpr std::string_view scheme = "Bearer ";
    if (value.substr(0, scheme.size()) == scheme)
        key = value.substr(scheme.size());
    request.erase(field::authorization);
    return key;
}

static CallerAction parseAction(const HttpRequest& request)
{
    static constexpr std::pair<std::string_view, CallerAction> actions[] = {
        { "/v1/execute", CallerAction::Execute },
        { "/v1/begin", CallerAction::Begin },
        { "/v1/statement", CallerAction::Statement },
        { "/v1/commit", CallerAction::Commit },
        { "/v1/rollback", CallerAction::Rollback },
    };
    const std::string_view target(request.target().data(), request.target().size());
    for (const auto& [path, action] : actions) {
        if (target != path)
            continue;
        if (request.method() != boost::beast::http::verb::post)
            reject("the method is not POST");
        return action;
    }
    throw CallerError("unknown_path", "read the request", "there is no such path");
}

static void parseHeaders(const HttpRequest& request, const TrafficSettings& settings, CallerRequest& parsed)
{
    const auto timeout = numberHeader(request, "Lavendervane-Timeout-Ms", maxTimeoutMs);
    parsed.timeout = timeout ? std::chrono::milliseconds(*timeout) : Duration(settings.defaultTimeout);
    if (const auto staleness = numberHeader(request, "Lavendervane-Max-Staleness-Ms", maxStalenessMs))
        parsed.maxStaleness = std::chrono::milliseconds(*staleness);
    const std::string_view consistency = header(request, "Lavendervane-Consistency");
    if (!consistency.empty() && consistency != "primary")
        reject("Lavendervane-Consistency is not \"primary\"");
    parsed.primaryOnly = !consistency.empty();
    parsed.session = header(request, "Lavendervane-Session");
    parsed.idempotencyKey = header(request, "Idempotency-Key");
    const bool printable = std::all_of(parsed.idempotencyKey.begin(), parsed.idempotencyKey.end(),
        [](char character) { return character > ' ' && character <= '~'; });
    if (!printable || parsed.idempotencyKey.size() > maxIdempotencyKeyBytes)
        reject("Idempotency-Key is not 1 to 128 printable characters");
}

CallerRequest parseCallerRequest(const HttpRequest& request, const TrafficSettings& settings)
{
    CallerRequest parsed;
    parsed.action = parseAction(request);
    parseHeaders(request, settings, parsed);
    const bool hasGroup = parsed.action == CallerAction::Execute || parsed.action == CallerAction::Begin;
    const bool hasStatements = parsed.action == CallerAction::Execute || parsed.action == CallerAction::Statement;
    if (request.body().empty() && !hasGroup && !hasStatements)
        return parsed;
    Json body;
    try {
        body = parseJson(request.body());
    } catch (const Error& error) {
        reject(error.message());
    }
    if (!body.is_object())
        reject("the body is not a JSON object");
    if (hasGroup) {
        parsed.group = GroupId(stringMember(body, "group"));
        if (parsed.group.empty())
            reject("\"group\" is missing");
        try {
            parsed.access = parseAccess(stringMember(body, "access"));
        } catch (const Error&) {
            reject("\"access\" is neither \"read\" nor \"write\"");
        }
    }
    if (hasStatements) {
        const auto statements = body.find("statements");
        if (statements == body.end() || !statements->is_array())
            reject("\"statements\" is not an array");
        parsed.statements = statements->dump();
    }
    return parsed;
}

} // namespace Lavendervane
