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
#include <string>
#include <vector>

namespace Lavendervane {

struct AcquireResult;
class EndpointPool;
class GroupTraffic;
class StatementService;

/// One caller's session: its values, prepared statements and transaction, on connections shared with other sessions.
class CallerSession : public CallerHandler, public std::enable_shared_from_this<CallerSession> {
public:
    CallerSession(StatementService&, CallerLink&);
    ~CallerSession() override;

    void openSession(const std::string& database, const std::string& key) override;
    void handleStatement(Statement) override;
    void handleDisconnect() override;

    /// Rolls the transaction back if the caller's key has been withdrawn.
    void directoryChanged();

    /// Closes the session as soon as nothing is outstanding and no transaction is open.
    void closeWhenIdle();

    /// Rolls the transaction back; the caller learns of it with its next statement.
    void abortTransaction(const std::string& reason);

private:
    /// Work that runs at an endpoint: a statement outside a transaction, or the start of a transaction.
    struct Operation {
        Statement statement;
        SessionRoute route;
        OrganisationId organisation;
        Instant arrival;
        Instant deadline;
        bool writes = false;
        /// Runs inside a transaction of the proxy's own, which a database refuses once it is no longer the primary.
        bool wrapped = false;
        bool startsTransaction = false;
        bool admitted = false;
        bool mayHaveRun = false; ///< in any attempt
        uint32_t attempts = 0;
        std::vector<EndpointId> tried;
        std::shared_ptr<EndpointPool> pool;
        uint64_t wait = 0; ///< in the pool
        std::optional<Timers::Handle> pause;
        uint64_t roleWait = 0; ///< in the group
        uint64_t admissionWait = 0;
    };

    struct Transaction {
        bool readOnly = false;
        bool wrote = false;
        bool failed = false;
        std::string failure; ///< told with the next statement if the caller does not know yet
        SessionRoute route;
        OrganisationId organisation;
        Instant begun;
        std::shared_ptr<PooledConnection> connection; ///< null until the first statement
        EndpointId endpoint;
        std::optional<Timers::Handle> idleTimer;
    };

    // Checks.
    const SessionRoute* currentRoute() const;
    bool authorised(const SessionRoute&, OrganisationId&) const;

    // Statements that the proxy carries out itself.
    void setValue(const Statement&);
    void prepare(const Statement&);
    void deallocate(const Statement&);
    void begin(const Statement&);
    void rollback();

    // Outside a transaction.
    bool startOperation(Statement, bool startsTransaction);
    void runSingle(Statement);
    void admit();
    void admitted();

    // Attempts of the current operation.
    void attempt();
    std::shared_ptr<EndpointPool> choose(GroupTraffic&);
    void waitForPrimary(GroupTraffic&);
    void acquired(const AcquireResult&);
    void sendSingle(const std::shared_ptr<PooledConnection>&);
    void sendWrapped(const std::shared_ptr<PooledConnection>&);
    void sendBegin(const std::shared_ptr<PooledConnection>&);
    void singleAnswered(const std::shared_ptr<PooledConnection>&, ExchangeResult, Instant sent);
    void tryAgain(AnswerCode lastCode, const std::string& reason, Duration pause);
    void endpointRefused(const std::shared_ptr<PooledConnection>&, const EndpointAnswer&);
    void finishOperation(const CallerAnswer&, const std::string& reason);
    void dropOperation();

    // Inside a transaction.
    void runInTransaction(Statement);
    void sendInTransaction(const Statement&);
    void commit(Statement);
    void transactionAnswered(ExchangeResult);
    void commitAnswered(ExchangeResult, Instant sent);
    void endTransaction(bool commandRollback);
    void watchIdleTransaction();

    std::vector<Statement> withSetupStatements(const std::shared_ptr<PooledConnection>&, const Statement&);
    bool isWrite(const Statement&) const;
    void learnPosition(const SessionRoute&, Instant asked, const EndpointAnswer&);
    void answer(const CallerAnswer&);
    void refuse(AnswerCode, const std::string& reason);
    void logFailure(const CallerAnswer&, const std::string& reason) const;

    StatementService& service;
    CallerLink* link;
    std::string database;
    std::string keyDigest;
    bool opened = false;
    bool outstanding = false;
    Statement current; ///< the outstanding one, for the log
    Instant currentArrival {};
    SessionValues values;
    std::map<std::string, PreparedStatement> preparedStatements;
    std::map<GroupId, LogPosition> commits; ///< last commit of this session
    std::optional<Operation> operation;
    std::optional<Transaction> transaction;
};

} // namespace Lavendervane
