#pragma once

#include "verbenawell/core/Endpoint.h"
#include "verbenawell/core/Ids.h"
#include "verbenawell/core/Time.h"
#include "verbenawell/core/Units.h"
#include "verbenawell/jobs/model/Configuration.h"
#include "verbenawell/jobs/ownership/OwnerRecord.h"

#include <optional>
#include <string>
#include <vector>

namespace verbenawell::jobs {

/// The newest record of each key that operators wrote.
struct OperatorRecordsRead
{
  std::optional<Configuration> configuration_;
  std::vector<Wave> waves_;
  /// Where the next read continues.
  Offset end_;
};

/// The records from the requested offset on were deleted, so the newest records
/// have to be read instead.
struct OperatorRecordsExpired
{};

struct OperatorReadFailed
{};

/// A record in the store cannot be decoded. The other records are used.
struct RecordInvalid
{
  std::string key_;
  std::string reason_;
};

/// This daemon uses a newer version of the configuration.
struct ConfigurationChanged
{};

/// The first shard of this daemon uses this configuration.
struct ConfigurationShared
{
  Configuration configuration_;
};

/// The owner of a shard as a daemon knows it.
struct KnownOwner
{
  ShardIndex shard_;
  OwnerRecord owner_;
  /// Time since the owner's newest known renewal.
  Duration renewalAge_{};
};

/// What a daemon tells another one that cannot read the store.
struct PeerReport
{
  /// Empty if the daemon has no configuration.
  std::optional<ConfigurationVersion> version_;
  /// Time since the version was the newest one in the store.
  Duration age_{};
  /// Set if it is newer than the version that the other daemon uses. Holds
  /// hashes of the keys and no key.
  std::optional<Configuration> configuration_;
  std::vector<KnownOwner> owners_;
};

/// Another daemon cannot read the store and uses this version.
struct PeerReportRequested
{
  RequestKey key_;
  ConfigurationVersion known_;
};

struct PeerReportReceived
{
  Endpoint peer_;
  PeerReport report_;
};

/// The VMs of a wave that belong to this shard may go down.
struct WaveAssigned
{
  Wave wave_;
};

/// The maintenance of the VMs that belong to other shards has ended.
struct OtherShardsEndedWave
{
  WaveNumber wave_;
};

/// Operators requested the maintenance of a wave of VMs.
struct WaveRequested
{
  Wave wave_;
};

} // namespace verbenawell::jobs
