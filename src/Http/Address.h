#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace Lavendervane {

/// Parses "IP:port" or "[IPv6]:port". Throws Error (step "parse address").
boost::asio::ip::tcp::endpoint parseAddress(const std::string&);

/// True if the text is an address that a connection can be opened to, with a port and a specified host.
bool isConnectable(const std::string& address);

/// Formats an address in the form that parseAddress accepts.
std::string formatAddress(const boost::asio::ip::tcp::endpoint&);

} // namespace Lavendervane
