#include "Runtime/StreamSocket.h"

#include "Http/Address.h"
#include "Runtime/SocketOptions.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>

#include <array>
#include <utility>

namespace Lavendervane {

namespace asio = boost::asio;
using boost::system::error_code;

// Bytes per read. Statements are smaller than 2 kB, answers mostly smaller than 4 kB.
static constexpr size_t readSize = 16 * 1024;

StreamSocket::StreamSocket(asio::ip::tcp::socket connection)
    : socket(std::move(connection))
{
}

std::string StreamSocket::peerAddress() const
{
    error_code error;
    const auto peer = this->socket.remote_endpoint(error);
    return error ? std::string() : formatAddress(peer);
}

bool StreamSocket::hasUnreadBytes() const
{
    error_code error;
    const size_t count = this->socket.available(error);
    return !error && count > 0;
}

void StreamSocket::start()
{
    this->connectionEstablished = true;
    setConnectionOptions(this->socket);
    error_code error;
    this->socket.non_blocking(true, error);
    if (error) {
        asio::post(this->socket.get_executor(), [self = this->shared_from_this(), error] { self->fail(error); });
        return;
    }
    this->waitToRead();
}

void StreamSocket::connect(const asio::ip::tcp::endpoint& peer, std::string first)
{
    this->socket.async_connect(
        peer, [self = this->shared_from_this(), first = std::move(first)](const error_code& error) {
            if (self->closed)
                return;
            if (error) {
                self->fail(error);
                return;
            }
            self->start();
            self->unsent.insert(0, first);
            self->writeSome();
            self->handleConnected();
        });
}

// Waits before each read, because on a connection with one exchange at a time most reads without it would find nothing.
void StreamSocket::waitToRead()
{
    this->socket.async_wait(
        asio::ip::tcp::socket::wait_read, [self = this->shared_from_this()](const error_code& error) {
            if (self->closed)
                return;
            if (error)
                self->fail(error);
            else
                self->readSome();
        });
}

void StreamSocket::readSome()
{
    static thread_local std::array<char, readSize> buffer;
    error_code error;
    const size_t count = this->socket.read_some(asio::buffer(buffer), error);
    if (error && error != asio::error::would_block) {
        this->fail(error);
        return;
    }
    const auto self = this->shared_from_this();
    if (count)
        this->handleBytes({ buffer.data(), count });
    if (!this->isClosingOrClosed())
        this->waitToRead();
}

void StreamSocket::write(std::string_view bytes)
{
    if (this->closed || this->closing)
        return;
    this->unsent.append(bytes);
    if (this->connectionEstablished && !this->writing)
        this->writeSome();
}

void StreamSocket::writeSome()
{
    error_code error;
    const size_t count = this->socket.write_some(asio::buffer(this->unsent), error);
    if (error && error != asio::error::would_block) {
        // The read side reports the failure, after any bytes that have arrived.
        this->unsent.clear();
        this->writing = false;
        if (this->closing)
            this->shutDown();
        return;
    }
    this->unsent.erase(0, count);
    this->writing = !this->unsent.empty();
    if (this->writing)
        this->waitToWrite();
    else if (this->closing)
        this->shutDown();
}

void StreamSocket::waitToWrite()
{
    this->socket.async_wait(
        asio::ip::tcp::socket::wait_write, [self = this->shared_from_this()](const error_code& error) {
            if (self->closed)
                return;
            if (!error)
                self->writeSome();
            else if (self->closing)
                self->shutDown();
        });
}

void StreamSocket::close()
{
    if (this->closed || this->closing)
        return;
    this->closing = true;
    if (!this->writing)
        this->shutDown();
}

void StreamSocket::shutDown()
{
    this->closed = true;
    error_code ignored; // a failure to close has no consequences
    this->socket.close(ignored);
}

void StreamSocket::fail(const error_code& error)
{
    if (this->closed || this->closing)
        return;
    this->shutDown();
    this->handleFailure(error);
}

} // namespace Lavendervane
