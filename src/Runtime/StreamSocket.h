#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace Lavendervane {

/// TCP connection that transfers bytes without framing. All work is done on the thread of the io_context. The virtual
/// functions are never called from within a call of a public function, nor after `close`.
class StreamSocket : public std::enable_shared_from_this<StreamSocket> {
public:
    explicit StreamSocket(boost::asio::ip::tcp::socket);
    virtual ~StreamSocket() = default;

    StreamSocket(const StreamSocket&) = delete;
    StreamSocket& operator=(const StreamSocket&) = delete;

    /// Starts reading.
    void start();

    /// Connects, then writes `first` and the bytes passed to `write` meanwhile, and starts reading.
    void connect(const boost::asio::ip::tcp::endpoint&, std::string first);

    /// Writes as many bytes as the system accepts now, and the rest later.
    void write(std::string_view bytes);

    /// Closes the connection after all bytes written so far have been passed to the system.
    void close();

    /// Returns the address of the peer ("IP:port"); empty if there is no connection.
    std::string peerAddress() const;

    bool isConnected() const { return this->connectionEstablished; }

    /// True if bytes have arrived that have not been read. Closing the connection then resets it. Costs a system call.
    bool hasUnreadBytes() const;

protected:
    /// Called with received bytes, which are valid during the call only.
    virtual void handleBytes(std::string_view) = 0;

    /// Called when `connect` has established the connection.
    virtual void handleConnected() = 0;

    /// Called when the connection has failed or the peer has closed it.
    virtual void handleFailure(const boost::system::error_code&) = 0;

    /// True once no more received bytes should be delivered.
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
