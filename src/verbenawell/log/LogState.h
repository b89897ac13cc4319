#pragma once

#include "verbenawell/core/Random.h"
#include "verbenawell/core/Time.h"
#include "verbenawell/log/LogRecord.h"
#include "verbenawell/log/Snapshot.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace verbenawell {

/// An append whose record has not been read back yet.
struct PendingAppend
{
  StreamId stream_;
  RecordBody body_;
  TimePoint requestedAt_;
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
  bool pollScheduled_ = false;
  bool readInFlight_ = false;
  /// Something happened during the read that it may have missed.
  bool readAgain_ = false;
  /// The read in flight started before the stream was wanted anew.
  bool discardRead_ = false;
  /// Retention has passed records that the fold needs.
  bool hasGap_ = false;
  std::uint64_t readsStarted_ = 0;
  /// Reads that failed since the last one that was answered.
  std::uint32_t failures_ = 0;
  /// Reads that brought nothing since the last one that did.
  std::uint32_t idleReads_ = 0;
  /// Appends to this stream that are pending.
  std::size_t appends_ = 0;
};

enum class SnapshotPhase : std::uint8_t
{
  Idle,
  /// Reads the snapshots stream for the newest one.
  Searching,
  /// Waits for the newest one to be decoded.
  Loading,
  /// Reads the snapshots stream to see whether a new one is still due.
  Checking,
  /// Waits for the fold to be encoded.
  Encoding,
  /// Waits for the chunks to be read back.
  Writing,
};

struct SnapshotState
{
  Duration retention_ = std::chrono::hours(24);
  TimePoint startedAt_;
  SnapshotPhase phase_ = SnapshotPhase::Idle;
  TimePoint phaseSince_;
  SnapshotCollector fromLog_;
  SnapshotCollector fromPeers_;
  /// Oldest record and end of the fleet stream in the log.
  Offset oldestOffset_;
  Offset nextOffset_;
  /// The snapshot encoded last, for peers that ask.
  Offset encodedOffset_;
  std::shared_ptr<const std::string> encoded_;
  bool encoding_ = false;
  std::vector<DaemonId> requesters_;
};

/// Position in each stream that is followed, and appends on their way.
struct LogState
{
  std::map<StreamId, StreamState> streams_;
  std::unordered_map<RecordId, PendingAppend> pending_;
  SnapshotState snapshots_;
  /// The latest records of the fleet stream, for peers that lack them.
  std::deque<LogRecord> recentRecords_;
  TimePoint stateRequestedAt_;
  Random random_;
};

/// Tells whether the last read of the fleet stream was answered.
bool
LogAnswers(const LogState& aLog);

/// Tells whether reads of the stream keep failing.
bool
IsFailing(const LogState& aLog, const StreamId& aStream);

} // namespace verbenawell
