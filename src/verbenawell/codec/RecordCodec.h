#pragma once

#include "verbenawell/log/LogRecord.h"

#include <string>
#include <string_view>

namespace verbenawell {

/// Encodes the id and body of an append.
std::string
EncodeRecord(const RecordId& aId, const RecordBody& aBody);

/// Decodes one record of the log. Bytes that cannot be decoded become a
/// `CorruptRecord`, which the reader skips and counts.
LogRecord
DecodeRecord(Offset aOffset, std::string_view aBytes);

} // namespace verbenawell
