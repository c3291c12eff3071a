#pragma once

#include "SeededRandom.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <deque>
#include <memory>
#include <string>

namespace Lavendervane::EntryProcess {

/// TCP connection whose messages end with CR LF; a line feed or carriage return alone is part of a message.
class WireChannel : public std::enable_shared_from_this<WireChannel> {
public:
    class Listener {
    public:
        virtual ~Listener() = default;
        /// Called with a message without its CR LF.
        virtual void handleMessage(std::string message) = 0;
        /// Called when the connection has failed or its far end has closed it, not after `close`.
        virtual void handleEnd() = 0;
    };

    /// `smallSegments` is the share of writes that are made in small pieces.
    WireChannel(boost::asio::ip::tcp::socket, Listener&, SeededRandom, double smallSegments);

    /// Starts reading on an established connection.
    void start();

    /// Connects and starts reading.
    void connect(const boost::asio::ip::tcp::endpoint&);

    /// Writes bytes after all earlier ones, as a whole.
    void write(std::string bytes);

    /// Closes the connection after all bytes are written, and then calls `handleEnd`.
    void finish();

    void close();

private:
    struct Output {
        std::string bytes;
        bool isSegmented = false;
    };

    void read();
    void deliver();
    void writeNext();
    void handleFailure();

    boost::asio::ip::tcp::socket socket;
    Listener* listener; ///< null after `close`
    SeededRandom random;
    double smallSegments;
    boost::asio::steady_timer pause;
    std::array<char, 16384> buffer {};
    std::string received;
    std::deque<Output> outputs; ///< the first is being written
    bool isWriting = false;
    bool isConnected = false;
    bool isFinishing = false;
};

} // namespace Lavendervane::EntryProcess
