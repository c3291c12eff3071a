#pragma once

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>

namespace grpc {
class Service;
}

namespace Lavendervane {

class PeerHandler;

/// gRPC service for peers (proto/peer.proto). Rejects calls with a wrong secret and posts all others to the control
/// thread, which runs the io_context.
class PeerService {
public:
    PeerService(boost::asio::io_context&, PeerHandler&, std::string secret);
    ~PeerService();

    /// Returns the service to register with a gRPC server, which must be shut down before this object is destroyed.
    grpc::Service& service();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace Lavendervane
