#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace verbenawell {

enum class LogLevel : std::uint8_t
{
  Debug,
  Info,
  Warning,
  Error,
};

/// A log line about a decision or a change of state.
struct LogLine
{
  LogLevel level_ = LogLevel::Info;
  std::string event_;
  std::vector<std::pair<std::string, std::string>> fields_;
};

} // namespace verbenawell
