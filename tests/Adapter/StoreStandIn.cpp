#include "StoreStandIn.h"

#include "StoreClient.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <utility>

namespace Lavendervane::Adapter {

using Json = nlohmann::json;

static std::string queryValue(const std::string& target, const std::string& name)
{
    // The character before the name keeps "to" from being found in another name.
    const size_t separator = target.find_first_of("?&");
    size_t start = separator;
    while (start != std::string::npos && target.compare(start + 1, name.size() + 1, name + "="))
        start = target.find('&', start + 1);
    if (start == std::string::npos)
        return "";
    const size_t from = start + 1 + name.size() + 1;
    const std::string escaped = target.substr(from, target.find('&', from) - from);
    std::string value;
    for (size_t index = 0; index < escaped.size(); ++index) {
        if (escaped[index] == '%') {
            value.push_back(static_cast<char>(std::stoi(escaped.substr(index + 1, 2), nullptr, 16)));
            index += 2;
        } else {
            value.push_back(escaped[index]);
        }
    }
    return value;
}

class StoreStandIn::Handler : public HttpHandler {
public:
    explicit Handler(StoreStandIn& store)
        : store(store)
    {
    }

    void handle(HttpRequest request, HttpRespond respond) override
    {
        if (this->store.isSilent) {
            this->store.unanswered.push_back(std::move(respond));
            return;
        }
        const std::string target(request.target());
        const std::string table = queryValue(target, "table");
        if (target.starts_with("/-/rows-get"))
            this->store.handleRead(target, respond);
        else if (target.starts_with("/-/rows-feed"))
            this->store.handleFeed({ table, std::stoull(queryValue(target, "after")), std::move(respond) },
                queryValue(target, "wait_ms") != "0");
        else if (target == "/-/rows-tx")
            this->store.handleTransaction(request.body(), respond);
        else
            this->store.respondWith(respond, 404, "{}");
    }

    HttpResponse makeErrorResponse(unsigned status, const std::string&) override
    {
        return makeJsonResponse(status, "{}");
    }

private:
    StoreStandIn& store;
};

StoreStandIn::StoreStandIn(boost::asio::io_context& context)
    : context(context)
{
    this->listen(0);
}

void StoreStandIn::listen(uint16_t requestedPort)
{
    HttpServerSettings settings;
    settings.address = "127.0.0.1:" + std::to_string(requestedPort);
    this->server
        = std::make_unique<HttpServer>(this->context, settings, [this] { return std::make_shared<Handler>(*this); });
    this->port = this->server->port();
}

std::string StoreStandIn::address() const { return "127.0.0.1:" + std::to_string(this->port); }

void StoreStandIn::put(const std::string& table, const std::string& key, const std::string& value)
{
    this->change(table, key, { value, 0, false });
}

void StoreStandIn::remove(const std::string& table, const std::string& key)
{
    this->change(table, key, { "", 0, true });
}

void StoreStandIn::change(const std::string& table, const std::string& key, Row row)
{
    row.version = ++this->content.version;
    this->content.rows.insert_or_assign({ table, key }, std::move(row));
    this->waiting.remove_if([this](const FeedRequest& request) { return this->answerFeed(request); });
}

void StoreStandIn::restore()
{
    this->content = this->copy;
    ++this->generation;
}

void StoreStandIn::goAway()
{
    this->waiting.clear();
    this->server->closeAll();
    this->server.reset();
}

void StoreStandIn::comeBack() { this->listen(this->port); }

void StoreStandIn::respondWith(const HttpRespond& respond, unsigned status, std::string body) const
{
    if (this->isSilent) {
        this->unanswered.push_back(respond);
        return;
    }
    HttpResponse response = makeJsonResponse(status, std::move(body));
    if (this->reportsGeneration)
        response.set("Store-Era", std::to_string(this->generation));
    respond(std::move(response));
}

std::optional<std::string> StoreStandIn::find(const std::string& table, const std::string& key) const
{
    const auto row = this->content.rows.find({ table, key });
    if (row == this->content.rows.end() || row->second.deleted)
        return std::nullopt;
    return row->second.value;
}

static int64_t clockNowMs()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

std::string StoreStandIn::encodeRows(
    const std::string& table, std::optional<uint64_t> after, const KeyRange& range) const
{
    Json rows = Json::array();
    for (const auto& [id, row] : this->content.rows) {
        if (id.first != table || !range.contains(id.second) || (after ? row.version <= *after : row.deleted))
            continue;
        Json json { { "key", id.second }, { "ver", row.version }, { "value", encodeBase64(row.value) } };
        if (row.deleted)
            json["deleted"] = true;
        rows.push_back(std::move(json));
    }
    return Json { { "rows", std::move(rows) }, { "ver", this->content.version }, { "now_ms", clockNowMs() } }.dump();
}

void StoreStandIn::handleRead(const std::string& target, const HttpRespond& respond) const
{
    const KeyRange range { queryValue(target, "from"), queryValue(target, "to") };
    this->respondWith(respond, 200, this->encodeRows(queryValue(target, "table"), std::nullopt, range));
}

void StoreStandIn::handleTransaction(const std::string& body, const HttpRespond& respond)
{
    const Json transaction = Json::parse(body);
    for (const Json& condition : transaction.at("expected")) {
        const auto row = this->content.rows.find({ condition.at("table"), condition.at("key") });
        const uint64_t version = row == this->content.rows.end() ? 0 : row->second.version;
        if (condition.at("ver") != version) {
            this->respondWith(respond, 412, this->encodeRows(condition.at("table"), std::nullopt));
            return;
        }
    }
    for (const Json& write : transaction.at("set_keys"))
        this->put(write.at("table"), write.at("key"), decodeBase64(write.at("value").get<std::string>()).value());
    this->respondWith(respond, 200, Json { { "ver", this->content.version }, { "now_ms", clockNowMs() } }.dump());
}

bool StoreStandIn::answerFeed(const FeedRequest& request) const
{
    for (const auto& [id, row] : this->content.rows) {
        if (id.first == request.table && row.version > request.after) {
            this->respondWith(request.respond, 200, this->encodeRows(request.table, request.after));
            return true;
        }
    }
    return false;
}

void StoreStandIn::handleFeed(FeedRequest request, bool waitsForChange)
{
    if (request.after > this->content.version)
        this->respondWith(request.respond, 410, "{}");
    else if (this->answerFeed(request))
        return;
    else if (!waitsForChange)
        this->respondWith(request.respond, 200, this->encodeRows(request.table, request.after));
    else
        this->waiting.push_back(std::move(request));
}

} // namespace Lavendervane::Adapter
