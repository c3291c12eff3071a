#include "Traffic/CallerClient.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace Lavendervane {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

CallerClient::CallerClient(uint16_t port)
    : socket(this->context)
{
    this->socket.connect({ boost::asio::ip::address_v4::loopback(), port });
}

void CallerClient::sendOnly(const std::string& path, const std::string& body, const Headers& headers)
{
    http::request<http::string_body> request { http::verb::post, path, 11 };
    for (const auto& [name, value] : headers)
        request.set(name, value);
    request.body() = body;
    request.prepare_payload();
    http::write(this->socket, request);
}

CallerReply CallerClient::receive()
{
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> response;
    error_code error;
    http::read(this->socket, buffer, response, error);
    if (error)
        return {};
    CallerReply reply;
    reply.status = response.result_int();
    reply.body = nlohmann::json::parse(response.body(), nullptr, false);
    reply.session = std::string(response["Lavendervane-Session"]);
    reply.retryAfter = std::string(response["Retry-After"]);
    reply.keepAlive = response.keep_alive();
    return reply;
}

CallerReply CallerClient::post(const std::string& path, const std::string& body, const Headers& headers)
{
    this->sendOnly(path, body, headers);
    return this->receive();
}

void CallerClient::sendPart(const std::string& bytes)
{
    // A server that rejects an oversized request early may close the connection before it has read all of it.
    error_code ignored;
    boost::asio::write(this->socket, boost::asio::buffer(bytes), ignored);
}

CallerReply CallerClient::sendRaw(const std::string& bytes)
{
    this->sendPart(bytes);
    return this->receive();
}

void CallerClient::close()
{
    error_code ignored;
    this->socket.close(ignored);
}

} // namespace Lavendervane
