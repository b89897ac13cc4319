#pragma once

#include "verbenawell/log/LogRecord.h"

#include <string>
#include <string_view>

namespace verbenawell {

/// Encodes the identity and body of an append.
std::string
EncodeRecord(const RecordId& aId, const RecordBody& aBody);

/// Decodes one record of the log. Bytes that are no record become a
/// `CorruptRecord`: the reader skips and counts them.
LogRecord
DecodeRecord(Offset aOffset, std::string_view aBytes);

} // namespace verbenawell
