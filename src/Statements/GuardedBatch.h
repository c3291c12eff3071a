#pragma once

#include "Statements/Statement.h"
#include "Statements/StatementAnswer.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Lavendervane {

/// Who waits for the answer to the guard of a batch before the rest is sent.
enum class GuardPath {
    Direct, ///< this VM, which holds the connection to the endpoint
    Owner, ///< the VM that owns the connection
    Stepwise, ///< this VM, because the owner runs a version that does not guard batches
};

/// Name of the path in logs and metrics, such as "owner".
std::string_view toString(GuardPath);

/// Progress of a batch of statements whose first statements, the guard, must succeed before the rest is sent. The rest
/// is held back here or, if the link guards batches, by the VM at the other end of the link.
class GuardedBatch {
public:
    /// Starts a batch. Removes the statements from it that are held back here; the others are to be sent first.
    void start(std::vector<Statement>& batch, size_t guardCount, bool isGuardedByLink);

    /// True while the rest is held back here.
    bool holdsRest() const { return !this->rest.empty(); }

    /// Number of answers due to the statements that were sent last.
    size_t dueAnswerCount() const { return this->sentCount; }

    /// Takes the answers to the guard, which has succeeded, and returns the rest, to be sent now.
    std::vector<Statement> takeRest(std::vector<EndpointAnswer> guardAnswers);

    /// Takes the answers to the statements that were sent last and returns whether the rest was sent. If it was,
    /// `answers` are then those to the rest and `guardAnswers` those to the guard. Otherwise `answers` are those to the
    /// guard, of which the last is a refusal.
    bool finish(std::vector<EndpointAnswer>& answers, std::vector<EndpointAnswer>& guardAnswers);

private:
    size_t guardCount = 0; ///< 0 if all statements were sent at once
    size_t sentCount = 0;
    std::vector<Statement> rest;
    std::vector<EndpointAnswer> passedGuardAnswers; ///< set once the rest has been sent from here
};

/// Makes the answer to a statement that was not sent.
EndpointAnswer makeNotRunAnswer(const std::string& reason);

} // namespace Lavendervane
