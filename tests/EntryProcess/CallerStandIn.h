#pragma once

#include "FaultShares.h"
#include "PromiseChecker.h"
#include "SeededRandom.h"
#include "WireChannel.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Lavendervane::EntryProcess {

/// Route and organisation with which a caller may open a session.
struct CallerAccess {
    std::string database;
    std::string group;
    RouteType type = RouteType::Primary;
    std::chrono::milliseconds maxStaleness {};
    std::string key;
    std::string organisation; ///< as endpoints are told it
};

struct CallerSettings {
    std::vector<boost::asio::ip::tcp::endpoint> vms;
    std::vector<CallerAccess> accesses;
    double abandonedStatements = 0.01; ///< share of the statements after which the caller closes its connection
    std::chrono::milliseconds longestPause {}; ///< between operations
    FaultShares faults;
};

/// Caller that opens sessions and runs statements and transactions, one statement at a time. It retries nothing.
class CallerStandIn : public WireChannel::Listener {
public:
    CallerStandIn(boost::asio::io_context&, const CallerSettings&, PromiseChecker&, SeededRandom);
    ~CallerStandIn() override;

    CallerStandIn(const CallerStandIn&) = delete;
    CallerStandIn& operator=(const CallerStandIn&) = delete;

    void start();

    /// Ends the session after the operation that is under way.
    void stop() { this->isStopping = true; }
    bool isIdle() const { return !this->channel; }

    void handleMessage(std::string message) override;
    void handleEnd() override;

private:
    enum class Kind { Read, Write, Execute, SetValue, Prepare, Deallocate, Begin, BeginReadOnly, Commit, Rollback };

    struct Answer {
        std::vector<std::string> rows;
        std::string mac;
        std::string code; ///< empty for success
        bool hasResult = false;
    };

    void openSession();
    void handleConnectReply(const std::string& message);
    void startOperation();
    void planTransaction();
    void sendNext();
    void send(Kind, const std::string& text);
    std::string makeText(Kind);
    std::string makeExecution();
    std::string makeData();
    void finishStatement(char state);
    void applySuccess(uint64_t position);
    void closeSession();
    void abandon();
    /// Calls `action` after the duration, unless the session is closed before or another wait begins.
    void wait(std::chrono::microseconds, std::function<void()> action);
    void cancelWait();

    boost::asio::io_context& context;
    const CallerSettings& settings;
    PromiseChecker& checker;
    SeededRandom random;
    boost::asio::steady_timer timer; ///< of pauses and time limits
    uint64_t waitNumber = 0; ///< of the wait that is under way
    bool isStopping = false;

    std::shared_ptr<WireChannel> channel; ///< null while there is no session
    const CallerAccess* access = nullptr;
    bool isOpen = false;
    char state = 'I';
    uint64_t remainingOperations = 0;
    uint64_t ownPosition = 0; ///< of the last commit that was acknowledged to the session
    SessionValues values;
    std::map<std::string, PreparedShape> prepared;

    std::deque<Kind> plan; ///< the rest of the operation
    uint64_t transaction = 0; ///< number of the open transaction; 0 outside one
    uint64_t transactionPosition = 0; ///< position that reads of the transaction must see

    bool isWaitingForAnswer = false;
    Kind kind = Kind::Read;
    SentStatement statement; ///< the last one sent
    std::string name; ///< that the statement sets, prepares or deallocates
    std::string value; ///< that the statement sets
    Answer answer;
};

} // namespace Lavendervane::EntryProcess
