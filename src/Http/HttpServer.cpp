#include "Http/HttpServer.h"

#include "Core/Error.h"
#include "Http/Address.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl/ssl_stream.hpp>

#include <list>
#include <optional>

namespace Lavendervane {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

namespace {

using PlainStream = beast::tcp_stream;
using TlsStream = beast::ssl_stream<beast::tcp_stream>;

class Session {
public:
    virtual ~Session() = default;
    virtual void start() = 0;
    virtual void closeIfIdle() = 0;
    virtual void close() = 0;
};

} // namespace

class HttpServer::Implementation : public std::enable_shared_from_this<HttpServer::Implementation> {
public:
    Implementation(asio::io_context&, const HttpServerSettings&, HttpHandlerFactory);

    void accept();
    void stopAccepting();
    void closeAll();

    using SessionList = std::list<std::weak_ptr<Session>>;

    asio::io_context& context;
    HttpServerSettings settings;
    HttpHandlerFactory makeHandler;
    tcp::acceptor acceptor;
    SessionList sessions;
    bool isDraining = false;
};

namespace {

template <typename Stream>
class StreamSession : public Session, public std::enable_shared_from_this<StreamSession<Stream>> {
public:
    template <typename... Arguments>
    StreamSession(std::shared_ptr<HttpServer::Implementation> server, Arguments&&... arguments)
        : server(std::move(server))
        , stream(std::forward<Arguments>(arguments)...)
        , handler(this->server->makeHandler())
    {
        this->listEntry = this->server->sessions.end();
    }

    ~StreamSession() override
    {
        this->notifyClosed();
        if (this->listEntry != this->server->sessions.end())
            this->server->sessions.erase(this->listEntry);
    }

    void start() override
    {
        this->listEntry = this->server->sessions.insert(this->server->sessions.end(), this->weak_from_this());
        if constexpr (std::is_same_v<Stream, TlsStream>) {
            beast::get_lowest_layer(this->stream).expires_after(this->server->settings.requestTimeout);
            this->stream.async_handshake(
                asio::ssl::stream_base::server, [self = this->shared_from_this()](error_code error) {
                    if (!error)
                        self->awaitRequest();
                });
        } else
            this->awaitRequest();
    }

    void closeIfIdle() override
    {
        if (this->isIdle && !this->handler->holdsState())
            this->close();
    }

    void close() override
    {
        error_code ignored;
        beast::get_lowest_layer(this->stream).socket().close(ignored);
    }

private:
    // Waits for the first byte of a request. The request timeout starts after it, so that it limits slowly sent
    // requests but not idle connections.
    void awaitRequest()
    {
        this->parser.emplace();
        this->parser->header_limit(this->server->settings.headerLimit);
        this->parser->body_limit(this->server->settings.bodyLimit);
        if (this->buffer.size()) {
            this->readRequest();
            return;
        }
        this->isIdle = true;
        this->setTimeout(this->server->settings.idleTimeout);
        this->stream.async_read_some(
            this->buffer.prepare(readSize), [self = this->shared_from_this()](error_code error, size_t count) {
                self->isIdle = false;
                if (error) {
                    self->notifyClosed();
                    return;
                }
                self->buffer.commit(count);
                self->readRequest();
            });
    }

    void readRequest()
    {
        this->setTimeout(this->server->settings.requestTimeout);
        http::async_read(
            this->stream, this->buffer, *this->parser, [self = this->shared_from_this()](error_code error, size_t) {
                if (error)
                    self->rejectMalformed(error);
                else
                    self->dispatch();
            });
    }

    void rejectMalformed(error_code error)
    {
        this->notifyClosed();
        // After a truncated request or a connection error nobody reads an answer. Other parse errors are answered.
        if (error.category() != http::make_error_code(http::error::bad_method).category()
            || error == http::error::end_of_stream || error == http::error::partial_message)
            return;
        unsigned status = 400;
        if (error == http::error::body_limit)
            status = 413;
        else if (error == http::error::header_limit)
            status = 431;
        this->write(this->handler->makeErrorResponse(status, error.message()), false);
    }

    void dispatch()
    {
        HttpRequest request = this->parser->release();
        const bool keepAlive = request.keep_alive();
        beast::get_lowest_layer(this->stream).expires_never();
        // The handler may respond from within this call; the asynchronous write keeps the stack flat for pipelined
        // requests.
        this->handler->handle(std::move(request), [self = this->shared_from_this(), keepAlive](HttpResponse response) {
            const bool draining = self->server->isDraining && !self->handler->holdsState();
            self->write(std::move(response), keepAlive && !draining);
        });
    }

