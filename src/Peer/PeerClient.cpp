#include "Peer/PeerClient.h"

#include "Peer/PeerMessages.h"
#include "Peer/SharedSecret.h"

#include "peer.grpc.pb.h"

#include <boost/asio/post.hpp>
#include <grpcpp/grpcpp.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <set>

namespace Lavendervane {

using Stub = lavendervane::PeerService::Stub;

// Limits the memory of channels: a VM probes every member of its data centre in turn, and open channels to 1,000
// members would exceed the memory limit of the whole control plane.
static constexpr size_t channelLimit = 64;

namespace {

/// Set of the calls in progress, so that the client can wait until gRPC no longer refers to it.
class RunningCalls {
public:
    void add(grpc::ClientContext* context)
    {
        const std::lock_guard lock(this->mutex);
        this->contexts.insert(context);
    }

    void remove(grpc::ClientContext* context)
    {
        const std::lock_guard lock(this->mutex);
        this->contexts.erase(context);
        this->changed.notify_all();
    }

    void cancelAll()
    {
        std::unique_lock lock(this->mutex);
        for (grpc::ClientContext* context : this->contexts)
            context->TryCancel();
        this->changed.wait(lock, [this] { return this->contexts.empty(); });
    }

private:
    std::mutex mutex;
    std::condition_variable changed;
    std::set<grpc::ClientContext*> contexts;
};

struct Channel {
    std::shared_ptr<Stub> stub;
    uint64_t lastUse = 0;
};

template <typename Request, typename Response> struct Call {
    grpc::ClientContext context;
    Request request;
    Response response;
    std::shared_ptr<Stub> stub;
};

/// Keeps gRPC's process-wide callback queue alive. gRPC 1.51 can abort (ref_counted.h, "prior > 0") when the last
/// callback channel or server is destroyed, because that destroys the queue while its thread still uses it.
void keepCallbackQueueAlive()
{
    static auto* const call = [] {
        auto* idleCall = new Call<lavendervane::ProbeRequest, lavendervane::ProbeResponse>();
        idleCall->stub = lavendervane::PeerService::NewStub(
            grpc::CreateChannel("127.0.0.1:1", grpc::InsecureChannelCredentials()));
        // A channel uses the queue from its first call on. The deadline of this call has passed, so nothing is sent.
        idleCall->context.set_deadline(std::chrono::system_clock::now());
        idleCall->stub->async()->Probe(
            &idleCall->context, &idleCall->request, &idleCall->response, [](const grpc::Status&) {});
        return idleCall;
    }();
    (void)call;
}

} // namespace

class PeerClient::Implementation : public std::enable_shared_from_this<PeerClient::Implementation> {
public:
    Implementation(boost::asio::io_context& context, std::string secret, PeerTimeouts timeouts)
        : context(context)
        , secret(std::move(secret))
        , timeouts(timeouts)
    {
    }

    /// Starts one call. `done` runs on the control thread with the response, or with null after a failure.
    template <typename Request, typename Response, typename Start, typename Done>
    void call(const std::string& address, Request request, std::chrono::milliseconds timeout, Start start, Done done)
    {
        auto call = std::make_shared<Call<Request, Response>>();
        call->context.set_deadline(std::chrono::system_clock::now() + timeout);
        call->context.AddMetadata(secretMetadataKey, this->secret);
        call->request = std::move(request);
        call->stub = this->stubFor(address);
        this->runningCalls->add(&call->context);
        auto onFinished = [weak = this->weak_from_this(), runningCalls = this->runningCalls, &io = this->context, call,
                              address, done = std::move(done)](const grpc::Status& status) mutable {
            boost::asio::post(io, [weak, call, address, done = std::move(done), ok = status.ok()] {
                const auto self = weak.lock();
                if (!self)
                    return;
                if (!ok)
                    self->dropFailedChannel(address, call->stub);
                done(ok ? &call->response : nullptr);
            });
            runningCalls->remove(&call->context);
        };
        start(*call->stub->async(), &call->context, &call->request, &call->response, std::move(onFinished));
    }

    void probe(const std::string& address, lavendervane::ProbeRequest request, std::chrono::milliseconds timeout,
        GossipCallback callback)
    {
        this->call<lavendervane::ProbeRequest, lavendervane::ProbeResponse>(
            address, std::move(request), timeout,
            [](auto& stub, auto... arguments) { stub.Probe(std::move(arguments)...); },
            [callback = std::move(callback)](const lavendervane::ProbeResponse* response) {
                callback(response ? std::optional(parseGossipMessage(*response)) : std::nullopt);
            });
    }

    std::shared_ptr<Stub> stubFor(const std::string& address)
    {
        Channel& channel = this->channels[address];
        channel.lastUse = ++this->useCount;
        if (!channel.stub) {
            grpc::ChannelArguments arguments;
            // Without a subchannel pool of its own a new channel would reuse the connection of the old one, which may
            // be dead.
            arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
            channel.stub = lavendervane::PeerService::NewStub(
                grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments));
        }
        auto stub = channel.stub;
        this->dropLeastRecentlyUsedChannel();
        return stub;
    }

