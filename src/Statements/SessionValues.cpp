#include "Statements/SessionValues.h"

namespace Lavendervane {

// Versions are unique among all sessions of a thread. A session stays on one thread.
static uint64_t nextVersion()
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
    this->currentVersion = nextVersion();
}

std::string preparedName(uint32_t id) { return "p" + std::to_string(id); }

uint32_t PreparedStatementIds::idOf(const PreparedStatement& statement)
{
    return this->ids.emplace(statement, static_cast<uint32_t>(this->ids.size() + 1)).first->second;
}

} // namespace Lavendervane
