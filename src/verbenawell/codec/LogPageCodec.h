#pragma once

#include "verbenawell/log/LogEvents.h"

#include <string>
#include <string_view>
#include <vector>

namespace verbenawell {

/// Decodes what the log service answers to a read; throws `DecodeError`.
LogRead
DecodeLogPage(const StreamId& aStream, Offset aFrom, std::string_view aBytes);

/// Offset that an append got; throws `DecodeError`.
Offset
DecodeAppendAnswer(std::string_view aBytes);

/// One read's answer, as the log service encodes it.
struct LogPage
{
  Offset first_;
  Offset next_;
  /// Offset of the first record of the page.
  Offset from_;
  std::vector<std::string> records_;
};

std::string
EncodeLogPage(const LogPage& aPage);
std::string
EncodeAppendAnswer(Offset aOffset);

} // namespace verbenawell
