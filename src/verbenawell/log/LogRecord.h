#pragma once

#include "verbenawell/core/Ids.h"
#include "verbenawell/core/Time.h"
#include "verbenawell/core/Units.h"
#include "verbenawell/fleet/FleetRecord.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace verbenawell {

/// Claims the intents of a pool for one owner and term.
struct IntentOwner
{
  PoolId pool_;
  DaemonId owner_;
  Term term_;
};

/// The ticket that may run a request: the entry daemon knows surely whether it
/// has run, so another owner may grant the same ticket again.
struct StartedIntent
{
  RequestId request_;
  DaemonId entry_;
  RequestKey key_;
};

/// Non-idempotent requests that may start once this record is in the log.
struct IntentBatch
{
  PoolId pool_;
  DaemonId owner_;
  Term term_;
  std::vector<StartedIntent> started_;
  /// Earlier intents that surely did not run.
  std::vector<RequestId> notRun_;
  /// Counts the batches of one owner and term, so that a batch that stands
  /// twice in the log takes effect once.
  std::uint64_t sequence_ = 0;
  WallTime at_{};
};

/// A part of a snapshot of the fleet stream's fold.
struct SnapshotChunk
{
  /// Offset of the last record that the snapshot contains.
  Offset through_;
  DaemonId author_;
  std::uint32_t index_ = 0;
  std::uint32_t count_ = 0;
  /// Checksum of the whole snapshot.
  std::uint64_t checksum_ = 0;
  std::string bytes_;
  /// When the snapshot was encoded.
  WallTime at_{};
};

/// A record that cannot be decoded; it is skipped and counted.
struct CorruptRecord
{
  std::string reason_;
};

using RecordBody = std::
  variant<FleetRecord, IntentOwner, IntentBatch, SnapshotChunk, CorruptRecord>;

struct LogRecord
{
  Offset offset_;
  /// Identity of the append, whatever the body is.
  RecordId id_;
  RecordBody body_;
};

} // namespace verbenawell
