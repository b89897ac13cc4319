#pragma once

#include "verbenawell/core/Effect.h"

#include "World.h"

#include <deque>
#include <map>
#include <variant>

namespace verbenawell::fuzz {

/// Delivers the response of a fake to the daemon that sent the request, unless
/// that daemon has stopped since.
using Reply = std::function<void(Event)>;

/// Fake of the platform's log service.
class FakeLog
{
public:
  explicit FakeLog(World& aWorld)
    : world_(aWorld)
  {
  }

  /// With `aDisconnected`, the daemon has no connection to the log: it gets a
  /// time-out and its records are not stored.
  void Handle(const ReadLog& aRead, bool aDisconnected, const Reply& aReply);
  void Handle(const AppendLog& aAppend,
              bool aDisconnected,
              const Reply& aReply);
  /// Stores a record without a delay, for history from before the run.
  void Store(const StreamId& aStream, RecordId aId, RecordBody aBody);
  /// Removes all fleet records after storing a snapshot of their result.
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
  /// Result of all fleet records. The oracle gets it at each offset, because a
  /// daemon may apply several records between two observations.
  FleetState fleetState_;
};

} // namespace verbenawell::fuzz
