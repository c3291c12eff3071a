#include "ServiceFixture.h"

#include <boost/test/unit_test.hpp>

namespace Lavendervane {

static SessionRoute makeRoute(const std::string& database, Consistency consistency, Duration staleness)
{
    SessionRoute route;
    route.name = database;
    route.database = database;
    route.group = GroupId("stock");
    route.consistency = consistency;
    route.maxStaleness = staleness;
    route.statementTimeout = std::chrono::milliseconds(800);
    return route;
}

static RegisteredEndpoint makeEndpoint(const std::string& id, EndpointRole role)
{
    RegisteredEndpoint endpoint;
    endpoint.id = EndpointId(id);
    endpoint.group = GroupId("stock");
    endpoint.address = "10.0.0.1:" + std::to_string(7000 + id.front());
    endpoint.dataCentre = DataCentre("dc-1");
    endpoint.slots = 2;
    endpoint.role = role;
    return endpoint;
}

ServiceFixture::ServiceFixture(Duration primaryLease, bool handlesEndpointFailures)
{
    this->settings.handlesEndpointFailures = handlesEndpointFailures;
    this->settings.primaryLease.duration = primaryLease;
    this->settings.vm = VmId("vm-1");
    this->settings.dataCentre = DataCentre("dc-1");
    this->configuration.version = 1;
    this->configuration.routes = { makeRoute("strong", Consistency::Primary, {}),
        makeRoute("bounded", Consistency::BoundedStaleness, std::chrono::milliseconds(1500)),
        makeRoute("own", Consistency::OwnWrites, std::chrono::milliseconds(2500)) };
    this->configuration.groups = { { GroupId("stock"), 4, 0 } };
    this->configuration.organisations = { { OrganisationId("desk"), { "desk-key" }, { 1000, 1000 }, 0 },
        { OrganisationId("club"), { "club-key" }, { 1000, 1000 }, 0 } };
    this->configuration.transactionIdleLimit = std::chrono::seconds(3);
    this->endpoints = { makeEndpoint("a", EndpointRole::Primary), makeEndpoint("b", EndpointRole::Replica),
        makeEndpoint("c", EndpointRole::Replica) };
    this->connector.database("a").role = EndpointRole::Primary;
    this->service = std::make_unique<StatementService>(this->settings, this->timers, this->connector, this->transport,
        this->relayTransport, this->trafficListener, this->log);
    this->publish();
    this->service->primaryLease().start({});
    this->service->shares().setShare(fullShare, this->timers.now() + std::chrono::hours(1), this->timers.now());
    this->timers.advance(std::chrono::seconds(2));
}

void ServiceFixture::publish()
{
    this->service->setDirectory(std::make_shared<const Directory>(++this->directoryNumber,
        std::make_shared<const SessionConfiguration>(this->configuration), this->endpoints, FleetPosition {},
        "secret"));
}

std::unique_ptr<FakeCaller> ServiceFixture::open(const std::string& database, const std::string& key)
{
    auto caller = std::make_unique<FakeCaller>(*this->service);
    caller->handler->openSession(database, key);
    BOOST_TEST(caller->accepted);
    return caller;
}

} // namespace Lavendervane
