#include "Traffic/TrafficShared.h"

#include "Core/Rendezvous.h"
#include "Traffic/EndpointOwner.h"
#include "Traffic/ForwardClient.h"
#include "Traffic/LocalTransaction.h"
#include "Traffic/TrafficThread.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>

namespace Lavendervane {

TrafficShared::TrafficShared(
    const TrafficSettings& settings, Admission& admission, TrafficObserver& observer, prometheus::Registry& registry)
    : settings(settings)
    , admission(admission)
    , observer(observer)
    , metrics(registry)
    , forwardClient(std::make_unique<ForwardClient>(settings.peerSecret, metrics))
{
}

// Handlers that are still queued on the threads refer to the other members, so the threads are destroyed first.
TrafficShared::~TrafficShared() { this->threads.clear(); }

TrafficThread& TrafficShared::ownerThread(const EndpointId& endpoint)
{
    return *this->threads[stableHash(endpoint.str()) % this->threads.size()];
}

static void submitLocally(TrafficThread& owner, EndpointTask task, const EndpointCallback& callback)
{
    const auto endpoint = owner.findOwner(task.endpoint);
    if (endpoint)
        endpoint->submit(std::move(task), callback);
    else
        callback(makeNotRun(
            "endpoint_unreachable", "find the endpoint", task.endpoint.str(), "the endpoint is not declared"));
}

static EndpointResult makeUnknownPeerResult(const VmId& vm)
{
    EndpointResult result = makeNotRun("peer_unreachable", "find the owner", vm.str(), "the VM is not known");
    result.vmFailed = true;
    return result;
}

void TrafficShared::submit(
    TrafficThread& callerThread, const RouteChoice& choice, EndpointTask task, EndpointCallback callback)
{
    const TrafficSnapshot& snapshot = *callerThread.snapshot();
    if (choice.vm == snapshot.self) {
        TrafficThread& owner = this->ownerThread(choice.endpoint);
        if (&owner == &callerThread) {
            submitLocally(owner, std::move(task), callback);
            return;
        }
        auto answer = [&callerThread, callback = std::move(callback)](EndpointResult result) {
            boost::asio::post(callerThread.context(),
                [callback, result = std::move(result)]() mutable { callback(std::move(result)); });
        };
        boost::asio::post(owner.context(), [&owner, task = std::move(task), answer = std::move(answer)]() mutable {
            submitLocally(owner, std::move(task), answer);
        });
        return;
    }
    const auto peer = snapshot.peers.find(choice.vm);
    if (peer == snapshot.peers.end()) {
        callback(makeUnknownPeerResult(choice.vm));
        return;
    }
    this->forwardClient->forward(
        peer->second, task, [&callerThread, callback = std::move(callback)](EndpointResult result) {
            boost::asio::post(callerThread.context(),
                [callback, result = std::move(result)]() mutable { callback(std::move(result)); });
        });
}

std::shared_ptr<TransactionChannel> TrafficShared::openTransaction(
    TrafficThread& callerThread, const RouteChoice& choice)
{
    const TrafficSnapshot& snapshot = *callerThread.snapshot();
    const auto peer = snapshot.peers.find(choice.vm);
    if (choice.vm != snapshot.self && peer != snapshot.peers.end())
        return this->forwardClient->openTransaction(callerThread.context(), peer->second);
    return std::make_shared<LocalTransaction>(callerThread, this->ownerThread(choice.endpoint));
}

void TrafficShared::broadcastTerm(const GroupId& group, const Term& term, const std::optional<EndpointId>& primary)
{
    for (const auto& thread : this->threads) {
        boost::asio::post(
            thread->context(), [&thread = *thread, group, term, primary] { thread.learnTerm(group, term, primary); });
    }
}

} // namespace Lavendervane
