#include "Daemon/EndpointClient.h"

#include "Runtime/BootTime.h"

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace Lavendervane {

using nlohmann::json;

// Applies to a status query and to each step of a promotion (docs/design.md, 5.2).
static constexpr auto callTimeout = std::chrono::milliseconds(700);

static json toJson(const Term& term) { return { { "counter", term.counter }, { "vm", term.vm.str() } }; }

static Term parseTerm(const json& term) { return { term.at("counter"), VmId(term.at("vm").get<std::string>()) }; }

static Duration parseMilliseconds(const json& body, const char* field)
{
    return std::chrono::milliseconds(body.value(field, int64_t(0)));
}

static EndpointStatus parseStatus(const json& body)
{
    EndpointStatus status;
    status.promised = parseTerm(body.at("promised"));
    status.term = parseTerm(body.at("term"));
    status.primary = body.at("role") == "primary";
    status.position = body.at("position");
    status.firstPosition = body.at("first_position");
    status.lastEntryTerm = parseTerm(body.at("last_entry_term"));
    status.primaryHeard = parseMilliseconds(body, "primary_heard_ms");
    status.lag = parseMilliseconds(body, "lag_ms");
    const json primary = body.value("primary", json());
    status.primaryAddress = primary.is_string() ? primary.get<std::string>() : "";
    return status;
}

EndpointClient::EndpointClient(boost::asio::io_context& context, std::function<void(GroupEvent)> sink)
    : pool(context)
    , sink(std::move(sink))
{
}

void EndpointClient::call(const EndpointId& endpoint, const std::string& address, const std::string& path,
    const std::string& body, const std::string& exchangeId, bool freshConnection, Parse parse)
{
    this->pool.exchange(address, "POST", path, body, callTimeout, freshConnection,
        [this, endpoint, exchangeId, parse = std::move(parse)](const HttpExchange& exchange) {
            GroupEvent event = EndpointFailed { bootTimeNow(), endpoint };
            try {
                if (exchange.status == ExchangeStatus::Answered && exchange.httpStatus == 200
                    && json::parse(exchange.body).value("exchange_id", "") == exchangeId)
                    event = parse(exchange.body);
            } catch (const std::exception&) {
                // A malformed answer is handled like a missing one.
                event = EndpointFailed { bootTimeNow(), endpoint };
            }
            this->sink(std::move(event));
        });
}

void EndpointClient::start(const QueryStatus& query)
{
    const std::string id = "control-" + std::to_string(++this->lastExchange);
    const json body { { "exchange_id", id } };
    this->call(query.endpoint, query.address, "/status", body.dump(), id, query.freshConnection,
        [endpoint = query.endpoint](const std::string& answer) -> GroupEvent {
            return StatusReceived { bootTimeNow(), endpoint, parseStatus(json::parse(answer)) };
        });
}

void EndpointClient::start(const SendFence& fence)
{
    const std::string id = "control-" + std::to_string(++this->lastExchange);
    const json body { { "exchange_id", id }, { "term", toJson(fence.term) } };
    this->call(fence.endpoint, fence.address, "/fence", body.dump(), id, false,
        [endpoint = fence.endpoint, term = fence.term](const std::string& text) -> GroupEvent {
            const json answer = json::parse(text);
            return FenceAnswered { bootTimeNow(), endpoint, term, answer.at("accepted"),
                parseTerm(answer.at("promised")), parseTerm(answer.at("last_entry_term")), answer.at("position") };
        });
}

void EndpointClient::start(const SendPromote& promote)
{
    const std::string id = "control-" + std::to_string(++this->lastExchange);
    const json body { { "exchange_id", id }, { "term", toJson(promote.term) }, { "members", promote.members } };
    this->call(promote.endpoint, promote.address, "/promote", body.dump(), id, false,
        [endpoint = promote.endpoint, term = promote.term](const std::string& answer) -> GroupEvent {
            return PromoteAnswered { bootTimeNow(), endpoint, term, json::parse(answer).at("accepted") };
        });
}

void EndpointClient::start(const SendFollow& follow)
{
    const std::string id = "control-" + std::to_string(++this->lastExchange);
    const json body { { "exchange_id", id }, { "term", toJson(follow.term) }, { "primary", follow.primaryAddress } };
    this->call(follow.endpoint, follow.address, "/follow", body.dump(), id, false,
        [endpoint = follow.endpoint, term = follow.term](const std::string& answer) -> GroupEvent {
            return FollowAnswered { bootTimeNow(), endpoint, term, json::parse(answer).at("accepted") };
        });
}

} // namespace Lavendervane
