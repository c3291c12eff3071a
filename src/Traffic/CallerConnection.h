#pragma once

#include "Http/HttpMessages.h"
#include "Session/SessionToken.h"
#include "Traffic/CallerRequest.h"
#include "Traffic/CallerResponse.h"
#include "Traffic/RequestRunner.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>

namespace Lavendervane {

class RunningRequestGuard;
class TrafficThread;
class TransactionChannel;

/// Handles the requests of one caller connection: checks key, route, session and rate limit, runs the request and sends
/// the response. Used on one thread.
class CallerConnection : public HttpHandler, public std::enable_shared_from_this<CallerConnection> {
public:
    explicit CallerConnection(TrafficThread&);
    ~CallerConnection() override;

    CallerConnection(const CallerConnection&) = delete;
    CallerConnection& operator=(const CallerConnection&) = delete;

    void handle(HttpRequest, HttpRespond) override;
    void handleClosed() override;
    HttpResponse makeErrorResponse(unsigned status, const std::string& reason) override;
    bool holdsState() const override { return this->transaction.has_value(); }

private:
    /// One request from its arrival to its response.
    struct Call {
        Instant started;
        std::string requestId;
        HttpRespond respond;
        std::unique_ptr<RunningRequestGuard> runningGuard;
        CallerRequest request;
        OrganisationId organisation;
        std::optional<SessionToken> session;
        bool admitted = false;
        bool shortageReported = false;
    };
    using CallPointer = std::shared_ptr<Call>;

    /// Interactive transaction that is open on the caller connection.
    struct OpenTransaction {
        std::shared_ptr<TransactionChannel> channel;
        std::unique_ptr<RunningRequestGuard> runningGuard;
        OrganisationId organisation;
        GroupId group;
        Access access = Access::Read;
        RouteChoice choice;
        std::string digest; ///< digest of all statements of the transaction so far
    };

    void start(const CallPointer&, HttpRequest);
    void startRequest(const CallPointer&, const std::optional<std::string>& key);
    void startTransactionStep(const CallPointer&, const std::optional<std::string>& key);
    void openSession(const CallPointer&, const GroupId&, bool needsRoom) const;
    void admit(const CallPointer&);
    void run(const CallPointer&);
    RunnerPlan makePlan(const Call&) const;
    void handleRunEnd(const CallPointer&, RunnerResult);
    void runTransactionStep(const CallPointer&);
    void handleStepEnd(const CallPointer&, EndpointResult);
    std::string makeStepBody(const Call&) const;
    uint32_t weightOf(const OrganisationId&) const;

    void answer(const CallPointer&, const EndpointAnswer&, const RouteChoice&, const GroupId&, bool mergePosition);
    void reject(const CallPointer&, Outcome, RequestFailure);
    void send(const CallPointer&, CallerResponse);

    TrafficThread& thread;
    boost::asio::steady_timer admissionTimer;
    boost::asio::steady_timer stepTimer;
    std::optional<OpenTransaction> transaction;
    bool connectionClosed = false;
};

} // namespace Lavendervane
