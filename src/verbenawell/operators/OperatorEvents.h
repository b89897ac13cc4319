#pragma once

#include "verbenawell/core/Ids.h"

#include <string>

namespace verbenawell {

struct CommandReceived
{
  CommandKey key_;
  OperatorId author_;
  std::string text_;
  /// Confirmation code of the consequences that the operator accepts; empty if
  /// the command is not a confirmation.
  std::string confirmation_;
};

} // namespace verbenawell
