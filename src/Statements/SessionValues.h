#pragma once

#include "Statements/Statement.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace Lavendervane {

/// Values that a caller has set in its session. Equal versions imply equal values; version 0 means that there are none.
class SessionValues {
public:
    void set(const std::string& name, const std::string& value);

    uint64_t version() const { return this->currentVersion; }
    const std::map<std::string, std::string>& all() const { return this->values; }

private:
    uint64_t currentVersion = 0;
    std::map<std::string, std::string> values;
};

/// Definition of a prepared statement, without the name that the caller gave it.
struct PreparedStatement {
    PreparedEffect effect = PreparedEffect::Read;
    std::string text;

    friend auto operator<=>(const PreparedStatement&, const PreparedStatement&) = default;
};

/// Name of the prepared statement with this ID on endpoint connections.
std::string preparedName(uint32_t id);

/// Assigns IDs to prepared statements. Equal definitions get the same ID, so that sessions can share the statements
/// that are prepared on a connection. Once the definitions take too much memory, all are forgotten: they get new IDs,
/// and are prepared again.
class PreparedStatementIds {
public:
    uint32_t idOf(const PreparedStatement&);

private:
    std::map<PreparedStatement, uint32_t> ids;
    uint32_t lastId = 0;
    size_t textBytes = 0; ///< of the definitions in `ids`
};

} // namespace Lavendervane