    void write(HttpResponse response, bool keepAlive)
    {
        this->response.emplace(std::move(response));
        keepAlive = keepAlive && this->response->keep_alive();
        this->response->keep_alive(keepAlive);
        this->response->prepare_payload();
        this->setTimeout(this->server->settings.requestTimeout);
        http::async_write(
            this->stream, *this->response, [self = this->shared_from_this(), keepAlive](error_code error, size_t) {
                if (!error && keepAlive)
                    self->awaitRequest();
                else
                    self->finish();
            });
    }

    void finish()
    {
        this->notifyClosed();
        error_code ignored;
        beast::get_lowest_layer(this->stream).socket().shutdown(tcp::socket::shutdown_send, ignored);
        this->lingerUntilClosed();
    }

    // Reads and discards what the client still sends before closing. Closing with unread data resets the connection,
    // and the reset can discard a response that the client has not read yet.
    void lingerUntilClosed()
    {
        constexpr auto lingerTimeout = std::chrono::seconds(1);
        constexpr size_t lingerLimit = 4 * 1024 * 1024; // bytes; larger than one oversized body in flight
        auto& lowest = beast::get_lowest_layer(this->stream);
        lowest.expires_after(lingerTimeout);
        this->buffer.clear();
        lowest.async_read_some(
            this->buffer.prepare(readSize), [self = this->shared_from_this()](error_code error, size_t count) {
                self->discardedBytes += count;
                if (!error && self->discardedBytes < lingerLimit)
                    self->lingerUntilClosed();
            });
    }

    void setTimeout(std::chrono::milliseconds timeout)
    {
        auto& lowest = beast::get_lowest_layer(this->stream);
        if (timeout.count())
            lowest.expires_after(timeout);
        else
            lowest.expires_never();
    }

    void notifyClosed()
    {
        if (!std::exchange(this->hasNotifiedClosed, true))
            this->handler->handleClosed();
    }

    static constexpr size_t readSize = 4096;

    std::shared_ptr<HttpServer::Implementation> server;
    Stream stream;
    std::shared_ptr<HttpHandler> handler;
    HttpServer::Implementation::SessionList::iterator listEntry;
    beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    std::optional<HttpResponse> response;
    size_t discardedBytes = 0;
    bool isIdle = false;
    bool hasNotifiedClosed = false;
};

} // namespace

HttpServer::Implementation::Implementation(
    asio::io_context& context, const HttpServerSettings& settings, HttpHandlerFactory makeHandler)
    : context(context)
    , settings(settings)
    , makeHandler(std::move(makeHandler))
    , acceptor(context)
{
    const tcp::endpoint endpoint = parseAddress(settings.address);
    try {
        this->acceptor.open(endpoint.protocol());
        this->acceptor.set_option(asio::socket_base::reuse_address(true));
        if (settings.sharePort) {
            const asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT> reusePort(true);
            this->acceptor.set_option(reusePort);
        }
        this->acceptor.bind(endpoint);
        this->acceptor.listen(4096);
    } catch (const boost::system::system_error& error) {
        throw Error("listen", settings.address, error.code().message());
    }
}

void HttpServer::Implementation::accept()
{
    this->acceptor.async_accept([self = this->shared_from_this()](error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted || !self->acceptor.is_open())
            return;
        if (!error) {
            error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            std::shared_ptr<Session> session;
            if (self->settings.tls)
                session = std::make_shared<StreamSession<TlsStream>>(self, std::move(socket), *self->settings.tls);
            else
                session = std::make_shared<StreamSession<PlainStream>>(self, std::move(socket));
            session->start();
        }
        self->accept();
    });
}

void HttpServer::Implementation::stopAccepting()
{
    error_code ignored;
    this->acceptor.close(ignored);
    const SessionList current = this->sessions;
    for (const auto& entry : current) {
        if (auto session = entry.lock())
            session->closeIfIdle();
    }
}

void HttpServer::Implementation::closeAll()
{
    const SessionList current = this->sessions;
    for (const auto& entry : current) {
        if (auto session = entry.lock())
            session->close();
    }
}

HttpServer::HttpServer(asio::io_context& context, const HttpServerSettings& settings, HttpHandlerFactory makeHandler)
    : implementation(std::make_shared<Implementation>(context, settings, std::move(makeHandler)))
{
    this->implementation->accept();
}

HttpServer::~HttpServer()
{
    this->implementation->isDraining = true;
    this->implementation->stopAccepting();
    this->implementation->closeAll();
}

uint16_t HttpServer::port() const { return this->implementation->acceptor.local_endpoint().port(); }

size_t HttpServer::connectionCount() const { return this->implementation->sessions.size(); }

void HttpServer::beginDraining() { this->implementation->isDraining = true; }

void HttpServer::stopAccepting()
{
    this->implementation->isDraining = true;
    this->implementation->stopAccepting();
}

void HttpServer::closeAll() { this->implementation->closeAll(); }

} // namespace Lavendervane
