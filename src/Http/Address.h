#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace Lavendervane {

/// Parses "IP:port" or "[IPv6]:port". Throws Error (step "parse address").
boost::asio::ip::tcp::endpoint parseAddress(const std::string&);

/// Formats an address in the form that parseAddress accepts.
std::string formatAddress(const boost::asio::ip::tcp::endpoint&);

} // namespace Lavendervane
