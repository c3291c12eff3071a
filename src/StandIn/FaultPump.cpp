#include "StandIn/FaultPump.h"

#include <boost/asio/write.hpp>

#include <utility>

namespace Lavendervane::StandIn {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr size_t bufferSize = 64 * 1024; // bytes
constexpr size_t queueLimit = 4 * 1024 * 1024; // bytes; reading from the source pauses while more than this is queued

} // namespace

FaultPump::FaultPump(Socket& source, Socket& destination, const FaultSettings& settings, const bool& isCut,
    std::function<void()> onFinished)
    : source(source)
    , destination(destination)
    , settings(settings)
    , isCut(isCut)
    , onFinished(std::move(onFinished))
    , timer(source.get_executor())
    , buffer(bufferSize)
{
}

void FaultPump::start() { this->read(); }

void FaultPump::stop()
{
    this->isStopped = true;
    this->onFinished = nullptr;
    this->timer.cancel();
}

void FaultPump::resume()
{
    this->read();
    this->write();
}

void FaultPump::read()
{
    if (this->isReading || this->hasSourceEnded || this->isStopped || this->settings.isFrozen
        || this->queuedBytes > queueLimit)
        return;
    this->isReading = true;
    this->source.async_read_some(asio::buffer(this->buffer),
        [self = this->shared_from_this()](error_code error, size_t count) { self->handleRead(error, count); });
}

void FaultPump::handleRead(error_code error, size_t count)
{
    this->isReading = false;
    if (this->isStopped)
        return;
    if (this->isCut)
        this->isSilenced = true;
    this->hasSourceEnded = bool(error);
    if (!this->isSilenced) {
        this->queue.push_back({ std::chrono::steady_clock::now() + this->settings.delay,
            { this->buffer.begin(), this->buffer.begin() + static_cast<std::ptrdiff_t>(error ? 0 : count) } });
        this->queuedBytes += this->queue.back().bytes.size();
        this->write();
    } else if (this->hasSourceEnded)
        this->finish();
    this->read();
}

void FaultPump::write()
{
    if (this->isWriting || this->queue.empty() || this->isStopped || this->settings.isFrozen)
        return;
    this->isWriting = true;
    if (this->queue.front().due <= std::chrono::steady_clock::now()) {
        this->deliver();
        return;
    }
    this->timer.expires_at(this->queue.front().due);
    this->timer.async_wait([self = this->shared_from_this()](error_code error) {
        if (!error)
            self->deliver();
    });
}

void FaultPump::deliver()
{
    if (this->isStopped)
        return;
    // Faults that began while the bytes were queued apply to them too.
    this->isSilenced = this->isSilenced || this->isCut;
    if (this->settings.isFrozen) {
        this->isWriting = false;
        return;
    }
    if (this->isSilenced) {
        this->isWriting = false;
        this->queue.clear();
        this->queuedBytes = 0;
        if (this->hasSourceEnded)
            this->finish();
        this->read();
        return;
    }
    if (this->queue.front().bytes.empty()) {
        error_code ignored;
        this->destination.shutdown(Socket::shutdown_send, ignored);
        this->finish();
        return;
    }
    asio::async_write(this->destination, asio::buffer(this->queue.front().bytes),
        [self = this->shared_from_this()](error_code error, size_t) {
            self->isWriting = false;
            if (self->isStopped)
                return;
            if (error) {
                self->finish();
                return;
            }
            self->queuedBytes -= self->queue.front().bytes.size();
            self->queue.pop_front();
            self->read();
            self->write();
        });
}

void FaultPump::finish()
{
    if (auto callback = std::exchange(this->onFinished, nullptr))
        callback();
}

} // namespace Lavendervane::StandIn
