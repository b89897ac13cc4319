#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace verbenawell {

/// Outcome of a command; the command-line tool derives its exit code from it.
enum class CommandStatus : std::uint8_t
{
  Done,
  Refused,
  /// The text is not a valid command; `message_` names the column of the error.
  SyntaxError,
  /// The outcome of the change is unknown: the log has not responded.
  Pending,
  /// Not carried out yet. The operator accepts the consequences by repeating
  /// the command with `confirmation_`.
  NeedsConfirmation,
};

struct Table
{
  std::string title_;
  std::vector<std::string> columns_;
  std::vector<std::vector<std::string>> rows_;
};

/// Response to an operator's command, before it is encoded or printed.
struct OperatorResponse
{
  CommandStatus status_ = CommandStatus::Done;
  std::string message_;
  std::string confirmation_;
  std::vector<Table> tables_;
};

} // namespace verbenawell
