#include "Traffic/ForwardClient.h"

#include "Runtime/BootTime.h"
#include "Traffic/ForwardClientImplementation.h"
#include "Traffic/ForwardMessages.h"
#include "Traffic/ForwardTransaction.h"
#include "Traffic/TrafficMetrics.h"

#include <algorithm>
#include <set>

namespace Lavendervane {

using namespace std::chrono_literals;

// Added to the task's deadline for the transfer of the owner's answer.
static constexpr auto responseGrace = 50ms;

// A silent connection between VMs is detected within pingInterval plus pingTimeout.
static constexpr int pingInterval = 1000; // milliseconds
static constexpr int pingTimeout = 1000; // milliseconds

// gRPC's default backoff between connection attempts grows to two minutes, longer than any restart of a VM.
static constexpr int maxReconnectBackoff = 500; // milliseconds

static grpc::ChannelArguments channelArguments()
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, pingInterval);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, pingTimeout);
    arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 100);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, maxReconnectBackoff);
    // Without a local pool, gRPC would share one connection with other components' channels to the same address.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    return arguments;
}

std::shared_ptr<ForwardPeer> ForwardClient::Implementation::peer(const std::string& address)
{
    const std::lock_guard lock(this->mutex);
    auto& entry = this->peers[address];
    if (!entry) {
        entry = std::make_shared<ForwardPeer>();
        entry->channel = grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), channelArguments());
        entry->stub = lavendervane::ForwardService::NewStub(entry->channel);
    }
    return entry;
}

bool ForwardClient::Implementation::registerCall(grpc::ClientContext& context)
{
    const std::lock_guard lock(this->mutex);
    if (this->stopped)
        return false;
    this->calls.insert(&context);
    return true;
}

void ForwardClient::Implementation::unregisterCall(grpc::ClientContext& context)
{
    const std::lock_guard lock(this->mutex);
    this->calls.erase(&context);
    this->callsEnded.notify_all();
}

namespace {

struct Call {
    std::shared_ptr<ForwardPeer> peer;
    std::string vm;
    grpc::ClientContext context;
    lavendervane::ForwardRequest request;
    lavendervane::ForwardResponse response;
    EndpointCallback callback;
};

EndpointResult makePeerFailure(bool wasSent, const std::string& vm, const std::string& message)
{
    EndpointResult result = wasSent ? makeUnknown("peer_unreachable", "forward to the owner", vm, message)
                                    : makeNotRun("peer_unreachable", "forward to the owner", vm, message);
    result.vmFailed = true;
    return result;
}

} // namespace

ForwardClient::ForwardClient(std::string secret, TrafficMetrics& metrics)
    : implementation(std::make_shared<Implementation>(std::move(secret), metrics))
{
}

ForwardClient::~ForwardClient() { this->stop(); }

void ForwardClient::forward(const PeerRouting& target, const EndpointTask& task, EndpointCallback callback)
{
    const auto call = std::make_shared<Call>();
    call->peer = this->implementation->peer(target.address);
    call->vm = target.vm.str();
    call->callback = std::move(callback);
    // A call on a channel that cannot connect fails without being sent, but its status does not show that. Checking the
    // channel state first allows the outcome not_run.
    if (call->peer->channel->GetState(true) == GRPC_CHANNEL_TRANSIENT_FAILURE
        || !this->implementation->registerCall(call->context)) {
        this->implementation->metrics.countForward(false);
        call->callback(makePeerFailure(false, call->vm, "no connection to the VM"));
        return;
    }
    const Instant now = bootTimeNow();
    fillRequest(task, now, call->request);
    const auto remaining
        = std::chrono::duration_cast<std::chrono::microseconds>(std::max(Duration {}, task.deadline - now));
    call->context.set_deadline(std::chrono::system_clock::now() + remaining + responseGrace);
    call->context.AddMetadata(secretMetadataKey, this->implementation->secret);
    call->peer->stub->async()->Forward(&call->context, &call->request, &call->response,
        [clientState = this->implementation, call](const grpc::Status& status) {
            clientState->metrics.countForward(status.ok());
            // The owner checks the secret before it runs the task, so a rejected call has not run.
            const bool rejected = status.error_code() == grpc::StatusCode::UNAUTHENTICATED;
            if (status.ok())
                call->callback(parseResponse(call->response, call->vm));
            else
                call->callback(makePeerFailure(!rejected, call->vm, status.error_message()));
            clientState->unregisterCall(call->context);
        });
}

std::shared_ptr<TransactionChannel> ForwardClient::openTransaction(
    boost::asio::io_context& context, const PeerRouting& target)
{
    return std::make_shared<ForwardTransaction>(context, this->implementation, target);
}

void ForwardClient::retainPeers(const TrafficSnapshot& snapshot)
{
    std::set<std::string> addresses;
    for (const auto& [vm, peer] : snapshot.peers)
        addresses.insert(peer.address);
    const std::lock_guard lock(this->implementation->mutex);
    std::erase_if(
        this->implementation->peers, [&addresses](const auto& entry) { return !addresses.contains(entry.first); });
}

void ForwardClient::stop()
{
    Implementation& clientState = *this->implementation;
    std::unique_lock lock(clientState.mutex);
    clientState.stopped = true;
    for (grpc::ClientContext* context : clientState.calls)
        context->TryCancel();
    clientState.callsEnded.wait(lock, [&clientState] { return clientState.calls.empty(); });
}

} // namespace Lavendervane
