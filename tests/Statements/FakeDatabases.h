#pragma once

#include "ManualTimers.h"

#include "Statements/EndpointLink.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Lavendervane {

/// Fake database behind an endpoint link. Tests set its faults and inspect what it received.
struct FakeDatabase {
    EndpointRole role = EndpointRole::Replica;
    LogPosition position { { 1, {} }, 100 };
    bool refuseConnections = false;
    bool tooManyConnections = false;
    bool silent = false; ///< accepts statements and never answers
    bool silentToConnections = false; ///< its host does not accept connections
    bool silentToOpenings = false; ///< its host accepts connections, but the endpoint never opens a session
    std::optional<size_t> answersSent; ///< number of answers to a batch, if not one to each statement
    /// Refuses begins, but a repeated answer makes them look done; the refusal is taken for that of the next statement.
    bool hidesRefusedBegin = false;
    bool exhaustsLinks = false; ///< its links may carry no more after an answer
    /// If set, the connection breaks at the next statement of this kind, before it runs.
    std::optional<StatementKind> breakAt;
    std::map<StatementKind, AnswerCode> refuseNext; ///< error code for the next statement of each kind
    std::vector<std::string> receivedStatements; ///< statements in text form, for example "begin", "READ x", "set x=1"
    /// A read, write, execution or commit that has run.
    struct Run {
        std::string statement;
        std::map<std::string, std::string> values; ///< session values of the connection
    };
    std::vector<Run> runs;
    size_t batches = 0; ///< number of batches received
    Statement lastBegin;
    Statement lastSetValue;
    std::vector<OrganisationId> openedOrganisations;
    size_t connections = 0;
};

/// Connects to fake databases by endpoint ID. Links run on the test's timers, so events occur only when the test
/// advances the clock.
class FakeConnector : public EndpointConnector {
public:
    explicit FakeConnector(ManualTimers& timers)
        : timers(timers)
    {
    }

    std::shared_ptr<EndpointLink> connect(const LinkTarget&, LinkListener&) override;

    FakeDatabase& database(const std::string& id) { return this->databases[id]; }

    Duration delay = std::chrono::milliseconds(1); ///< delay of each event on a link

private:
    ManualTimers& timers;
    std::map<std::string, FakeDatabase> databases;
};

} // namespace Lavendervane
