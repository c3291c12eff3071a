#include "ControlledVm.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <optional>
#include <string>

using namespace Lavendervane;
using namespace Lavendervane::Adapter;
using namespace std::chrono_literals;

namespace {

const GroupId stock("stock");

/// The store's copy was made before the VM joined the fleet and while endpoint "a" was the primary; now "b" is.
struct FleetRestoreFixture : ControlledVm {
    FleetRestoreFixture()
    {
        this->putConfiguration(4);
        this->store.put("servers", "a", entryText("primary", "10.128.0.8:8080", 1));
        this->store.put("servers", "b", entryText("replica", "10.128.0.9:8080", 1));
        this->store.saveCopy();
        this->start();
        this->store.put("servers", "a", entryText("replica", "10.128.0.8:8080", 5));
        this->store.put("servers", "b", entryText("primary", "10.128.0.9:8080", 5));
        this->waitFor([this] { return this->primary() == EndpointId("b"); });
    }

    EndpointId primary() const
    {
        if (this->traffic.directory) {
            for (const RegisteredEndpoint& endpoint : this->traffic.directory->endpoints()) {
                if (endpoint.role == EndpointRole::Primary)
                    return endpoint.id;
            }
        }
        return {};
    }

    /// The store goes away for a moment and comes back from its copy.
    void restoreStore()
    {
        this->store.goAway();
        this->store.restore();
        this->store.comeBack();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FleetRestoreTest, FleetRestoreFixture)

// Guards against a VM whose row and share are lost with a restored store and not written again.
BOOST_AUTO_TEST_CASE(Store_RestoredWithoutRowsOfVm_VmWritesThemAgain)
{
    BOOST_TEST(this->store.find("lavendervane", "member/vm-1").has_value());
    this->restoreStore();
    BOOST_TEST(!this->store.find("lavendervane", "member/vm-1"));
    this->waitFor([this] {
        return this->store.find("lavendervane", "member/vm-1") && this->store.find("lavendervane", "shares");
    });
    const auto ledger = ShareLedger::parse(*this->store.find("lavendervane", "shares"));
    BOOST_REQUIRE(this->traffic.share.has_value());
    BOOST_TEST(ledger.findLease(VmId("vm-1"))->share == *this->traffic.share);
    BOOST_TEST(ledger.generation() == 2U);
}

// Guards against a replaced primary that is used again, because the restored registry shows it as the primary.
BOOST_AUTO_TEST_CASE(Store_RestoredFromBeforePromotion_NewPrimaryStaysInUse)
{
    this->restoreStore();
    this->putConfiguration(9);
    this->waitFor([this] { return this->traffic.directory->configuration().version == 9; });
    // The registry is known to have been read again once a later change is seen.
    this->store.put("servers", "c", entryText("replica", "10.128.0.10:8080", 1));
    this->waitFor([this] { return this->traffic.directory->endpoints().size() == 3; });
    BOOST_TEST(this->primary() == EndpointId("b"));
    this->store.put("servers", "a", entryText("primary", "10.128.0.8:8080", 9));
    this->store.put("servers", "b", entryText("replica", "10.128.0.9:8080", 9));
    this->waitFor([this] { return this->primary() == EndpointId("a"); });
}

// Guards against a revocation that no VM can read after most of them have restarted.
BOOST_AUTO_TEST_CASE(Store_RestoredWithoutRevocation_VmRecordsItAgain)
{
    this->control.onPrimaryRevoked({ stock, EndpointId("a"), 7 });
    this->restoreStore();
    const std::string key = PromotionCoordinator::leaseKey(stock);
    this->waitFor([this, &key] { return this->store.find("lavendervane", key).has_value(); });
    const auto stored
        = PromotionCoordinator::storedRevocation({ key, 1, this->store.find("lavendervane", key).value() });
    BOOST_REQUIRE(stored.has_value());
    BOOST_TEST(stored->endpoint == EndpointId("a"));
    BOOST_TEST(stored->number > 7U);
}

BOOST_AUTO_TEST_SUITE_END()
