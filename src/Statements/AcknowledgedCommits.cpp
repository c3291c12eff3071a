#include "Statements/AcknowledgedCommits.h"

#include <algorithm>

namespace Lavendervane {

// Answers closer together than this are merged, so a bound may be older than necessary by this much.
static constexpr auto minAnswerSpacing = std::chrono::milliseconds(20);
// Answers are kept for this long. A commit that takes longer than that raises no lower bound.
static constexpr auto maxAnswerAge = std::chrono::seconds(2);

// Messages between VMs hold no longer times than a day, and longer ones make no difference.
static constexpr std::chrono::milliseconds maxReportedTime = std::chrono::hours(1);

void AcknowledgedCommits::recordAnswer(Instant received, const LogPosition& position)
{
    if (position.term < this->term)
        return;
    if (this->term < position.term)
        this->answers.clear();
    this->term = position.term;
    if (!this->answers.empty() && position.position <= this->answers.back().position)
        return;
    while (!this->answers.empty() && this->answers.front().received + maxAnswerAge < received)
        this->answers.pop_front();
    if (this->answers.size() >= 2 && received - this->answers[this->answers.size() - 2].received < minAnswerSpacing)
        this->answers.pop_back();
    this->answers.push_back({ received, position.position });
}

// The log ended at a position that was received before the commit was sent, so the commit stands behind it.
void AcknowledgedCommits::recordCommit(Instant sent, const std::optional<LogPosition>& end)
{
    if (!end) {
        this->hasGap = true;
        return;
    }
    this->atMost = std::max(this->atMost, *end);
    const auto later = std::upper_bound(this->answers.begin(), this->answers.end(), sent,
        [](Instant instant, const Answer& answer) { return instant < answer.received; });
    if (end->term == this->term && later != this->answers.begin())
        this->atLeast = std::max(this->atLeast, { this->term, std::prev(later)->position + 1 });
}

CommitEvidence AcknowledgedCommits::evidence(const FreshnessLog& freshness, Instant now) const
{
    const auto milliseconds = [now](Instant since) {
        const auto time = std::chrono::floor<std::chrono::milliseconds>(now - since);
        return static_cast<uint64_t>(std::min(time, maxReportedTime).count());
    };
    CommitEvidence evidence { this->atLeast, this->atMost, std::nullopt,
        this->hasGap ? 0 : milliseconds(this->observedSince) };
    if (const auto oldest = freshness.oldest())
        evidence.coverage = CommitCoverage { oldest->position, milliseconds(oldest->queryTime) + 1 };
    return evidence;
}

} // namespace Lavendervane
