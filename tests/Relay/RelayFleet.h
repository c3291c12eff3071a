#pragma once

#include "Statements/FakeDatabases.h"
#include "Statements/ManualTimers.h"

#include "Relay/Relay.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Lavendervane {

/// Network between VMs with 1 ms one way.
class RelayNetwork {
public:
    /// One VM's end of it.
    class Port : public RelayTransport {
    public:
        Port(RelayNetwork&, std::string address);
        ~Port() override;

        RelayChannel open(const std::string& address) override;
        void send(RelayChannel, const RelayMessage&) override;
        void close(RelayChannel) override;
        void setListener(RelayTransportListener* target) override { this->listener = target; }

    private:
        friend class RelayNetwork;

        RelayNetwork& network;
        std::string address;
        RelayTransportListener* listener = nullptr;
    };

    explicit RelayNetwork(ManualTimers& timers)
        : timers(timers)
    {
    }

    /// Messages to and from this VM are lost from now on, and nobody is told.
    std::string silentAddress;

private:
    struct Connection {
        std::string from;
        std::string to;
    };

    void drop(RelayChannel);

    ManualTimers& timers;
    std::map<std::string, Port*> ports;
    std::map<RelayChannel, Connection> connections;
    RelayChannel last = 0;
};

/// VMs of one data centre before the endpoints "a" (primary) and "b", which accept fewer connections than there are
/// VMs.
struct RelayFleet {
    struct Vm {
        Vm(RelayFleet&, const FleetMember&, EndpointConnector&);

        RelayNetwork::Port port;
        PreparedStatementIds numbers;
        Relay relay;
    };

    /// Records what a link tells.
    struct Listener : LinkListener {
        void linkConnected() override { }
        void linkOpened() override { this->opened = true; }
        void linkAnswered(std::vector<EndpointAnswer> received) override
        {
            this->answers.push_back(std::move(received));
        }
        void linkFailed(LinkFailure reason, AnswerCode, const std::string&) override { this->failure = reason; }

        bool opened = false;
        std::vector<std::vector<EndpointAnswer>> answers;
        std::optional<LinkFailure> failure;
    };

    struct Log : TrafficLog {
        void statementFailed(const FailedStatement&) override { }
        void relayFailed(const FailedRelay& failed) override { this->relays.push_back(failed); }
        void statementDone(bool, Duration) override { }
        void endpointChanged(const EndpointId&, std::string_view) override { }
        void sessionsChanged(size_t) override { }

        std::vector<FailedRelay> relays;
    };

    struct Observer : EndpointObserver {
        void endpointReachabilityChanged(const EndpointId&, bool) override { }
    };

    RelayFleet();

    /// Starts the VM again where it does not reach the endpoints.
    void cutOffEndpoints(const std::string& vm);

    /// VMs in the order in which a link to the endpoint tries them.
    std::vector<std::string> ownersOf(const std::string& endpoint) const;

    /// A VM that owns no connections of the endpoint.
    Vm& nonOwner(const std::string& endpoint);

    std::shared_ptr<EndpointLink> open(Vm&, const std::string& endpoint, Listener&);
    void send(EndpointLink&, const std::vector<Statement>&);
    void settle() { this->timers.advance(std::chrono::milliseconds(40)); }
    void stop(const std::string& vm) { this->vms.erase(vm); }

    ManualTimers timers;
    FakeConnector connector { timers };
    FakeConnector isolatedConnector { timers };
    RelayNetwork network { timers };
    Observer observer;
    Log log;
    std::vector<FleetMember> members;
    OwnerPlacement placement;
    std::shared_ptr<const Directory> directory;
    std::map<std::string, std::unique_ptr<Vm>> vms;
};

} // namespace Lavendervane
