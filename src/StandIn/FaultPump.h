#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace Lavendervane::StandIn {

/// Faults of one proxied pair of addresses, set by `POST /control`.
struct FaultSettings {
    std::chrono::milliseconds delay { 0 }; ///< latency added in each direction
    bool isCutToTarget = false; ///< drops the bytes that the client sends
    bool isCutToClient = false; ///< drops the bytes that the target sends
    bool isFrozen = false; ///< holds back all bytes and new connections while set, like a paused process
    bool refusesNew = false; ///< closes the listening socket, so that new connections are refused
};

/// Forwards one direction of a connection and applies the faults. Once it has dropped a byte, it delivers nothing more:
/// TCP never delivers bytes that follow a gap.
class FaultPump : public std::enable_shared_from_this<FaultPump> {
public:
    using Socket = boost::asio::ip::tcp::socket;

    /// Calls `onFinished` when the source has ended and its bytes are delivered or dropped, or on a write error. The
    /// sockets, the settings and `isCut` must outlive the pump.
    FaultPump(
        Socket& source, Socket& destination, const FaultSettings&, const bool& isCut, std::function<void()> onFinished);

    void start();

    /// Drops all further bytes, including the end of the stream.
    void silence() { this->isSilenced = true; }

    /// Continues reading and writing after the end of a freeze.
    void resume();

    /// Discards the callback. The caller must then close both sockets to end pending operations.
    void stop();

private:
    struct Chunk {
        std::chrono::steady_clock::time_point due; ///< earliest time of delivery
        std::vector<char> bytes; ///< empty for the end of the stream
    };

    void read();
    void handleRead(boost::system::error_code, size_t count);
    void write();
    void deliver();
    void finish();

    Socket& source;
    Socket& destination;
    const FaultSettings& settings;
    const bool& isCut; ///< the flag of FaultSettings for this direction
    std::function<void()> onFinished;
    boost::asio::steady_timer timer;
    std::vector<char> buffer;
    std::deque<Chunk> queue;
    size_t queuedBytes = 0;
    bool isSilenced = false; ///< true after silence() or the first dropped byte; never reset
    bool isReading = false;
    bool isWriting = false;
    bool hasSourceEnded = false;
    bool isStopped = false;
};

} // namespace Lavendervane::StandIn
