#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace Lavendervane::StandIn {

/// Faults of one proxy pair, set by `POST /control`.
struct FaultSettings {
    std::chrono::milliseconds delay { 0 }; ///< latency added in each direction
    bool cutToTarget = false; ///< bytes from the client are dropped
    bool cutToClient = false; ///< bytes from the target are dropped
    bool freeze = false; ///< bytes are held until the end of the freeze
    bool refuseNew = false; ///< the listening socket is closed, so new connections are refused
};

/// Copies the bytes of one direction of a connection. After a byte has been dropped, nothing more is delivered,
/// because TCP never delivers the bytes after a gap.
class FaultPump : public std::enable_shared_from_this<FaultPump> {
public:
    using Socket = boost::asio::ip::tcp::socket;

    /// Calls `finishedCallback` when the source has ended and all bytes are delivered, or on an error. `settings` and
    /// the cut flag must outlive the pump.
    FaultPump(Socket& source, Socket& destination, const FaultSettings&, const bool& cut,
        std::function<void()> finishedCallback);

    void start();

    /// Stops all delivery, including the end of the stream.
    void silence() { this->silent = true; }

    /// Resumes reading and writing after the end of a freeze.
    void resume();

    /// Stops the pump without calling the callback. The caller must close the sockets afterwards.
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
    const bool& cut;
    std::function<void()> finishedCallback;
    boost::asio::steady_timer timer;
    std::vector<char> buffer;
    std::deque<Chunk> queue;
    size_t queuedBytes = 0;
    bool silent = false;
    bool reading = false;
    bool writing = false;
    bool ended = false;
    bool stopped = false;
};

} // namespace Lavendervane::StandIn
