#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <string>

namespace Lavendervane {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// Sends the response to the request that is being handled. Must be called once, on the connection's thread.
using HttpRespond = std::function<void(HttpResponse)>;

/// Handles the requests of one client connection, one at a time, on the connection's thread.
class HttpHandler {
public:
    virtual ~HttpHandler() = default;

    virtual void handle(HttpRequest, HttpRespond) = 0;

    /// True while the connection has state that closing it would destroy, such as an open transaction. A draining
    /// server keeps such a connection open between requests.
    virtual bool holdsState() const { return false; }

    /// Called when the connection has been closed. Responses sent later are dropped.
    virtual void handleClosed() { }

    /// Makes the response to a request that could not be parsed. The server passes 400, 413 or 431 as `status`.
    virtual HttpResponse makeErrorResponse(unsigned status, const std::string& reason) = 0;
};

/// Makes the handler of a new connection.
using HttpHandlerFactory = std::function<std::shared_ptr<HttpHandler>()>;

/// Makes a response with a JSON body.
HttpResponse makeJsonResponse(unsigned status, std::string body);

} // namespace Lavendervane
