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

  /// A daemon that is cut off gets no answer, and its records do not arrive.
  void Run(const ReadLog& aRead, bool aCut, const Reply& aReply);
  void Run(const AppendLog& aAppend, bool aCut, const Reply& aReply);
  /// Stores a record at once, as history from before the run.
  void Store(const StreamId& aStream, RecordId aId, RecordBody aBody);
  /// Drops the fleet records; a snapshot holds what they add up to.
  void Expire();

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
