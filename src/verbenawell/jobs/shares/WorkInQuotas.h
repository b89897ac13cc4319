#pragma once

#include "verbenawell/jobs/model/Configuration.h"
#include "verbenawell/jobs/model/Job.h"

#include <cstdint>
#include <map>
#include <optional>

namespace verbenawell::jobs {

/// Sums up the work of open jobs for which the pools need VMs. It answers the
/// load of a workspace whose backlog is more than its quota allows it to run:
/// VMs for the excess would stand idle.
class WorkInQuotas
{
public:
  /// Adds a job that needs this CPU time, in millicores times microseconds.
  void Add(const Job& aJob, std::uint64_t aCpuTime);

  /// Returns the CPU time by service, without the part of each workspace's work
  /// that its quota does not allow to run within this time.
  [[nodiscard]] std::map<ServiceId, std::uint64_t> Within(
    Duration aTime,
    const std::optional<Configuration>& aConfiguration) const;

private:
  struct Work
  {
    std::map<ServiceId, std::uint64_t> cpuTime_;
    /// Products of the resources of the tasks and their run times, in
    /// microseconds times the unit of the resource.
    double cpu_ = 0;
    double memory_ = 0;
    double accelerators_ = 0;
  };

  static double PartWithin(const Work& aWork,
                           Duration aTime,
                           const Resources& aQuota);

  std::map<WorkspaceId, Work> work_;
};

} // namespace verbenawell::jobs
