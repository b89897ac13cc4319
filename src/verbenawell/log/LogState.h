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
  /// The append was sent and has not failed: the service has not responded yet
  /// or has accepted it.
  bool inFlight_ = false;
  /// One of the failed attempts may have taken effect.
  bool mayBeInLog_ = false;
  /// The stream's `readsStarted_` at the last failure.
  std::uint64_t readsAtFailure_ = 0;
  /// End of the stream, as returned by a read that started after the failure.
  std::optional<Offset> endAfterFailure_;
};

struct StreamState
{
  /// Offset of the next record to read; zero for the oldest retained one.
  Offset next_;
  /// A module has requested the records.
  bool followed_ = false;
  /// Reading has reached the end since the records were requested.
  bool caughtUp_ = false;
  bool pollScheduled_ = false;
  bool readInFlight_ = false;
  /// Another read starts when the read in flight completes, which may miss
  /// records appended since it started.
  bool readAgain_ = false;
  /// The read in flight started before the stream was last requested.
  bool discardRead_ = false;
  /// Records that the fleet state needs have expired from the log.
  bool hasGap_ = false;
  std::uint64_t readsStarted_ = 0;
  /// Failed reads since the last successful one.
  std::uint32_t failures_ = 0;
  /// Reads without records since the last one with records.
  std::uint32_t idleReads_ = 0;
  /// Pending appends to this stream.
  std::size_t appends_ = 0;
};

enum class SnapshotPhase : std::uint8_t
{
  Idle,
  /// Reads the snapshots stream for the newest snapshot.
  Searching,
  /// Waits for the newest snapshot to be decoded.
  Loading,
  /// Reads the snapshots stream to check whether a new snapshot is still due.
  Checking,
  /// Waits for the fleet state to be encoded.
  Encoding,
  /// Waits for the chunks to be read back from the log.
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
  /// Offset of the oldest retained record of the fleet stream, and of its next.
  Offset oldestOffset_;
  Offset nextOffset_;
  /// The snapshot encoded last, for peers that request the fleet state.
  Offset encodedOffset_;
  std::shared_ptr<const std::string> encoded_;
  bool encoding_ = false;
  /// Peers that wait for the snapshot being encoded.
  std::vector<DaemonId> requesters_;
};

/// Read positions, pending appends and snapshots.
struct LogState
{
  std::map<StreamId, StreamState> streams_;
  std::unordered_map<RecordId, PendingAppend> pending_;
  SnapshotState snapshots_;
  /// The latest records of the fleet stream, for peers that have missed them.
  std::deque<LogRecord> recentRecords_;
  TimePoint stateRequestedAt_;
  Random random_;
};

/// Tells whether the fleet stream is read and the last completed read, if any,
/// succeeded.
bool
IsLogResponding(const LogState& aLog);

/// Tells whether at least two reads of the stream in a row have failed.
bool
IsFailing(const LogState& aLog, const StreamId& aStream);

} // namespace verbenawell
