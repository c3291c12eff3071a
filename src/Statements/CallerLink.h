#pragma once

#include "Statements/Statement.h"
#include "Statements/StatementAnswer.h"

#include <memory>
#include <string>

namespace Lavendervane {

/// Session-side interface to one caller connection.
class CallerLink {
public:
    virtual ~CallerLink() = default;

    /// Tells the caller that the session is open.
    virtual void accept() = 0;

    /// Rejects the request to open a session and closes the connection.
    virtual void refuse(AnswerCode, const std::string& message) = 0;

    /// Sends the answer to the pending statement.
    virtual void answer(const CallerAnswer&) = 0;

    /// Closes the connection once all pending output has been written.
    virtual void close() = 0;
};

/// Receives the messages of one caller. At most one statement is pending at a time.
class CallerHandler {
public:
    virtual ~CallerHandler() = default;

    /// Called for the caller's first message. `key` is empty if the caller sent none.
    virtual void openSession(const std::string& database, const std::string& key) = 0;

    virtual void handleStatement(Statement) = 0;

    /// Called when a message of the caller is not part of the protocol, before the connection is closed.
    virtual void handleRefusedMessage(const std::string& reason) = 0;

    /// Called when the caller has disconnected. No answer may be sent to the link after this call.
    virtual void handleDisconnect() = 0;
};

/// Creates the handler of a new caller connection. The link must stay valid until `handleDisconnect` is called.
class CallerHandlerFactory {
public:
    virtual ~CallerHandlerFactory() = default;
    virtual std::shared_ptr<CallerHandler> makeHandler(CallerLink&) = 0;
};

} // namespace Lavendervane
