#pragma once

#include "Control/GossipMessage.h"
#include "Peer/PeerHandler.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Lavendervane {

struct PeerTimeouts {
    std::chrono::milliseconds probe { 300 };
    std::chrono::milliseconds relayedProbe { 250 }; ///< less than `probe`, which bounds the whole indirect probe
    std::chrono::milliseconds call { 1000 };
};

/// Calls peers over gRPC. Each peer has one channel, which is replaced after a failed call and dropped when the peer is
/// gone or among the least recently used.
/// All calls must be made on the thread that runs the io_context; callbacks run there, with nothing after a failure.
class PeerClient {
public:
    using NewsCallback = std::function<void(std::optional<GossipMessage>)>;

    PeerClient(boost::asio::io_context&, std::string secret, PeerTimeouts = {});

    /// Cancels the calls that run; their callbacks are not called.
    ~PeerClient();

    PeerClient(const PeerClient&) = delete;
    PeerClient& operator=(const PeerClient&) = delete;

    void probe(const std::string& address, const GossipMessage&, NewsCallback);

    /// Asks the VM at `via` to probe the target.
    void probeThrough(const std::string& via, const Member& target, const GossipMessage&, NewsCallback);

    /// Probes for another VM, whose news are passed on.
    void relayProbe(const std::string& address, const GossipMessage&, NewsCallback);

    void fetchChanges(
        const std::string& address, uint64_t fromVersion, std::function<void(std::optional<ChangesAnswer>)>);

    void requestGrant(const std::string& address, const GrantRequest&, std::function<void(std::optional<AnswerGrant>)>);
    void claimAllocator(
        const std::string& address, const AllocatorClaim&, std::function<void(std::optional<AnswerClaim>)>);

    /// Drops the channel to a peer that is gone.
    void forget(const std::string& address);

    size_t channelCount() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation;
};

} // namespace Lavendervane
