#include "Groups/ModelEndpoint.h"

#include <algorithm>

namespace Lavendervane::Test {

bool logsAgree(const Log& left, const Log& right)
{
    const auto length = static_cast<std::ptrdiff_t>(std::min(left.size(), right.size()));
    return std::equal(left.begin(), left.begin() + length, right.begin());
}

LogPosition lastPosition(const Log& log) { return { log.empty() ? Term {} : log.back().term, log.size() }; }

bool ModelEndpoint::fence(const Term& requestedTerm)
{
    if (requestedTerm < this->promised)
        return false;
    if (requestedTerm > this->promised && this->reportsLastEntryTerm) {
        this->primary = false;
        this->followedAddress.clear();
    }
    this->promised = requestedTerm;
    return true;
}

bool ModelEndpoint::promote(const Term& requestedTerm)
{
    if (requestedTerm < this->promised || (this->reportsLastEntryTerm && requestedTerm != this->promised))
        return false;
    if (this->reportsLastEntryTerm && !this->primary && lastPosition(this->log).term == requestedTerm)
        return false;
    if (this->primary && this->term == requestedTerm)
        return true;
    this->promised = this->term = this->syncedTerm = requestedTerm;
    this->primary = true;
    this->followedAddress.clear();
    this->log.push_back({ requestedTerm, 0 });
    return true;
}

bool ModelEndpoint::follow(const Term& requestedTerm, const std::string& primaryAddress, Instant now)
{
    if (requestedTerm < this->promised || (this->primary && requestedTerm == this->term))
        return false;
    this->promised = this->term = requestedTerm;
    this->primary = false;
    this->followedAddress = primaryAddress;
    this->primaryHeardAt = now;
    return true;
}

bool ModelEndpoint::replicate(const Term& sender, const std::string& primaryAddress, const Log& primaryLog, Instant now)
{
    if (this->reportsLastEntryTerm)
        this->follow(sender, primaryAddress, now);
    if (sender != this->term || sender < this->promised || this->primary)
        return false;
    // The first log of a term replaces entries that the new primary does not have; later logs only add entries.
    if (this->syncedTerm != sender || primaryLog.size() > this->log.size())
        this->log = primaryLog;
    this->syncedTerm = sender;
    this->primaryHeardAt = now;
    return true;
}

EndpointStatus ModelEndpoint::status(Instant now) const
{
    EndpointStatus status;
    status.promised = this->promised;
    status.term = this->reportsLastEntryTerm ? lastPosition(this->log).term : this->term;
    status.primary = this->primary;
    status.position = this->log.size();
    status.lastEntryTerm = lastPosition(this->log).term;
    status.primaryHeard = now - this->primaryHeardAt;
    status.primaryAddress = this->followedAddress;
    return status;
}

} // namespace Lavendervane::Test
