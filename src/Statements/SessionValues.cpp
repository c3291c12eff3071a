#include "Statements/SessionValues.h"

namespace Lavendervane {

// Stamps are unique over all sessions, which live on one thread each.
static uint64_t nextStamp()
{
    static thread_local uint64_t last = 0;
    return ++last;
}

void SessionValues::set(const std::string& name, const std::string& value)
{
    auto [entry, added] = this->values.emplace(name, value);
    if (!added) {
        if (entry->second == value)
            return;
        entry->second = value;
    }
    this->number = nextStamp();
}

std::string preparedName(uint32_t number) { return "p" + std::to_string(number); }

uint32_t PreparedStatementIds::idOf(const PreparedStatement& statement)
{
    return this->numbers.emplace(statement, static_cast<uint32_t>(this->numbers.size() + 1)).first->second;
}

} // namespace Lavendervane
