#include "verbenawell/tool/PrintTable.h"

#include <algorithm>
#include <cstddef>
#include <iomanip>
#include <ostream>

namespace verbenawell {

namespace {

std::vector<std::size_t>
Widths(const Table& aTable)
{
  std::vector<std::size_t> widths;
  for (const std::string& column : aTable.columns_) {
    widths.push_back(column.size());
  }
  for (const auto& row : aTable.rows_) {
    for (std::size_t at = 0; at < std::min(row.size(), widths.size()); ++at) {
      widths[at] = std::max(widths[at], row[at].size());
    }
  }
  return widths;
}

void
PrintRow(const std::vector<std::string>& aRow,
         const std::vector<std::size_t>& aWidths,
         std::ostream& aOut)
{
  for (std::size_t at = 0; at < std::min(aRow.size(), aWidths.size()); ++at) {
    aOut << std::left << std::setw(static_cast<int>(aWidths[at]) + 2)
         << aRow[at];
  }
  aOut << '\n';
}

} // namespace

void
PrintAnswer(const OperatorAnswer& aAnswer, std::ostream& aOut)
{
  if (!aAnswer.message_.empty()) {
    aOut << aAnswer.message_ << '\n';
  }
  for (const Table& table : aAnswer.tables_) {
    const auto widths = Widths(table);
    PrintRow(table.columns_, widths, aOut);
    for (const auto& row : table.rows_) {
      PrintRow(row, widths, aOut);
    }
  }
}

} // namespace verbenawell
