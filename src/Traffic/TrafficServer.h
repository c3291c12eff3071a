#pragma once

#include "Control/TrafficObservation.h"
#include "Control/TrafficSnapshot.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace grpc {
class Service;
}

namespace prometheus {
class Registry;
}

namespace Lavendervane {

class Admission;

struct TrafficSettings {
    std::string address; ///< "IP:port" for callers
    uint32_t threads = 2;
    std::string tlsCertificateFile; ///< PEM; empty for plain HTTP
    std::string tlsKeyFile; ///< PEM
    std::string digestSecret; ///< key for the digests of API keys
    std::string sessionSecret; ///< key that signs session tokens
    std::string peerSecret; ///< sent to peers with each forwarded request
    std::chrono::milliseconds defaultTimeout { 5000 };
    std::chrono::milliseconds admissionWait { 250 };
    std::chrono::milliseconds coverageWait { 50 };
    uint32_t queueLimit = 64; ///< maximum number of queued requests per organisation and endpoint
};

/// Runs the traffic threads, which serve callers over HTTP, queue requests for endpoints and forward them to other VMs.
class TrafficServer {
public:
    /// Throws Error (step "listen" or "load TLS files").
    TrafficServer(const TrafficSettings&, Admission&, TrafficObserver&, prometheus::Registry&);
    ~TrafficServer();

    TrafficServer(const TrafficServer&) = delete;
    TrafficServer& operator=(const TrafficServer&) = delete;

    /// Starts the threads. Requests are rejected with the outcome not_run until the first snapshot is published.
    void start();

    /// Passes a snapshot to every traffic thread. Thread-safe.
    void publish(std::shared_ptr<const TrafficSnapshot>);

    /// gRPC service that other VMs call. Must be registered before the gRPC server is started.
    grpc::Service& forwardService();

    uint16_t port() const;

    /// Continues to accept connections, but adds "Connection: close" to responses.
    void beginDraining();

    /// Stops accepting connections. Invokes `finished` on a traffic thread once no request or transaction is running.
    void stopAccepting(std::function<void()> finished);

    /// Number of running requests and open transactions.
    size_t running() const;

    /// Ends the threads and aborts all running requests and transactions.
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace Lavendervane
