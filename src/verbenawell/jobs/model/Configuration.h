#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/model/Ids.h"
#include "verbenawell/jobs/workspaces/Workspace.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace verbenawell::jobs {

class ApiKeyIndex;

/// Response times and ticket validity of the advice service, which decides on
/// which workers the steps of a queue may run.
struct AdviceSettings
{
  /// Fixed part of the time that a call takes.
  Duration callTime_{};
  /// Added to the time of a call for each worker in the request.
  Duration timePerWorker_{};
  /// How long a ticket stays valid.
  Duration ticketValidity_{};
};

/// Selects the callers' requests that belong to the queue and holds the rules
/// for its jobs.
struct Queue
{
  QueueId id_;
  std::string host_;
  std::string pathPrefix_;
  ServiceId service_;
  Priority priority_;
  /// A job fails when one of its tasks has this many failed runs.
  TaskCount maxAttempts_;
  /// A job's completion objective is the time of its critical path times this
  /// factor, plus `slack_`.
  double stretch_ = 1.0;
  Duration slack_{};
  /// If set, steps of the queue start only with a ticket of the advice service.
  std::optional<AdviceSettings> advice_;
  /// Requests need no key, and the jobs belong to no workspace.
  bool isPublic_ = false;
};

/// A service and its pool of VMs.
struct Service
{
  ServiceId id_;
  /// The workers reject tasks that exceed their capacity.
  bool enforcesCapacity_ = false;
  /// The VMs are powered off and cost nothing until they are used.
  bool isSparePool_ = false;
};

/// One version of the operators' configuration.
struct Configuration
{
  ConfigurationVersion version_;
  std::vector<Queue> queues_;
  std::vector<Service> services_;
  /// Empty if the deployment has no workspaces, so that requests need no keys.
  std::optional<std::vector<Workspace>> workspaces_;
  /// The keys of the workspaces; null without workspaces. Shared by the copies
  /// of a configuration, of which each shard has one.
  std::shared_ptr<const ApiKeyIndex> keys_;

  /// The queue with this host and the longest prefix of the path, if any.
  [[nodiscard]] const Queue* Resolve(std::string_view aHost,
                                     std::string_view aPath) const;
  [[nodiscard]] const Queue* Find(const QueueId& aQueue) const;
  [[nodiscard]] const Service* Find(const ServiceId& aService) const;
  [[nodiscard]] const Workspace* Find(const WorkspaceId& aWorkspace) const;
};

/// Which VMs of an operator's wave a `Wave` holds.
enum class WaveScope : std::uint8_t
{
  All,
  /// Those of the first shard, whose owner reports the status of the wave.
  FirstShard,
  /// Those of one of the other shards.
  OtherShard,
};

/// VMs that are due for maintenance.
struct Wave
{
  WaveNumber number_;
  std::vector<VmId> vms_;
  Duration duration_{};
  /// Maximum number of VMs of the wave that may be down at the same time.
  VmCount maxVmsDown_;
  WaveScope scope_ = WaveScope::All;
};

} // namespace verbenawell::jobs
