#pragma once

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace Lavendervane {

/// How an exchange with an HTTP peer ended.
enum class ExchangeStatus {
    Answered,
    ConnectFailed, ///< nothing was sent
    TimedOut, ///< sent in whole or in part
    Broken, ///< sent in whole or in part, then the connection failed
};

struct HttpExchange {
    ExchangeStatus status = ExchangeStatus::ConnectFailed;
    unsigned httpStatus = 0;
    std::string body;
    std::string reason; ///< text of the failure; empty if answered
    bool connectionRefused = false; ///< the peer's host answered that nothing listens
};

using HttpExchangeCallback = std::function<void(HttpExchange)>;

/// One client connection that carries one exchange at a time. It connects with the first exchange.
/// After any failure it is closed for good: an unanswered request must not meet the answer to another one.
/// All calls must be made on the thread that runs the io_context; callbacks run there.
class HttpConnection {
public:
    HttpConnection(boost::asio::io_context&, std::string address);
    ~HttpConnection();

    HttpConnection(const HttpConnection&) = delete;
    HttpConnection& operator=(const HttpConnection&) = delete;

    /// Sends `body` by the given method ("POST", "GET", "PUT") and calls back once, never from within this call.
    void exchange(const std::string& method, const std::string& target, std::string body,
        std::chrono::milliseconds timeout, HttpExchangeCallback);

    /// False while an exchange runs or after a failure.
    bool isUsable() const;

    /// Usable, and the peer has not closed the connection; costs a system call.
    bool isReusable() const;

    const std::string& address() const;

    /// True once connected.
    bool isConnected() const;

    /// Closes the connection; an exchange that runs ends as Broken.
    void close();

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation;
};

} // namespace Lavendervane
