#include "Http/HttpConnection.h"
#include "Traffic/EndpointOwner.h"

#include <cassert>

namespace Lavendervane {

// An abandoned transaction would otherwise hold one of the endpoint's few connections indefinitely.
static constexpr auto idleLimit = std::chrono::seconds(30);

EndpointTransaction::EndpointTransaction(
    std::shared_ptr<EndpointOwner> owner, std::unique_ptr<HttpConnection> connection)
    : owner(std::move(owner))
    , connection(std::move(connection))
    , idleTimer(this->owner->context)
{
}

EndpointTransaction::~EndpointTransaction() { this->close(); }

void EndpointTransaction::armIdleTimer()
{
    this->idleTimer.expires_after(idleLimit);
    this->idleTimer.async_wait([weak = this->weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self)
            self->close();
    });
}

void EndpointTransaction::close()
{
    this->idleTimer.cancel();
    if (this->connection)
        this->owner->releaseConnection(std::move(this->connection), true);
}

void EndpointTransaction::exchange(EndpointTask task, const EndpointCallback& callback)
{
    this->idleTimer.cancel();
    if (!this->connection) {
        callback(makeNotRun("no_transaction", "find the transaction", this->owner->name.str(),
            "the transaction has ended and was rolled back"));
        return;
    }
    const auto shared = std::make_shared<EndpointTask>(std::move(task));
    this->owner->runExchange(*this->connection, *shared,
        [self = this->shared_from_this(), shared, callback](EndpointResult result, bool close) {
            const bool ends = shared->path != "/statement" || result.outcome != Outcome::Done;
            // After not_run the endpoint may still have the transaction open. Closing the connection rolls it back.
            if (self->connection && ends)
                self->owner->releaseConnection(std::move(self->connection), close || result.outcome != Outcome::Done);
            else
                self->armIdleTimer();
            self->owner->confirm(*shared, std::move(result), callback);
        });
}

} // namespace Lavendervane
