#include "ManualTimers.h"

#include "Core/RandomGenerator.h"
#include "Statements/RequestAdmission.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <memory>

using namespace Lavendervane;
using namespace std::chrono_literals;

namespace {

const OrganisationId desk("desk");

/// Simulated network between the VMs of the test.
struct Network {
    ManualTimers timers;
    RandomGenerator random { 1 };
    uint32_t lossPercent = 0;
    uint32_t duplicatePercent = 0; ///< messages that arrive twice, the second time 10 ms later
    size_t sent = 0; ///< number of messages
    std::map<std::string, std::function<void(const std::string&, const PeerMessage&)>> receivers;
};

class VmTransport : public PeerTransport {
public:
    VmTransport(Network& network, std::string own)
        : network(network)
        , own(std::move(own))
    {
    }

    void send(const std::string& address, const PeerMessage& message) override
    {
        ++this->network.sent;
        if (this->network.random.below(100) < this->network.lossPercent)
            return;
        // The sender may have been destroyed when the message arrives.
        Network& net = this->network;
        const auto deliver = [&net, sender = this->own, address, message] {
            if (const auto receiver = net.receivers.find(address); receiver != net.receivers.end())
                receiver->second(sender, message);
        };
        net.timers.schedule(net.timers.now() + 1ms, deliver);
        if (net.duplicatePercent && net.random.below(100) < net.duplicatePercent)
            net.timers.schedule(net.timers.now() + 11ms, deliver);
    }

    void setListener(PeerListener*) override { }

private:
    Network& network;
    std::string own;
};

/// A VM with its shares of the limits. Destroying it simulates a crash.
struct Vm {
    Vm(Network& network, const std::string& name, uint64_t seed)
        : network(network)
        , name(name)
        , transport(network, name)
        , admission(this->shares, network.timers, this->transport, VmId(name), DataCentre("dc"), {}, seed)
    {
        network.receivers[name] = [this](const std::string& sender, const PeerMessage& message) {
            if (const auto* request = std::get_if<TokenRequest>(&message))
                this->admission.handleTokenRequest(sender, *request);
            else if (const auto* reply = std::get_if<TokenReply>(&message))
                this->admission.handleTokenReply(sender, *reply);
            else if (const auto* returned = std::get_if<TokenReturn>(&message))
                this->admission.handleTokenReturn(sender, *returned);
        };
    }

    ~Vm() { this->network.receivers.erase(this->name); }

    Network& network;
    std::string name;
    LimitShares shares;
    VmTransport transport;
    RequestAdmission admission;
};

struct FleetFixture {
    explicit FleetFixture(size_t vmCount = 18, size_t holderCount = 18)
        : vmCount(vmCount)
        , holderCount(holderCount)
    {
        for (size_t index = 0; index < vmCount; ++index) {
            const bool holder = index < holderCount;
            this->peers.push_back({ VmId(this->nameOf(index)), DataCentre("dc"), this->nameOf(index), 1000, holder });
        }
        for (size_t index = 0; index < vmCount; ++index)
            this->start(index);
    }

    static std::string nameOf(size_t index) { return "vm-" + std::to_string(index); }

    void start(size_t index)
    {
        if (this->vms.size() <= index)
            this->vms.resize(index + 1);
        this->vms[index].reset();
        this->vms[index] = std::make_unique<Vm>(this->network, this->nameOf(index), ++this->seed);
        Vm& vm = *this->vms[index];
        const Instant now = this->network.timers.now();
        vm.shares.setLimits(
            { { desk, { this->rate * milliTokensPerRequest, this->burst * milliTokensPerRequest } } }, now);
        const auto share = static_cast<uint32_t>(index < this->holderCount ? fullShare / this->holderCount : 0);
        vm.shares.setShare(share, now + 1h, now);
        vm.admission.setPeers(this->peers);
    }

    void request(size_t index)
    {
        ++this->requested;
        this->vms[index]->admission.admit(desk, 0, [this, index](bool admitted) {
            if (!admitted)
                ++this->refused;
            else if (this->endpointRuns)
                this->admitted.push_back(this->network.timers.now());
            else
                this->network.timers.schedule(this->network.timers.now() + 150ms,
                    [this, index] { this->vms[index]->admission.returnToken(desk); });
        });
    }

