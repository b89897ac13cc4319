#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/log/LogRecord.h"

#include <map>
#include <unordered_map>

namespace verbenawell {

/// An append whose record has not been read back yet.
struct PendingAppend
{
  StreamId stream_;
  RecordBody body_;
  TimePoint wantedAt_;
  /// The service has the append and has not answered.
  bool inFlight_ = false;
};

struct StreamState
{
  /// Offset of the next record to read.
  Offset next_{ 1 };
  bool reading_ = false;
  bool failing_ = false;
};

/// Position in each stream that is followed, and appends on their way.
struct LogState
{
  std::map<StreamId, StreamState> streams_;
  std::unordered_map<RecordId, PendingAppend> pending_;
};

} // namespace verbenawell
