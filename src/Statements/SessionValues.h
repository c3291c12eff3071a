#pragma once

#include "Statements/Statement.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace Lavendervane {

/// Values that a caller has set in its session. Equal stamps mean equal values; stamp 0 means none.
class SessionValues {
public:
    void set(const std::string& name, const std::string& value);

    uint64_t version() const { return this->number; }
    const std::map<std::string, std::string>& all() const { return this->values; }

private:
    uint64_t number = 0;
    std::map<std::string, std::string> values;
};

/// What a caller prepared under a name of its own.
struct PreparedStatement {
    PreparedEffect effect = PreparedEffect::Read;
    std::string text;

    friend auto operator<=>(const PreparedStatement&, const PreparedStatement&) = default;
};

/// Name under which the prepared statement of this number stands on every connection.
std::string preparedName(uint32_t number);

/// Numbers of prepared statements, equal for equal ones, so that sessions share what a connection has prepared.
class PreparedStatementIds {
public:
    uint32_t idOf(const PreparedStatement&);

private:
    std::map<PreparedStatement, uint32_t> numbers;
};

} // namespace Lavendervane
