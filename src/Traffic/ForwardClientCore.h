#pragma once

#include "Traffic/ForwardClient.h"

#include "forward.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <set>

namespace Lavendervane {

struct ForwardPeer {
    std::shared_ptr<grpc::Channel> channel;
    std::unique_ptr<lavendervane::ForwardService::Stub> stub;
};

/// State of the forward client that its calls keep alive. Included by its sources only.
class ForwardClient::Implementation {
public:
    Implementation(std::string secret, TrafficMetrics& metrics)
        : secret(std::move(secret))
        , metrics(metrics)
    {
    }

    std::shared_ptr<ForwardPeer> peer(const std::string& address);

    /// Registers a call, so that stop() cancels it and waits for it. Returns false after stop().
    bool registerCall(grpc::ClientContext&);
    void unregisterCall(grpc::ClientContext&);

    const std::string secret;
    TrafficMetrics& metrics;
    std::mutex mutex;
    std::condition_variable callsEnded;
    std::map<std::string, std::shared_ptr<ForwardPeer>> peers; ///< by address
    std::set<grpc::ClientContext*> calls;
    bool stopped = false;
};

} // namespace Lavendervane
