#pragma once

#include "verbenawell/core/Effect.h"

#include "World.h"

#include <deque>
#include <map>
#include <variant>

namespace verbenawell::fuzz {

/// Hands the answer of a fake to the daemon that asked, if it still runs.
using Reply = std::function<void(Event)>;

/// The platform's log service.
class FakeLog
{
public:
  explicit FakeLog(World& aWorld)
    : world_(aWorld)
  {
  }

  void Run(const ReadLog& aRead, const Reply& aReply);
  void Run(const AppendLog& aAppend, const Reply& aReply);
  /// Stores a record at once, as history from before the run.
  void Store(const StreamId& aStream, RecordId aId, RecordBody aBody);
  /// Drops the fleet records that a snapshot covers.
  void Expire();

  int down_ = 0;
  int slow_ = 0;
  int losesAnswers_ = 0;
  int refuses_ = 0;

private:
  struct Stream
  {
    Offset next_{ 1 };
    std::deque<LogRecord> records_;
  };

  Duration Delay();
  LogRead ReadPage(const ReadLog& aRead);

  World& world_;
  std::map<StreamId, Stream> streams_;
  /// The oracle sees the fold at each offset, which no daemon need do.
  FleetState fold_;
};

} // namespace verbenawell::fuzz
