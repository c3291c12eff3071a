#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace Lavendervane {

/// Text table with aligned columns, for output on a terminal.
class TextTable {
public:
    explicit TextTable(std::vector<std::string> header);

    /// The row must have as many cells as the header.
    void add(std::vector<std::string> row);
    void print(std::ostream&) const;

private:
    std::vector<std::vector<std::string>> rows;
};

} // namespace Lavendervane
