#include "Traffic/ForwardServer.h"

#include "Core/Error.h"
#include "Runtime/BootTime.h"
#include "Security/Digest.h"
#include "Traffic/EndpointOwner.h"
#include "Traffic/ForwardMessages.h"
#include "Traffic/LocalTransaction.h"
#include "Traffic/TrafficShared.h"
#include "Traffic/TrafficThread.h"

#include "forward.grpc.pb.h"

#include <boost/asio/post.hpp>
#include <grpcpp/grpcpp.h>

#include <map>
#include <mutex>
#include <utility>

namespace Lavendervane {

using lavendervane::ForwardRequest;
using lavendervane::ForwardResponse;

namespace {

/// Incoming gRPC call that stop() can end.
class ForwardCall {
public:
    virtual ~ForwardCall() = default;
    virtual void end(const grpc::Status&) = 0;
};

/// Registry of the running calls, keyed by call number.
class CallRegistry {
public:
    uint64_t add(const std::shared_ptr<ForwardCall>& call)
    {
        const std::lock_guard lock(this->mutex);
        if (this->stopped)
            return 0;
        this->calls[++this->last] = call;
        return this->last;
    }

    void remove(uint64_t number)
    {
        const std::lock_guard lock(this->mutex);
        this->calls.erase(number);
    }

    void stop()
    {
        std::map<uint64_t, std::weak_ptr<ForwardCall>> current;
        {
            const std::lock_guard lock(this->mutex);
            this->stopped = true;
            current.swap(this->calls);
        }
        for (const auto& [number, weak] : current) {
            if (const auto call = weak.lock())
                call->end(grpc::Status(grpc::StatusCode::UNAVAILABLE, "the VM is stopping"));
        }
    }

private:
    std::mutex mutex;
    std::map<uint64_t, std::weak_ptr<ForwardCall>> calls;
    uint64_t last = 0;
    bool stopped = false;
};

/// One forwarded request. Destroying the object ends the call if it has not ended before.
class UnaryCall : public ForwardCall {
public:
    UnaryCall(TrafficShared& shared, std::shared_ptr<CallRegistry> registry, grpc::ServerUnaryReactor* reactor)
        : registry(std::move(registry))
        , reactor(reactor)
        , runningGuard(shared)
    {
    }

    ~UnaryCall() override
    {
        this->end(grpc::Status(grpc::StatusCode::UNAVAILABLE, "the request was dropped"));
        this->registry->remove(this->number);
    }

    void end(const grpc::Status& status) override
    {
        const std::lock_guard lock(this->mutex);
        if (auto* taken = std::exchange(this->reactor, nullptr))
            taken->Finish(status);
    }

    /// Sends the response unless the call has ended. gRPC destroys the response object when the call ends.
    void answer(const std::string& requestId, EndpointResult&& result, ForwardResponse& response)
    {
        const std::lock_guard lock(this->mutex);
        if (!this->reactor)
            return;
        fillResponse(requestId, std::move(result), response);
        std::exchange(this->reactor, nullptr)->Finish(grpc::Status::OK);
    }

    uint64_t number = 0;

private:
    std::shared_ptr<CallRegistry> registry; // calls may outlive the service
    std::mutex mutex;
    grpc::ServerUnaryReactor* reactor;
    RunningRequestGuard runningGuard;
};

/// One forwarded transaction. Holds a reference to itself until gRPC reports the end of the call.
class TransactionCall : public ForwardCall, public grpc::ServerBidiReactor<ForwardRequest, ForwardResponse> {
public:
    TransactionCall(TrafficShared& shared, std::shared_ptr<CallRegistry> registry)
        : shared(shared)
        , registry(std::move(registry))
        , runningGuard(shared)
    {
    }

    void start(const std::shared_ptr<TransactionCall>& self, bool authorised)
    {
        this->selfReference = self;
        this->number = this->registry->add(self);
        if (!authorised)
            this->end(grpc::Status(grpc::StatusCode::UNAUTHENTICATED, "wrong secret"));
        else if (!this->number)
            this->end(grpc::Status(grpc::StatusCode::UNAVAILABLE, "the VM is stopping"));
        else
            this->StartRead(&this->request);
    }

    void end(const grpc::Status& status) override
    {
        const std::lock_guard lock(this->mutex);
        if (std::exchange(this->ended, true))
            return;
        this->transaction.reset(); // rolls the transaction back
        this->Finish(status);
    }

