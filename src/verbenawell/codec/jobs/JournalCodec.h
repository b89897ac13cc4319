#pragma once

#include "verbenawell/jobs/journal/JournalRecord.h"

#include <string>
#include <string_view>
#include <vector>

namespace verbenawell::jobs {

/// A record of a keyed topic; an empty value deletes the key.
struct KeyedRecord
{
  std::string key_;
  std::string value_;
};

/// Returns the keyed records, deletions included, that store a journal record.
std::vector<KeyedRecord>
EncodeJournalRecord(const JournalRecord& aRecord);

/// Throws `DecodeError` if the bytes are not a valid record.
JournalRecord
DecodeJournalRecord(std::string_view aBytes);

} // namespace verbenawell::jobs
