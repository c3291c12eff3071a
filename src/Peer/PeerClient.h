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

/// Deadlines of calls to peers.
struct PeerTimeouts {
    std::chrono::milliseconds probe { 300 };
    std::chrono::milliseconds relayedProbe { 250 }; ///< shorter than `probe`, which covers the whole indirect probe
    std::chrono::milliseconds call { 1000 }; ///< deadline of all calls other than probes
};

/// Calls peers over gRPC. Each peer has one channel, which is replaced after a failed call and closed when the peer is
/// removed or too many channels are open and it is the least recently used.
/// All functions must be called on the thread that runs the io_context. Callbacks run on it too and receive nullopt
/// after a failure.
class PeerClient {
public:
    using GossipCallback = std::function<void(std::optional<GossipMessage>)>;

    PeerClient(boost::asio::io_context&, std::string secret, PeerTimeouts = {});

    /// Cancels the calls in progress. Their callbacks are not called.
    ~PeerClient();

    PeerClient(const PeerClient&) = delete;
    PeerClient& operator=(const PeerClient&) = delete;

    void probe(const std::string& address, const GossipMessage&, GossipCallback);

    /// Asks the VM at `via` to probe the target.
    void probeThrough(const std::string& via, const Member& target, const GossipMessage&, GossipCallback);

    /// Probes a peer on behalf of another VM, which sent the message.
    void relayProbe(const std::string& address, const GossipMessage&, GossipCallback);

    void fetchChanges(
        const std::string& address, uint64_t fromVersion, std::function<void(std::optional<ChangesAnswer>)>);

    void requestGrant(const std::string& address, const GrantRequest&, std::function<void(std::optional<AnswerGrant>)>);
    void claimAllocator(
        const std::string& address, const AllocatorClaim&, std::function<void(std::optional<AnswerClaim>)>);

    /// Closes the channel to a peer that has been removed.
    void dropChannel(const std::string& address);

    size_t channelCount() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation;
};

} // namespace Lavendervane
