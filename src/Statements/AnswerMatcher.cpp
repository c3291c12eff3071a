#include "Statements/AnswerMatcher.h"

#include <algorithm>
#include <functional>

namespace Lavendervane {

// Number of signed answers that are remembered. A connection carries no more than these, because a repetition of one
// that was forgotten could not be recognised.
static constexpr size_t maxSignedAnswers = 4096;

static uint64_t digest(const std::string& text) { return std::hash<std::string> {}(text); }

// True if a success of the statement carries the endpoint's signature.
static bool needsSignature(StatementKind kind)
{
    return kind == StatementKind::Read || kind == StatementKind::Write || kind == StatementKind::Execute
        || kind == StatementKind::Commit;
}

static TransactionState stateAfterSuccess(StatementKind kind, TransactionState before)
{
    switch (kind) {
    case StatementKind::Begin:
    case StatementKind::BeginReadOnly:
        return TransactionState::Open;
    case StatementKind::Commit:
    case StatementKind::Rollback:
        return TransactionState::Idle;
    default:
        return before;
    }
}

void AnswerMatcher::expect(const std::vector<Statement>& statements)
{
    for (const Statement& statement : statements)
        this->expected.push_back({ statement.kind, digest(statement.id), statement.needsUniqueAnswer,
            statement.requiredPosition.has_value() });
}

AnswerMatcher::Verdict AnswerMatcher::match(const EndpointAnswer& answer)
{
    if (!answer.signature.empty()) {
        const auto earlier = std::find_if(this->signedAnswers.begin(), this->signedAnswers.end(),
            [signature = digest(answer.signature)](const SignedAnswer& known) { return known.signature == signature; });
        if (earlier != this->signedAnswers.end())
            return this->matchKnownSignature(*earlier, answer);
    }
    if (this->expected.empty())
        return this->ignoreIfRepeated(answer, "the endpoint answered without a question");
    return answer.code == AnswerCode::Done ? this->matchSuccess(answer) : this->matchError(answer);
}

AnswerMatcher::Verdict AnswerMatcher::matchKnownSignature(const SignedAnswer& earlier, const EndpointAnswer& answer)
{
    // Rows of the answer that is due may have come before the repetition.
    if (earlier.result != digest(answer.result))
        return this->contradict("the endpoint sent the signature of an earlier answer with other rows");
    // A caller that uses an identifier twice may get equal answers.
    if (!this->expected.empty() && this->expected.front().statementId == earlier.statementId)
        return this->contradict("the endpoint answered two statements of one identifier alike");
    return Verdict::Repetition;
}

AnswerMatcher::Verdict AnswerMatcher::matchSuccess(const EndpointAnswer& answer)
{
    const ExpectedAnswer& due = this->expected.front();
    if (needsSignature(due.kind) && answer.signature.empty())
        return this->ignoreIfRepeated(answer, "the endpoint reported a success without its signature");
    if (answer.state != stateAfterSuccess(due.kind, this->state))
        return this->ignoreIfRepeated(answer, "the endpoint reported a success with the state of another transaction");
    if (due.needsUniqueAnswer && this->conduct->repeatsAnswers && this->mayRepeatUnsigned(answer))
        return this->contradict("the answer to a begin may repeat an earlier one");
    this->remember(answer, due.statementId);
    // A status has no signature, so that an old one cannot be told from a new one.
    if (returnsStatus(due.kind) || this->signedAnswers.size() >= maxSignedAnswers)
        this->acceptsMore = false;
    this->state = answer.state;
    this->expected.pop_front();
    return Verdict::Matches;
}

// The first error of its kind cannot repeat an earlier one. A second one can, and must not say of a statement which
// runs that it has not run.
AnswerMatcher::Verdict AnswerMatcher::matchError(const EndpointAnswer& answer)
{
    if (answer.code == AnswerCode::Lagging)
        return this->matchLagging(answer);
    const uint64_t error = digest(std::string(toString(answer.code)) + " " + answer.message);
    if (std::find(this->errors.begin(), this->errors.end(), error) != this->errors.end())
        return this->contradict("the endpoint sent an error again that it had sent before");
    this->errors.push_back(error);
    this->acceptsMore = false;
    this->state = answer.state;
    this->expected.pop_front();
    return Verdict::Matches;
}

// Replicas lag often, so that their connections stay in use while their positions show that the answers are new. If one
// that may be a repetition is believed, a read is tried elsewhere, and its own answer meets a closed connection.
AnswerMatcher::Verdict AnswerMatcher::matchLagging(const EndpointAnswer& answer)
{
    if (!this->expected.front().hasRequiredPosition)
        return this->contradict("the endpoint reported a missing position that no statement requires");
    if (this->newestLagging && answer.position && *answer.position < *this->newestLagging)
        return Verdict::Repetition;
    if (!answer.position || answer.position == this->newestLagging)
        this->acceptsMore = false;
    this->newestLagging = answer.position;
    this->state = answer.state;
    this->expected.pop_front();
    return Verdict::Matches;
}

// An unsigned success that belongs to no statement under way is harmless if it equals an earlier one: it repeats that
// one, or belongs to a later statement for which that one was taken. If it had rows of another answer before it, it
// would not be equal.
AnswerMatcher::Verdict AnswerMatcher::ignoreIfRepeated(const EndpointAnswer& answer, const char* why)
{
    const bool isRepeated
        = answer.code == AnswerCode::Done && answer.signature.empty() && this->findUnsigned(answer) != nullptr;
    return isRepeated ? Verdict::Repetition : this->contradict(why);
}

AnswerMatcher::UnsignedAnswer* AnswerMatcher::findUnsigned(const EndpointAnswer& answer)
{
    const auto found = std::find_if(this->unsignedAnswers.begin(), this->unsignedAnswers.end(),
        [&answer, result = digest(answer.result)](
            const UnsignedAnswer& known) { return known.result == result && known.state == answer.state; });
    return found == this->unsignedAnswers.end() ? nullptr : &*found;
}

// A position beyond those of all earlier answers shows that the answer is new.
bool AnswerMatcher::mayRepeatUnsigned(const EndpointAnswer& answer)
{
    const UnsignedAnswer* known = answer.signature.empty() ? this->findUnsigned(answer) : nullptr;
    return known && !(answer.position && known->position && *known->position < *answer.position);
}

void AnswerMatcher::remember(const EndpointAnswer& answer, uint64_t statementId)
{
    if (!answer.signature.empty()) {
        this->signedAnswers.push_back({ digest(answer.signature), digest(answer.result), statementId });
        return;
    }
    UnsignedAnswer* known = this->findUnsigned(answer);
    if (!known)
        this->unsignedAnswers.push_back({ digest(answer.result), answer.state, answer.position });
    else if (!known->position || (answer.position && *known->position < *answer.position))
        known->position = answer.position;
}

AnswerMatcher::Verdict AnswerMatcher::contradict(const char* why)
{
    this->reason = why;
    return Verdict::Contradiction;
}

} // namespace Lavendervane
