#pragma once

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>

namespace grpc {
class Service;
}

namespace Lavendervane {

class OperatorHandler;

/// Secrets that the operator service uses.
struct OperatorServiceSettings {
    std::string secret; ///< shared with operators; calls without it are rejected
    std::string digestSecret; ///< key of the digests of callers' keys
};

/// gRPC service for operators (proto/operator.proto). Posts calls to the control thread, which runs the io_context.
class OperatorService {
public:
    OperatorService(boost::asio::io_context&, OperatorHandler&, OperatorServiceSettings);
    ~OperatorService();

    /// Returns the service to register with a gRPC server, which must be shut down before this object is destroyed.
    grpc::Service& service();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace Lavendervane
