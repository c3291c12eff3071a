#include "Groups/SafetyChecker.h"

#include <algorithm>
#include <functional>

namespace Lavendervane::Test {

void SafetyChecker::onFenced(const ModelEndpoint& endpoint, const Term& term)
{
    this->fencedPositions[term].try_emplace(endpoint.name, lastPosition(endpoint.log));
}

void SafetyChecker::onPromoted(const ModelEndpoint& endpoint, const Term& term, const Log& before)
{
    const auto [start, isFirst] = this->termStarts.try_emplace(term, TermStart { endpoint.name, before });
    if (!isFirst) {
        if (start->second.primary != endpoint.name)
            throw InvariantViolation("two members were promoted in one term");
        return;
    }
    size_t covered = 0;
    for (const auto& [name, position] : this->fencedPositions[term]) {
        if (position <= lastPosition(before))
            ++covered;
    }
    if (covered < this->majority())
        throw InvariantViolation("the promoted member does not hold the highest log of a fenced majority");
    // A delayed promotion in an old term may lack entries that newer terms confirmed. That is harmless, as it cannot
    // confirm any entry itself.
    const size_t required = this->confirmedBefore(term);
    const Log confirmed(this->confirmedLog.begin(), this->confirmedLog.begin() + static_cast<std::ptrdiff_t>(required));
    if (before.size() < required || !logsAgree(before, confirmed))
        throw InvariantViolation("a confirmed entry is missing from a later primary");
}

size_t SafetyChecker::confirmedBefore(const Term& term) const
{
    size_t length = 0;
    for (auto entry = this->confirmedLengths.begin(); entry != this->confirmedLengths.lower_bound(term); ++entry)
        length = std::max(length, entry->second);
    return length;
}

void SafetyChecker::onAcknowledged(
    const ModelEndpoint& primary, const Term& term, const EndpointId& holder, size_t size)
{
    auto& sizes = this->replicatedLengths[{ term, primary.name }];
    sizes[holder] = std::max(sizes[holder], size);
    std::vector<size_t> sorted;
    for (const auto& [name, length] : sizes)
        sorted.push_back(length);
    if (sorted.size() < this->majority())
        return;
    std::sort(sorted.begin(), sorted.end(), std::greater<>());
    const size_t length = std::min(sorted[this->majority() - 1], primary.log.size());
    if (length == 0 || primary.log[length - 1].term != term)
        return;
    if (this->confirmingPrimaries.try_emplace(term, primary.name).first->second != primary.name)
        throw InvariantViolation("two primaries confirmed writes in one term");
    const Log prefix(primary.log.begin(), primary.log.begin() + static_cast<std::ptrdiff_t>(length));
    if (!logsAgree(prefix, this->confirmedLog))
        throw InvariantViolation("a confirmed entry was replaced");
    this->confirmedLengths[term] = std::max(this->confirmedLengths[term], length);
    if (length > this->confirmedLog.size())
        this->confirmedLog = prefix;
    for (auto later = this->termStarts.upper_bound(term); later != this->termStarts.end(); ++later) {
        if (later->second.log.size() < length || !logsAgree(later->second.log, prefix))
            throw InvariantViolation("an entry was confirmed that a later primary does not have");
    }
}

} // namespace Lavendervane::Test
