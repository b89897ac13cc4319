#pragma once

#include "verbenawell/log/LogRecord.h"

#include <cstdint>
#include <string>
#include <vector>

namespace verbenawell {

/// Consecutive records of the fleet stream, pushed to peers.
struct LogRecords
{
  std::vector<LogRecord> records_;
};

/// Asks a peer for the fleet stream from an offset on: it answers with the
/// records where it still holds them, else with its fold.
struct StateRequest
{
  Offset from_;
};

/// One part of the fold, in the same form as a snapshot.
struct StateChunk
{
  SnapshotChunk chunk_;
};

} // namespace verbenawell
