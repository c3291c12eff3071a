#include "Runtime/SocketOptions.h"

#include <netinet/tcp.h>

namespace Lavendervane {

// TCP keepalive detects a dead peer of an idle connection within idle time + interval * probes = 3 s, less than the
// shortest time (4 s) after which machines count as in contact again.
static constexpr int keepAliveIdleSeconds = 1;
static constexpr int keepAliveIntervalSeconds = 1;
static constexpr int keepAliveProbes = 2;
static constexpr auto unacknowledgedMilliseconds
    = static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(unacknowledgedLimit).count());

void setConnectionOptions(boost::asio::ip::tcp::socket& socket)
{
    using boost::asio::detail::socket_option::integer;
    // Setting options fails on a closed connection; the next read reports why it was closed.
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    socket.set_option(integer<IPPROTO_TCP, TCP_KEEPIDLE>(keepAliveIdleSeconds), ignored);
    socket.set_option(integer<IPPROTO_TCP, TCP_KEEPINTVL>(keepAliveIntervalSeconds), ignored);
    socket.set_option(integer<IPPROTO_TCP, TCP_KEEPCNT>(keepAliveProbes), ignored);
    socket.set_option(integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(unacknowledgedMilliseconds), ignored);
}

} // namespace Lavendervane