    /// Sends requests at random times, `perSecond` on average, to random VMs of `targets`.
    void simulateLoad(Duration duration, double perSecond, const std::vector<size_t>& targets)
    {
        const Instant end = this->network.timers.now() + duration;
        while (this->network.timers.now() < end) {
            if (static_cast<double>(this->random.below(100'000)) < perSecond * 100)
                this->request(targets[this->random.below(targets.size())]);
            this->network.timers.advance(1ms);
        }
    }

    /// Maximum number of admitted requests by which any time window exceeds the limit.
    double worstExcess() const
    {
        double worst = -1e9;
        for (size_t first = 0; first < this->admitted.size(); ++first) {
            for (size_t last = first; last < this->admitted.size(); ++last) {
                const double seconds
                    = std::chrono::duration<double>(this->admitted[last] - this->admitted[first]).count();
                const double allowed = static_cast<double>(this->burst) + static_cast<double>(this->rate) * seconds;
                worst = std::max(worst, static_cast<double>(last - first + 1) - allowed);
            }
        }
        return worst;
    }

    size_t vmCount;
    size_t holderCount; ///< number of VMs that hold a share; these are the first VMs, and their shares are equal
    uint64_t rate = 24;
    uint64_t burst = 24;
    uint64_t seed = 0;
    Network network;
    RandomGenerator random { 7 };
    std::vector<FleetMember> peers;
    std::vector<std::unique_ptr<Vm>> vms;
    std::vector<Instant> admitted;
    uint64_t requested = 0;
    uint64_t refused = 0;
    bool endpointRuns = true; ///< otherwise admitted requests are refused as not run after 150 ms
};

/// A fleet with more VMs than a limit can be divided among.
struct LargeFleetFixture : FleetFixture {
    LargeFleetFixture()
        : FleetFixture(96, 12)
    {
    }
};

/// A fleet with several hundred VMs in front of organisations whose burst is smaller than the number of VMs that hold
/// shares.
struct SmallOrganisationFixture : FleetFixture {
    SmallOrganisationFixture()
        : FleetFixture(295, 12)
    {
        this->rate = 6;
        this->burst = 6;
        for (size_t index = 0; index < this->vmCount; ++index) {
            this->start(index);
            this->all.push_back(index);
        }
        this->network.timers.advance(5s);
    }

    /// Number of the admitted and refused requests that a single bucket for the whole fleet would refuse.
    uint64_t countRefusedByOneBucket(Duration duration, double perSecond)
    {
        TokenBucket bucket({ this->rate * milliTokensPerRequest, this->burst * milliTokensPerRequest }, Instant {});
        RandomGenerator same = this->random;
        Instant now = Instant {} + 5s;
        uint64_t refusedByBucket = 0;
        for (const Instant end = now + duration; now < end; now += 1ms) {
            if (static_cast<double>(same.below(100'000)) < perSecond * 100) {
                same.below(this->all.size());
                refusedByBucket += !bucket.take(milliTokensPerRequest, now);
            }
        }
        return refusedByBucket;
    }

    std::vector<size_t> all;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RequestAdmissionTest, FleetFixture)

// Callers of a small organisation connect to a few VMs. The shares of these VMs alone would refuse most of the requests
// that the limit allows.
BOOST_AUTO_TEST_CASE(Load_InsideLimitAtFewVms_IsAdmitted)
{
    this->network.timers.advance(5s);
    this->simulateLoad(30s, 17, { 0, 1, 2 });
    BOOST_TEST(this->refused * 1000 <= this->requested);
    BOOST_TEST(this->worstExcess() <= 1.0);
}

// No time window may exceed the limit, even if VMs are overloaded, borrow tokens, lose messages and restart.
BOOST_AUTO_TEST_CASE(Load_FarBeyondLimitWithCrashesAndLoss_KeepsLimitInEveryWindow)
{
    this->network.lossPercent = 5;
    this->network.timers.advance(5s);
    for (size_t round = 0; round < 6; ++round) {
        this->simulateLoad(4s, 180, { 0, 1, 2, 3, 4 });
        for (size_t index = 0; index < vmCount; index += 1 + round % 3)
            this->start(index);
    }
    BOOST_TEST(this->worstExcess() <= 1.0);
    BOOST_TEST(this->admitted.size() >= 24U * 20U);
}

// Guards against tokens of requests that did not run, which add to buckets that have filled while the requests waited.
BOOST_AUTO_TEST_CASE(Tokens_ReturnedWhileBucketsFill_KeepLimitInEveryWindow)
{
    this->network.timers.advance(5s);
    this->endpointRuns = false;
    this->simulateLoad(3s, 180, { 0, 1, 2, 3, 4 });
    this->endpointRuns = true;
    this->simulateLoad(6s, 180, { 0, 1, 2, 3, 4 });
    BOOST_TEST(this->worstExcess() <= 1.0);
    BOOST_TEST(this->admitted.size() >= 6U * 20U);
}

// The same for VMs without a share, and against tokens that are lost with requests that did not run, so that the limit
// is used up by them.
BOOST_FIXTURE_TEST_CASE(Tokens_ReturnedInLargeFleet_KeepLimitAndAreUsed, LargeFleetFixture)
{
    this->network.duplicatePercent = 20;
    this->network.timers.advance(5s);
    this->endpointRuns = false;
    this->simulateLoad(500ms, 60, { 20, 40, 60, 80 });
    this->network.timers.advance(300ms);
    this->endpointRuns = true;
    this->simulateLoad(500ms, 180, { 20, 40, 60, 80 });
    BOOST_TEST(this->admitted.size() >= this->burst * 5 / 6);
    this->simulateLoad(6s, 180, { 20, 40, 60, 80 });
    BOOST_TEST(this->worstExcess() <= 1.0);
}

// Guards against tokens that are counted twice, because the network delivered the message that lends them twice.
BOOST_AUTO_TEST_CASE(Load_FarBeyondLimitWithDuplicates_KeepsLimitInEveryWindow)
{
    this->network.duplicatePercent = 20;
    this->simulateLoad(20s, 400, { 0, 1, 2 });
    BOOST_TEST(this->worstExcess() <= 1.0);
}

// After a restart of all VMs, requests within the limit may be refused only until tokens have accrued.
BOOST_AUTO_TEST_CASE(Load_AllVmsRestart_IsAdmittedAgainWithinOneSecond)
{
    this->network.timers.advance(5s);
    this->simulateLoad(5s, 14, { 0, 1, 2 });
    for (size_t index = 0; index < vmCount; ++index)
        this->start(index);
    this->network.timers.advance(1s);
    this->requested = 0;
    this->refused = 0;
    this->simulateLoad(10s, 14, { 0, 1, 2 });
    BOOST_TEST(this->refused * 50 <= this->requested);
    BOOST_TEST(this->worstExcess() <= 1.0);
}

// In a large fleet, most VMs hold no share, and callers of a small organisation connect to any VM.
BOOST_FIXTURE_TEST_CASE(Load_InsideLimitAtAllVmsOfLargeFleet_IsAdmitted, LargeFleetFixture)
{
    std::vector<size_t> all;
    for (size_t index = 0; index < this->vmCount; ++index)
        all.push_back(index);
    this->network.timers.advance(5s);
    this->simulateLoad(60s, 12, all);
    BOOST_TEST(this->refused * 1000 <= this->requested);
    BOOST_TEST(this->worstExcess() <= 1.0);
}

// Callers of a small organisation connect to any VM of a large fleet. Tokens that are spread over several VMs must not
// cause more refusals than the limit itself.
BOOST_FIXTURE_TEST_CASE(Load_SmallOrganisationAtAllVmsOfLargeFleet_IsRefusedOnlyByLimit, SmallOrganisationFixture)
{
    const uint64_t unavoidable = this->countRefusedByOneBucket(600s, 4);
    this->simulateLoad(600s, 4, this->all);
    BOOST_TEST(this->refused * 1000 <= unavoidable * 1000 + this->requested);
    BOOST_TEST(this->worstExcess() <= 1.0);
}

// The VM that collects the tokens of an organisation may crash. Its requests must find tokens elsewhere.
BOOST_FIXTURE_TEST_CASE(Load_EachHolderCrashesInTurn_IsAdmitted, SmallOrganisationFixture)
{
    for (size_t holder = 0; holder < this->holderCount; ++holder) {
        this->vms[holder].reset();
        this->simulateLoad(10s, 2, { 20, 21, 22, 150, 200 });
        this->start(holder);
    }
    BOOST_TEST(this->refused * 100 <= this->requested * 3);
    BOOST_TEST(this->worstExcess() <= 1.0);
}

// An organisation far beyond its limit must neither exceed it nor cause messages without bound.
BOOST_FIXTURE_TEST_CASE(Load_FarBeyondLimitInLargeFleet_KeepsLimitWithFewMessages, SmallOrganisationFixture)
{
    const size_t before = this->network.sent;
    this->simulateLoad(30s, 120, this->all);
    BOOST_TEST(this->worstExcess() <= 1.0);
    BOOST_TEST(this->admitted.size() >= 6U * 30U * 9 / 10);
    BOOST_TEST(this->network.sent - before <= 6 * this->requested);
}

// Requests that are known to exceed the limit are refused immediately, so that callers can retry in time.
BOOST_AUTO_TEST_CASE(Request_NobodyHasTokens_IsRefusedAtOnceAfterFirstAnswer)
{
    this->request(0);
    this->network.timers.advance(60ms);
    BOOST_TEST(this->refused == 1U);
    this->request(0);
    BOOST_TEST(this->refused == 2U);
}

// Lenders that have crashed must not delay the request by more than their time-outs.
BOOST_AUTO_TEST_CASE(Request_LendersGone_EndsWithinTimeouts)
{
    this->network.timers.advance(5s);
    for (size_t index = 1; index < vmCount; ++index)
        this->vms[index].reset();
    for (int count = 0; count < 5; ++count)
        this->request(0);
    this->network.timers.advance(60ms);
    BOOST_TEST(this->admitted.size() + this->refused == 5U);
}

BOOST_AUTO_TEST_SUITE_END()
