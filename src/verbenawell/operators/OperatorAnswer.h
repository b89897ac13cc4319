#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace verbenawell {

/// How a command ended; the tool's exit code follows from it.
enum class CommandStatus : std::uint8_t
{
  Done,
  Refused,
  /// The text is not a command; `message_` points at the column.
  SyntaxError,
  /// Accepted or not is unknown yet: the log has not answered.
  Pending,
  /// Repeat the command with `confirmation_` to accept the consequences.
  NeedsConfirmation,
};

struct Table
{
  std::string title_;
  std::vector<std::string> columns_;
  std::vector<std::vector<std::string>> rows_;
};

/// What an operator gets back, before it is encoded or printed.
struct OperatorAnswer
{
  CommandStatus status_ = CommandStatus::Done;
  std::string message_;
  std::string confirmation_;
  std::vector<Table> tables_;
};

} // namespace verbenawell
