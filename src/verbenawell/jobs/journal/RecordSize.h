#pragma once

#include "verbenawell/jobs/journal/JournalRecord.h"

#include <cstddef>

namespace verbenawell::jobs {

/// Returns an upper bound of the bytes that the record takes in the store.
std::size_t
MaxRecordSize(const JournalRecord& aRecord);

} // namespace verbenawell::jobs
