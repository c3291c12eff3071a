#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace Lavendervane::StandIn {

/// Faults of one pair, set by `POST /control`.
struct FaultSettings {
    std::chrono::milliseconds delay { 0 }; ///< added in each direction
    bool isCutToTarget = false; ///< bytes of the client are dropped
    bool isCutToClient = false; ///< bytes of the target are dropped
    bool isFrozen = false; ///< bytes are held until the end of the freeze
    bool refusesNew = false; ///< nothing listens
};

/// Copies the bytes of one direction of a connection. Once a byte has been dropped, nothing is delivered any more,
/// because TCP never delivers the bytes behind a gap.
class FaultPump : public std::enable_shared_from_this<FaultPump> {
public:
    using Socket = boost::asio::ip::tcp::socket;

    /// Calls `finished` when the source has ended and everything is delivered, or on an error. `settings` and the cut
    /// flag must outlive the pump.
    FaultPump(
        Socket& source, Socket& destination, const FaultSettings&, const bool& isCut, std::function<void()> onFinished);

    void start();

    /// Delivers nothing from now on, not even the end of the stream.
    void silence() { this->isSilenced = true; }

    /// Continues after a freeze.
    void resume();

    /// Drops the callback. The sockets must be closed next.
    void stop();

private:
    struct Chunk {
        std::chrono::steady_clock::time_point due;
        std::vector<char> bytes; ///< empty: end of the stream
    };

    void read();
    void handleRead(boost::system::error_code, size_t count);
    void write();
    void deliver();
    void finish();

    Socket& source;
    Socket& destination;
    const FaultSettings& settings;
    const bool& isCut;
    std::function<void()> onFinished;
    boost::asio::steady_timer timer;
    std::vector<char> buffer;
    std::deque<Chunk> queue;
    size_t queuedBytes = 0;
    bool isSilenced = false;
    bool isReading = false;
    bool isWriting = false;
    bool hasSourceEnded = false;
    bool isStopped = false;
};

} // namespace Lavendervane::StandIn
