#pragma once

#include "Core/Instant.h"
#include "Runtime/Timers.h"
#include "Statements/EndpointLink.h"
#include "Statements/SessionValues.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Lavendervane {

class EndpointPool;

/// Result of one batch of statements. Without answers, each statement may or may not have run.
struct ExchangeResult {
    std::vector<EndpointAnswer> answers;
    bool timedOut = false;

    bool hasAnswers() const { return !this->answers.empty(); }
};

using ExchangeCallback = std::function<void(ExchangeResult)>;

/// One connection to an endpoint with what the endpoint knows of it: session values and prepared statements.
class PooledConnection : public LinkListener, public std::enable_shared_from_this<PooledConnection> {
public:
    PooledConnection(EndpointPool&, Timers&, OrganisationId);
    ~PooledConnection() override;

    /// Sends the statements and calls back once, never from within this call. An exchange that is not answered by
    /// `deadline` ends the connection. Must not be called on a connection that is not alive.
    void exchange(const std::vector<Statement>&, Instant deadline, ExchangeCallback);

    /// Statements to send ahead so that the connection has the session's values.
    std::vector<Statement> makeSetupStatements(const SessionValues&);

    /// Name of the prepared statement on this connection, and the statement that prepares it if the endpoint does not
    /// know it yet.
    std::optional<Statement> makePrepareStatement(uint32_t number, const PreparedStatement&);

    /// The endpoint does not know the prepared statements that this connection is thought to have.
    void forgetPrepared() { this->prepared.clear(); }

    bool isAlive() const { return this->state != State::Closed; }
    const OrganisationId& organisation() const { return this->owner; }
    uint64_t valuesVersion() const { return this->stamp; }

    /// The pool through which the connection is given back; null after the pool has ended.
    EndpointPool* pool() const { return this->home; }

    /// Ends the connection; what the endpoint has not committed is rolled back.
    void close();

private:
    friend class EndpointPool;

    enum class State {
        Opening,
        Idle,
        InUse, ///< handed out, nothing outstanding
        Waiting, ///< handed out, statements outstanding
        Closed,
    };

    void linkConnected() override;
    void linkOpened() override;
    void linkAnswered(std::vector<EndpointAnswer>) override;
    void linkFailed(LinkFailure, AnswerCode, const std::string& message) override;
    void finish(ExchangeResult);
    void scheduleCheck(Instant deadline);

    /// Ends the connection and the exchange under way, without an answer.
    void abandon();
    void cancelTimer();

    EndpointPool* home;
    Timers& timers;
    OrganisationId owner;
    std::shared_ptr<EndpointLink> link;
    State state = State::Opening;
    bool hostAnswered = false; ///< while opening
    bool inTransaction = false;
    Instant since; ///< time of the last change of state
    uint64_t stamp = 0;
    std::map<std::string, std::string> values;
    std::set<uint32_t> prepared;
    size_t preparations = 0; ///< statements of the batch under way that must succeed for the others to count
    ExchangeCallback callback;
    std::optional<Timers::Handle> timer;
};

} // namespace Lavendervane
