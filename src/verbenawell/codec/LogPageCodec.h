#pragma once

#include "verbenawell/log/LogEvents.h"

#include <string>
#include <string_view>
#include <vector>

namespace verbenawell {

/// Decodes the log service's response to a read; throws `DecodeError`.
LogRead
DecodeLogPage(const StreamId& aStream, Offset aFrom, std::string_view aBytes);

/// Decodes the offset of an appended record; throws `DecodeError`.
Offset
DecodeAppendResponse(std::string_view aBytes);

/// Response to a read, as the log service encodes it.
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
EncodeAppendResponse(Offset aOffset);

} // namespace verbenawell
