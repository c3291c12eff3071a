#pragma once

#include "Statements/FakeDatabases.h"
#include "Statements/ManualTimers.h"

#include "Relay/Relay.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Lavendervane {

/// Simulated network between VMs with a one-way latency of 1 ms.
class RelayNetwork {
public:
    /// Network interface of one VM.
    class Port : public RelayTransport {
    public:
        Port(RelayNetwork&, std::string address);
        ~Port() override;

        RelayChannel open(const std::string& address) override;
        void send(RelayChannel, const RelayMessage&) override;
        void close(RelayChannel) override;
        std::string peerAddress(RelayChannel) const override;
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

    /// Address of a VM whose messages are lost in both directions, without an error at either end.
    std::string silentAddress;

    /// VMs announce no guarded batches, as those of an older version.
    bool isOlderVersion = false;

    size_t messageCount = 0; ///< messages that were sent
    struct Opened {
        std::string from;
        std::string to;
    };
    std::vector<Opened> opened; ///< all connections that were opened, in order

private:
    struct Connection {
        std::string from;
        std::string to;
    };

    void drop(RelayChannel);
    void notifyConnected(RelayChannel, const std::string& from);

    ManualTimers& timers;
    std::map<std::string, Port*> ports;
    std::map<RelayChannel, Connection> connections;
    RelayChannel last = 0;
};

/// Nine VMs of one data centre in front of the endpoints "a" (primary) and "b", which accept fewer connections than
/// there are VMs.
struct RelayFleet {
    struct Vm {
        Vm(RelayFleet&, const FleetMember&, EndpointConnector&);

        RelayNetwork::Port port;
        PreparedStatementIds numbers;
        Relay relay;
    };

    /// Records the events of a link.
    struct Listener : LinkListener {
        void linkConnected() override { }
        void linkOpened() override { this->opened = true; }
        void linkAnswered(std::vector<EndpointAnswer> received) override
        {
            this->answers.push_back(std::move(received));
        }
        void linkFailed(LinkFailure reason, AnswerCode, const std::string&) override { this->failure = reason; }
        void linkConfirmed() override { this->confirmed = true; }
        void linkNotOpened(LinkFailure reason, AnswerCode, const std::string&) override { this->notOpened = reason; }

        bool opened = false;
        bool confirmed = false;
        std::optional<LinkFailure> notOpened;
        std::vector<std::vector<EndpointAnswer>> answers;
        std::optional<LinkFailure> failure;
    };

    struct Log : TrafficLog {
        void statementFailed(const FailedStatement&) override { }
        void relayFailed(const FailedRelay& failed) override { this->relays.push_back(failed); }
        void sentToDraining(const StatementToDraining& sent) override { this->toDraining.push_back(sent); }
        void transactionEvacuated(const EndpointId&) override { }
        void batchRepeated(const RepeatedBatch& batch) override { this->repeated.push_back(batch); }
        void statementDone(bool, Duration) override { }
        void endpointChanged(const EndpointId&, std::string_view) override { }
        void connectionBroke(const BrokenConnection&) override { }
        void repeatedAnswerIgnored(const EndpointId&) override { }
        void endpointHealthChanged(const EndpointHealthChange&) override { }
        void attemptMoved(std::string_view) override { }
        void attemptBudgetUsedUp(const GroupId&, const OrganisationId&) override { }
        void messageRefused(const std::string&, const std::string&) override { }
        void keysWithdrawn(size_t, size_t) override { }
        void sessionsChanged(size_t) override { }

        void connectionOpenedAhead(const EndpointId&, const OrganisationId&, const std::string& failure) override
        {
            this->aheadFailures += !failure.empty();
        }

        size_t aheadFailures = 0; ///< connections that could not be opened ahead
        std::vector<FailedRelay> relays;
        std::vector<StatementToDraining> toDraining;
        std::vector<RepeatedBatch> repeated;
    };

    struct Observer : EndpointObserver {
        void endpointReachabilityChanged(const EndpointId&, bool) override { ++this->changes; }
        void connectionBroke(const BrokenConnection&) override { }
        void repeatedAnswerIgnored(const EndpointId&) override { }

        size_t changes = 0; ///< changes of reachability

        void outcomesReported(const EndpointId&, const std::string& owner, const OutcomeCounts& counts) override
        {
            this->reports.emplace_back(owner, counts);
        }

        std::vector<std::pair<std::string, OutcomeCounts>> reports;
    };

    RelayFleet();

    /// Restarts the VM with a connector that cannot reach the endpoints.
    void cutOffEndpoints(const std::string& vm);

    /// Tells all VMs but `unaware` that the endpoint drains and gets new work until `workEnd`.
    void drain(const std::string& endpoint, Instant workEnd, const Vm& unaware);

    /// Declares organisations with ascending rate limits: the last one has the highest.
    void declareOrganisations(const std::vector<std::string>&);

    /// Returns the VMs in the order in which a link to the endpoint tries them.
    std::vector<std::string> ownersOf(const std::string& endpoint) const;

    /// Returns a VM that owns no connections to the endpoint.
    Vm& nonOwner(const std::string& endpoint);

    std::shared_ptr<EndpointLink> open(Vm&, const std::string& endpoint, Listener&, bool early = false);
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
