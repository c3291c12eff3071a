#pragma once

#include "Traffic/ForwardClient.h"

#include "forward.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <set>

namespace Lavendervane {

/// gRPC channel and stub for one peer VM.
struct ForwardPeer {
    std::shared_ptr<grpc::Channel> channel;
    std::unique_ptr<lavendervane::ForwardService::Stub> stub;
};

/// State of the forward client, kept alive by running calls. Only the forward client's own sources include this header.
class ForwardClient::Implementation {
public:
    Implementation(std::string secret, TrafficMetrics& metrics)
        : secret(std::move(secret))
        , metrics(metrics)
    {
    }

    /// Returns the peer with this address; creates its channel on first use.
    std::shared_ptr<ForwardPeer> peer(const std::string& address);

    /// Registers a call, so that stop() cancels it and waits for it. Returns false after stop().
    bool registerCall(grpc::ClientContext&);
    void unregisterCall(grpc::ClientContext&);

    const std::string secret;
    TrafficMetrics& metrics;
    std::mutex mutex;
    std::condition_variable callsEnded;
    std::map<std::string, std::shared_ptr<ForwardPeer>> peers; ///< keyed by address
    std::set<grpc::ClientContext*> calls;
    bool stopped = false;
};

} // namespace Lavendervane
