#pragma once

#include "verbenawell/log/LogRecord.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace verbenawell {

struct FleetState;

struct LogRead
{
  StreamId stream_;
  Offset from_;
  /// Offset of the oldest record that retention has left.
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
  /// False where the record may be in the log all the same.
  bool notAppended_ = false;
  std::string reason_;
};

/// A module wants a record in the log; the log module sees it through.
struct AppendWanted
{
  StreamId stream_;
  RecordId id_;
  RecordBody body_;
};

/// The append was not seen in the log in time; it is not sent again.
struct AppendGivenUp
{
  StreamId stream_;
  RecordId id_;
  /// False where the record surely is not in the log.
  bool mayBeInLog_ = true;
  std::string reason_;
};

/// A module wants the records of a stream raised as `StreamAdvanced`.
struct StreamWanted
{
  StreamId stream_;
  /// First offset wanted; zero for the oldest record that the log has kept.
  Offset from_;
};

struct StreamUnwanted
{
  StreamId stream_;
};

/// Every record up to the stream's end was raised; follows the first time
/// that reading has reached the end after `StreamWanted`.
struct StreamCaughtUp
{
  StreamId stream_;
  /// Offset that the next record will get.
  Offset next_;
};

/// Retention has passed records that were not read yet. The fold of the fleet
/// stream needs a snapshot; other streams continue at `first_`.
struct StreamGap
{
  StreamId stream_;
  Offset from_;
  Offset first_;
};

/// New records of a stream, each once and in order of their offsets.
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
  Offset through_;
  std::shared_ptr<const std::string> bytes_;
};

struct SnapshotDecoded
{
  SnapshotSource source_ = SnapshotSource::Log;
  /// Empty where the bytes do not decode.
  std::shared_ptr<const FleetState> fleet_;
  std::string reason_;
};

/// A newer fold of the fleet stream replaces the one in force.
struct FleetReplaced
{
  SnapshotSource source_ = SnapshotSource::Log;
  std::shared_ptr<const FleetState> fleet_;
};

/// The fold of the fleet stream has accepted or refused a record.
struct RecordSettled
{
  RecordId id_;
  Offset offset_;
  /// Empty where the record took effect.
  std::string refusal_;
};

} // namespace verbenawell
