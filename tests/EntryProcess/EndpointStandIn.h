#pragma once

#include "FaultShares.h"
#include "GroupLog.h"
#include "PromiseChecker.h"
#include "SeededRandom.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace Lavendervane::EntryProcess {

class EndpointSession;

struct EndpointSettings {
    std::string id;
    std::string group;
    bool isPrimary = false;
    uint32_t slots = 2;
    uint32_t maxConnections = 40;
    std::chrono::milliseconds lag {}; ///< time after which a replica applies a commit
    FaultShares faults;
};

/// Endpoint that follows the wire protocol and reports all that it runs to the checker.
class EndpointStandIn {
public:
    EndpointStandIn(boost::asio::io_context&, const std::string& ip, const EndpointSettings&, GroupLog&,
        PromiseChecker&, SeededRandom);
    ~EndpointStandIn();

    EndpointStandIn(const EndpointStandIn&) = delete;
    EndpointStandIn& operator=(const EndpointStandIn&) = delete;

    std::string address() const;

    /// Returns the position of the newest commit that is applied here.
    uint64_t position() const;

    bool isPrimary() const { return this->leads; }

    /// Newest term known to the endpoint.
    uint64_t term() const { return this->newestTerm; }

    /// Term with which the receipt of commits is paused; 0 if it is not paused.
    uint64_t heldTerm() const { return this->pauseTerm; }

    /// Stops a replica from receiving commits until `resume`. Ignored unless the term is newer than all known ones.
    void pause(uint64_t term);
    void resume() { this->pauseTerm = 0; }

    /// Makes a primary of a lower term a replica.
    void stepDown(uint64_t term);

    /// Calls `done` after the given work in a slot. Returns false if too many are waiting.
    bool occupySlot(std::chrono::microseconds work, std::function<void()> done);

    uint64_t nextTransaction() { return ++lastTransaction; }
    std::string makeMac();
    void remove(const std::shared_ptr<EndpointSession>&);

    const EndpointSettings settings;
    GroupLog& log;
    PromiseChecker& checker;
    SeededRandom random;
    boost::asio::io_context& context;

    uint32_t busySlots() const { return this->busy; }
    size_t connectionCount() const { return this->sessions.size(); }

private:
    struct Work {
        std::chrono::microseconds duration;
        std::function<void()> done;
    };

    void accept();
    void startWork();

    // Shared by all endpoints, so that a number names one transaction.
    static inline uint64_t lastTransaction = 0;
    static inline uint64_t lastMac = 0;

    bool leads;
    uint64_t newestTerm = 1;
    uint64_t pauseTerm = 0;
    uint64_t pausePosition = 0; ///< end of the log while its receipt is paused
    boost::asio::ip::tcp::acceptor acceptor;
    std::set<std::shared_ptr<EndpointSession>> sessions;
    std::deque<Work> waiting;
    uint32_t busy = 0;
};

} // namespace Lavendervane::EntryProcess
