#pragma once

#include "Routing/RequestStateMachine.h"
#include "Traffic/EndpointTask.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Lavendervane {

class TrafficThread;
class TransactionChannel;

/// Parameters of a request that a RequestRunner sends to endpoints.
struct RunnerPlan {
    RequestPlan request;
    std::string requestId;
    OrganisationId organisation;
    uint32_t weight = 1;
    bool begin = false; ///< sends "/begin" instead of "/execute"
    /// JSON members of the request body that are the same in all attempts, without the enclosing braces.
    std::string bodyMembers;
};

struct RunnerResult {
    Outcome outcome = Outcome::NotRun;
    RequestFailure failure;
    std::optional<EndpointAnswer> answer; ///< set if the outcome is `Done`
    RouteChoice choice; ///< valid if the outcome is `Done`
    std::shared_ptr<TransactionChannel> transaction; ///< set if a "/begin" is `Done`
};

/// Drives one request: performs the actions of its RequestStateMachine. Used on one traffic thread.
class RequestRunner : public std::enable_shared_from_this<RequestRunner> {
public:
    using Callback = std::function<void(RunnerResult)>;

    RequestRunner(TrafficThread&, RunnerPlan, Callback);
    ~RequestRunner();

    RequestRunner(const RequestRunner&) = delete;
    RequestRunner& operator=(const RequestRunner&) = delete;

    /// Starts the request. The callback is invoked once, possibly before this function returns.
    void start();

    /// Called after a change of the snapshot or of the group's term.
    void handleRoutingChange();

    const GroupId& group() const { return this->plan.request.group; }

private:
    struct Attempt {
        RouteChoice choice;
        std::shared_ptr<TransactionChannel> transaction;
    };

    void perform(const RequestAction&);
    void send(const SendAttempt&);
    void handleAttemptEnd(uint32_t number, EndpointResult);
    void finish(const FinishRequest&);
    void setTimer(Instant);

    TrafficThread& thread;
    RunnerPlan plan;
    Callback callback;
    RequestStateMachine machine;
    boost::asio::steady_timer timer;
    std::map<uint32_t, Attempt> attempts; ///< all attempts so far, keyed by attempt number
    std::optional<EndpointAnswer> lastAnswer;
};

} // namespace Lavendervane
