#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace Lavendervane {

/// Sends small messages at once, and ends a connection within about three seconds after its peer has gone silent,
/// whether bytes are unanswered or the connection is idle.
void setConnectionOptions(boost::asio::ip::tcp::socket&);

} // namespace Lavendervane
