#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace Lavendervane {

/// Disables Nagle's algorithm, and sets timeouts that close a connection within about three seconds after its peer has
/// stopped responding, whether sent bytes are unacknowledged or the connection is idle.
void setConnectionOptions(boost::asio::ip::tcp::socket&);

} // namespace Lavendervane
