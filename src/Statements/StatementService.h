#pragma once

#include "Fleet/Directory.h"
#include "Limits/WindowLimits.h"
#include "Runtime/Timers.h"
#include "Statements/CallerLink.h"
#include "Statements/GroupTraffic.h"
#include "Statements/SessionValues.h"
#include "Statements/TrafficLog.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace Lavendervane {

class CallerSession;

struct StatementServiceSettings {
    DataCentre dataCentre;
    /// Longest wait of an operation for a larger share of its organisation's limit. The table answers within a few
    /// milliseconds; a caller is better served by a short wait than by a refusal.
    Duration admissionWait = std::chrono::milliseconds(60);
    /// Window, and what a window may hold beyond the limit. Half of the tolerance is left for the rounding of times.
    WindowLimitSettings limits;
    double limitTolerance = 0; ///< part of the limit
    uint32_t limitSlack = 0; ///< requests
    /// Connections of an endpoint that VMs leave unused in total, for VMs that have just started.
    uint32_t reservedConnections = 0;
    /// Pause before a statement that an endpoint was too busy for is sent again.
    Duration busyPause = std::chrono::milliseconds(10);
    /// How long an operation waits for news of the primary after an endpoint has denied being it.
    Duration roleChangeWait = std::chrono::milliseconds(150);
};

/// Asks control for things that traffic needs. Calls come on the traffic thread.
class TrafficDemands {
public:
    virtual ~TrafficDemands() = default;

    /// Some organisation needs a larger share.
    virtual void sharesWanted() = 0;

    /// An endpoint became reachable or unreachable from this VM.
    virtual void endpointReachable(const GroupId&, const EndpointId&, bool reachable) = 0;
};

/// Sessions, groups and limits of one traffic thread. All calls must be made on that thread.
class StatementService : public CallerHandlerFactory, private EndpointObserver {
public:
    StatementService(StatementServiceSettings, Timers&, EndpointConnector&, TrafficDemands&, TrafficLog&);
    ~StatementService() override;

    StatementService(const StatementService&) = delete;
    StatementService& operator=(const StatementService&) = delete;

    std::shared_ptr<CallerHandler> makeHandler(CallerLink&) override;

    void setDirectory(std::shared_ptr<const Directory>);

    /// Null before the first directory.
    const Directory* directory() const { return this->current.get(); }

    WindowLimits& limits() { return this->admission; }
    Timers& timers() { return this->clock; }
    TrafficDemands& demands() { return this->control; }
    TrafficLog& log() { return this->events; }
    PreparedNumbers& preparedNumbers() { return this->numbers; }
    const StatementServiceSettings& settings() const { return this->options; }

    /// Null if the group has no endpoints.
    GroupTraffic* findGroup(const GroupId&);

    /// Closes sessions as soon as they have no transaction.
    void closeIdleSessions();

    /// Rolls open transactions back, so that their sessions can close.
    void abortTransactions();

    /// Closes all connections.
    void shutDown();

    bool closing() const { return this->isClosing; }
    size_t sessionCount() const { return this->sessions.size(); }

    void sessionEnded(CallerSession&);

private:
    void endpointReachable(const EndpointId&, bool reachable) override;

    StatementServiceSettings options;
    Timers& clock;
    EndpointConnector& connector;
    TrafficDemands& control;
    TrafficLog& events;
    WindowLimits admission;
    PreparedNumbers numbers;
    std::shared_ptr<const Directory> current;
    std::map<GroupId, std::unique_ptr<GroupTraffic>> groups;
    std::map<EndpointId, GroupId> groupOf;
    std::set<CallerSession*> sessions;
    bool isClosing = false;
};

} // namespace Lavendervane
