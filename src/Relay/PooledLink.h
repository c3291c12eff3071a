#pragma once

#include "Statements/EndpointLink.h"
#include "Statements/EndpointPool.h"
#include "Statements/SessionValues.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Lavendervane {

/// A link that has no connection of its own: it borrows one from a pool for each batch, and keeps it while a
/// transaction is open. Session values and prepared statements belong to the link and are brought to each borrowed
/// connection. A batch that got no connection is answered as not run.
class PooledLink : public EndpointLink, public std::enable_shared_from_this<PooledLink> {
public:
    /// Opens the link; fails it with Unreachable if the pool does not reach its endpoint. The listener must outlive the
    /// link or close it first.
    static std::shared_ptr<PooledLink> open(
        std::shared_ptr<EndpointPool>, OrganisationId, PreparedStatementIds&, Timers&, LinkListener&);

    PooledLink(std::shared_ptr<EndpointPool>, OrganisationId, PreparedStatementIds&, Timers&, LinkListener&);
    ~PooledLink() override;

    void send(const std::vector<Statement>&, Instant deadline) override;
    void close() override;

    /// True while a batch is under way; the next one must wait for its answer.
    bool isAwaitingAnswer() const { return this->isBatchRunning; }

    /// True while a batch is under way or a transaction is open.
    bool isBusy() const { return this->isBatchRunning || this->connection; }

private:
    size_t applySessionStatements(const std::vector<Statement>&);
    void onConnectionAcquired(const AcquireResult&, Instant deadline);
    bool appendPreparedStatements(PooledConnection&, std::vector<Statement>& batch);
    void onExchangeFinished(const std::shared_ptr<PooledConnection>&, ExchangeResult);
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
    std::map<std::string, PreparedStatement> preparedStatements; ///< by the names that the sender uses
    std::vector<Statement> statements; ///< of the batch under way, without preparations
    size_t sessionStatementCount = 0; ///< statements of the batch that the link has carried out itself
    std::shared_ptr<PooledConnection> connection; ///< while a transaction is open
    uint64_t waitNumber = 0; ///< number of the last wait in the pool
    bool isWaiting = false; ///< for a connection
    bool isBatchRunning = false;
};

} // namespace Lavendervane
