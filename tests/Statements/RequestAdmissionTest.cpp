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

/// Network between the VMs of the test.
struct Network {
    ManualTimers timers;
    RandomGenerator random { 1 };
    uint32_t lossPercent = 0;
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
        if (this->network.random.below(100) < this->network.lossPercent)
            return;
        // The sender may have ended when the message arrives.
        Network& net = this->network;
        net.timers.schedule(net.timers.now() + 1ms, [&net, sender = this->own, address, message] {
            if (const auto receiver = net.receivers.find(address); receiver != net.receivers.end())
                receiver->second(sender, message);
        });
    }

    void setListener(PeerListener*) override { }

private:
    Network& network;
    std::string own;
};

/// One VM with its shares. Destroying it is a crash.
struct Vm {
    Vm(Network& network, const std::string& name, uint64_t seed)
        : network(network)
        , name(name)
        , transport(network, name)
        , admission(this->shares, network.timers, this->transport, VmId(name), DataCentre("dc"), {}, seed)
    {
        network.receivers[name] = [this](const std::string& sender, const PeerMessage& message) {
            if (const auto* request = std::get_if<TokenRequest>(&message))
                this->admission.tokensRequested(sender, *request);
            else if (const auto* reply = std::get_if<TokenReply>(&message))
                this->admission.tokensReceived(sender, *reply);
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
        ++this->asked;
        this->vms[index]->admission.admit(desk, [this](bool admitted) {
            if (admitted)
                this->admitted.push_back(this->network.timers.now());
            else
                ++this->refused;
        });
    }

    /// Requests at random times, on average `perSecond`, of callers that stay with the given VMs.
    void play(Duration duration, double perSecond, const std::vector<size_t>& targets)
    {
        const Instant end = this->network.timers.now() + duration;
        while (this->network.timers.now() < end) {
            if (static_cast<double>(this->random.below(100'000)) < perSecond * 100)
                this->request(targets[this->random.below(targets.size())]);
            this->network.timers.advance(1ms);
        }
    }

    /// Greatest excess of any window over the limit, in requests.
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
    size_t holderCount; ///< the first VMs hold even shares
    uint64_t rate = 24;
    uint64_t burst = 24;
    uint64_t seed = 0;
    Network network;
    RandomGenerator random { 7 };
    std::vector<FleetMember> peers;
    std::vector<std::unique_ptr<Vm>> vms;
    std::vector<Instant> admitted;
    uint64_t asked = 0;
    uint64_t refused = 0;
};

/// More VMs than a limit can be divided by.
struct LargeFleetFixture : FleetFixture {
    LargeFleetFixture()
        : FleetFixture(96, 12)
    {
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RequestAdmissionTest, FleetFixture)

// A small organisation's callers meet a few VMs, whose shares alone would refuse most of what the limit allows.
BOOST_AUTO_TEST_CASE(Load_InsideLimitAtFewVms_IsAdmitted)
{
    this->network.timers.advance(5s);
    this->play(30s, 17, { 0, 1, 2 });
    BOOST_TEST(this->refused * 1000 <= this->asked);
    BOOST_TEST(this->worstExcess() <= 1.0);
}

// Whatever is asked, lent, lost on the way or restarted, no window may hold more than the limit.
BOOST_AUTO_TEST_CASE(Load_FarBeyondLimitWithCrashesAndLoss_KeepsLimitInEveryWindow)
{
    this->network.lossPercent = 5;
    this->network.timers.advance(5s);
    for (size_t round = 0; round < 6; ++round) {
        this->play(4s, 180, { 0, 1, 2, 3, 4 });
        for (size_t index = 0; index < vmCount; index += 1 + round % 3)
            this->start(index);
    }
    BOOST_TEST(this->worstExcess() <= 1.0);
    BOOST_TEST(this->admitted.size() >= 24U * 20U);
}

// A restart of all VMs at once must not refuse what the limit allows for longer than tokens need to accrue.
BOOST_AUTO_TEST_CASE(Load_AllVmsRestart_IsAdmittedAgainWithinOneSecond)
{
    this->network.timers.advance(5s);
    this->play(5s, 14, { 0, 1, 2 });
    for (size_t index = 0; index < vmCount; ++index)
        this->start(index);
    this->network.timers.advance(1s);
    this->asked = 0;
    this->refused = 0;
    this->play(10s, 14, { 0, 1, 2 });
    BOOST_TEST(this->refused * 50 <= this->asked);
    BOOST_TEST(this->worstExcess() <= 1.0);
}

// In a large fleet most VMs hold no share, and a small organisation's callers meet any of them.
BOOST_FIXTURE_TEST_CASE(Load_InsideLimitAtAllVmsOfLargeFleet_IsAdmitted, LargeFleetFixture)
{
    std::vector<size_t> all;
    for (size_t index = 0; index < this->vmCount; ++index)
        all.push_back(index);
    this->network.timers.advance(5s);
    this->play(60s, 12, all);
    BOOST_TEST(this->refused * 1000 <= this->asked);
    BOOST_TEST(this->worstExcess() <= 1.0);
}

// What is known to be beyond the limit is refused at once, so that its caller can come back in time.
BOOST_AUTO_TEST_CASE(Request_NobodyHasTokens_IsRefusedAtOnceAfterFirstAnswer)
{
    this->request(0);
    this->network.timers.advance(60ms);
    BOOST_TEST(this->refused == 1U);
    this->request(0);
    BOOST_TEST(this->refused == 2U);
}

// A lender that is gone must not cost the caller more than its time-out.
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
