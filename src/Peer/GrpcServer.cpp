#include "Peer/GrpcServer.h"

#include "Core/Error.h"

#include <grpcpp/grpcpp.h>

#include <chrono>

namespace Lavendervane {

class GrpcServer::Implementation {
public:
    std::unique_ptr<grpc::Server> server;
    int boundPort = 0;
};

GrpcServer::GrpcServer(const std::string& address, const std::vector<grpc::Service*>& services)
    : implementation(std::make_unique<Implementation>())
{
    grpc::ServerBuilder builder;
    // With SO_REUSEPORT two processes could listen on the same port by mistake, and each would get half of the calls.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &this->implementation->boundPort);
    for (grpc::Service* service : services)
        builder.RegisterService(service);
    this->implementation->server = builder.BuildAndStart();
    if (!this->implementation->server || !this->implementation->boundPort)
        throw Error("listen", address, "the address cannot be used");
}

GrpcServer::~GrpcServer() { this->shutdown(); }

uint16_t GrpcServer::port() const { return static_cast<uint16_t>(this->implementation->boundPort); }

void GrpcServer::shutdown()
{
    this->implementation->server->Shutdown(std::chrono::system_clock::now() + std::chrono::milliseconds(500));
}

} // namespace Lavendervane
