#include "Ctl/TextTable.h"

#include <algorithm>
#include <cassert>

namespace Lavendervane {

TextTable::TextTable(std::vector<std::string> header)
    : rows({ std::move(header) })
{
}

void TextTable::add(std::vector<std::string> row)
{
    assert(row.size() == this->rows.front().size());
    this->rows.push_back(std::move(row));
}

void TextTable::print(std::ostream& out) const
{
    std::vector<size_t> widths(this->rows.front().size());
    for (const auto& row : this->rows) {
        for (size_t column = 0; column < row.size(); ++column)
            widths[column] = std::max(widths[column], row[column].size());
    }
    for (const auto& row : this->rows) {
        for (size_t column = 0; column + 1 < row.size(); ++column)
            out << row[column] << std::string(widths[column] - row[column].size() + 2, ' ');
        out << row.back() << '\n';
    }
}

} // namespace Lavendervane
