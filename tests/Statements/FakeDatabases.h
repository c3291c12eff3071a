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

/// One database as endpoint links see it. Tests set its faults.
struct FakeDatabase {
    EndpointRole role = EndpointRole::Replica;
    LogPosition position { { 1, {} }, 100 };
    bool refuseConnections = false;
    bool tooManyConnections = false;
    bool silent = false; ///< takes statements and never answers
    bool silentToConnections = false; ///< its host does not accept connections
    bool silentToOpenings = false; ///< its host accepts connections, and nothing answers
    /// The connection breaks instead of an answer to the next statement of this kind.
    std::optional<StatementKind> breakAt;
    std::map<StatementKind, AnswerCode> refuseNext; ///< codes for the next statement of a kind
    std::vector<std::string> receivedStatements; ///< statements in short form, for example "begin", "read a", "set x=1"
    std::vector<OrganisationId> openedOrganisations;
    size_t connections = 0;
};

/// Connects to fake databases by endpoint id. Everything happens when the test moves the clock.
class FakeConnector : public EndpointConnector {
public:
    explicit FakeConnector(ManualTimers& timers)
        : timers(timers)
    {
    }

    std::shared_ptr<EndpointLink> connect(const LinkTarget&, LinkListener&) override;

    FakeDatabase& database(const std::string& id) { return this->databases[id]; }

    Duration delay = std::chrono::milliseconds(1); ///< of each answer

private:
    ManualTimers& timers;
    std::map<std::string, FakeDatabase> databases;
};

} // namespace Lavendervane
