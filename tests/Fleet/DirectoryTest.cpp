#include "Fleet/Directory.h"

#include <boost/test/unit_test.hpp>

using namespace Lavendervane;

BOOST_AUTO_TEST_SUITE(DirectoryTest)

static Directory makeDirectory(FleetPosition position, uint32_t connections)
{
    SessionConfiguration configuration;
    configuration.groups = { { GroupId("stock"), connections, 0 } };
    configuration.organisations = { { OrganisationId("desk"), { "key-1", "key-2" }, {}, 0 } };
    return { 1, std::make_shared<const SessionConfiguration>(configuration), {}, position, "secret" };
}

static RegisteredEndpoint endpoint(const std::string& id)
{
    RegisteredEndpoint made;
    made.id = EndpointId(id);
    made.group = GroupId("stock");
    return made;
}

// If the quotas added up to more than the endpoint accepts, some VMs could not connect; if they added up to less, some
// connections would stay unused.
BOOST_AUTO_TEST_CASE(ConnectionQuota_AllVms_SumEqualsConnectionsOfEndpoint)
{
    for (const uint32_t vms : { 1U, 18U, 20U, 26U, 36U }) {
        for (const char* id : { "a", "b", "c" }) {
            uint32_t sum = 0;
            for (uint32_t index = 0; index < vms; ++index)
                sum += makeDirectory({ index, vms }, 36).connectionQuota(endpoint(id));
            BOOST_TEST(sum == 36U);
        }
    }
}

// Even if there are more VMs than connections, every VM may try to open one; the endpoint refuses excess connections.
BOOST_AUTO_TEST_CASE(ConnectionQuota_MoreVmsThanConnections_IsOne)
{
    for (uint32_t index = 0; index < 95; ++index)
        BOOST_TEST(makeDirectory({ index, 95 }, 52).connectionQuota(endpoint("a")) == 1U);
}

// A VM with few connections would open a new one for most statements, and each opening occupies a slot of the endpoint.
BOOST_AUTO_TEST_CASE(IsRelayed_FewConnectionsForEachVm_IsTrue)
{
    BOOST_TEST(makeDirectory({ 0, 95 }, 52).isRelayed(endpoint("a")));
    BOOST_TEST(makeDirectory({ 0, 18 }, 36).isRelayed(endpoint("a")));
    BOOST_TEST(!makeDirectory({ 0, 18 }, 144).isRelayed(endpoint("a")));
    BOOST_TEST(!makeDirectory({ 0, 1 }, 4).isRelayed(endpoint("a")));
}

BOOST_AUTO_TEST_CASE(FindOrganisation_ByDigestOfAnyKey_ReturnsHolder)
{
    const Directory directory = makeDirectory({}, 1);
    BOOST_TEST(directory.findOrganisation(directory.keyDigest("key-2"))->name == OrganisationId("desk"));
    BOOST_TEST(!directory.findOrganisation(directory.keyDigest("key-3")));
    BOOST_TEST(!directory.findOrganisation("key-1"));
}

BOOST_AUTO_TEST_SUITE_END()
