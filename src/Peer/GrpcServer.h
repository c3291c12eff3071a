#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace grpc {
class Service;
}

namespace Lavendervane {

/// Serves gRPC services on one address. The services must outlive the server.
class GrpcServer {
public:
    /// Throws Error (step "listen") if the address ("IP:port"; port 0 selects a free port) cannot be used.
    GrpcServer(const std::string& address, const std::vector<grpc::Service*>& services);
    ~GrpcServer();

    uint16_t port() const;

    /// Stops accepting calls, cancels the calls that still run after 500 ms, and returns when all have ended.
    void shutdown();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace Lavendervane
