#pragma once

#include "Load/LoadRun.h"

namespace Lavendervane {

/// Caller session. It sends its session token with every request and uses the next VM for each attempt.
struct LoadRun::Session {
    std::string id;
    std::string token;
    size_t nextVm = 0;
    std::vector<PlannedRequest> recentWrites; ///< latest acknowledged writes, oldest first
};

/// Load state of one organisation.
struct LoadRun::Organisation {
    OrganisationLoad load;
    RequestGenerator generator;
    std::deque<std::unique_ptr<Session>> idle; ///< sessions without a running request
    uint64_t sessions = 0; ///< sessions created so far; numbers the next session
    uint64_t writes = 0; ///< writes planned so far; numbers the idempotency keys
    int64_t nextStart = 0; ///< start time of the next request, in ns of the boot clock
};

/// One request of a session, including its retry.
class LoadRun::Call : public std::enable_shared_from_this<LoadRun::Call> {
public:
    Call(LoadRun&, Organisation&, std::unique_ptr<Session>, PlannedRequest);

    void start();

private:
    /// One HTTP call of the request. Interactive transactions take several.
    struct Step {
        std::string target;
        nlohmann::json body;
    };

    void planSteps();
    void sendStep();
    LoadRequest makeRequest(const Step&) const;
    void handleResponse(const LoadResponse&);
    void parseResponse(const LoadResponse&);
    bool canRetry(ExchangeStatus) const;
    void endAttempt(ExchangeStatus);
    void finish();

    LoadRun& run;
    Organisation& organisation;
    std::unique_ptr<Session> session;
    PlannedRequest plan;
    std::string idempotencyKey;
    uint32_t attempt = 0;
    std::vector<Step> steps;
    size_t step = 0; ///< index into steps
    size_t vm = 0; ///< index of the VM that the attempt uses
    std::unique_ptr<LoadConnection> connection;
    HistoryEvent event;
};

} // namespace Lavendervane
