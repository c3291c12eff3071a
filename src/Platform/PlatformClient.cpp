#include "Platform/PlatformClient.h"

#include "Platform/HttpPool.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace Lavendervane {

using nlohmann::json;

class PlatformClient::Implementation {
public:
    Implementation(boost::asio::io_context& context, std::string address, std::chrono::milliseconds timeout)
        : pool(context)
        , address(std::move(address))
        , timeout(timeout)
    {
    }

    void exchange(
        const std::string& method, const std::string& target, std::string body, const HttpExchangeCallback& callback)
    {
        this->pool.exchange(this->address, method, target, std::move(body), this->timeout, false, callback);
    }

    HttpPool pool;
    std::string address;
    std::chrono::milliseconds timeout;
};

static std::vector<TableRow> parseRows(const json& body)
{
    std::vector<TableRow> rows;
    for (const json& row : body.value("rows", json::array())) {
        // The value of an absent row is null.
        const json value = row.value("value", json());
        rows.push_back({ row.at("key"), row.at("revision"), value.is_null() ? "" : value.get<std::string>() });
    }
    return rows;
}

static TableResult makeFailureResult(const HttpExchange& exchange)
{
    return { exchange.status == ExchangeStatus::ConnectFailed ? TableStatus::NotSent : TableStatus::Unknown, {} };
}

static bool isOk(const HttpExchange& exchange)
{
    return exchange.status == ExchangeStatus::Answered && exchange.httpStatus == 200;
}

static TableResult parseReadResult(const HttpExchange& exchange)
{
    if (!isOk(exchange))
        return makeFailureResult(exchange);
    try {
        return { TableStatus::Done, parseRows(json::parse(exchange.body)) };
    } catch (const json::exception&) {
        return { TableStatus::Unknown, {} };
    }
}

static TableResult parseTransactionResult(const HttpExchange& exchange)
{
    if (exchange.status != ExchangeStatus::Answered)
        return makeFailureResult(exchange);
    try {
        // The body of an error answer has no "committed" field, so the outcome is unknown.
        const json body = json::parse(exchange.body);
        const bool committed = body.at("committed").get<bool>();
        return { committed ? TableStatus::Done : TableStatus::Conflict, parseRows(body) };
    } catch (const json::exception&) {
        return { TableStatus::Unknown, {} };
    }
}

static json encodeTransaction(const TableTransaction& transaction)
{
    json compare = json::array();
    for (const RowCondition& condition : transaction.conditions)
        compare.push_back({ { "key", condition.key }, { "revision", condition.revision } });
    json put = json::array();
    for (const RowWrite& write : transaction.writes)
        put.push_back({ { "key", write.key }, { "value", write.value } });
    return { { "change_id", transaction.changeId }, { "compare", compare }, { "put", put },
        { "delete", json::array() } };
}

static std::optional<std::vector<Member>> parseVms(const HttpExchange& exchange)
{
    if (!isOk(exchange))
        return std::nullopt;
    try {
        const json body = json::parse(exchange.body);
        std::vector<Member> vms;
        for (const json& vm : body.at("vms")) {
            vms.push_back({ VmId(vm.at("id")), vm.at("address"), DataCentre(vm.at("data_centre")), 0,
                vm.at("state") == "leaving" ? MemberState::Leaving : MemberState::Alive });
        }
        return vms;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

PlatformClient::PlatformClient(boost::asio::io_context& context, std::string address, std::chrono::milliseconds timeout)
    : implementation(std::make_unique<Implementation>(context, std::move(address), timeout))
{
}

PlatformClient::~PlatformClient() = default;

void PlatformClient::read(const std::vector<std::string>& keys, TableCallback callback)
{
    this->implementation->exchange("POST", "/table/read", json { { "keys", keys } }.dump(),
        [callback = std::move(callback)](const HttpExchange& exchange) { callback(parseReadResult(exchange)); });
}

void PlatformClient::scan(const std::string& prefix, const std::string& after, uint32_t limit, TableCallback callback)
{
    const json body { { "prefix", prefix }, { "after", after }, { "limit", limit } };
    this->implementation->exchange("POST", "/table/scan", body.dump(),
        [callback = std::move(callback)](const HttpExchange& exchange) { callback(parseReadResult(exchange)); });
}

void PlatformClient::transact(const TableTransaction& transaction, TableCallback callback)
{
    this->implementation->exchange("POST", "/table/transact", encodeTransaction(transaction).dump(),
        [callback = std::move(callback)](const HttpExchange& exchange) { callback(parseTransactionResult(exchange)); });
}

void PlatformClient::putObject(const std::string& name, std::string content, std::function<void(bool)> callback)
{
    this->implementation->exchange(
        "PUT", "/objects/" + name, std::move(content), [callback = std::move(callback)](const HttpExchange& exchange) {
            callback(exchange.status == ExchangeStatus::Answered && exchange.httpStatus / 100 == 2);
        });
}

void PlatformClient::getObject(const std::string& name, std::function<void(std::optional<std::string>)> callback)
{
    this->implementation->exchange(
        "GET", "/objects/" + name, "", [callback = std::move(callback)](const HttpExchange& exchange) {
            callback(isOk(exchange) ? std::optional(exchange.body) : std::nullopt);
        });
}

void PlatformClient::listVms(std::function<void(std::optional<std::vector<Member>>)> callback)
{
    this->implementation->exchange("GET", "/vms", "",
        [callback = std::move(callback)](const HttpExchange& exchange) { callback(parseVms(exchange)); });
}

} // namespace Lavendervane
