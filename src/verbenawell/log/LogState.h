#pragma once

#include "verbenawell/core/Random.h"
#include "verbenawell/core/Time.h"
#include "verbenawell/log/LogRecord.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

namespace verbenawell {

/// An append whose record has not been read back yet.
struct PendingAppend
{
  StreamId stream_;
  RecordBody body_;
  TimePoint wantedAt_;
  /// The service has the append and has not answered, or has accepted it.
  bool inFlight_ = false;
  /// Some attempt may have taken effect.
  bool mayBeInLog_ = false;
  /// Number of the stream's last read that had started at the failure.
  std::uint64_t readsAtFailure_ = 0;
  /// End of the stream as learned by a read that started after the failure.
  std::optional<Offset> endAfterFailure_;
};

struct StreamState
{
  /// Offset of the next record to read; zero for the oldest one kept.
  Offset next_;
  /// A module wants the records.
  bool followed_ = false;
  bool caughtUp_ = false;
  bool pollSet_ = false;
  bool reading_ = false;
  /// Something happened during the read that it may have missed.
  bool readAgain_ = false;
  /// The read in flight started before the stream was wanted anew.
  bool discard_ = false;
  /// Retention has passed records that the fold needs.
  bool gap_ = false;
  std::uint64_t readsStarted_ = 0;
  /// Reads that failed since the last one that was answered.
  std::uint32_t failures_ = 0;
  /// Appends to this stream that are pending.
  std::size_t appends_ = 0;
};

/// Position in each stream that is followed, and appends on their way.
struct LogState
{
  std::map<StreamId, StreamState> streams_;
  std::unordered_map<RecordId, PendingAppend> pending_;
  Random random_;
};

/// Tells whether the last read of the fleet stream was answered.
bool
LogAnswers(const LogState& aLog);

} // namespace verbenawell
