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

/// Request as the runner sends it to endpoints.
struct RunnerPlan {
    RequestPlan request;
    std::string requestId;
    OrganisationId organisation;
    uint32_t weight = 1;
    bool begin = false; ///< "/begin" instead of "/execute"
    /// Members of the request body that are equal in all attempts, as JSON text without braces.
    std::string bodyMembers;
};

struct RunnerResult {
    Outcome outcome = Outcome::NotRun;
    RequestFailure failure;
    std::optional<EndpointAnswer> answer; ///< if `Done`
    RouteChoice choice; ///< if `Done`
    std::shared_ptr<TransactionChannel> transaction; ///< if `Done` and begun
};

/// Executes the actions of a RequestStateMachine. Used on one traffic thread.
class RequestRunner : public std::enable_shared_from_this<RequestRunner> {
public:
    using Callback = std::function<void(RunnerResult)>;

    RequestRunner(TrafficThread&, RunnerPlan, Callback);
    ~RequestRunner();

    RequestRunner(const RequestRunner&) = delete;
    RequestRunner& operator=(const RequestRunner&) = delete;

    /// Calls back once, possibly from within this call.
    void start();

    /// The snapshot or a term changed.
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
    std::map<uint32_t, Attempt> attempts; ///< that run or are the result
    std::optional<EndpointAnswer> lastAnswer;
};

} // namespace Lavendervane
