#include "Statements/GuardedBatch.h"

#include <iterator>
#include <utility>

namespace Lavendervane {

std::string_view toString(GuardPath path)
{
    switch (path) {
    case GuardPath::Direct:
        return "direct";
    case GuardPath::Owner:
        return "owner";
    case GuardPath::Stepwise:
        return "stepwise";
    }
    return "";
}

void GuardedBatch::start(std::vector<Statement>& batch, size_t guardSize, bool isGuardedByLink)
{
    // Without a rest there is nothing to guard.
    this->guardCount = guardSize < batch.size() ? guardSize : 0;
    this->rest.clear();
    this->passedGuardAnswers.clear();
    if (this->guardCount && !isGuardedByLink) {
        const auto restStart = batch.begin() + static_cast<std::ptrdiff_t>(this->guardCount);
        this->rest.assign(std::make_move_iterator(restStart), std::make_move_iterator(batch.end()));
        batch.erase(restStart, batch.end());
    }
    this->sentCount = batch.size();
}

std::vector<Statement> GuardedBatch::takeRest(std::vector<EndpointAnswer> answers)
{
    this->passedGuardAnswers = std::move(answers);
    this->sentCount = this->rest.size();
    return std::exchange(this->rest, {});
}

bool GuardedBatch::finish(std::vector<EndpointAnswer>& answers, std::vector<EndpointAnswer>& guardAnswers)
{
    if (!this->guardCount)
        return true;
    if (this->holdsRest()) {
        this->rest.clear();
        return false;
    }
    if (!this->passedGuardAnswers.empty()) {
        guardAnswers = std::exchange(this->passedGuardAnswers, {});
        return true;
    }
    if (answers[this->guardCount - 1].code != AnswerCode::Done) {
        answers.resize(this->guardCount);
        return false;
    }
    const auto restStart = answers.begin() + static_cast<std::ptrdiff_t>(this->guardCount);
    guardAnswers.assign(std::make_move_iterator(answers.begin()), std::make_move_iterator(restStart));
    answers.erase(answers.begin(), restStart);
    return true;
}

EndpointAnswer makeNotRunAnswer(const std::string& reason)
{
    EndpointAnswer notRun;
    notRun.code = AnswerCode::Busy;
    notRun.message = reason;
    return notRun;
}

} // namespace Lavendervane