    void dropLeastRecentlyUsedChannel()
    {
        if (this->channels.size() <= channelLimit)
            return;
        auto oldest = this->channels.begin();
        for (auto entry = this->channels.begin(); entry != this->channels.end(); ++entry) {
            if (entry->second.lastUse < oldest->second.lastUse)
                oldest = entry;
        }
        this->channels.erase(oldest);
    }

    void dropFailedChannel(const std::string& address, const std::shared_ptr<Stub>& stub)
    {
        const auto found = this->channels.find(address);
        if (found != this->channels.end() && found->second.stub == stub)
            this->channels.erase(found);
    }

    boost::asio::io_context& context;
    std::string secret;
    PeerTimeouts timeouts;
    std::map<std::string, Channel> channels;
    uint64_t useCount = 0;
    std::shared_ptr<RunningCalls> runningCalls = std::make_shared<RunningCalls>();
};

PeerClient::PeerClient(boost::asio::io_context& context, std::string secret, PeerTimeouts timeouts)
    : implementation(std::make_shared<Implementation>(context, std::move(secret), timeouts))
{
    keepCallbackQueueAlive();
}

PeerClient::~PeerClient()
{
    const auto runningCalls = this->implementation->runningCalls;
    this->implementation.reset();
    runningCalls->cancelAll();
}

void PeerClient::probe(const std::string& address, const GossipMessage& gossip, GossipCallback callback)
{
    lavendervane::ProbeRequest request;
    write(gossip, request);
    this->implementation->probe(address, std::move(request), this->implementation->timeouts.probe, std::move(callback));
}

void PeerClient::probeThrough(
    const std::string& via, const Member& target, const GossipMessage& gossip, GossipCallback callback)
{
    lavendervane::ProbeRequest request;
    write(gossip, request);
    write(target, *request.mutable_indirect_target());
    this->implementation->probe(via, std::move(request), this->implementation->timeouts.probe, std::move(callback));
}

void PeerClient::relayProbe(const std::string& address, const GossipMessage& gossip, GossipCallback callback)
{
    lavendervane::ProbeRequest request;
    write(gossip, request);
    this->implementation->probe(
        address, std::move(request), this->implementation->timeouts.relayedProbe, std::move(callback));
}

static std::optional<ChangesAnswer> parseChanges(const lavendervane::FetchChangesResponse& response)
{
    try {
        ChangesAnswer answer;
        answer.version = response.version();
        for (const std::string& change : response.changes())
            answer.changes.push_back(parseChange(change));
        if (!response.snapshot().empty())
            answer.snapshot = parseConfiguration(response.snapshot());
        return answer;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

void PeerClient::fetchChanges(
    const std::string& address, uint64_t fromVersion, std::function<void(std::optional<ChangesAnswer>)> callback)
{
    lavendervane::FetchChangesRequest request;
    request.set_from_version(fromVersion);
    this->implementation->call<lavendervane::FetchChangesRequest, lavendervane::FetchChangesResponse>(
        address, std::move(request), this->implementation->timeouts.call,
        [](auto& stub, auto... arguments) { stub.FetchChanges(std::move(arguments)...); },
        [callback = std::move(callback)](const lavendervane::FetchChangesResponse* response) {
            callback(response ? parseChanges(*response) : std::nullopt);
        });
}

void PeerClient::requestGrant(const std::string& address, const GrantRequest& grantRequest,
    std::function<void(std::optional<AnswerGrant>)> callback)
{
    lavendervane::GrantRequestMessage request;
    write(grantRequest, request);
    this->implementation->call<lavendervane::GrantRequestMessage, lavendervane::GrantResponseMessage>(
        address, std::move(request), this->implementation->timeouts.call,
        [](auto& stub, auto... arguments) { stub.RequestGrant(std::move(arguments)...); },
        [callback = std::move(callback)](const lavendervane::GrantResponseMessage* response) {
            callback(response ? std::optional(parseGrantAnswer(*response)) : std::nullopt);
        });
}

void PeerClient::claimAllocator(
    const std::string& address, const AllocatorClaim& claim, std::function<void(std::optional<AnswerClaim>)> callback)
{
    lavendervane::ClaimAllocatorRequest request;
    write(claim, request);
    this->implementation->call<lavendervane::ClaimAllocatorRequest, lavendervane::ClaimAllocatorResponse>(
        address, std::move(request), this->implementation->timeouts.call,
        [](auto& stub, auto... arguments) { stub.ClaimAllocator(std::move(arguments)...); },
        [callback = std::move(callback)](const lavendervane::ClaimAllocatorResponse* response) {
            callback(response ? std::optional(parseClaimAnswer(*response)) : std::nullopt);
        });
}

void PeerClient::dropChannel(const std::string& address) { this->implementation->channels.erase(address); }

size_t PeerClient::channelCount() const { return this->implementation->channels.size(); }

} // namespace Lavendervane
