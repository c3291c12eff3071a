#pragma once

#include "Statements/Statement.h"
#include "Statements/StatementAnswer.h"

#include <memory>
#include <string>

namespace Lavendervane {

/// One connection of a caller, as the session sees it.
class CallerLink {
public:
    virtual ~CallerLink() = default;

    /// Confirms the opening of the session.
    virtual void accept() = 0;

    /// Refuses the opening and closes the connection.
    virtual void refuse(AnswerCode, const std::string& message) = 0;

    /// Answers the statement that is outstanding.
    virtual void answer(const CallerAnswer&) = 0;

    /// Closes the connection after what has been written.
    virtual void close() = 0;
};

/// Receives what a caller sends. At most one statement is outstanding.
class CallerHandler {
public:
    virtual ~CallerHandler() = default;

    /// First message of the caller. `key` is empty if it gave none.
    virtual void openSession(const std::string& database, const std::string& key) = 0;

    virtual void handleStatement(Statement) = 0;

    /// The caller left; no answer is wanted any more.
    virtual void handleDisconnect() = 0;
};

/// Makes the handler of a new connection. The link outlives the handler's last use of it, which is `closed`.
class CallerHandlerFactory {
public:
    virtual ~CallerHandlerFactory() = default;
    virtual std::shared_ptr<CallerHandler> makeHandler(CallerLink&) = 0;
};

} // namespace Lavendervane
