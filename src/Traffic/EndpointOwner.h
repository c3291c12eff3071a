#pragma once

#include "Control/TrafficSnapshot.h"
#include "Queueing/FairQueue.h"
#include "Traffic/ConfirmationStream.h"
#include "Traffic/ConnectionPool.h"
#include "Traffic/EndpointTask.h"
#include "Traffic/TrafficMetrics.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace Lavendervane {

class EndpointTransaction;
class TrafficObserver;
struct TrafficSettings;

/// Receives the result of "/begin" and, if the outcome is `Done`, the open transaction; otherwise null.
using BeginCallback = std::function<void(EndpointResult, std::shared_ptr<EndpointTransaction>)>;

/// Queues requests for one endpoint on the VM that owns it and runs them over a limited number of connections
/// (docs/design.md, 5.7). Used on one thread.
class EndpointOwner : public std::enable_shared_from_this<EndpointOwner> {
public:
    EndpointOwner(
        boost::asio::io_context&, const TrafficSettings&, TrafficObserver&, TrafficMetrics&, const EndpointId&);
    ~EndpointOwner();

    EndpointOwner(const EndpointOwner&) = delete;
    EndpointOwner& operator=(const EndpointOwner&) = delete;

    /// Applies the endpoint's address, limits and group from a new snapshot.
    void update(const TrafficSnapshot&, const EndpointRouting&);

    /// Queues a task and invokes the callback once, possibly before this function returns.
    void submit(EndpointTask, EndpointCallback);

    /// Queues a "/begin" task and invokes the callback once, possibly before this function returns.
    void begin(EndpointTask, BeginCallback);

    /// Closes all connections and discards all tasks without invoking their callbacks.
    void stop();

private:
    friend class EndpointTransaction;
    struct Work {
        EndpointTask task;
        EndpointCallback callback;
        BeginCallback beginCallback; ///< set instead of `callback` if the task is a "/begin"
    };
    using ExchangeCallback = std::function<void(EndpointResult, bool closeConnection)>;

    void enqueue(Work);
    void startQueuedWork();
    void startWork(Work);
    void handleWorkEnd(const std::shared_ptr<Work>&, uint64_t exchange, EndpointResult, bool closeConnection);
    void runExchange(HttpConnection&, const EndpointTask&, ExchangeCallback);
    void confirm(const EndpointTask&, EndpointResult, const EndpointCallback&);
    void releaseConnection(std::unique_ptr<HttpConnection>, bool close);
    void finishWork(Work&, EndpointResult);
    void armExpiry();
    void expireQueuedWork();
    void updateGauges();

    boost::asio::io_context& context;
    const TrafficSettings& settings;
    TrafficObserver& observer;
    TrafficMetrics& metrics;
    EndpointGauges gauges;
    EndpointId name;
    Endpoint endpoint;
    ConnectionPool pool;
    FairQueue<Work> queue;
    std::shared_ptr<ConfirmationStream> confirmations;
    std::map<uint64_t, std::unique_ptr<HttpConnection>> busyConnections; ///< in use, keyed by exchange number
    boost::asio::steady_timer expiryTimer;
    std::string exchangePrefix;
    uint64_t lastExchangeNumber = 0;
    uint32_t openTransactions = 0;
    size_t connectionLimit = 1;
    bool expiryArmed = false;
    bool startingWork = false;
    bool stopped = false;
};

/// Open transaction and the endpoint connection that it is bound to. Used on the owner's thread.
class EndpointTransaction : public std::enable_shared_from_this<EndpointTransaction> {
public:
    EndpointTransaction(std::shared_ptr<EndpointOwner>, std::unique_ptr<HttpConnection>);
    ~EndpointTransaction();

    EndpointTransaction(const EndpointTransaction&) = delete;
    EndpointTransaction& operator=(const EndpointTransaction&) = delete;

    /// Runs "/statement", "/commit" or "/rollback". At most one exchange runs at a time. The transaction ends with a
    /// commit, a rollback or any failure.
    void exchange(EndpointTask, const EndpointCallback&);

    /// Closes the connection, which makes the endpoint roll the transaction back.
    void close();

private:
    void armIdleTimer();

    std::shared_ptr<EndpointOwner> owner;
    std::unique_ptr<HttpConnection> connection;
    boost::asio::steady_timer idleTimer;
};

} // namespace Lavendervane
