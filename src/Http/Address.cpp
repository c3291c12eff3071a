#include "Http/Address.h"

#include "Core/Error.h"

#include <charconv>
#include <sstream>

namespace Lavendervane {

boost::asio::ip::tcp::endpoint parseAddress(const std::string& text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        throw Error("parse address", "", "\"" + text + "\" is not IP:port");
    std::string host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);

    uint16_t port = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(host, error);
    if (error || parsed.ec != std::errc {} || parsed.ptr != end)
        throw Error("parse address", "", "\"" + text + "\" is not IP:port");
    return { ip, port };
}

bool isConnectable(const std::string& address)
{
    try {
        const auto parsed = parseAddress(address);
        return parsed.port() && !parsed.address().is_unspecified();
    } catch (const Error&) {
        return false;
    }
}

std::string formatAddress(const boost::asio::ip::tcp::endpoint& endpoint)
{
    std::ostringstream text;
    text << endpoint;
    return text.str();
}

} // namespace Lavendervane
