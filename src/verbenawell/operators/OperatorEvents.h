#pragma once

#include "verbenawell/core/Ids.h"

#include <string>

namespace verbenawell {

struct CommandReceived
{
  CommandKey key_;
  OperatorId author_;
  std::string text_;
  /// Code of the shown consequences, where the operator repeats it.
  std::string confirmation_;
};

} // namespace verbenawell
