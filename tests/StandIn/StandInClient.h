#pragma once

#include "Http/HttpConnection.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Lavendervane::StandIn {

using Json = nlohmann::json;

/// HTTP client that runs the io_context it shares with the stand-ins.
class StandInClient {
public:
    explicit StandInClient(boost::asio::io_context& context)
        : context(context)
    {
    }

    /// Performs one exchange on the named connection, which is opened when needed.
    HttpExchange exchange(const std::string& connection, const std::string& address, const std::string& method,
        const std::string& path, const std::string& body)
    {
        std::optional<HttpExchange> result;
        this->start(connection, address, method, path, body, result);
        this->runUntil([&result] { return result.has_value(); });
        BOOST_REQUIRE(result);
        return *result;
    }

    /// Starts an exchange without waiting for its end. `result` must outlive it.
    void start(const std::string& connection, const std::string& address, const std::string& method,
        const std::string& path, const std::string& body, std::optional<HttpExchange>& result)
    {
        auto& used = this->connections[connection];
        if (!used || !used->isReusable())
            used = std::make_unique<HttpConnection>(this->context, address);
        used->exchange(
            method, path, body, this->timeout, [&result](HttpExchange exchange) { result = std::move(exchange); });
    }

    void close(const std::string& connection) { this->connections.erase(connection); }

    /// Runs the stand-ins until the condition holds. Returns false after 5 s.
    template <typename Condition> bool runUntil(Condition condition)
    {
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (!condition()) {
            if (std::chrono::steady_clock::now() > deadline)
                return false;
            this->context.run_one_for(std::chrono::milliseconds(20));
        }
        return true;
    }

    void runFor(std::chrono::milliseconds time) { this->context.run_for(time); }

    std::chrono::milliseconds timeout { 2000 };

private:
    boost::asio::io_context& context;
    std::map<std::string, std::unique_ptr<HttpConnection>> connections;
};

/// True if `actual` has every member of `expected`, with equal values; lists must be equal in length.
inline bool contains(const Json& actual, const Json& expected)
{
    if (expected.is_object()) {
        if (!actual.is_object())
            return false;
        for (const auto& [name, value] : expected.items()) {
            if (!actual.contains(name) || !contains(actual[name], value))
                return false;
        }
        return true;
    }
    if (expected.is_array()) {
        if (!actual.is_array() || actual.size() != expected.size())
            return false;
        for (size_t index = 0; index < expected.size(); ++index) {
            if (!contains(actual[index], expected[index]))
                return false;
        }
        return true;
    }
    return actual == expected;
}

} // namespace Lavendervane::StandIn
