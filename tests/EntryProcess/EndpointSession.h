#pragma once

#include "EndpointStandIn.h"
#include "WireChannel.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Lavendervane::EntryProcess {

/// Connection to an endpoint. Runs one statement at a time, in the order of arrival.
class EndpointSession : public WireChannel::Listener, public std::enable_shared_from_this<EndpointSession> {
public:
    EndpointSession(EndpointStandIn&, boost::asio::ip::tcp::socket);

    void start() { this->channel->start(); }
    void close();

    void handleMessage(std::string message) override;
    void handleEnd() override;

private:
    struct Statement {
        std::string id;
        std::string verb;
        std::string rest; ///< after the verb
        std::string comparedText; ///< as in EndpointRun
        std::optional<PreparedShape> shape; ///< of an execution
        uint64_t position = 0; ///< position applied here when the statement arrived
    };

    void handleConnect(std::string_view message);
    void refuseConnection(const std::string& codeAndText);
    void runNext();
    void run(const std::string& id, std::string_view text);
    /// Runs a statement that the endpoint's slots are not needed for. Returns false if it is another one.
    bool runWithoutSlot(const std::string& verb, std::string_view rest);
    /// Runs a command of the proxy itself and returns the endpoint's status.
    void runCommand(const std::string& verb, std::string_view rest);
    void begin(std::string_view rest);
    /// Runs a read, write, execution or commit.
    void runInSlot(Statement);
    void finishRun(const Statement&);
    void commit(const Statement&, uint64_t transaction);
    std::vector<std::string> makeRows();

    void fail(const std::string& codeAndText);
    void complete() { this->answer("COMPLETE -\r\n"); }
    /// Sends an answer, with READY added, and runs the next statement.
    void answer(const std::string& body);
    /// Sends bytes, and a second time if the fault is due.
    void send(const std::string& bytes);
    std::string readyMessage() const;
    std::string statusRow() const;

    EndpointStandIn& endpoint;
    std::shared_ptr<WireChannel> channel;
    std::deque<std::string> messages;
    std::string organisation;
    bool isClosed = false;
    bool isOpen = false;
    bool isRunning = false;
    char state = 'I';
    bool isReadOnly = false;
    uint64_t transaction = 0;
    std::vector<std::string> writes; ///< identifiers of the writes of the open transaction
    SessionValues values;
    std::map<std::string, PreparedShape> prepared;
};

} // namespace Lavendervane::EntryProcess
