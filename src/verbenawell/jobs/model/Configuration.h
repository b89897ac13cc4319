#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/model/Ids.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace verbenawell::jobs {

/// How the service answers that decides where a queue's steps may run.
struct AdviceTerms
{
  /// A call takes this long ..
  Duration decision_{};
  /// .. and this much more for each worker asked about.
  Duration perWorker_{};
  Duration ticketValidity_{};
};

/// Where callers' requests go, and how its jobs run.
struct Queue
{
  QueueId id_;
  std::string host_;
  std::string pathPrefix_;
  ServiceId service_;
  Priority priority_;
  /// Failed runs of a task after which its job has failed.
  TaskCount maxAttempts_;
  /// The objective is this many times the longest chain of work ..
  double stretch_ = 1.0;
  /// .. and this much more.
  Duration slack_{};
  /// Its steps start only with a ticket.
  std::optional<AdviceTerms> advice_;
};

/// A service and its pool of VMs.
struct Service
{
  ServiceId id_;
  /// Its workers refuse what does not fit.
  bool enforcesCapacity_ = false;
  /// Its VMs are off and cost nothing.
  bool standby_ = false;
};

/// One version of the operators' configuration.
struct Configuration
{
  ConfigurationVersion version_;
  std::vector<Queue> queues_;
  std::vector<Service> services_;

  /// The queue with this host and the longest prefix of the path, if any.
  [[nodiscard]] const Queue* Resolve(std::string_view aHost,
                                     std::string_view aPath) const;
  [[nodiscard]] const Queue* Find(const QueueId& aQueue) const;
  [[nodiscard]] const Service* Find(const ServiceId& aService) const;
};

/// VMs that are due for maintenance.
struct Wave
{
  WaveNumber number_;
  std::vector<VmId> vms_;
  Duration duration_{};
  /// Most VMs of the wave that may be down at once.
  VmCount limit_;
};

} // namespace verbenawell::jobs
