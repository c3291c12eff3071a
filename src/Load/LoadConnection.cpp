#include "Load/LoadConnection.h"

#include "Http/Address.h"
#include "Http/HttpMessages.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <cassert>
#include <optional>
#include <utility>

namespace Lavendervane {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

class LoadConnection::Implementation : public std::enable_shared_from_this<LoadConnection::Implementation> {
public:
    Implementation(asio::io_context& context, std::string address)
        : address(std::move(address))
        , endpoint(parseAddress(this->address))
        , stream(context)
    {
    }

    void send(
        const LoadRequest& loadRequest, std::chrono::milliseconds timeout, std::function<void(LoadResponse)> answer)
    {
        assert(!this->busy);
        this->busy = true;
        this->callback = std::move(answer);
        this->request = { http::verb::post, loadRequest.target, 11 };
        this->request.set(http::field::host, this->address);
        this->request.set(http::field::content_type, "application/json");
        for (const auto& [name, value] : loadRequest.headers)
            this->request.set(name, value);
        this->request.body() = loadRequest.body;
        this->request.prepare_payload();
        this->stream.expires_after(timeout);
        if (this->connected)
            this->write();
        else
            this->connect();
    }

    void close()
    {
        this->failed = true;
        error_code ignored;
        this->stream.socket().close(ignored);
    }

    bool isReusable()
    {
        if (this->busy || this->failed)
            return false;
        return !this->connected || !this->isClosedByPeer();
    }

    std::string address;

private:
    bool isClosedByPeer()
    {
        error_code error;
        char byte = 0;
        this->stream.socket().non_blocking(true, error);
        this->stream.socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
        return error != asio::error::would_block;
    }

    void connect()
    {
        this->stream.async_connect(this->endpoint, [self = this->shared_from_this()](error_code error) {
            if (error) {
                self->finish({ ExchangeStatus::ConnectFailed, 0, "", "" });
                return;
            }
            self->connected = true;
            error_code ignored;
            self->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
            self->write();
        });
    }

    void write()
    {
        http::async_write(this->stream, this->request, [self = this->shared_from_this()](error_code error, size_t) {
            if (error)
                self->fail(error);
            else
                self->read();
        });
    }

    void read()
    {
        this->parser.emplace();
        constexpr uint64_t maxResponseBodyBytes = 16 * 1024 * 1024;
        this->parser->body_limit(maxResponseBodyBytes);
        http::async_read(
            this->stream, this->buffer, *this->parser, [self = this->shared_from_this()](error_code error, size_t) {
                if (error)
                    self->fail(error);
                else
                    self->handleResponse(self->parser->release());
            });
    }

    void handleResponse(HttpResponse response)
    {
        if (!response.keep_alive())
            this->close();
        std::string token(response["Lavendervane-Session"]);
        this->finish({ ExchangeStatus::Answered, response.result_int(), std::move(response.body()), std::move(token) });
    }

    void fail(error_code error)
    {
        const bool timedOut = error == beast::error::timeout;
        this->finish({ timedOut ? ExchangeStatus::TimedOut : ExchangeStatus::Broken, 0, "", "" });
    }

    void finish(LoadResponse response)
    {
        if (response.status != ExchangeStatus::Answered)
            this->close();
        else if (!this->failed)
            this->stream.expires_never();
        this->busy = false;
        auto answer = std::exchange(this->callback, nullptr);
        answer(std::move(response));
    }

    asio::ip::tcp::endpoint endpoint;
    beast::tcp_stream stream;
    bool connected = false;
    bool busy = false;
    bool failed = false;
    HttpRequest request;
    beast::flat_buffer buffer;
    std::optional<http::response_parser<http::string_body>> parser;
    std::function<void(LoadResponse)> callback;
};

LoadConnection::LoadConnection(asio::io_context& context, std::string address)
    : implementation(std::make_shared<Implementation>(context, std::move(address)))
{
}

LoadConnection::~LoadConnection() { this->implementation->close(); }

void LoadConnection::send(
    const LoadRequest& request, std::chrono::milliseconds timeout, std::function<void(LoadResponse)> callback)
{
    this->implementation->send(request, timeout, std::move(callback));
}

bool LoadConnection::isReusable() const { return this->implementation->isReusable(); }

const std::string& LoadConnection::address() const { return this->implementation->address; }

} // namespace Lavendervane
