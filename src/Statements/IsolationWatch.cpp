#include "Statements/IsolationWatch.h"

namespace Lavendervane {

IsolationWatch::IsolationWatch(IsolationWatchSettings settings)
    : settings(settings)
{
}

void IsolationWatch::update(size_t groups, size_t unserved, Instant now)
{
    // While most groups are served, callers are better off here than after a reconnect.
    if (2 * unserved <= groups)
        this->since.reset();
    else if (!this->since)
        this->since = now;
}

bool IsolationWatch::wantsCallers(Instant now) const
{
    return !this->since || now < *this->since + this->settings.confirmTime;
}

bool IsolationWatch::shedsSessions(Instant now) const
{
    return this->since && now >= *this->since + this->settings.confirmTime + this->settings.shedTime;
}

std::optional<Instant> IsolationWatch::nextChange(Instant now) const
{
    if (!this->since || this->shedsSessions(now))
        return std::nullopt;
    const Instant confirmed = *this->since + this->settings.confirmTime;
    return now < confirmed ? confirmed : confirmed + this->settings.shedTime;
}

} // namespace Lavendervane
