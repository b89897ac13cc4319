#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/core/Units.h"
#include "verbenawell/jobs/ownership/OwnerRecord.h"

#include <optional>

namespace verbenawell::jobs {

/// Result of a read of the owner topic. `record_` is the newest owner record in
/// it; records of other writers and records that do not decode are skipped.
struct OwnerRead
{
  std::optional<OwnerRecord> record_;
  /// Offset just past the newest record, whoever wrote it.
  Offset end_;
  /// Offset of `record_`.
  Offset recordOffset_;
};

struct OwnerReadFailed
{};

/// An append to the owner topic took effect at this offset.
struct OwnerAppended
{
  Offset offset_;
};

/// The store rejected an append because the topic has grown past the expected
/// offset.
struct OwnerAppendRefused
{};

/// An append failed or got no response.
struct OwnerAppendFailed
{};

/// Another daemon has read this owner record from the store.
struct OwnerReported
{
  OwnerRecord record_;
  /// Time since the owner's newest renewal.
  Duration renewalAge_{};
};

/// The owner of the first shard publishes this number with its next record.
struct ShardCountDecided
{
  ShardCount shards_;
};

/// This daemon has become the owner.
struct OwnershipTaken
{
  Epoch epoch_;
};

struct OwnershipLost
{};

/// Another daemon or process is the owner, or the owner has a new epoch.
struct OwnerChanged
{};

} // namespace verbenawell::jobs
