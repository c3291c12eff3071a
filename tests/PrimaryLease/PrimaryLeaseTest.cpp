#include "LeaseFleet.h"

#include <boost/test/unit_test.hpp>

#include <optional>

using namespace Lavendervane;
using namespace std::chrono_literals;

namespace {

const EndpointId oldPrimary("a");

PrimaryLeaseSettings leaseSettings()
{
    PrimaryLeaseSettings settings;
    settings.duration = 1500ms;
    return settings;
}

/// Three data centres with four VMs each, all of which have a lease.
struct PrimaryLeaseFixture {
    PrimaryLeaseFixture() { this->fleet.advance(2s); }

    /// Revokes the old primary from the VM.
    void revoke(size_t vm)
    {
        this->fleet.revoke(vm, { LeaseFleet::group, oldPrimary, ++this->lastNumber },
            [this](bool complete) { this->result = complete; });
    }

    LeaseFleet fleet { 3, 4, leaseSettings(), 1 };
    uint64_t lastNumber = 0;
    std::optional<bool> result;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PrimaryLeaseTest, PrimaryLeaseFixture)

// Without faults every VM must be able to use primaries at all times.
BOOST_AUTO_TEST_CASE(Lease_NoFaults_IsHeldByAllVms)
{
    for (int step = 0; step < 400; ++step) {
        this->fleet.advance(25ms);
        BOOST_REQUIRE(this->fleet.countUsing(oldPrimary) == this->fleet.size());
    }
}

// The loss of some datagrams or of a keeper must not interrupt the use of primaries.
BOOST_AUTO_TEST_CASE(Lease_MessagesLostAndKeeperDead_IsHeld)
{
    this->fleet.lossPerMille = 50;
    this->fleet.kill(0);
    size_t held = 0;
    for (int step = 0; step < 400; ++step) {
        this->fleet.advance(25ms);
        held += this->fleet.countUsing(oldPrimary);
    }
    BOOST_TEST(held >= 400 * (this->fleet.size() - 1) * 99 / 100);
}

// A data centre that is cut off must stop using its primary, because the others may replace it.
BOOST_AUTO_TEST_CASE(Lease_DataCentreCutOff_ExpiresThereAndStaysElsewhere)
{
    this->fleet.cutDataCentre(2, true);
    this->fleet.advance(1500ms);
    for (size_t vm = 0; vm < this->fleet.size(); ++vm)
        BOOST_TEST(this->fleet.mayUse(vm, oldPrimary) == (this->fleet.dataCentreOf(vm) != 2));
    this->fleet.cutDataCentre(2, false);
    this->fleet.advance(1s);
    BOOST_TEST(this->fleet.countUsing(oldPrimary) == this->fleet.size());
}

// A process that was suspended may have missed a revocation, so it must not use a primary when it wakes up.
BOOST_AUTO_TEST_CASE(Lease_VmPaused_HasExpiredWhenItWakesUp)
{
    this->fleet.pause(5, true);
    this->fleet.advance(1500ms);
    BOOST_TEST(!this->fleet.mayUse(5, oldPrimary));
}

// If all VMs answer, a promotion must not wait for leases to expire.
BOOST_AUTO_TEST_CASE(Revocation_AllVmsConfirm_CompletesAtOnce)
{
    this->revoke(1);
    this->fleet.advance(50ms);
    BOOST_REQUIRE(this->result.has_value());
    BOOST_TEST(*this->result);
    BOOST_TEST(this->fleet.countUsing(oldPrimary) == 0U);
    BOOST_TEST(this->fleet.countUsing(EndpointId("b")) == this->fleet.size());
}

// VMs that are cut off cannot confirm; their leases must have expired before the revocation is complete.
BOOST_AUTO_TEST_CASE(Revocation_DataCentreCutOff_CompletesAfterItsLeasesExpired)
{
    this->fleet.cutDataCentre(2, true);
    this->revoke(1);
    for (int step = 0; step < 400 && !this->result; ++step) {
        BOOST_REQUIRE(step < 350);
        this->fleet.advance(5ms);
    }
    BOOST_TEST(*this->result);
    BOOST_TEST(this->fleet.countUsing(oldPrimary) == 0U);
}

// A VM in the smaller part of a divided fleet must not replace a primary that the larger part uses.
BOOST_AUTO_TEST_CASE(Revocation_OnlyMinorityReachable_Fails)
{
    this->fleet.cutDataCentre(2, true);
    this->revoke(9);
    this->fleet.advance(5s);
    BOOST_REQUIRE(this->result.has_value());
    BOOST_TEST(!*this->result);
    BOOST_TEST(this->fleet.mayUse(0, oldPrimary));
}

// A VM that could not be told of the revocation must learn of it when it renews its lease.
BOOST_AUTO_TEST_CASE(Revocation_DataCentreReturns_DoesNotUseRevokedPrimary)
{
    this->fleet.cutDataCentre(2, true);
    this->revoke(1);
    this->fleet.advance(3s);
    this->fleet.cutDataCentre(2, false);
    for (int step = 0; step < 200; ++step) {
        this->fleet.advance(5ms);
        BOOST_REQUIRE(this->fleet.countUsing(oldPrimary) == 0U);
    }
    BOOST_TEST(this->fleet.countUsing(EndpointId("b")) == this->fleet.size());
}

// A VM that has restarted does not remember the revocations that it confirmed. It must not confirm leases before it has
// read them from the table.
BOOST_AUTO_TEST_CASE(Revocation_MostVmsRestartWithoutTable_GrantNoLease)
{
    this->fleet.cutDataCentre(2, true);
    this->revoke(1);
    this->fleet.advance(3s);
    for (size_t vm = 0; vm < 8; ++vm)
        this->fleet.restart(vm, false);
    this->fleet.cutDataCentre(2, false);
    this->fleet.advance(1s);
    BOOST_TEST(this->fleet.countUsing(oldPrimary) == 0U);
    for (size_t vm = 0; vm < 8; ++vm)
        this->fleet.restart(vm);
    this->fleet.advance(2s);
    BOOST_TEST(this->fleet.countUsing(oldPrimary) == 0U);
    BOOST_TEST(this->fleet.countUsing(EndpointId("b")) == this->fleet.size());
}

// When an endpoint becomes the primary again after it was replaced once, the earlier revocation must not hold.
BOOST_AUTO_TEST_CASE(Revocation_LaterOneOfSameGroup_ReplacesEarlierOne)
{
    this->revoke(1);
    this->fleet.advance(100ms);
    this->fleet.revoke(2, { LeaseFleet::group, EndpointId("b"), ++this->lastNumber }, [](bool) {});
    this->fleet.advance(100ms);
    BOOST_TEST(this->fleet.countUsing(oldPrimary) == this->fleet.size());
    BOOST_TEST(this->fleet.countUsing(EndpointId("b")) == 0U);
}

// Endpoints that give up the lead by themselves need no leases, and no messages are sent for them.
BOOST_AUTO_TEST_CASE(Lease_DurationZero_AllowsAlways)
{
    LeaseFleet fenced { 3, 4, {}, 1 };
    BOOST_TEST(fenced.countUsing(oldPrimary) == fenced.size());
}

// Guards against a VM that has missed the revocation and goes on using a primary: without leases, nothing else stops
// it.
BOOST_AUTO_TEST_CASE(Revocation_WithoutLeases_CompletesOnlyWhenEveryVmConfirms)
{
    LeaseFleet fenced { 3, 4, {}, 1 };
    const LogPosition last { { 1, {} }, 50 };
    fenced.evidence = { {}, last, CommitCoverage { last, 1 }, 1 };
    fenced.pause(5, true);
    const auto keepResult = [this](bool complete) { this->result = complete; };
    fenced.revoke(1, { LeaseFleet::group, oldPrimary, 1 }, keepResult);
    fenced.advance(5s);
    BOOST_REQUIRE(this->result.has_value());
    BOOST_TEST(!*this->result);
    BOOST_TEST(!fenced.lastAcknowledged);
    fenced.pause(5, false);
    fenced.revoke(1, { LeaseFleet::group, oldPrimary, 2 }, keepResult);
    fenced.advance(1s);
    BOOST_TEST(*this->result);
    BOOST_TEST((fenced.lastAcknowledged == last));
    BOOST_TEST(fenced.countUsing(oldPrimary) == 0U);
}

// Guards against a VM that has restarted, and uses a primary whose revocation it has forgotten.
BOOST_AUTO_TEST_CASE(Restart_WithoutLeasesAndTable_PrimariesOfGuardedGroupsAreNotUsed)
{
    LeaseFleet fenced { 3, 4, {}, 1 };
    fenced.restart(3, false);
    BOOST_TEST(!fenced.mayUse(3, EndpointId("b")));
    fenced.restart(3);
    BOOST_TEST(fenced.mayUse(3, EndpointId("b")));
}

// Guards against a replaced primary that goes on under another ID at its address.
BOOST_AUTO_TEST_CASE(Revocation_OtherEndpointAtRevokedAddress_IsNotUsed)
{
    const std::string address = "10.0.0.11:1";
    const EndpointId heir("h");
    BOOST_TEST(this->fleet.mayUse(3, heir, address));
    this->fleet.revoke(2, { LeaseFleet::group, oldPrimary, ++this->lastNumber, address }, [](bool) {});
    this->fleet.advance(5s);
    for (size_t vm = 0; vm < this->fleet.size(); ++vm) {
        BOOST_TEST(!this->fleet.mayUse(vm, heir, address));
        BOOST_TEST(this->fleet.mayUse(vm, heir, "10.0.0.12:1"));
    }
    this->fleet.revoke(2, { LeaseFleet::group, EndpointId(), ++this->lastNumber }, [](bool) {});
    this->fleet.advance(5s);
    BOOST_TEST(this->fleet.mayUse(3, heir, address));
}

BOOST_AUTO_TEST_SUITE_END()

// Plays random pauses, cuts, losses, delays, restarts and revocations. From the completion of a revocation on, no VM
// may use the revoked endpoint, because another one may have been promoted.
BOOST_AUTO_TEST_CASE(PrimaryLeaseSearch_RandomFaults_NoUseAfterRevocation)
{
    size_t completed = 0;
    size_t violations = 0;
    for (uint64_t seed = 1; seed <= 40; ++seed) {
        RandomGenerator random(seed);
        LeaseFleet fleet(3, 4, leaseSettings(), seed);
        fleet.lossPerMille = static_cast<uint32_t>(random.below(150));
        fleet.maxDelay = std::chrono::milliseconds(1 + random.below(400));
        fleet.advance(2s);
        uint64_t number = 0;
        std::optional<EndpointId> revoked;
        bool isRevoking = false;
        for (int event = 0; event < 120; ++event) {
            const size_t vm = random.below(fleet.size());
            switch (random.below(7)) {
            case 0:
                fleet.pause(vm, true);
                break;
            case 1:
            case 2:
                fleet.pause(vm, false);
                break;
            case 3:
                fleet.cutDataCentre(random.below(3), random.below(2));
                break;
            case 4:
                fleet.cutDataCentre(random.below(3), false);
                break;
            case 5:
                // The VM that revokes stays up, because the result of its revocation is checked.
                if (!isRevoking)
                    fleet.restart(vm);
                break;
            default:
                if (isRevoking)
                    break;
                fleet.pause(vm, false);
                isRevoking = true;
                revoked.reset();
                const EndpointId target("endpoint-" + std::to_string(++number));
                fleet.revoke(vm, { LeaseFleet::group, target, number }, [&, target](bool complete) {
                    isRevoking = false;
                    completed += complete;
                    if (complete)
                        revoked = target;
                });
            }
            const auto steps = random.below(40);
            for (uint64_t step = 0; step < steps; ++step) {
                fleet.advance(10ms);
                violations += revoked && fleet.countUsing(*revoked) > 0;
            }
        }
    }
    BOOST_TEST(violations == 0U);
    BOOST_TEST(completed >= 100U);
}
