#pragma once

#include "FakeDatabases.h"
#include "ManualTimers.h"

#include "Statements/CallerLink.h"
#include "Statements/StatementService.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Lavendervane {

/// Fake caller connection that records the session's answers.
class FakeCaller : public CallerLink {
public:
    explicit FakeCaller(StatementService& service)
        : handler(service.makeHandler(*this))
    {
    }

    ~FakeCaller() override { this->disconnect(); }

    void accept() override { this->accepted = true; }
    void refuse(AnswerCode code, const std::string&) override
    {
        this->refused = code;
        if (this->accepted)
            this->disconnect();
    }
    void answer(const CallerAnswer& reply) override { this->answers.push_back(reply); }
    void close() override { this->closed = true; }

    void disconnect()
    {
        if (auto ended = std::exchange(this->handler, nullptr))
            ended->handleDisconnect();
    }

    void send(StatementKind kind, const std::string& text = "", const std::string& name = "")
    {
        Statement statement;
        statement.kind = kind;
        statement.id = "id" + std::to_string(++this->lastId);
        statement.text = text;
        statement.name = name;
        this->handler->handleStatement(statement);
    }

    const CallerAnswer& last() const { return this->answers.back(); }

    std::shared_ptr<CallerHandler> handler;
    bool accepted = false;
    std::optional<AnswerCode> refused;
    std::vector<CallerAnswer> answers;
    bool closed = false;
    int lastId = 0;
};

/// Peer transport that records messages and delivers none.
class FakeTransport : public PeerTransport {
public:
    void send(const std::string& address, const PeerMessage& message) override
    {
        this->sent.emplace_back(address, message);
    }
    void setListener(PeerListener*) override { }

    std::vector<std::pair<std::string, PeerMessage>> sent;
};

/// Relay transport that does nothing, because the fixture has only one VM.
class FakeRelayTransport : public RelayTransport {
public:
    RelayChannel open(const std::string&) override { return 1; }
    void send(RelayChannel, const RelayMessage&) override { }
    void close(RelayChannel) override { }
    std::string peerAddress(RelayChannel) const override { return {}; }
    void setListener(RelayTransportListener*) override { }
};

class FakeTrafficListener : public TrafficListener {
public:
    void endpointReachabilityChanged(const GroupId&, const EndpointId& endpoint, bool reachable) override
    {
        this->reachability.emplace_back(endpoint, reachable);
    }
    void promotionNoticeReceived(const GroupId&) override { }
    void primaryRevoked(const PrimaryRevocation& revocation) override { this->revocations.push_back(revocation); }
    void memberAnnounced(const FleetMember&) override { }
    void tablesConfirmed(const TablesConfirmed&) override { }
    void acceptsCallersChanged(bool accepts) override { this->acceptsCallers.push_back(accepts); }

    std::vector<std::pair<EndpointId, bool>> reachability;
    std::vector<bool> acceptsCallers;
    std::vector<PrimaryRevocation> revocations;
};

class FakeTrafficLog : public TrafficLog {
public:
    void statementFailed(const FailedStatement& failed) override { this->failed.push_back(failed); }
    void relayFailed(const FailedRelay&) override { }
    void sentToDraining(const StatementToDraining& sent) override { this->toDraining.push_back(sent); }
    void guardedBatchEnded(const GuardedBatchOutcome& batch) override { this->guardedBatches.push_back(batch); }
    void transactionEvacuated(const EndpointId&) override { ++this->evacuatedTransactions; }
    void statementDone(bool, Duration) override { }
    void endpointChanged(const EndpointId&, std::string_view) override { }
    void connectionBroke(const BrokenConnection&) override { }
    void repeatedAnswerIgnored(const EndpointId&) override { }
    void messageRefused(const std::string&, const std::string&) override { }
    void keysWithdrawn(size_t, size_t) override { }
    void sessionsChanged(size_t count) override { this->sessions = count; }

    std::vector<FailedStatement> failed;
    std::vector<StatementToDraining> toDraining;
    std::vector<GuardedBatchOutcome> guardedBatches;
    size_t sessions = 0;
    size_t evacuatedTransactions = 0;
};

/// A service with one group "stock", whose primary is "a" and whose replicas are "b" and "c", and with three routes:
/// "strong", "bounded" (maximum staleness of 1,500 ms) and "own" (maximum staleness of 2,500 ms).
struct ServiceFixture {
    /// With a `primaryLease`, the service has a lease on primaries of that duration, confirmed by itself as the only
    /// VM.
    explicit ServiceFixture(Duration primaryLease = {});

    /// Sets the service's directory from `configuration` and `endpoints`.
    void publish();

    /// Opens a session and checks that it is accepted.
    std::unique_ptr<FakeCaller> open(const std::string& database, const std::string& key = "desk-key");

    /// Advances the clock by 20 ms, enough for every exchange without faults to complete.
    void settle() { this->timers.advance(std::chrono::milliseconds(20)); }

    static const SessionOrganisation& desk(const SessionConfiguration& configuration)
    {
        return configuration.organisations.front();
    }

    ManualTimers timers;
    FakeConnector connector { timers };
    FakeTransport transport;
    FakeRelayTransport relayTransport;
    FakeTrafficListener trafficListener;
    FakeTrafficLog log;
    StatementServiceSettings settings;
    SessionConfiguration configuration;
    std::vector<RegisteredEndpoint> endpoints;
    uint64_t directoryNumber = 0;
    std::unique_ptr<StatementService> service;
};

} // namespace Lavendervane
