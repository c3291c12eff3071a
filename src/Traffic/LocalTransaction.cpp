#include "Traffic/LocalTransaction.h"

#include "Traffic/EndpointOwner.h"
#include "Traffic/TrafficShared.h"
#include "Traffic/TrafficThread.h"

#include <boost/asio/dispatch.hpp>

namespace Lavendervane {

LocalTransaction::LocalTransaction(TrafficThread& callerThread, TrafficThread& owner)
    : callerThread(callerThread)
    , owner(owner)
    , state(std::make_shared<State>())
{
}

LocalTransaction::~LocalTransaction() { this->close(); }

void LocalTransaction::exchange(EndpointTask task, EndpointCallback callback)
{
    auto answer = [&callerThread = this->callerThread, callback = std::move(callback)](EndpointResult result) {
        boost::asio::dispatch(
            callerThread.context(), [callback, result = std::move(result)]() mutable { callback(std::move(result)); });
    };
    boost::asio::dispatch(this->owner.context(),
        [&owner = this->owner, state = this->state, task = std::move(task), answer = std::move(answer)]() mutable {
            run(owner, state, std::move(task), answer);
        });
}

void LocalTransaction::run(
    TrafficThread& owner, const std::shared_ptr<State>& state, EndpointTask task, const EndpointCallback& callback)
{
    if (task.path == "/begin") {
        const auto endpoint = owner.findOwner(task.endpoint);
        if (!endpoint) {
            callback(makeNotRun(
                "endpoint_unreachable", "find the endpoint", task.endpoint.str(), "the endpoint is not declared"));
            return;
        }
        endpoint->begin(std::move(task),
            [state, callback](EndpointResult result, const std::shared_ptr<EndpointTransaction>& transaction) {
                state->transaction = transaction;
                if (state->closed && transaction)
                    transaction->close();
                callback(std::move(result));
            });
        return;
    }
    if (state->transaction)
        state->transaction->exchange(std::move(task), callback);
    else
        callback(makeNotRun("no_transaction", "find the transaction", task.endpoint.str(), "no transaction is open"));
}

void LocalTransaction::close()
{
    if (this->callerThread.shared().stopped)
        return;
    boost::asio::dispatch(this->owner.context(), [state = std::move(this->state)] {
        if (!state)
            return;
        state->closed = true;
        if (state->transaction)
            state->transaction->close();
    });
}

} // namespace Lavendervane
