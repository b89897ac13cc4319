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

/// Asks a peer for the fold of the fleet stream.
struct StateRequest
{};

/// One part of the fold, in the same form as a snapshot.
struct StateChunk
{
  SnapshotChunk chunk_;
};

} // namespace verbenawell
