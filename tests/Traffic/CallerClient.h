#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>

#include <map>
#include <string>

namespace Lavendervane {

struct CallerReply {
    unsigned status = 0; ///< 0 if the connection was closed without a response
    nlohmann::json body;
    std::string session;
    std::string retryAfter;
    bool keepAlive = false;

    std::string outcome() const { return this->body.value("outcome", ""); }
    std::string code() const
    {
        return this->body.contains("error") ? this->body["error"].value("code", "") : std::string();
    }
    std::string endpoint() const
    {
        return this->body.contains("served_by") ? this->body["served_by"].value("endpoint", "") : std::string();
    }
};

/// Blocking HTTP client of a caller, with one connection.
class CallerClient {
public:
    using Headers = std::map<std::string, std::string>;

    explicit CallerClient(uint16_t port);

    CallerReply post(const std::string& path, const std::string& body, const Headers& = {});

    /// Sends raw bytes and reads one response.
    CallerReply sendRaw(const std::string& bytes);

    /// Sends a request without waiting for the response.
    void sendOnly(const std::string& path, const std::string& body, const Headers& = {});
    CallerReply receive();

    /// Sends raw bytes without waiting for a response.
    void sendPart(const std::string& bytes);

    void close();

private:
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket;
};

} // namespace Lavendervane
