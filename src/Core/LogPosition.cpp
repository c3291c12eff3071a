#include "Core/LogPosition.h"

namespace Lavendervane {

bool AppliedPosition::covers(const LogPosition& required) const
{
    if (this->term == required.term)
        return this->position >= required.position;
    // A newer term starts from a log that holds every acknowledged write of older terms. Before its first entry is
    // applied the endpoint may still lack some of them.
    return this->term > required.term && this->position >= this->firstPosition;
}

std::ostream& operator<<(std::ostream& out, const Term& term) { return out << term.counter << '@' << term.vm; }

std::ostream& operator<<(std::ostream& out, const LogPosition& position)
{
    return out << position.term << ':' << position.position;
}

} // namespace Lavendervane
