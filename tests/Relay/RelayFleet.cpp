#include "RelayFleet.h"

#include <algorithm>
#include <utility>

namespace Lavendervane {

static constexpr Duration oneWay = std::chrono::milliseconds(1);

RelayNetwork::Port::Port(RelayNetwork& network, std::string address)
    : network(network)
    , address(std::move(address))
{
    this->network.ports[this->address] = this;
}

RelayNetwork::Port::~Port()
{
    this->listener = nullptr;
    this->network.ports.erase(this->address);
    const auto all = this->network.connections;
    for (const auto& [channel, connection] : all) {
        if (connection.from == this->address || connection.to == this->address)
            this->network.drop(channel);
    }
}

RelayChannel RelayNetwork::Port::open(const std::string& to)
{
    const RelayChannel channel = ++this->network.last;
    this->network.connections[channel] = { this->address, to };
    if (!this->network.ports.count(to))
        this->network.drop(channel);
    return channel;
}

void RelayNetwork::Port::send(RelayChannel channel, const RelayMessage& message)
{
    const auto known = this->network.connections.find(channel);
    if (known == this->network.connections.end())
        return;
    const std::string to = known->second.from == this->address ? known->second.to : known->second.from;
    if (to == this->network.silentAddress || this->address == this->network.silentAddress)
        return;
    RelayNetwork& net = this->network;
    net.timers.schedule(net.timers.now() + oneWay, [&net, to, channel, bytes = encodeRelayMessage(message)] {
        const auto port = net.ports.find(to);
        if (port != net.ports.end() && port->second->listener && net.connections.count(channel))
            port->second->listener->onRelayMessage(channel, *decodeRelayMessage(bytes));
    });
}

std::string RelayNetwork::Port::peerAddress(RelayChannel channel) const
{
    const auto known = this->network.connections.find(channel);
    if (known == this->network.connections.end())
        return {};
    return known->second.from == this->address ? known->second.to : known->second.from;
}

void RelayNetwork::Port::close(RelayChannel channel) { this->network.drop(channel); }

// Notifies both ends that are still attached. The end that closed the connection ignores the notification.
void RelayNetwork::drop(RelayChannel channel)
{
    const auto known = this->connections.find(channel);
    if (known == this->connections.end())
        return;
    const Connection ended = known->second;
    this->connections.erase(known);
    this->timers.schedule(this->timers.now() + oneWay, [this, ended, channel] {
        for (const std::string& end : { ended.from, ended.to }) {
            const auto port = this->ports.find(end);
            if (port != this->ports.end() && port->second->listener)
                port->second->listener->onRelayChannelClosed(channel);
        }
    });
}

RelayFleet::Vm::Vm(RelayFleet& fleet, const FleetMember& member, EndpointConnector& connector)
    : port(fleet.network, member.address)
    , relay(member.vm, fleet.timers, connector, this->port, fleet.observer, this->numbers, fleet.log)
{
    this->relay.setMembers(fleet.members);
    this->relay.setDirectory(fleet.directory);
}

RelayFleet::RelayFleet()
{
    SessionConfiguration configuration;
    configuration.groups = { { GroupId("stock"), 6, 0 } };
    std::vector<RegisteredEndpoint> endpoints;
    for (const char* id : { "a", "b" }) {
        RegisteredEndpoint endpoint;
        endpoint.id = EndpointId(id);
        endpoint.group = GroupId("stock");
        endpoint.dataCentre = DataCentre("dc");
        endpoint.slots = 2;
        endpoints.push_back(endpoint);
    }
    endpoints.front().role = EndpointRole::Primary;
    this->connector.database("a").role = EndpointRole::Primary;
    for (int vm = 1; vm <= 9; ++vm) {
        const std::string name = "vm-" + std::to_string(vm);
        this->members.push_back({ VmId(name), DataCentre("dc"), name });
    }
    this->placement.setMembers(this->members);
    this->directory = std::make_shared<const Directory>(
        1, std::make_shared<const SessionConfiguration>(configuration), endpoints, FleetPosition { 0, 9 }, "secret");
    for (const FleetMember& member : this->members)
        this->vms[member.vm.str()] = std::make_unique<Vm>(*this, member, this->connector);
    for (const char* id : { "a", "b" })
        this->isolatedConnector.database(id).refuseConnections = true;
}

void RelayFleet::cutOffEndpoints(const std::string& vm)
{
    const auto member = std::find_if(
        this->members.begin(), this->members.end(), [&vm](const FleetMember& known) { return known.vm.str() == vm; });
    this->vms.erase(vm);
    this->vms[vm] = std::make_unique<Vm>(*this, *member, this->isolatedConnector);
}

void RelayFleet::drain(const std::string& endpoint, Instant workEnd, const Vm& unaware)
{
    std::vector<RegisteredEndpoint> endpoints = this->directory->endpoints();
    for (RegisteredEndpoint& registered : endpoints) {
        if (registered.id != EndpointId(endpoint))
            continue;
        registered.draining = true;
        registered.workEnd = workEnd;
    }
    const auto next = std::make_shared<const Directory>(2,
        std::make_shared<const SessionConfiguration>(this->directory->configuration()), endpoints,
        FleetPosition { 0, 9 }, "secret");
    for (const auto& [name, vm] : this->vms) {
        if (vm.get() != &unaware)
            vm->relay.setDirectory(next);
    }
}

std::vector<std::string> RelayFleet::ownersOf(const std::string& endpoint) const
{
    std::vector<std::string> names;
    for (const FleetMember& member :
        this->placement.candidates(EndpointId(endpoint), DataCentre("dc"), OrganisationId("desk")))
        names.push_back(member.vm.str());
    return names;
}

RelayFleet::Vm& RelayFleet::nonOwner(const std::string& endpoint)
{
    const auto owners = this->ownersOf(endpoint);
    const auto found = std::find_if(this->vms.begin(), this->vms.end(),
        [&owners](const auto& entry) { return std::find(owners.begin(), owners.end(), entry.first) == owners.end(); });
    return *found->second;
}

std::shared_ptr<EndpointLink> RelayFleet::open(Vm& vm, const std::string& endpoint, Listener& listener)
{
    return vm.relay.connect({ GroupId("stock"), EndpointId(endpoint), "10.0.0.1:1", OrganisationId("desk") }, listener);
}

void RelayFleet::send(EndpointLink& link, const std::vector<Statement>& statements)
{
    link.send(statements, { this->timers.now() + std::chrono::milliseconds(800), {} });
}

} // namespace Lavendervane
