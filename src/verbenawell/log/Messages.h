#pragma once

#include "verbenawell/log/LogRecord.h"

#include <cstdint>
#include <string>
#include <vector>

namespace verbenawell {

/// Records of the fleet stream in the order of their offsets.
struct LogRecords
{
  std::vector<LogRecord> records_;
};

/// Requests the fleet stream from an offset on. The peer responds with the
/// records if it still has them, else with its fleet state.
struct StateRequest
{
  Offset from_;
};

/// One part of the fleet state, encoded as a snapshot.
struct StateChunk
{
  SnapshotChunk chunk_;
};

} // namespace verbenawell
