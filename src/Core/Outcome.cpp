#include "Core/Outcome.h"

#include "Core/Error.h"

namespace Lavendervane {

std::string_view toString(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Done:
        return "done";
    case Outcome::NotRun:
        return "not_run";
    case Outcome::Unknown:
        break;
    }
    return "unknown";
}

Outcome parseOutcome(std::string_view text)
{
    for (auto outcome : { Outcome::Done, Outcome::NotRun, Outcome::Unknown }) {
        if (text == toString(outcome))
            return outcome;
    }
    throw Error("parse outcome", "", "unknown outcome \"" + std::string(text) + "\"");
}

} // namespace Lavendervane
