#include "Http/HttpConnection.h"

#include "Http/Address.h"
#include "Http/HttpMessages.h"
#include "Runtime/BootTime.h"
#include "Runtime/SocketOptions.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <cassert>
#include <optional>
#include <utility>

namespace Lavendervane {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

// A host that does not accept a connection within this time is treated as unreachable. Connections within a region are
// established within 10 ms. A lost SYN is retransmitted after a second, so waiting up to that time gains nothing.
static constexpr auto connectTimeout = std::chrono::milliseconds(700);

static constexpr uint64_t responseBodyLimit = 16 * 1024 * 1024; // bytes

std::string_view HttpExchange::header(std::string_view name) const
{
    for (const HttpHeader& header : this->headers) {
        if (beast::iequals({ header.name.data(), header.name.size() }, { name.data(), name.size() }))
            return header.value;
    }
    return {};
}

static std::vector<HttpHeader> copyHeaders(const HttpResponse& response)
{
    std::vector<HttpHeader> headers;
    for (const auto& field : response)
        headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    return headers;
}

class HttpConnection::Implementation : public std::enable_shared_from_this<HttpConnection::Implementation> {
public:
    Implementation(asio::io_context& context, std::string address)
        : address(std::move(address))
        , stream(context)
    {
    }

    void exchange(const std::string& method, const std::string& target, std::string body,
        std::chrono::milliseconds timeout, HttpExchangeCallback callback)
    {
        assert(!this->isBusy);
        this->isBusy = true;
        this->callback = std::move(callback);
        this->request = {};
        this->request.version(11);
        this->request.method_string(method);
        this->request.target(target);
        this->request.set(http::field::host, this->address);
        this->request.set(http::field::content_type, "application/json");
        this->request.body() = std::move(body);
        this->request.prepare_payload();
        this->timeout = timeout;
        if (this->isConnected)
            this->send();
        else
            this->connect();
    }

    void close()
    {
        this->isClosed = true;
        error_code ignored;
        this->stream.socket().close(ignored);
    }

    bool isUsable() const { return !this->isBusy && !this->isClosed; }

    bool isReusable() { return this->isUsable() && (!this->isConnected || !this->isClosedByPeer()); }

    std::string address;
    bool isConnected = false;

private:
    // An idle connection that is readable was closed by the peer or holds bytes that belong to no exchange.
    bool isClosedByPeer()
    {
        error_code error;
        char byte = 0;
        // Setting the mode costs a system call even if it is already set.
        if (!this->stream.socket().non_blocking())
            this->stream.socket().non_blocking(true, error);
        this->stream.socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
        return error != asio::error::would_block;
    }

    void connect()
    {
        boost::asio::ip::tcp::endpoint endpoint;
        try {
            endpoint = parseAddress(this->address);
        } catch (const std::exception& error) {
            asio::post(
                this->stream.get_executor(), [self = this->shared_from_this(), reason = std::string(error.what())] {
                    self->finish({ ExchangeStatus::ConnectFailed, 0, "", reason, false });
                });
            return;
        }
        this->stream.expires_after(std::min<std::chrono::milliseconds>(connectTimeout, this->timeout));
        this->stream.async_connect(endpoint, [self = this->shared_from_this()](error_code error) {
            if (error) {
                const bool connectionRefused = error == asio::error::connection_refused;
                self->finish({ ExchangeStatus::ConnectFailed, 0, "", error.message(), connectionRefused });
                return;
            }
            self->isConnected = true;
            setConnectionOptions(self->stream.socket());
            self->send();
        });
    }

    void send()
    {
        this->stream.expires_after(this->timeout);
        http::async_write(this->stream, this->request, [self = this->shared_from_this()](error_code error, size_t) {
            if (error) {
                self->fail(error);
                return;
            }
            self->writtenAt = bootTimeNow();
            self->receive();
        });
    }

    void receive()
    {
        this->parser.emplace();
        this->parser->body_limit(responseBodyLimit);
        http::async_read(
            this->stream, this->buffer, *this->parser, [self = this->shared_from_this()](error_code error, size_t) {
                if (error) {
                    self->fail(error);
                    return;
                }
                HttpResponse response = self->parser->release();
                // Bytes beyond the answer would be taken for the answer to the next request.
                if (!response.keep_alive() || self->buffer.size())
                    self->close();
                auto headers = copyHeaders(response);
                self->finish({ ExchangeStatus::Answered, response.result_int(), std::move(response.body()), "", false,
                    std::move(headers), self->writtenAt });
            });
    }

    void fail(error_code error)
    {
        const auto status = error == beast::error::timeout ? ExchangeStatus::TimedOut : ExchangeStatus::Broken;
        this->finish({ status, 0, "", error.message(), false });
    }

    void finish(HttpExchange result)
    {
        if (result.status != ExchangeStatus::Answered)
            this->close();
        else if (!this->isClosed)
            this->stream.expires_never();
        this->isBusy = false;
        auto callback = std::exchange(this->callback, nullptr);
        callback(std::move(result));
    }

    beast::tcp_stream stream;
    std::chrono::milliseconds timeout {};
    Instant writtenAt {};
    bool isBusy = false;
    bool isClosed = false;
    HttpRequest request;
    beast::flat_buffer buffer;
    std::optional<http::response_parser<http::string_body>> parser;
    HttpExchangeCallback callback;
};

HttpConnection::HttpConnection(asio::io_context& context, std::string address)
    : implementation(std::make_shared<Implementation>(context, std::move(address)))
{
}

HttpConnection::~HttpConnection() { this->implementation->close(); }

void HttpConnection::exchange(const std::string& method, const std::string& target, std::string body,
    std::chrono::milliseconds timeout, HttpExchangeCallback callback)
{
    this->implementation->exchange(method, target, std::move(body), timeout, std::move(callback));
}

bool HttpConnection::isUsable() const { return this->implementation->isUsable(); }

bool HttpConnection::isReusable() const { return this->implementation->isReusable(); }

const std::string& HttpConnection::address() const { return this->implementation->address; }

bool HttpConnection::isConnected() const { return this->implementation->isConnected; }

void HttpConnection::close() { this->implementation->close(); }

} // namespace Lavendervane
