#pragma once

#include "Statements/EndpointLink.h"
#include "Statements/EndpointPool.h"
#include "Statements/SessionValues.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Lavendervane {

/// A link without a connection of its own. It borrows a connection from a pool for each batch and keeps it while a
/// transaction is open. The link stores session values and prepared statements and applies them to each borrowed
/// connection. If no connection is available, the batch is answered as not run.
class PooledLink : public EndpointLink, public GuardedBatchSender, public std::enable_shared_from_this<PooledLink> {
public:
    /// Opens the link. The link fails with Unreachable if the pool cannot reach its endpoint. A batch may be sent
    /// before the link is reported as open; it has not run if the link then fails with Unreachable. The listener must
    /// outlive the link or close it first.
    static std::shared_ptr<PooledLink> open(
        std::shared_ptr<EndpointPool>, OrganisationId, PreparedStatementIds&, Timers&, LinkListener&);

    PooledLink(std::shared_ptr<EndpointPool>, OrganisationId, PreparedStatementIds&, Timers&, LinkListener&);
    ~PooledLink() override;

    void send(const std::vector<Statement>&, const BatchOptions&) override;
    bool guardsBatches() const override { return true; }
    void close() override;

    /// True while a batch is in progress. The next batch must not be sent before its answers.
    bool isAwaitingAnswer() const { return this->isBatchRunning; }

    /// True while a batch is in progress or a transaction is open.
    bool isBusy() const { return this->isBatchRunning || this->connection; }

    /// Recent outcomes at the endpoint, if there were failures.
    std::optional<OutcomeCounts> outcomesToReport() const { return this->pool->outcomesToReport(); }

private:
    size_t applySessionStatements(const std::vector<Statement>&);
    bool mayBeSent() const;
    std::string reasonToWithhold() const override;
    bool isOwnStatement() const;
    void endTransaction(const std::string& reason);
    void onConnectionAcquired(const AcquireResult&, const BatchOptions&);
    bool hasPreparedStatements() const;
    void appendPreparedStatements(PooledConnection&, std::vector<Statement>& batch);
    void onExchangeFinished(const std::shared_ptr<PooledConnection>&, ExchangeResult, size_t addedStatements);
    void answerNotRun(const std::string& reason);
    void answer(std::vector<EndpointAnswer>);
    void fail(LinkFailure, AnswerCode, const std::string& message);
    void releaseConnection(const std::shared_ptr<PooledConnection>&, bool inTransaction);

    std::shared_ptr<EndpointPool> pool;
    OrganisationId organisation;
    PreparedStatementIds& preparedNumbers;
    Timers& timers;
    LinkListener* listener;
    SessionValues values;
    std::map<std::string, PreparedStatement> preparedStatements; ///< by the sender's statement names
    std::vector<Statement> statements; ///< current batch without its leading session statements
    size_t sessionStatementCount = 0; ///< number of leading statements that the link itself has executed
    std::shared_ptr<PooledConnection> connection; ///< borrowed connection while a transaction is open
    uint64_t waitNumber = 0; ///< number of the last EndpointPool::acquire
    bool isWaiting = false; ///< true while waiting for a connection of the pool
    bool isBatchRunning = false;
    bool hasSent = false; ///< true once statements have been sent to the endpoint
    std::optional<Instant> batchSentAt; ///< set while the endpoint has the batch and has not answered it
};

} // namespace Lavendervane
