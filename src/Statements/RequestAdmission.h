#pragma once

#include "Core/RandomGenerator.h"
#include "Limits/LimitShares.h"
#include "Limits/ShareLedger.h"
#include "Peers/PeerTransport.h"
#include "Runtime/Timers.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Lavendervane {

struct RequestAdmissionSettings {
    /// Wait for a lender's answer. Between data centres of a region it comes after about 3 ms.
    Duration lenderTimeout = std::chrono::milliseconds(8);
    /// VMs that are asked before a request is refused.
    uint32_t lenders = 6;
    /// After all of them had nothing, requests are refused at once for this long.
    Duration emptyPause = std::chrono::milliseconds(150);
};

/// Admits requests by this VM's shares, and by tokens of other VMs when the own ones are used up. A request that cannot
/// be admitted is refused as soon as that is known.
class RequestAdmission {
public:
    using Callback = std::function<void(bool admitted)>;

    RequestAdmission(
        LimitShares&, Timers&, PeerTransport&, VmId own, DataCentre, RequestAdmissionSettings, uint64_t seed);
    ~RequestAdmission();

    RequestAdmission(const RequestAdmission&) = delete;
    RequestAdmission& operator=(const RequestAdmission&) = delete;

    void setPeers(const std::vector<FleetMember>&);

    /// Calls back once, possibly from within this call. Returns a number for `cancel`.
    uint64_t admit(const OrganisationId&, Callback);

    /// Forgets a request that waits; its callback is not called.
    void cancel(uint64_t number);

    void tokensRequested(const std::string& sender, const TokenRequest&);
    void tokensReceived(const std::string& sender, const TokenReply&);

private:
    struct Waiter {
        uint64_t number = 0;
        Callback callback;
    };

    /// Requests of one organisation that wait for tokens.
    struct Waiting {
        std::deque<Waiter> waiters;
        std::vector<std::string> asked; ///< addresses, in order
        uint64_t question = 0; ///< number of the request under way; 0 if none
        std::optional<Timers::Handle> timer;
        Instant emptyUntil {};
        std::string lastLender;
    };

    void askNext(const OrganisationId&, Waiting&);
    std::optional<std::string> chooseLender(const Waiting&);
    void serve(const OrganisationId&, Waiting&);
    void giveUp(Waiting&);

    LimitShares& shares;
    Timers& timers;
    PeerTransport& transport;
    VmId own;
    DataCentre dataCentre;
    RequestAdmissionSettings settings;
    RandomGenerator random;
    std::vector<std::string> near; ///< addresses in the same data centre
    std::vector<std::string> far;
    std::map<OrganisationId, Waiting> organisations;
    uint64_t lastNumber = 0;
};

} // namespace Lavendervane
