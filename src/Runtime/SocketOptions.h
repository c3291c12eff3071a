#pragma once

#include "Core/Instant.h"

#include <boost/asio/ip/tcp.hpp>

namespace Lavendervane {

/// Longest time for which sent bytes may be unacknowledged before the connection is closed.
inline constexpr Duration unacknowledgedLimit = std::chrono::seconds(3);

/// Disables Nagle's algorithm, and sets timeouts that close a connection within about three seconds after its peer has
/// stopped responding, whether sent bytes are unacknowledged or the connection is idle.
void setConnectionOptions(boost::asio::ip::tcp::socket&);

} // namespace Lavendervane
