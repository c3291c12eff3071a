#pragma once

#include "Core/Instant.h"
#include "Runtime/Timers.h"
#include "Statements/EndpointLink.h"
#include "Statements/GuardedBatch.h"
#include "Statements/SessionValues.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Lavendervane {

class EndpointPool;

/// Result of one batch of statements. If there are no answers, each statement that was sent may or may not have run.
struct ExchangeResult {
    /// Answers to the statements after the guard; those to the guard, if `isRestWithheld`, of which the last is a
    /// refusal.
    std::vector<EndpointAnswer> answers;
    std::vector<EndpointAnswer> guardAnswers; ///< answers to a guard that succeeded
    bool isRestWithheld = false; ///< the statements after the guard have not been sent
    bool timedOut = false;
    std::string failure; ///< why the connection broke, for logs; empty if unknown

    bool hasAnswers() const { return !this->answers.empty(); }

    /// Describes why there are no answers, for logs.
    std::string describeFailure() const;
};

using ExchangeCallback = std::function<void(ExchangeResult)>;

/// Sends batches whose rest depends on a guard.
class GuardedBatchSender {
public:
    virtual ~GuardedBatchSender() = default;

    /// Returns why the rest of the pending batch must not be sent after its guard has succeeded; empty if it may.
    virtual std::string reasonToWithhold() const = 0;
};

/// A connection to an endpoint and the state that the endpoint keeps for it: session values and prepared statements.
class PooledConnection : public LinkListener, public std::enable_shared_from_this<PooledConnection> {
public:
    PooledConnection(EndpointPool&, Timers&, OrganisationId);
    ~PooledConnection() override;

    /// Sends the statements as one batch and calls back once, never from within this call. If the batch is not answered
    /// by `deadline`, the connection is closed. The connection must be alive and must not have an unanswered batch.
    /// Leading statements that set session values are a guard of the batch, unless the link keeps the values itself. If
    /// the sender withholds the rest of the batch, the connection is closed, which rolls the transaction back. The
    /// sender is not asked if the link guards the batch.
    void exchange(std::vector<Statement>, const BatchOptions&, ExchangeCallback,
        std::shared_ptr<const GuardedBatchSender> = nullptr);

    /// Returns the statements that give the connection the session's values, to be sent before the session's statement.
    /// Assumes that the caller sends them.
    std::vector<Statement> makeSetupStatements(const SessionValues&);

    /// Returns the statement that prepares `PreparedStatement` under the name `preparedName(id)`, to be sent before it
    /// is executed. Returns nullopt if it has already been prepared on this connection.
    std::optional<Statement> makePrepareStatement(uint32_t id, const PreparedStatement&);

    /// Called when the endpoint has reported a prepared statement as unknown. All statements are prepared again before
    /// their next execution.
    void forgetPrepared() { this->preparedIds.clear(); }

    bool isAlive() const { return this->state != State::Closed; }
    const OrganisationId& organisation() const { return this->organisationId; }
    uint64_t valuesVersion() const { return this->currentValuesVersion; }

    /// Pool to release the connection to; null after the pool has been destroyed.
    EndpointPool* pool() const { return this->owningPool; }

    /// Address of the VM that relays the statements; empty if the connection goes to the endpoint itself.
    std::string relayAddress() const { return this->link ? this->link->relayAddress() : std::string(); }

    /// How a guarded batch is sent on this connection.
    GuardPath guardPath() const;

    /// Closes the connection. The endpoint rolls back an open transaction.
    void close();

    /// Closes the connection and reports the pending exchange as unanswered.
    void closeWithoutAnswer(const std::string& reason);

private:
    friend class EndpointPool;

    enum class State {
        Opening,
        Idle,
        InUse, ///< acquired by a session, no statement pending
        Waiting, ///< acquired by a session, a batch of statements pending
        Closed,
    };

    void linkConnected() override;
    void linkOpened() override;
    void linkConfirmed() override;
    void linkAnswered(std::vector<EndpointAnswer>) override;
    void linkIgnoredRepetition() override;
    void linkFailed(LinkFailure, AnswerCode, const std::string& message) override;
    void send(const std::vector<Statement>&, const BatchOptions&);
    bool mayTakeWork() const;
    bool trySendRest(std::vector<EndpointAnswer>& guardAnswers);
    void linkNotOpened(LinkFailure, AnswerCode, const std::string& message) override;
    void completeExchange(ExchangeResult);
    void scheduleTimeout(Instant deadline);

    /// As `closeWithoutAnswer`, because of what was received, and reports that the connection broke.
    void giveUp(const std::string& reason);
    void cancelTimer();

    EndpointPool* owningPool;
    Timers& timers;
    OrganisationId organisationId;
    std::shared_ptr<EndpointLink> link;
    State state = State::Opening;
    bool isHostConnected = false; ///< true once the endpoint's host has accepted the connection
    bool isOpenedAhead = false; ///< true while it is being opened and neither a statement nor a probe waits for it
    std::function<void(const std::string& failure)> openedCallback; ///< set while it is being opened ahead
    bool isForTransaction = false; ///< acquired to begin a transaction of a caller
    bool inTransaction = false;
    bool continuesTransaction = false; ///< the pending batch was sent into an open transaction
    bool isGuardInTransaction = false; ///< a transaction is open after the guard of the pending batch
    Instant stateChangeTime; ///< time of the last change of `state`
    uint64_t currentValuesVersion = 0;
    std::map<std::string, std::string> values;
    std::set<uint32_t> preparedIds;
    /// Leading statements of the pending batch that set up the connection and must succeed for the other answers to be
    /// valid.
    size_t setupStatementCount = 0;
    GuardedBatch batch; ///< pending batch
    Instant restDeadline; ///< deadline of a batch whose rest is held back
    std::shared_ptr<const GuardedBatchSender> sender; ///< null if the batch has no guard
    ExchangeCallback callback;
    std::optional<Timers::Handle> timer;
};

} // namespace Lavendervane
