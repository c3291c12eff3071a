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

/// Called with the result of "/begin" and, if it is done, the transaction.
using BeginCallback = std::function<void(EndpointResult, std::shared_ptr<EndpointTransaction>)>;

/// Connections, slots and queue of one endpoint on the VM that owns it (docs/design.md, 5.7). Used on one thread.
class EndpointOwner : public std::enable_shared_from_this<EndpointOwner> {
public:
    EndpointOwner(
        boost::asio::io_context&, const TrafficSettings&, TrafficObserver&, TrafficMetrics&, const EndpointId&);
    ~EndpointOwner();

    EndpointOwner(const EndpointOwner&) = delete;
    EndpointOwner& operator=(const EndpointOwner&) = delete;

    void update(const TrafficSnapshot&, const EndpointRouting&);

    /// Queues a task and calls back once, possibly from within this call.
    void submit(EndpointTask, EndpointCallback);

    /// Queues a "/begin" task.
    void begin(EndpointTask, BeginCallback);

    /// Closes all connections; tasks are dropped.
    void stop();

private:
    friend class EndpointTransaction;
    struct Work {
        EndpointTask task;
        EndpointCallback callback;
        BeginCallback beginCallback; ///< set instead of `callback` for "/begin"
    };
    using ExchangeCallback = std::function<void(EndpointResult, bool closeConnection)>;

    void enqueue(Work);
    void startNext();
    void startWork(Work);
    void handleWorkEnd(const std::shared_ptr<Work>&, uint64_t exchange, EndpointResult, bool closeConnection);
    void runExchange(HttpConnection&, const EndpointTask&, ExchangeCallback);
    void confirm(const EndpointTask&, EndpointResult, const EndpointCallback&);
    void releaseConnection(std::unique_ptr<HttpConnection>, bool close);
    void finishWork(Work&, EndpointResult);
    void armExpiry();
    void expire();
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
    std::map<uint64_t, std::unique_ptr<HttpConnection>> busyConnections; ///< by exchange number
    boost::asio::steady_timer expiryTimer;
    std::string exchangePrefix;
    uint64_t lastExchangeNumber = 0;
    uint32_t openTransactions = 0;
    size_t connectionLimit = 1;
    bool expiryArmed = false;
    bool starting = false;
    bool stopped = false;
};

/// An open transaction and the connection that it is bound to. Used on the owner's thread.
class EndpointTransaction : public std::enable_shared_from_this<EndpointTransaction> {
public:
    EndpointTransaction(std::shared_ptr<EndpointOwner>, std::unique_ptr<HttpConnection>);
    ~EndpointTransaction();

    EndpointTransaction(const EndpointTransaction&) = delete;
    EndpointTransaction& operator=(const EndpointTransaction&) = delete;

    /// Runs "/statement", "/commit" or "/rollback"; one at a time. The transaction ends with the last two, and with any
    /// failure.
    void exchange(EndpointTask, const EndpointCallback&);

    /// Closes the connection, so that the endpoint rolls back.
    void close();

private:
    void armIdleTimer();

    std::shared_ptr<EndpointOwner> owner;
    std::unique_ptr<HttpConnection> connection;
    boost::asio::steady_timer idleTimer;
};

} // namespace Lavendervane
