#include "StandIn/FaultPump.h"

#include <boost/asio/write.hpp>

#include <utility>

namespace Lavendervane::StandIn {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr size_t bufferSize = 64 * 1024; // bytes
constexpr size_t maxQueuedBytes = 4 * 1024 * 1024; // delayed bytes above which reading from the source pauses

} // namespace

FaultPump::FaultPump(Socket& source, Socket& destination, const FaultSettings& settings, const bool& cut,
    std::function<void()> finishedCallback)
    : source(source)
    , destination(destination)
    , settings(settings)
    , cut(cut)
    , finishedCallback(std::move(finishedCallback))
    , timer(source.get_executor())
    , buffer(bufferSize)
{
}

void FaultPump::start() { this->read(); }

void FaultPump::stop()
{
    this->stopped = true;
    this->finishedCallback = nullptr;
    this->timer.cancel();
}

void FaultPump::resume()
{
    this->read();
    this->write();
}

void FaultPump::read()
{
    if (this->reading || this->ended || this->stopped || this->settings.freeze || this->queuedBytes > maxQueuedBytes)
        return;
    this->reading = true;
    this->source.async_read_some(asio::buffer(this->buffer),
        [self = this->shared_from_this()](error_code error, size_t count) { self->handleRead(error, count); });
}

void FaultPump::handleRead(error_code error, size_t count)
{
    this->reading = false;
    if (this->stopped)
        return;
    if (this->cut)
        this->silent = true;
    this->ended = bool(error);
    if (!this->silent) {
        this->queue.push_back({ std::chrono::steady_clock::now() + this->settings.delay,
            { this->buffer.begin(), this->buffer.begin() + static_cast<std::ptrdiff_t>(error ? 0 : count) } });
        this->queuedBytes += this->queue.back().bytes.size();
        this->write();
    } else if (this->ended)
        this->finish();
    this->read();
}

void FaultPump::write()
{
    if (this->writing || this->queue.empty() || this->stopped || this->settings.freeze)
        return;
    this->writing = true;
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
    if (this->stopped)
        return;
    // Faults that were set while the bytes were queued apply to these bytes too.
    this->silent = this->silent || this->cut;
    if (this->settings.freeze) {
        this->writing = false;
        return;
    }
    if (this->silent) {
        this->writing = false;
        this->queue.clear();
        this->queuedBytes = 0;
        if (this->ended)
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
            self->writing = false;
            if (self->stopped)
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
    if (auto callback = std::exchange(this->finishedCallback, nullptr))
        callback();
}

} // namespace Lavendervane::StandIn
