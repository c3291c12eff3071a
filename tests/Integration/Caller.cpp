#include "Integration/Caller.h"

#include "Http/Address.h"
#include "Http/HttpMessages.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace Lavendervane {

namespace http = boost::beast::http;
using boost::system::error_code;

std::string CallerResponse::outcome() const { return this->body.is_object() ? this->body.value("outcome", "") : ""; }

std::string CallerResponse::code() const
{
    if (!this->body.is_object() || !this->body.contains("error") || !this->body["error"].is_object())
        return "";
    return this->body["error"].value("code", "");
}

static std::string servedByField(const nlohmann::json& body, const char* field)
{
    if (!body.is_object() || !body.contains("served_by") || !body["served_by"].is_object())
        return "";
    return body["served_by"].value(field, "");
}

std::string CallerResponse::endpoint() const { return servedByField(this->body, "endpoint"); }

std::string CallerResponse::role() const { return servedByField(this->body, "role"); }

class Caller::Implementation {
public:
    using Stream = boost::beast::tcp_stream;

    std::optional<HttpResponse> exchange(
        const std::string& address, HttpRequest& request, std::chrono::milliseconds timeout)
    {
        auto& stream = this->streams[address];
        // A connection that the VM closed while it was idle fails before any answer; the request is repeated once on a
        // new one.
        for (const bool reused : { stream != nullptr, false }) {
            if (!reused)
                stream = this->connect(address, timeout);
            if (!stream)
                return std::nullopt;
            bool mayHaveRun = false;
            auto response = this->exchangeOn(*stream, request, timeout, mayHaveRun);
            if (response && response->keep_alive())
                return response;
            stream.reset();
            if (response || !reused || mayHaveRun)
                return response;
        }
        return std::nullopt;
    }

    std::unique_ptr<Stream> connect(const std::string& address, std::chrono::milliseconds timeout)
    {
        auto stream = std::make_unique<Stream>(this->context);
        stream->expires_after(timeout);
        std::optional<error_code> result;
        stream->async_connect(parseAddress(address), [&result](error_code error) { result = error; });
        this->run(result);
        if (*result)
            return nullptr;
        return stream;
    }

    template <typename Result> void run(const std::optional<Result>& result)
    {
        this->context.restart();
        while (!result)
            this->context.run_one();
    }

    std::optional<HttpResponse> exchangeOn(
        Stream& stream, HttpRequest& request, std::chrono::milliseconds timeout, bool& mayHaveRun)
    {
        stream.expires_after(timeout);
        std::optional<error_code> written;
        http::async_write(stream, request, [&written](error_code error, size_t) { written = error; });
        this->run(written);
        if (*written)
            return std::nullopt;
        HttpResponse response;
        boost::beast::flat_buffer buffer;
        std::optional<error_code> received;
        http::async_read(stream, buffer, response, [&received](error_code error, size_t) { received = error; });
        this->run(received);
        // A connection closed while it was idle ends without a byte of an answer; then the request has not run.
        mayHaveRun = *received && *received != http::error::end_of_stream;
        if (*received)
            return std::nullopt;
        return response;
    }

    std::string sendRaw(const std::string& address, const std::string& bytes, std::chrono::milliseconds limit)
    {
        auto stream = this->connect(address, limit);
        if (!stream)
            return "";
        stream->expires_after(limit);
        std::optional<error_code> written;
        boost::asio::async_write(
            *stream, boost::asio::buffer(bytes), [&written](error_code error, size_t) { written = error; });
        this->run(written);
        std::string answer;
        char chunk[4096];
        while (true) {
            std::optional<error_code> received;
            stream->async_read_some(boost::asio::buffer(chunk), [&](error_code error, size_t count) {
                answer.append(chunk, count);
                received = error;
            });
            this->run(received);
            if (*received)
                return answer;
        }
    }

    boost::asio::io_context context;
    std::map<std::string, std::unique_ptr<Stream>> streams;
};

Caller::Caller(std::string key)
    : key(std::move(key))
    , implementation(std::make_unique<Implementation>())
{
}

Caller::~Caller() = default;

static CallerResponse parseAnswer(const std::optional<HttpResponse>& response)
{
    if (!response)
        return {};
    CallerResponse answer;
    answer.status = response->result_int();
    answer.body = nlohmann::json::parse(response->body(), nullptr, false);
    answer.session = std::string((*response)["Lavendervane-Session"]);
    return answer;
}

CallerResponse Caller::post(const std::string& address, const std::string& path, const nlohmann::json& body,
    const std::map<std::string, std::string>& headers)
{
    HttpRequest request(http::verb::post, path, 11);
    request.set(http::field::host, address);
    request.set(http::field::content_type, "application/json");
    if (!this->key.empty())
        request.set(http::field::authorization, "Bearer " + this->key);
    if (!this->session.empty())
        request.set("Lavendervane-Session", this->session);
    for (const auto& [name, value] : headers)
        request.set(name, value);
    request.body() = body.dump();
    request.prepare_payload();
    CallerResponse answer = parseAnswer(this->implementation->exchange(address, request, this->timeout));
    if (this->keepSession && !answer.session.empty())
        this->session = answer.session;
    return answer;
}

CallerResponse Caller::get(const std::string& address, const std::string& path)
{
    HttpRequest request(http::verb::get, path, 11);
    request.set(http::field::host, address);
    return parseAnswer(this->implementation->exchange(address, request, this->timeout));
}

std::string Caller::sendRaw(const std::string& address, const std::string& bytes, std::chrono::milliseconds limit)
{
    return this->implementation->sendRaw(address, bytes, limit);
}

CallerResponse Caller::write(const std::string& address, const std::string& group, const std::string& key,
    const std::string& value, const std::string& idempotencyKey)
{
    std::map<std::string, std::string> headers;
    if (!idempotencyKey.empty())
        headers["Idempotency-Key"] = idempotencyKey;
    const nlohmann::json statement { { "op", "put" }, { "key", key }, { "value", value } };
    return this->post(address, "/v1/execute",
        { { "group", group }, { "access", "write" }, { "statements", nlohmann::json::array({ statement }) } }, headers);
}

CallerResponse Caller::read(const std::string& address, const std::string& group, const std::string& key)
{
    const nlohmann::json statement { { "op", "get" }, { "key", key } };
    return this->post(address, "/v1/execute",
        { { "group", group }, { "access", "read" }, { "statements", nlohmann::json::array({ statement }) } });
}

void Caller::disconnect() { this->implementation->streams.clear(); }

} // namespace Lavendervane
