#pragma once

#include "Core/Instant.h"
#include "Core/LogPosition.h"
#include "Http/HttpConnection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Lavendervane {

/// Determines which log positions a majority of a group holds, with one long poll per replica (docs/design.md, 5.1).
/// The owner of the primary waits on it. Used on one thread.
class ConfirmationStream : public std::enable_shared_from_this<ConfirmationStream> {
public:
    using Callback = std::function<void(bool confirmed)>;

    explicit ConfirmationStream(boost::asio::io_context&);

    /// Sets the addresses of all group members except the primary.
    void setReplicas(const std::vector<std::string>& addresses);

    /// Invokes the callback with true once a majority holds the position in this term, or with false at the deadline or
    /// when a higher term is observed. May invoke the callback before this function returns.
    void wait(const Term&, uint64_t position, Instant deadline, Callback);

    /// Adopts the term if it is higher than the current one and fails the waits for lower terms.
    void observeTerm(const Term&);

    /// Cancels the polls and discards the waits without invoking their callbacks.
    void stop();

private:
    struct Replica {
        explicit Replica(std::string address, boost::asio::io_context& context)
            : address(std::move(address))
            , pauseTimer(context)
        {
        }

        std::string address;
        std::unique_ptr<HttpConnection> connection;
        boost::asio::steady_timer pauseTimer;
        Term term;
        uint64_t position = 0;
        Term polledTerm;
        Instant polledAt {};
        Instant pausedUntil {};
        bool polling = false;
        bool removed = false;
    };
    struct Waiter {
        Instant deadline;
        Callback callback;
    };

    bool isActive() const;
    uint64_t confirmedPosition() const;
    void notifyConfirmed();
    void failAllWaiters();
    void pollAll();
    void poll(const std::shared_ptr<Replica>&);
    void handlePollEnd(const std::shared_ptr<Replica>&, const HttpExchange&, const std::string& exchangeId);
    void armSweepTimer();

    boost::asio::io_context& context;
    boost::asio::steady_timer sweepTimer;
    std::vector<std::shared_ptr<Replica>> replicas;
    std::multimap<uint64_t, Waiter> waiters; ///< keyed by required position in the current term
    Term term;
    Instant lastWait {};
    uint64_t lastExchangeNumber = 0;
    bool sweepArmed = false;
    bool stopped = false;
};

} // namespace Lavendervane
