#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

namespace Lavendervane {

/// Response as a caller sees it. Status 0 means that the connection failed or timed out.
struct CallerResponse {
    unsigned status = 0;
    nlohmann::json body;
    std::string session;

    std::string outcome() const;
    std::string code() const;
    std::string endpoint() const;
    std::string role() const;
    std::string text() const { return std::to_string(this->status) + " " + this->body.dump(); }
};

/// Blocking HTTP client with one keep-alive connection per VM, an API key and a session token.
class Caller {
public:
    explicit Caller(std::string key);
    ~Caller();

    CallerResponse post(const std::string& address, const std::string& path, const nlohmann::json& body,
        const std::map<std::string, std::string>& headers = {});

    CallerResponse get(const std::string& address, const std::string& path);

    /// Sends bytes unchanged on a new connection and returns all bytes received within `limit`.
    std::string sendRaw(const std::string& address, const std::string& bytes, std::chrono::milliseconds limit);

    CallerResponse write(const std::string& address, const std::string& group, const std::string& key,
        const std::string& value, const std::string& idempotencyKey = "");
    CallerResponse read(const std::string& address, const std::string& group, const std::string& key);

    /// Closes all connections, so that the next request opens a new one.
    void disconnect();

    std::string key;
    std::string session;
    bool keepSession = true; ///< send the newest session token with the next request
    std::chrono::milliseconds timeout { 8000 };

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace Lavendervane
