#pragma once

#include "Statements/Statement.h"
#include "Statements/StatementAnswer.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Lavendervane {

/// What has been seen of an endpoint on all connections of this VM.
struct EndpointConduct {
    bool repeatsAnswers = false;
};

/// Tells the answers to the statements sent on one connection from repetitions of earlier answers. Answers carry no
/// identifier, and an endpoint may send an answer twice, the second time at any later moment.
class AnswerMatcher {
public:
    enum class Verdict {
        Matches, ///< the answer belongs to the statement that is next to be answered
        Repetition, ///< copy of an earlier answer, to be ignored
        Contradiction, ///< the answers can no longer be attributed to statements; the connection must be closed
    };

    explicit AnswerMatcher(std::shared_ptr<EndpointConduct> conduct = std::make_shared<EndpointConduct>())
        : conduct(std::move(conduct))
    {
    }

    /// Records statements that are sent now.
    void expect(const std::vector<Statement>&);

    Verdict match(const EndpointAnswer&);

    /// Records that the endpoint has sent an answer again.
    void recordRepetition() { this->conduct->repeatsAnswers = true; }

    /// Number of statements that have not been answered.
    size_t unanswered() const { return this->expected.size(); }

    /// Returns why the last answer was a contradiction.
    const std::string& contradiction() const { return this->reason; }

    /// False once a repetition of an answer could be taken for the answer to a further statement: after an error
    /// without a position, after a status, and when as many signed answers have been received as are remembered.
    bool mayCarryMore() const { return this->acceptsMore; }

private:
    struct ExpectedAnswer {
        StatementKind kind = StatementKind::Malformed;
        uint64_t statementId = 0; ///< digest; shows that a caller uses an identifier twice
        bool needsUniqueAnswer = false;
        bool hasRequiredPosition = false;
    };

    /// Digests of an answer that the endpoint has signed.
    struct SignedAnswer {
        uint64_t signature = 0;
        uint64_t result = 0;
        uint64_t statementId = 0;
    };

    /// An answer without a signature. Many are equal.
    struct UnsignedAnswer {
        uint64_t result = 0; ///< digest
        TransactionState state = TransactionState::Idle;
        std::optional<LogPosition> position; ///< newest position of those that are equal
    };

    UnsignedAnswer* findUnsigned(const EndpointAnswer&);
    bool mayRepeatUnsigned(const EndpointAnswer&);
    void remember(const EndpointAnswer&, uint64_t statementId);
    Verdict contradict(const char* why);
    Verdict matchLagging(const EndpointAnswer&);
    Verdict ignoreIfRepeated(const EndpointAnswer&, const char* why);
    Verdict matchKnownSignature(const SignedAnswer& earlier, const EndpointAnswer&);
    Verdict matchError(const EndpointAnswer&);
    Verdict matchSuccess(const EndpointAnswer&);

    std::shared_ptr<EndpointConduct> conduct;
    std::deque<ExpectedAnswer> expected; ///< in the order in which the statements were sent
    std::vector<SignedAnswer> signedAnswers;
    std::vector<UnsignedAnswer> unsignedAnswers; ///< one for each result and state
    std::vector<uint64_t> errors; ///< digests of the errors received, except Lagging
    std::optional<LogPosition> newestLagging; ///< newest position in an answer with the error Lagging
    TransactionState state = TransactionState::Idle; ///< after the last answer
    bool acceptsMore = true;
    std::string reason;
};

} // namespace Lavendervane
