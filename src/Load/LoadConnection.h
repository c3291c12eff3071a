#pragma once

#include "Http/HttpConnection.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Lavendervane {

struct LoadRequest {
    std::string target;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
};

struct LoadResponse {
    ExchangeStatus status = ExchangeStatus::ConnectFailed;
    unsigned httpStatus = 0;
    std::string body;
    std::string sessionToken; ///< value of the header Lavendervane-Session
};

/// Keep-alive connection of a caller. Unlike HttpConnection, it sends caller headers and reads the session header.
class LoadConnection {
public:
    LoadConnection(boost::asio::io_context&, std::string address);
    ~LoadConnection();

    LoadConnection(const LoadConnection&) = delete;
    LoadConnection& operator=(const LoadConnection&) = delete;

    /// Sends a POST and invokes the callback exactly once, never from within this call.
    void send(const LoadRequest&, std::chrono::milliseconds timeout, std::function<void(LoadResponse)>);

    /// False while a request runs, after a failure, or when the peer closed the connection.
    bool isReusable() const;

    const std::string& address() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation;
};

} // namespace Lavendervane
