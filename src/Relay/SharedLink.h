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
class SharedLink : public EndpointLink, public std::enable_shared_from_this<SharedLink> {
public:
    /// Opens the link; fails it with Unreachable if the pool does not reach its endpoint. The listener must outlive the
    /// link or close it first.
    static std::shared_ptr<SharedLink> open(
        std::shared_ptr<EndpointPool>, OrganisationId, PreparedStatementIds&, Timers&, LinkListener&);

    SharedLink(std::shared_ptr<EndpointPool>, OrganisationId, PreparedStatementIds&, Timers&, LinkListener&);
    ~SharedLink() override;

    void send(const std::vector<Statement>&, Instant deadline) override;
    void close() override;

    /// True while a batch is under way; the next one must wait for its answer.
    bool awaitsAnswer() const { return this->working; }

    /// True while a batch is under way or a transaction is open.
    bool busy() const { return this->working || this->connection; }

private:
    size_t takePreparations(const std::vector<Statement>&);
    void acquired(const AcquireResult&, Instant deadline);
    bool bringPreparedStatements(PooledConnection&, std::vector<Statement>& batch);
    void answered(const std::shared_ptr<PooledConnection>&, ExchangeResult);
    void answerNotRun(const std::string& reason);
    void answer(std::vector<EndpointAnswer>);
    void fail(LinkFailure, AnswerCode, const std::string& message);
    void giveBack(const std::shared_ptr<PooledConnection>&, bool inTransaction);

    std::shared_ptr<EndpointPool> pool;
    OrganisationId organisation;
    PreparedStatementIds& numbers;
    Timers& timers;
    LinkListener* listener;
    SessionValues values;
    std::map<std::string, PreparedStatement> preparedStatements; ///< by the names that the sender uses
    std::vector<Statement> statements; ///< of the batch under way, without preparations
    size_t preparations = 0; ///< statements of the batch that the link has carried out itself
    std::shared_ptr<PooledConnection> connection; ///< while a transaction is open
    uint64_t wait = 0; ///< number of the last wait in the pool
    bool waiting = false; ///< for a connection
    bool working = false;
};

} // namespace Lavendervane
