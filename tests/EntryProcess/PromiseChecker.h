#pragma once

#include "GroupLog.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Lavendervane::EntryProcess {

/// What an execution of a prepared statement runs.
struct PreparedShape {
    bool writes = false;
    std::string text;

    friend bool operator==(const PreparedShape&, const PreparedShape&) = default;
};

using SessionValues = std::map<std::string, std::string>;

/// Statement of a caller as it was sent.
struct SentStatement {
    std::string id;
    std::string text; ///< without the name of a prepared statement
    std::string group;
    std::string organisation;
    uint64_t transaction = 0; ///< number of the caller's transaction; 0 outside one
    std::optional<PreparedShape> shape; ///< of an execution
    SessionValues values; ///< session values that were acknowledged to the caller
    uint64_t requiredPosition = 0; ///< position that a read must see
    std::string database; ///< with which the session was opened
};

/// Statement that an endpoint has run.
struct EndpointRun {
    std::string id;
    std::string text; ///< as in SentStatement
    std::string endpoint;
    std::string group;
    std::string organisation;
    uint64_t transaction = 0; ///< number of the endpoint's transaction; 0 outside one
    std::optional<PreparedShape> shape;
    SessionValues values;
    uint64_t position = 0; ///< position that the endpoint had applied
};

/// Returns the start of a text in quotes, with the bytes that are not printable in hexadecimal.
std::string printable(const std::string& text);

/// Which commits a read must see.
enum class RouteType { Primary, BoundedStaleness, OwnWrites };

/// Compares what callers and endpoints have seen and counts violations by name.
class PromiseChecker {
public:
    struct Violation {
        uint64_t count = 0;
        std::string example; ///< the first one
    };

    // Reports of callers

    /// Returns the position that a read sent now must see. `ownPosition` is the last commit acknowledged to the
    /// session.
    uint64_t requiredPosition(
        const std::string& group, RouteType, Clock::duration maxStaleness, uint64_t ownPosition) const;

    void handleSent(const SentStatement&);
    /// Returns the position of the commit that the success acknowledges; 0 if there is none.
    uint64_t handleSuccess(const std::string& id, const std::string& mac, const std::vector<std::string>& rows);
    void handleError(const std::string& id, const std::string& code);
    /// The connection was closed before the answer was complete.
    void handleClosed(const std::string& id);
    void handleUnanswered(const std::string& id);
    /// The caller has closed its connection before the answer was complete.
    void handleAbandoned() { ++this->figures["abandoned"]; }

    // Reports of endpoints

    void handleRun(const EndpointRun&);
    void handleAnswer(const std::string& id, const std::string& mac, const std::vector<std::string>& rows);
    /// `id` is that of the commit or of a single write. `writes` are the identifiers of all writes that take effect.
    void handleCommit(
        const std::string& id, uint64_t endpointTransaction, uint64_t position, const std::vector<std::string>& writes);

    void addViolation(const std::string& name, const std::string& example);
    void addFigure(const std::string& name) { ++this->figures[name]; }

    /// Judges what can be judged only after the end of all statements.
    void finish();

    const std::map<std::string, Violation>& violations() const { return this->found; }

    /// Share of the statements that succeeded, without those that their callers abandoned.
    double successShare() const;

    /// Returns one line with all counts.
    std::string summary() const;
    /// Returns one line for each kind of violation, with its example.
    std::string examples() const;

private:
    using Answer = std::pair<std::string, std::vector<std::string>>; ///< MAC and rows

    struct Statement {
        SentStatement sent;
        std::vector<Answer> answers; ///< of endpoints
        uint64_t commits = 0;
        uint64_t position = 0; ///< of the last commit
        std::string refusal; ///< code with which the caller was promised that nothing is kept
        bool succeeded = false; ///< the caller has received a success
    };

    /// Whose statements a transaction of an endpoint holds.
    struct TransactionOwner {
        uint64_t transaction = 0; ///< of a caller; 0 for a single statement
        std::string statement; ///< identifier of the single statement

        friend bool operator==(const TransactionOwner&, const TransactionOwner&) = default;
    };

    struct Acknowledgement {
        Clock::time_point time;
        uint64_t position = 0; ///< newest acknowledged position until then
    };

    void checkTransaction(const EndpointRun&, const Statement&);
    uint64_t figure(const std::string& name) const;

    std::map<std::string, Statement> statements;
    std::map<uint64_t, std::vector<std::string>> transactionStatements; ///< by transaction of callers
    std::map<uint64_t, TransactionOwner> transactions; ///< by transaction of endpoints
    std::map<std::string, std::vector<Acknowledgement>> acknowledgements; ///< by group
    std::map<std::string, Violation> found;
    std::map<std::string, uint64_t> figures;
};

} // namespace Lavendervane::EntryProcess
