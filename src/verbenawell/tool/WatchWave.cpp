#include "verbenawell/tool/WatchWave.h"

#include <algorithm>
#include <chrono>
#include <ostream>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

namespace verbenawell {

namespace {

constexpr std::chrono::milliseconds kPollInterval{ 500 };

void
WaitForNextPoll()
{
  asio::io_context io;
  asio::steady_timer timer{ io, kPollInterval };
  timer.wait();
}

/// Row of the wave in the table of all waves; empty if there is none.
std::vector<std::string>
FindWave(const OperatorResponse& aResponse, const std::string& aWave)
{
  for (const Table& table : aResponse.tables_) {
    for (const auto& row : table.rows_) {
      if (!row.empty() && row.front() == aWave) {
        return row;
      }
    }
  }
  return {};
}

std::string
FormatProgress(const std::vector<std::string>& aRow)
{
  constexpr std::array<const char*, 7> kLabels{
    "", "pool ", "", "waiting ", "stopping ", "finished ", "failed "
  };
  std::string text;
  for (std::size_t at = 0; at < std::min(aRow.size(), kLabels.size()); ++at) {
    text += (at == 0 ? "" : ", ") + std::string(kLabels.at(at)) + aRow[at];
  }
  return text;
}

} // namespace

bool
WatchWave(const OperatorClientOptions& aOptions,
          const std::string& aWave,
          std::ostream& aOut)
{
  constexpr std::size_t kStateColumn = 2;
  std::string last;
  while (true) {
    const auto row = FindWave(SendCommand(aOptions, "show waves", {}), aWave);
    if (row.size() <= kStateColumn) {
      aOut << "no wave \"" << aWave << "\"\n";
      return false;
    }
    if (std::string line = FormatProgress(row); line != last) {
      aOut << line << std::endl;
      last = std::move(line);
    }
    const std::string& state = row[kStateColumn];
    if (state != "running") {
      return state == "ended";
    }
    WaitForNextPoll();
  }
}

} // namespace verbenawell
