#pragma once

#include "Core/Instant.h"

#include <memory>
#include <string>
#include <string_view>

namespace prometheus {
class Registry;
} // namespace prometheus

namespace Lavendervane {

/// Prometheus metrics of a VM that serves sessions. All functions are thread-safe.
class SessionMetrics {
public:
    explicit SessionMetrics(prometheus::Registry&);
    ~SessionMetrics();

    SessionMetrics(const SessionMetrics&) = delete;
    SessionMetrics& operator=(const SessionMetrics&) = delete;

    void statementDone(bool atReplica, Duration duration);

    /// Counts a failed statement. `code` is the text of its AnswerCode, for example "read_only".
    void statementFailed(std::string_view code, Duration duration);

    /// Counts an endpoint that became reachable or unreachable. `change` is "reachable" or "unreachable".
    void endpointChanged(std::string_view change);

    /// Counts an open connection to an endpoint that has failed.
    void connectionBroke(bool statementPending);

    /// Counts an answer that an endpoint sent again and that was ignored.
    void repeatedAnswerIgnored();

    /// Counts a message of a caller that was refused because it is not part of the protocol.
    void messageRefused();

    /// Counts an attempt to open a connection before a statement needs it.
    void connectionOpenedAhead(bool opened);

    /// Counts a transaction that waits because its organisation holds too many connections in transactions of idle
    /// callers.
    void transactionDelayed();

    /// Counts a link through an owner VM that was used without waiting for its confirmation.
    void linkOpenedEarly();

    /// Counts a batch that an owner VM has not run and that was passed on to the next one.
    void batchRepeated();

    /// Counts a statement that was passed on to an endpoint that is leaving.
    void sentToDraining();

    /// Counts a batch whose statements after the begin were to be sent only after the begin had succeeded. `path` is
    /// "direct", "owner" or "stepwise".
    void guardedBatchEnded(std::string_view path, bool isRestWithheld);

    void setSessions(size_t);
    void setConfigurationVersion(uint64_t);

    /// Sets the fraction of every rate limit that this VM holds, between 0 and 1.
    void setLimitShare(double);

    void setStoreAvailable(bool);

    /// Sets the generation of the store's content, which rises when the store is restored from an older copy.
    void setStoreGeneration(uint64_t);

    /// Sets the number of data centres that are evacuated.
    void setEvacuatedDataCentres(size_t);

    /// Sets the number of groups that evacuations have left without an endpoint.
    void setGroupsWithoutEndpoint(size_t);

    /// Counts an open transaction that was rolled back, because the data centre of its endpoint is evacuated.
    void transactionEvacuated();

    /// Counts a table whose changes were asked for anew, because its feed may have gone silent. `reason` is
    /// "unconfirmed" or "behind".
    void feedRechecked(std::string_view reason);

    /// Counts an order to promote an endpoint. `result` is the outcome of the order.
    void promotionOrdered(std::string_view result);

    /// Sets the number of groups that have no primary until replicas answer that may hold acknowledged commits.
    void setBlockedPromotions(size_t groups);

private:
    struct Families;
    std::unique_ptr<Families> families;
};

} // namespace Lavendervane
