#pragma once

#include <grpcpp/support/server_callback.h>

#include <memory>

namespace Lavendervane {

/// Pending reply to a unary gRPC call. It is sent at most once, from any thread. Destroying the last copy unsent fails
/// the call, so that no call stays open when the control thread ends. For use by the gRPC services only.
template <typename Response> class UnaryReply {
public:
    UnaryReply(grpc::ServerUnaryReactor* reactor, Response* response)
        : state(std::make_shared<State>(reactor, response))
    {
    }

    /// Sends `response`. Has no effect if the call has already been answered.
    void send(Response response) const
    {
        if (!this->state->reactor)
            return;
        *this->state->response = std::move(response);
        this->finish(grpc::Status::OK);
    }

    void fail(grpc::StatusCode code, const std::string& message) const { this->finish(grpc::Status(code, message)); }

private:
    struct State {
        State(grpc::ServerUnaryReactor* reactor, Response* response)
            : reactor(reactor)
            , response(response)
        {
        }
        ~State()
        {
            if (this->reactor)
                this->reactor->Finish(grpc::Status(grpc::StatusCode::UNAVAILABLE, "the VM is stopping"));
        }
        State(const State&) = delete;
        State& operator=(const State&) = delete;

        grpc::ServerUnaryReactor* reactor;
        Response* response;
    };

    void finish(const grpc::Status& status) const
    {
        if (auto* reactor = std::exchange(this->state->reactor, nullptr))
            reactor->Finish(status);
    }

    std::shared_ptr<State> state;
};

} // namespace Lavendervane
