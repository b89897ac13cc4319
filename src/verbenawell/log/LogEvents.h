#pragma once

#include "verbenawell/log/LogRecord.h"

#include <string>
#include <vector>

namespace verbenawell {

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
  bool surelyAbsent_ = false;
  std::string reason_;
};

/// A module wants a record in the log; the log module sees it through.
struct AppendWanted
{
  StreamId stream_;
  RecordId id_;
  RecordBody body_;
};

/// A module wants to follow a stream from its oldest record on.
struct StreamWanted
{
  StreamId stream_;
};

/// Nothing follows the stream any more.
struct StreamUnwanted
{
  StreamId stream_;
};

/// New records of a stream, each once and in order of their offsets.
struct StreamAdvanced
{
  StreamId stream_;
  std::vector<LogRecord> records_;
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