    void OnReadDone(bool received) override
    {
        if (!received) {
            this->end(grpc::Status::OK);
            return;
        }
        try {
            this->run(parseRequest(this->request, bootTimeNow()));
        } catch (const Error& error) {
            this->end(grpc::Status(grpc::StatusCode::INVALID_ARGUMENT, error.message()));
        }
    }

    void OnWriteDone(bool written) override
    {
        const std::lock_guard lock(this->mutex);
        if (written && !this->ended)
            this->StartRead(&this->request);
    }

    void OnCancel() override { this->end(grpc::Status::CANCELLED); }

    void OnDone() override
    {
        this->registry->remove(this->number);
        const auto self = std::move(this->selfReference);
    }

private:
    void run(EndpointTask task)
    {
        const std::string requestId = task.requestId;
        std::shared_ptr<TransactionChannel> channel;
        {
            const std::lock_guard lock(this->mutex);
            if (this->ended)
                return;
            if (!this->transaction) {
                TrafficThread& owner = this->shared.ownerThread(task.endpoint);
                this->transaction = std::make_shared<LocalTransaction>(owner, owner);
            }
            channel = this->transaction;
        }
        channel->exchange(std::move(task), [self = this->selfReference, requestId](EndpointResult result) {
            const std::lock_guard lock(self->mutex);
            if (self->ended)
                return;
            fillResponse(requestId, std::move(result), self->response);
            self->StartWrite(&self->response);
        });
    }

    TrafficShared& shared;
    std::shared_ptr<CallRegistry> registry; // calls may outlive the service
    RunningRequestGuard runningGuard;
    std::mutex mutex;
    ForwardRequest request;
    ForwardResponse response;
    std::shared_ptr<TransactionChannel> transaction;
    std::shared_ptr<TransactionCall> selfReference;
    uint64_t number = 0;
    bool ended = false;
};

} // namespace

class ForwardServer::Service final : public lavendervane::ForwardService::CallbackService {
public:
    explicit Service(TrafficShared& shared)
        : shared(shared)
    {
    }

    grpc::ServerUnaryReactor* Forward(
        grpc::CallbackServerContext* context, const ForwardRequest* request, ForwardResponse* response) override
    {
        auto* reactor = context->DefaultReactor();
        if (!this->authorised(*context)) {
            reactor->Finish(grpc::Status(grpc::StatusCode::UNAUTHENTICATED, "wrong secret"));
            return reactor;
        }
        const auto call = std::make_shared<UnaryCall>(this->shared, this->registry, reactor);
        call->number = this->registry->add(call);
        if (!call->number)
            return reactor; // the destructor of the call ends it
        try {
            this->run(call, parseRequest(*request, bootTimeNow()), *response);
        } catch (const Error& error) {
            call->end(grpc::Status(grpc::StatusCode::INVALID_ARGUMENT, error.message()));
        }
        return reactor;
    }

    grpc::ServerBidiReactor<ForwardRequest, ForwardResponse>* Transaction(grpc::CallbackServerContext* context) override
    {
        const auto call = std::make_shared<TransactionCall>(this->shared, this->registry);
        auto* reactor = call.get();
        call->start(call, this->authorised(*context));
        return reactor;
    }

    const std::shared_ptr<CallRegistry> registry = std::make_shared<CallRegistry>();

private:
    bool authorised(const grpc::CallbackServerContext& context) const
    {
        const auto& metadata = context.client_metadata();
        const auto found = metadata.find(secretMetadataKey);
        return found != metadata.end()
            && equalInConstantTime({ found->second.data(), found->second.size() }, this->shared.settings.peerSecret);
    }

    void run(const std::shared_ptr<UnaryCall>& call, EndpointTask task, ForwardResponse& response)
    {
        TrafficThread& owner = this->shared.ownerThread(task.endpoint);
        boost::asio::post(owner.context(), [&owner, call, &response, task = std::move(task)]() mutable {
            const std::string requestId = task.requestId;
            auto callback = [call, &response, requestId](
                                EndpointResult result) { call->answer(requestId, std::move(result), response); };
            const auto endpoint = owner.findOwner(task.endpoint);
            if (endpoint)
                endpoint->submit(std::move(task), callback);
            else
                callback(makeNotRun("endpoint_unreachable", "find the endpoint", task.endpoint.str(),
                    "the endpoint is not declared on this VM"));
        });
    }

    TrafficShared& shared;
};

ForwardServer::ForwardServer(TrafficShared& shared)
    : implementation(std::make_unique<Service>(shared))
{
}

ForwardServer::~ForwardServer() { this->stop(); }

grpc::Service& ForwardServer::service() { return *this->implementation; }

void ForwardServer::stop() { this->implementation->registry->stop(); }

} // namespace Lavendervane
