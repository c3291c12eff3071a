#include "Statements/SessionValues.h"

namespace Lavendervane {

// Limits of the definitions that have an ID. Definitions are short texts, and applications use a few hundred.
static constexpr size_t maxDefinitionBytes = size_t { 4 } << 20;
static constexpr size_t maxDefinitions = 10'000;

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
    if (const auto known = this->ids.find(statement); known != this->ids.end())
        return known->second;
    if (this->textBytes + statement.text.size() > maxDefinitionBytes || this->ids.size() >= maxDefinitions) {
        this->ids.clear();
        this->textBytes = 0;
    }
    this->textBytes += statement.text.size();
    return this->ids.emplace(statement, ++this->lastId).first->second;
}

} // namespace Lavendervane
