#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace Lavendervane {

/// TCP connection without a framing of its own. All work is done on the thread of the io_context. No call to the
/// derived class comes from within a call to the socket, and none after `close`.
class StreamSocket : public std::enable_shared_from_this<StreamSocket> {
public:
    explicit StreamSocket(boost::asio::ip::tcp::socket);
    virtual ~StreamSocket() = default;

    StreamSocket(const StreamSocket&) = delete;
    StreamSocket& operator=(const StreamSocket&) = delete;

    /// Starts to read.
    void start();

    /// Connects, then writes `first` and what was written meanwhile, and starts to read.
    void connect(const boost::asio::ip::tcp::endpoint&, std::string first);

    /// Writes at once as much as the system takes; the rest follows.
    void write(std::string_view bytes);

    /// Closes after the bytes written so far have been handed to the system.
    void close();

    bool isConnected() const { return this->connectionEstablished; }

protected:
    /// Takes bytes, which are valid during the call only.
    virtual void handleBytes(std::string_view) = 0;

    /// A connection that was asked for is there.
    virtual void handleConnected() = 0;

    /// The connection ended.
    virtual void handleFailure(const boost::system::error_code&) = 0;

    /// True once nothing more should be delivered.
    bool isClosingOrClosed() const { return this->closed || this->closing; }

private:
    void waitToRead();
    void readSome();
    void waitToWrite();
    void writeSome();
    void fail(const boost::system::error_code&);
    void shutDown();

    boost::asio::ip::tcp::socket socket;
    std::string unsent;
    bool connectionEstablished = false;
    bool closing = false;
    bool closed = false;
    bool writing = false;
};

} // namespace Lavendervane
