#pragma once

#include "verbenawell/core/Random.h"
#include "verbenawell/jobs/core/State.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace verbenawell::jobs {

/// Jobs of one workspace, at random times.
struct JobStream
{
  WorkspaceId workspace_;
  double perSecond_ = 0;
  Duration from_{};
  Duration until_{};
  std::uint32_t tasks_ = 8;
  /// Resources of a task.
  Resources resources_{ MilliCores{ 4000 }, Megabytes{ 8000 }, {} };
  Duration runTime_ = std::chrono::seconds(1);
  /// The run time that the caller declares, as a part of the real one.
  double declared_ = 1;
};

/// What the callers of a workspace saw.
struct CallerCounts
{
  int sent_ = 0;
  int inTime_ = 0;
  std::map<RejectReason, int> rejected_;
  Duration longestRetryAfter_{};

  [[nodiscard]] double ShareInTime() const
  {
    return sent_ == 0 ? 1 : static_cast<double>(inTime_) / sent_;
  }
};

/// Plays streams of jobs against the decisions on one pool of equal workers:
/// the admission and the placement passes, in virtual time and without a
/// network.
class PoolReplay
{
public:
  /// How the jobs of the workspaces are ordered.
  enum class Order : std::uint8_t
  {
    FairShares,
    /// By rank, as without workspaces.
    Rank,
    /// By the virtual finish time at the arrival, from the declared CPU time
    /// and the weight.
    WeightedByArrival,
  };

  PoolReplay(std::uint64_t aSeed, int aWorkers, Order aOrder);

  void SetWeight(const WorkspaceId& aWorkspace, double aWeight);
  void Add(const JobStream& aStream);
  void RunUntil(Duration aTime);

  [[nodiscard]] const CallerCounts& Counts(const WorkspaceId& aWorkspace) const;
  /// Part of the pool's CPU that tasks use, of one workspace or of all of them.
  [[nodiscard]] double CpuShare(const WorkspaceId& aWorkspace) const;
  [[nodiscard]] double CpuShare() const;

private:
  struct SentJob
  {
    WorkspaceId workspace_;
    TimePoint sentAt_;
    Duration runTime_{};
  };
  struct Run
  {
    TaskId task_;
    WorkerId worker_;
    Resources resources_;
  };

  void Submit(const JobStream& aStream);
  void EndRuns();
  void PlaceTasks();
  void Start(const StartDecision& aStart);
  Priority PriorityOf(const JobStream& aStream);

  Random random_;
  Order order_;
  State state_;
  TimePoint now_ = TimePoint{} + std::chrono::seconds(1000);
  TimePoint begin_ = now_;
  std::uint64_t lastJob_ = 0;
  std::multimap<TimePoint, JobStream> arrivals_;
  std::multimap<TimePoint, Run> runs_;
  std::map<JobId, SentJob> sent_;
  std::map<WorkspaceId, CallerCounts> counts_;
  std::map<WorkspaceId, Resources> used_;
  std::map<WorkspaceId, double> virtualFinish_;
  Resources pool_;
};

} // namespace verbenawell::jobs
