#include "verbenawell/tool/PrintTable.h"

#include <algorithm>
#include <cstddef>
#include <iomanip>
#include <ostream>

namespace verbenawell {

namespace {

constexpr const char* kPlain = "\033[0m";
constexpr const char* kBold = "\033[1m";

const char*
ColourOf(CommandStatus aStatus)
{
  switch (aStatus) {
    case CommandStatus::Done:
      return "\033[32m";
    case CommandStatus::Pending:
    case CommandStatus::NeedsConfirmation:
      return "\033[33m";
    default:
      return "\033[31m";
  }
}

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
PrintResponse(const OperatorResponse& aResponse,
              Colour aColour,
              std::ostream& aOut)
{
  const bool coloured = aColour == Colour::On;
  if (!aResponse.message_.empty()) {
    aOut << (coloured ? ColourOf(aResponse.status_) : "") << aResponse.message_
         << (coloured ? kPlain : "") << '\n';
  }
  for (const Table& table : aResponse.tables_) {
    if (table.rows_.empty()) {
      continue;
    }
    aOut << (coloured ? kBold : "") << table.title_ << (coloured ? kPlain : "")
         << '\n';
    const auto widths = Widths(table);
    PrintRow(table.columns_, widths, aOut);
    for (const auto& row : table.rows_) {
      PrintRow(row, widths, aOut);
    }
  }
}

} // namespace verbenawell
