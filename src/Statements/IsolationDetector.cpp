#include "Statements/IsolationDetector.h"

namespace Lavendervane {

IsolationDetector::IsolationDetector(IsolationDetectorSettings settings)
    : settings(settings)
{
}

void IsolationDetector::update(size_t groups, size_t unservedGroups, Instant now)
{
    // While most groups are served, reconnecting to another VM would cost callers more than it gains.
    if (2 * unservedGroups <= groups)
        this->unservedSince.reset();
    else if (!this->unservedSince)
        this->unservedSince = now;
}

bool IsolationDetector::acceptsCallers(Instant now) const
{
    return !this->unservedSince || now < *this->unservedSince + this->settings.confirmTime;
}

bool IsolationDetector::shouldCloseSessions(Instant now) const
{
    return this->unservedSince
        && now >= *this->unservedSince + this->settings.confirmTime + this->settings.sessionCloseDelay;
}

std::optional<Instant> IsolationDetector::nextChange(Instant now) const
{
    if (!this->unservedSince || this->shouldCloseSessions(now))
        return std::nullopt;
    const Instant confirmed = *this->unservedSince + this->settings.confirmTime;
    return now < confirmed ? confirmed : confirmed + this->settings.sessionCloseDelay;
}

} // namespace Lavendervane
