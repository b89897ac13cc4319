#pragma once

#include "verbenawell/core/Endpoint.h"
#include "verbenawell/core/Ids.h"
#include "verbenawell/core/Units.h"
#include "verbenawell/jobs/model/Ids.h"

#include <string>
#include <vector>

namespace verbenawell::jobs {

/// A record of the owner topic, by which a daemon claims, renews or resigns the
/// ownership.
struct OwnerRecord
{
  DaemonId daemon_;
  /// Random name of the process, drawn when it starts.
  std::string instance_;
  /// Address to which the other daemons forward requests.
  Endpoint address_;
  /// Zero in a claim, whose epoch is derived from its offset in the topic.
  Epoch epoch_;
  bool resigned_ = false;
  /// CPU of the daemon's VM; zero if it is not known.
  MilliCores vmCpu_;
  /// Number of shards of the deployment; zero until it is decided. Records of
  /// versions without shards do not name it.
  ShardCount shards_{ 1 };
  /// Waves in which the maintenance of all VMs of the shard has ended.
  std::vector<WaveNumber> endedWaves_;

  bool operator==(const OwnerRecord&) const = default;
};

} // namespace verbenawell::jobs
