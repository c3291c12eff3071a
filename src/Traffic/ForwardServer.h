#pragma once

#include <memory>

namespace grpc {
class Service;
}

namespace Lavendervane {

struct TrafficShared;

/// Server side of forwarding: runs the tasks that other VMs forward to this VM.
class ForwardServer {
public:
    explicit ForwardServer(TrafficShared&);
    ~ForwardServer();

    ForwardServer(const ForwardServer&) = delete;
    ForwardServer& operator=(const ForwardServer&) = delete;

    /// Service to register with the gRPC server.
    grpc::Service& service();

    /// Ends all calls and rejects new ones. Must be called before the traffic threads are destroyed.
    void stop();

private:
    class Service;
    std::unique_ptr<Service> implementation;
};

} // namespace Lavendervane
