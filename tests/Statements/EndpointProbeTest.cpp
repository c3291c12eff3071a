#include "ServiceFixture.h"

#include <boost/test/unit_test.hpp>

using namespace Lavendervane;

namespace {

struct ProbeFixture : ServiceFixture {
    Inspection inspect()
    {
        std::optional<Inspection> result;
        this->service->inspect(GroupId("stock"),
            { { EndpointId("a") }, { { EndpointId("z"), "10.0.0.9:1" } }, makeProxyStatement(StatementKind::Status) },
            [&result](Inspection found) { result = std::move(found); });
        this->timers.advance(std::chrono::milliseconds(300));
        BOOST_REQUIRE(result);
        BOOST_TEST(result->statuses.count(EndpointId("a")) == 1U);
        return *result;
    }

    FakeDatabase& unregistered = this->connector.database("z");
};

} // namespace

// Guards against an endpoint without an entry in the registry that is taken for ended because it does not answer.
BOOST_FIXTURE_TEST_CASE(Inspection_EndpointIsNotRegistered_IsAskedAtItsAddress, ProbeFixture)
{
    const EndpointId id("z");
    BOOST_TEST(this->inspect().statuses.count(id) == 1U);
    BOOST_TEST(this->unregistered.connections == 0U);
    this->unregistered.silent = true;
    BOOST_TEST(this->inspect().statuses.count(id) == 0U);
    this->unregistered.silentToConnections = true;
    BOOST_TEST(this->inspect().refused.empty());
    this->unregistered.refuseConnections = true;
    BOOST_TEST(this->inspect().refused.count(id) == 0U); // its host does not answer
    this->unregistered.silentToOpenings = this->unregistered.silentToConnections = false;
    BOOST_TEST(this->inspect().refused.count(id) == 1U);
}
