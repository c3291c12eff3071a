#include "Traffic/ForwardTransaction.h"

#include "Runtime/BootTime.h"
#include "Traffic/ForwardClientImplementation.h"
#include "Traffic/ForwardMessages.h"

#include <boost/asio/post.hpp>

#include <mutex>
#include <utility>

namespace Lavendervane {

using lavendervane::ForwardRequest;
using lavendervane::ForwardResponse;

/// gRPC stream of one transaction. Holds a reference to itself from the first exchange until gRPC reports its end.
class ForwardTransaction::Stream : public grpc::ClientBidiReactor<ForwardRequest, ForwardResponse> {
public:
    Stream(boost::asio::io_context& context, std::shared_ptr<ForwardClient::Implementation> clientState,
        const PeerRouting& target)
        : context(context)
        , clientState(std::move(clientState))
        , peer(this->clientState->peer(target.address))
        , vm(target.vm.str())
    {
    }

    void exchange(const std::shared_ptr<Stream>& self, const EndpointTask& task, EndpointCallback newCallback)
    {
        std::unique_lock lock(this->mutex);
        this->callback = std::move(newCallback);
        fillRequest(task, bootTimeNow(), this->request);
        const bool first = !std::exchange(this->started, true);
        if (this->closed || (first && !this->clientState->registerCall(this->clientContext))) {
            this->closed = true;
            lock.unlock();
            this->answer(makeNotRun("no_transaction", "find the transaction", this->vm, "the transaction has ended"));
            return;
        }
        if (first) {
            this->selfReference = self;
            this->clientContext.AddMetadata(secretMetadataKey, this->clientState->secret);
            this->peer->stub->async()->Transaction(&this->clientContext, this);
            this->AddHold(); // later reads and writes start outside of the reactor's callbacks
        }
        this->StartWrite(&this->request);
        this->StartRead(&this->response);
        if (first)
            this->StartCall();
    }

    void close()
    {
        const std::lock_guard lock(this->mutex);
        if (std::exchange(this->closed, true) || !this->started)
            return;
        this->clientContext.TryCancel();
        this->RemoveHold();
    }

    void OnReadDone(bool received) override
    {
        if (received) {
            this->answer(parseResponse(this->response, this->vm));
            return;
        }
        EndpointResult lost = makeUnknown("transaction_lost", "forward to the owner", this->vm, "the stream ended");
        lost.vmFailed = true;
        this->answer(std::move(lost));
    }

    void OnDone(const grpc::Status&) override
    {
        const auto self = std::move(this->selfReference);
        this->clientState->unregisterCall(this->clientContext);
    }

private:
    void answer(EndpointResult result)
    {
        EndpointCallback taken;
        {
            const std::lock_guard lock(this->mutex);
            taken = std::exchange(this->callback, nullptr);
        }
        if (taken) {
            boost::asio::post(this->context,
                [taken = std::move(taken), result = std::move(result)]() mutable { taken(std::move(result)); });
        }
    }

    boost::asio::io_context& context;
    std::shared_ptr<ForwardClient::Implementation> clientState;
    std::shared_ptr<ForwardPeer> peer;
    std::string vm;
    grpc::ClientContext clientContext;
    std::mutex mutex;
    ForwardRequest request;
    ForwardResponse response;
    EndpointCallback callback;
    std::shared_ptr<Stream> selfReference;
    bool started = false;
    bool closed = false;
};

ForwardTransaction::ForwardTransaction(boost::asio::io_context& context,
    std::shared_ptr<ForwardClient::Implementation> clientState, const PeerRouting& target)
    : stream(std::make_shared<Stream>(context, std::move(clientState), target))
{
}

ForwardTransaction::~ForwardTransaction() { this->stream->close(); }

void ForwardTransaction::exchange(EndpointTask task, EndpointCallback callback)
{
    this->stream->exchange(this->stream, task, std::move(callback));
}

void ForwardTransaction::close() { this->stream->close(); }

} // namespace Lavendervane
