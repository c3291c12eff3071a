#include "Ctl/OperatorClient.h"

#include "Core/Error.h"

#include <grpcpp/grpcpp.h>

#include "operator.grpc.pb.h"

namespace Lavendervane {

using Stub = lavendervane::OperatorService::Stub;

class OperatorClient::Implementation {
public:
    explicit Implementation(Settings settings)
        : settings(std::move(settings))
    {
    }

    template <typename Response, typename Request>
    Response call(grpc::Status (Stub::*method)(grpc::ClientContext*, const Request&, Response*), const Request& request,
        bool isRetryable = true)
    {
        std::string failure = "no server was given";
        std::string peer;
        for (const std::string& server : this->settings.servers) {
            grpc::ClientContext context;
            context.set_deadline(std::chrono::system_clock::now() + this->settings.timeout);
            context.AddMetadata("lavendervane-secret", this->settings.secret);
            const auto stub = lavendervane::OperatorService::NewStub(
                grpc::CreateChannel(server, grpc::InsecureChannelCredentials()));
            Response response;
            const grpc::Status status = ((*stub).*method)(&context, request, &response);
            if (status.ok())
                return response;
            peer = server;
            failure = status.error_message();
            if (!isRetryable)
                break;
        }
        throw Error("call", peer, failure);
    }

private:
    Settings settings;
};

OperatorClient::OperatorClient(Settings settings)
    : implementation(std::make_unique<Implementation>(std::move(settings)))
{
}

OperatorClient::~OperatorClient() = default;

lavendervane::GetConfigurationResponse OperatorClient::getConfiguration()
{
    return this->implementation->call(&Stub::GetConfiguration, lavendervane::GetConfigurationRequest());
}

lavendervane::ApplyResponse OperatorClient::apply(const lavendervane::ApplyRequest& request)
{
    return this->implementation->call(&Stub::Apply, request);
}

lavendervane::HistoryResponse OperatorClient::history(uint32_t limit)
{
    lavendervane::HistoryRequest request;
    request.set_limit(limit);
    return this->implementation->call(&Stub::History, request);
}

lavendervane::CreateKeyResponse OperatorClient::createKey(const lavendervane::CreateKeyRequest& request)
{
    return this->implementation->call(&Stub::CreateKey, request, false);
}

lavendervane::ApplyResponse OperatorClient::withdrawKey(const lavendervane::WithdrawKeyRequest& request)
{
    return this->implementation->call(&Stub::WithdrawKey, request);
}

lavendervane::StatusResponse OperatorClient::status(bool allVms)
{
    lavendervane::StatusRequest request;
    request.set_all_vms(allVms);
    return this->implementation->call(&Stub::Status, request);
}

} // namespace Lavendervane
