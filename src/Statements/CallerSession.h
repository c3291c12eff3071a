#pragma once

#include "Core/Instant.h"
#include "Fleet/Directory.h"
#include "Runtime/Timers.h"
#include "Statements/CallerLink.h"
#include "Statements/PooledConnection.h"
#include "Statements/SessionValues.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Lavendervane {

struct AcquireResult;
class EndpointPool;
class GroupTraffic;
class StatementService;

/// Session of one caller: its session values, prepared statements and open transaction. The session runs its statements
/// on pooled endpoint connections, which it shares with other sessions.
class CallerSession : public CallerHandler,
                      public GuardedBatchSender,
                      public std::enable_shared_from_this<CallerSession> {
public:
    CallerSession(StatementService&, CallerLink&);
    ~CallerSession() override;

    void openSession(const std::string& database, const std::string& key) override;
    void handleStatement(Statement) override;
    void handleRefusedMessage(const std::string& reason) override;
    void handleDisconnect() override;

    /// Closes the session if no statement is pending and no transaction is open. A session that is still busy checks
    /// again after each answer while the service is closing sessions.
    void closeIfIdle();

    /// Rolls the open transaction back if it must not go on: the VM is stopping or the key is withdrawn. The caller
    /// gets the reason in answer to its next statement. A transaction with a pending statement is checked again after
    /// the answer.
    void checkTransaction();

    /// Answers the pending statement, if there is one: as not run, or as in doubt if it may have run.
    void endPendingStatement(const std::string& reason);

    /// Bytes of the values and prepared statements that the caller keeps in the session.
    size_t stateBytes() const { return this->keptBytes; }

    /// Ends the session and its connection, because sessions keep more than the process can hold.
    void evict();

    bool hasOpenTransaction() const { return this->transaction && !this->transaction->failed; }

    /// True if the open transaction needs a key that is not valid any more.
    bool isKeyWithdrawn() const;

    /// True while a statement is pending.
    bool isBusy() const { return this->isStatementPending; }

private:
    /// A statement that runs outside a transaction, or the begin of a transaction at an endpoint.
    struct Operation {
        Statement statement;
        SessionRoute route;
        OrganisationId organisation;
        std::set<std::string> organisationRegions; ///< regions of the organisation; empty: everywhere
        Instant arrival;
        Instant deadline;
        bool writes = false;
        /// True if a read runs inside a transaction that the proxy begins and rolls back itself. A database that is no
        /// longer the primary refuses such a transaction, while it would still answer a plain read.
        bool usesProxyTransaction = false;
        bool startsTransaction = false;
        bool isAdmitted = false;
        bool isSent = false; ///< the statement itself has been sent and not been answered
        bool mayHaveRun = false; ///< true once any attempt may have run the statement
        uint32_t attempts = 0;
        std::vector<EndpointId> triedEndpoints;
        std::shared_ptr<EndpointPool> pool;
        uint64_t poolWaitId = 0; ///< wait for a connection in `pool`; 0 if none
        std::optional<Timers::Handle> retryTimer;
        uint64_t primaryWaitId = 0; ///< callback for a change of primary in the group; 0 if none
        uint64_t admissionRequestId = 0;
    };

    struct Transaction {
        bool readOnly = false;
        bool wrote = false;
        bool failed = false;
        bool mayHaveRunOutside = false; ///< true once a write may have run by itself, outside the transaction
        std::string failure; ///< reason for an abort that has not been reported to the caller yet
        SessionRoute route;
        OrganisationId organisation;
        std::set<std::string> organisationRegions; ///< regions of the organisation; empty: everywhere
        Instant startTime;
        std::shared_ptr<PooledConnection> connection; ///< null until the first statement reaches an endpoint
        RegisteredEndpoint endpoint; ///< endpoint of `connection`
        /// Time at which the transaction was begun at the primary, until the primary's position is recorded.
        std::optional<Instant> unrecordedBegin;
        std::optional<Timers::Handle> idleTimer;
    };

    const SessionRoute* currentRoute() const;
    bool authorise(const SessionRoute&, OrganisationId&) const;

    // Statements that the proxy executes itself.
    bool reserve(size_t before, size_t after);
    void setValue(const Statement&);
    void prepare(const Statement&);
    void deallocate(const Statement&);
    void begin(const Statement&);
    void rollback();

    // Statements outside a transaction.
    bool startOperation(Statement, bool startsTransaction);
    void runSingleStatement(Statement);
    void admit();
    void runAdmittedOperation();

    // Attempts to run the current operation.
    void startAttempt();
    std::shared_ptr<EndpointPool> chooseEndpoint(GroupTraffic&);
    bool mayUsePrimary(const RegisteredEndpoint&) const;
    bool mayRunAt(const RegisteredEndpoint&) const;
    std::vector<EndpointId> excludedEndpoints(const GroupTraffic&) const;
    std::string reasonNotToSend() const;
    std::string reasonToWithhold() const override;
    void waitForPrimary(GroupTraffic&);
    void retryAfterColdStart();
    void handleAcquireResult(const AcquireResult&);
    void sendSingleStatement(const std::shared_ptr<PooledConnection>&);
    void sendInProxyTransaction(const std::shared_ptr<PooledConnection>&);
    void sendBegin(const std::shared_ptr<PooledConnection>&);
    void sendGuarded(const std::shared_ptr<PooledConnection>&, const Statement& begin, const Statement& first,
        bool endsTransaction, ExchangeCallback);
    void recordGuardedBatch(const std::shared_ptr<PooledConnection>&, const ExchangeResult&) const;
    void handleWithheldRest(const std::shared_ptr<PooledConnection>&, const ExchangeResult&);
    void handleFirstAnswer(const std::shared_ptr<PooledConnection>&, ExchangeResult, Instant sent);
    void handleSingleAnswer(const std::shared_ptr<PooledConnection>&, ExchangeResult, Instant sent);
    void repeatRead(AnswerCode lastCode, const std::string& reason);
    void retry(AnswerCode lastCode, const std::string& reason, Duration delay);
    void handleEndpointRefusal(const std::shared_ptr<PooledConnection>&, const EndpointAnswer&);
    void finishOperation(const CallerAnswer&, const std::string& reason);
    void dropOperation();

    // Statements inside a transaction.
    void runInTransaction(Statement);
    void sendInTransaction(const Statement&);
    std::string reasonNotToContinue() const;
    void commit(Statement);
    void handleTransactionAnswer(ExchangeResult);
    void handleCommitAnswer(ExchangeResult, Instant sent);
    void recordBegin(const EndpointAnswer& first);
    void endTransaction(bool sendRollback);
    bool isTransactionEvacuated() const;
    std::string reasonToAbort() const;
    void abortTransaction(const std::string& reason);
    void refuseInFailedTransaction();
    void startIdleTimer();

    std::vector<Statement> withSetupStatements(
        const std::shared_ptr<PooledConnection>&, const Statement&, const Statement* begin = nullptr);
    bool isWrite(const Statement&) const;
    void recordPosition(const SessionRoute&, Instant queryTime, const EndpointAnswer&);
    void recordCommit(const GroupId&, Instant sent, const EndpointAnswer&);
    void answer(const CallerAnswer&);
    void refuse(AnswerCode, const std::string& reason);
    void logFailure(const CallerAnswer&, const std::string& reason) const;

    StatementService& service;
    CallerLink* link;
    std::string database;
    std::string keyDigest;
    bool isOpen = false;
    bool isStatementPending = false;
    Statement currentStatement; ///< pending statement; without its text once it has been answered
    Instant currentArrival {};
    SessionValues values;
    std::map<std::string, PreparedStatement> preparedStatements;
    size_t keptBytes = 0; ///< of the values and prepared statements, with their names
    std::map<GroupId, LogPosition> lastCommits; ///< newest position of this session's commits in each group
    std::optional<Operation> operation;
    std::optional<Transaction> transaction;
};

} // namespace Lavendervane
