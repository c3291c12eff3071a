#include "WireChannel.h"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <utility>

namespace Lavendervane::EntryProcess {

namespace asio = boost::asio;
using boost::system::error_code;

WireChannel::WireChannel(
    asio::ip::tcp::socket connection, Listener& listener, SeededRandom random, double smallSegments)
    : socket(std::move(connection))
    , listener(&listener)
    , random(random)
    , smallSegments(smallSegments)
    , pause(this->socket.get_executor())
{
}

void WireChannel::start()
{
    error_code ignored; // a connection that has failed is noticed by the read
    this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    this->isConnected = true;
    this->read();
    this->writeNext();
}

void WireChannel::connect(const asio::ip::tcp::endpoint& address)
{
    this->socket.async_connect(address, [self = this->shared_from_this()](const error_code& error) {
        if (error)
            self->handleFailure();
        else if (self->listener)
            self->start();
    });
}

void WireChannel::write(std::string bytes)
{
    this->outputs.push_back({ std::move(bytes), this->random.chance(this->smallSegments) });
    this->writeNext();
}

void WireChannel::finish()
{
    this->isFinishing = true;
    this->writeNext();
}

void WireChannel::close()
{
    this->listener = nullptr;
    this->pause.cancel();
    error_code ignored;
    this->socket.close(ignored);
}

void WireChannel::handleFailure()
{
    Listener* const receiver = this->listener;
    this->close();
    if (receiver)
        receiver->handleEnd();
}

void WireChannel::read()
{
    this->socket.async_read_some(
        asio::buffer(this->buffer), [self = this->shared_from_this()](const error_code& error, size_t count) {
            if (!self->listener)
                return;
            if (error) {
                self->handleFailure();
                return;
            }
            self->received.append(self->buffer.data(), count);
            self->deliver();
            if (self->listener)
                self->read();
        });
}

void WireChannel::deliver()
{
    for (size_t end = this->received.find("\r\n"); end != std::string::npos; end = this->received.find("\r\n")) {
        std::string message = this->received.substr(0, end);
        this->received.erase(0, end + 2);
        this->listener->handleMessage(std::move(message));
        if (!this->listener)
            return;
    }
}

void WireChannel::writeNext()
{
    if (this->isWriting || !this->isConnected || !this->listener)
        return;
    if (this->outputs.empty()) {
        if (this->isFinishing)
            this->handleFailure();
        return;
    }
    this->isWriting = true;
    const Output& output = this->outputs.front();
    const size_t size
        = output.isSegmented ? std::min<size_t>(this->random.between(1, 30), output.bytes.size()) : output.bytes.size();
    asio::async_write(this->socket, asio::buffer(output.bytes.data(), size),
        [self = this->shared_from_this()](const error_code& error, size_t count) {
            if (!self->listener)
                return;
            if (error) {
                self->handleFailure();
                return;
            }
            Output& written = self->outputs.front();
            written.bytes.erase(0, count);
            if (written.bytes.empty())
                self->outputs.pop_front();
            else
                self->pause.expires_after(std::chrono::milliseconds(1));
            self->pause.async_wait([self](const error_code& stopped) {
                self->isWriting = false;
                if (!stopped)
                    self->writeNext();
            });
        });
}

} // namespace Lavendervane::EntryProcess
