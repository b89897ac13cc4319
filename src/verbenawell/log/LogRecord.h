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

/// Claims the intent stream of a pool for one owner and epoch.
struct IntentOwner
{
  PoolId pool_;
  DaemonId owner_;
  PoolEpoch epoch_;
};

/// A queued request that may start. Its entry daemon knows for certain whether
/// the request has run, so a later owner may grant a slot to the same queued
/// request again.
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
  PoolEpoch epoch_;
  std::vector<StartedIntent> started_;
  /// Requests of earlier intents that certainly did not run.
  std::vector<RequestId> notRun_;
  /// Number of the batch within the owner's epoch, so that a batch that is in
  /// the log twice takes effect once.
  std::uint64_t sequence_ = 0;
  WallTime at_{};
};

/// A part of a snapshot of the fleet state.
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
  /// Chosen by the author of the append; empty for a `CorruptRecord`.
  RecordId id_;
  RecordBody body_;
};

} // namespace verbenawell
