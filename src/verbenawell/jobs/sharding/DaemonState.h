#pragma once

#include "verbenawell/core/Ids.h"
#include "verbenawell/jobs/core/State.h"
#include "verbenawell/jobs/sharding/RecentPeers.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace verbenawell::jobs {

/// A request of a shard's owner in this daemon to another shard.
struct ShardRequest
{
  ShardIndex from_;
  JobId job_;
};

/// The responses that a request to all shards still lacks.
struct PendingSum
{
  std::uint32_t missing_ = 0;
  std::uint64_t jobs_ = 0;
};

/// The whole state of a daemon: one state for each shard of the deployment. A
/// daemon knows the owners of all shards and owns one of them at most, unless
/// there are too few daemons.
struct DaemonState
{
  /// The first shard alone until `count_` is known.
  std::vector<State> shards_ = std::vector<State>(1);
  /// Number of shards that the owner of the first one has published.
  std::optional<ShardCount> count_;
  /// The platform has a list of VMs. Without one, there is a single shard.
  bool hasVmList_ = true;
  bool isStopping_ = false;
  /// Operators' waves with the VMs of all shards.
  std::map<WaveNumber, Wave> waves_;
  /// The VM of each listed worker, as far as the list of VMs has shown it.
  std::map<WorkerId, VmId> vmsOfWorkers_;
  /// Workers of the newest list that no list of VMs has shown.
  std::set<WorkerId> workersWithoutVm_;
  std::map<RequestKey, PendingSum> pendingSums_;
  std::map<RequestKey, ShardRequest> shardRequests_;
  std::uint64_t lastShardRequest_ = 0;
  /// By shard, the waiting job that is examined next for workers of its own.
  std::map<ShardIndex, JobId> nextExaminedJob_;
  RecentPeers peers_;
};

} // namespace verbenawell::jobs
