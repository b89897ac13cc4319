#pragma once

#include "verbenawell/log/LogRecord.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace verbenawell {

struct FleetState;

/// A page of a stream, read from the log service.
struct LogRead
{
  StreamId stream_;
  Offset from_;
  /// Offset of the oldest record that the log still retains.
  Offset first_;
  /// Offset that the next append will get.
  Offset next_;
  std::vector<LogRecord> records_;
};

struct LogReadFailed
{
  StreamId stream_;
  std::string reason_;
};

struct LogAppended
{
  StreamId stream_;
  RecordId id_;
  Offset offset_;
};

struct LogAppendFailed
{
  StreamId stream_;
  RecordId id_;
  /// True only if the record is certainly not in the log.
  bool notAppended_ = false;
  std::string reason_;
};

/// A module requests an append. The log module resends it until its record is
/// read back or the append is abandoned.
struct AppendRequested
{
  StreamId stream_;
  RecordId id_;
  RecordBody body_;
};

/// The append is not sent again: its record was not read back in time, or too
/// many appends were pending.
struct AppendAbandoned
{
  StreamId stream_;
  RecordId id_;
  /// False only if the record is certainly not in the log.
  bool mayBeInLog_ = true;
  std::string reason_;
};

/// A module requests the records of a stream, raised as `StreamAdvanced`.
struct StreamRequested
{
  StreamId stream_;
  /// First offset to read; zero for the oldest record that the log retains.
  Offset from_;
};

/// The module no longer needs the records of the stream.
struct StreamReleased
{
  StreamId stream_;
};

/// All records up to the end of the stream have been raised. Raised once after
/// each `StreamRequested`.
struct StreamCaughtUp
{
  StreamId stream_;
  /// Offset that the next record will get.
  Offset next_;
};

/// Records expired from the log before they were read. The fleet stream needs a
/// snapshot to continue; other streams continue at `first_`.
struct StreamGap
{
  StreamId stream_;
  Offset from_;
  Offset first_;
};

/// New records of a stream, each once and in the order of their offsets.
struct StreamAdvanced
{
  StreamId stream_;
  std::vector<LogRecord> records_;
};

/// Where a snapshot came from.
enum class SnapshotSource : std::uint8_t
{
  Log,
  Peer,
};

struct SnapshotEncoded
{
  /// Offset of the last record that the snapshot contains.
  Offset through_;
  std::shared_ptr<const std::string> bytes_;
};

struct SnapshotDecoded
{
  SnapshotSource source_ = SnapshotSource::Log;
  /// Empty if the bytes cannot be decoded; `reason_` says why.
  std::shared_ptr<const FleetState> fleet_;
  std::string reason_;
};

/// A newer fleet state, decoded from a snapshot, replaces the current one.
struct FleetReplaced
{
  SnapshotSource source_ = SnapshotSource::Log;
  std::shared_ptr<const FleetState> fleet_;
};

/// A record of the fleet stream was applied to the fleet state or refused.
struct RecordProcessed
{
  RecordId id_;
  Offset offset_;
  /// Empty if the record took effect.
  std::string refusal_;
};

} // namespace verbenawell
