#include "verbenawell/jobs/placement/PlacementReducer.h"

#include "verbenawell/jobs/configuration/ConfigurationState.h"
#include "verbenawell/jobs/health/HealthState.h"
#include "verbenawell/jobs/journal/JournalState.h"
#include "verbenawell/jobs/placement/PlacementState.h"
#include "verbenawell/jobs/placement/Probing.h"
#include "verbenawell/jobs/placement/WorkerChoice.h"
#include "verbenawell/jobs/quotas/QuotaRoom.h"
#include "verbenawell/jobs/quotas/QuotasState.h"
#include "verbenawell/jobs/shares/FairOrder.h"
#include "verbenawell/jobs/shares/ShareReport.h"
#include "verbenawell/jobs/tasks/TasksState.h"
#include "verbenawell/jobs/workers/WorkersState.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

// Changes within this time are handled by one pass.
constexpr Duration kPassDelay = 5ms;
// A pass looks at all workers and ranks all jobs with a task to start, which
// takes less than a microsecond for each. These delays bound the share of the
// processor that passes take on large deployments and during a backlog.
constexpr Duration kPassDelayPerJob = 10us;
constexpr Duration kPassDelayPerWorker = 10us;
// Finds workers that may get start commands again after a rejection or after a
// time without responses.
constexpr Duration kIdlePassInterval = 200ms;

class Pass
{
public:
  Pass(const Views& aViews,
       const RackWaitTimes& aEarlierWaits,
       const Context& aContext)
    : views_(aViews)
    , now_(aContext.now_)
    , rackWaits_(aEarlierWaits, now_)
    , weights_(aViews.configuration_.configuration_)
    , quotaRoom_(aViews.quotas_, aViews.workers_.quotaUsage_)
  {
  }

  void Run()
  {
    CollectCapacity();
    IsolateSuspects();
    for (auto& [service, capacity] : capacities_) {
      auto jobs = RankJobs(views_.tasks_.openJobs_.Waiting().at(service),
                           views_.tasks_.jobs_,
                           now_);
      if (const auto suspects = suspectJobs_.find(service);
          suspects != suspectJobs_.end()) {
        PlaceSuspects(jobs, suspects->second, capacity);
      }
      selection_ = Selection::Others;
      FairOrder order{ std::move(jobs),
                       totals_.at(service),
                       views_.tasks_.openJobs_.Workspaces().In(service),
                       weights_ };
      while (const Job* job = order.Next()) {
        const std::size_t earlierStarts = starts_.size();
        Place(*job, capacity);
        for (std::size_t i = earlierStarts; i < starts_.size(); ++i) {
          order.Charge(job->workspace_, starts_[i].resources_);
        }
      }
    }
  }

  std::vector<StartDecision> starts_;
  std::vector<AdviceQuery> queries_;

  [[nodiscard]] const RackWaitTimes& GangsWaiting() const
  {
    return rackWaits_.Waiting();
  }

  [[nodiscard]] const std::map<WorkspaceId, QuotaShortage>& Shortages() const
  {
    return quotaRoom_.Shortages();
  }

private:
  /// The tasks that a round of a pass places.
  enum class Selection : std::uint8_t
  {
    Suspects,
    Others,
  };

  void IsolateSuspects()
  {
    for (const TaskId& id : views_.tasks_.suspects_) {
      const Job& job = views_.tasks_.jobs_.at(id.job_);
      const auto capacity = capacities_.find(job.service_);
      if (capacity == capacities_.end()) {
        continue;
      }
      const Task& task = *job.Find(id);
      if (const auto* placed = std::get_if<Placed>(&task.status_)) {
        capacity->second.Isolate(
          placed->worker_, { id.job_, task.crashes_, now_ - placed->since_ });
      } else if (std::holds_alternative<Waiting>(task.status_)) {
        suspectJobs_[job.service_].insert(id.job_);
      }
    }
  }

  // Suspects go first, since the others would take the workers that are free.
  void PlaceSuspects(const std::vector<RankedJob>& aJobs,
                     const std::set<JobId>& aSuspectJobs,
                     ServiceCapacity& aCapacity)
  {
    selection_ = Selection::Suspects;
    std::set<JobId> left = aSuspectJobs;
    for (const auto& [rank, job] : aJobs) {
      if (aSuspectJobs.contains(job->id_)) {
        isAnyUnplaced_ = false;
        Place(*job, aCapacity);
        if (!isAnyUnplaced_) {
          left.erase(job->id_);
        }
      }
    }
    if (!left.empty()) {
      aCapacity.KeepFreeForSuspects(left.size());
    }
  }

  void CollectCapacity()
  {
    const auto& waiting = views_.tasks_.openJobs_.Waiting();
    if (waiting.empty()) {
      return;
    }
    for (const auto& [id, worker] : views_.workers_.workers_) {
      if (!waiting.contains(worker.entry_.service_)) {
        continue;
      }
      const HealthStatus status = views_.health_.HealthOf(id, now_);
      if (MayGetTasks(worker, status, views_, now_)) {
        capacities_[worker.entry_.service_].Add(worker, status);
        totals_[worker.entry_.service_] += worker.entry_.capacity_;
      }
    }
  }

  void Place(const Job& aJob, ServiceCapacity& aCapacity)
  {
    unplaceableSteps_.clear();
    for (const auto& [occurrence, tasks] : aJob.occurrences_) {
      for (std::uint32_t index = 0; index < tasks.steps_.size(); ++index) {
        const StepIndex step{ index };
        if (tasks.steps_[index].waiting_ > TaskCount{ 0 } &&
            !unplaceableSteps_.contains(step) &&
            aJob.IsReady(occurrence, step)) {
          const TaskId first{ aJob.id_, occurrence, step, {} };
          if (aJob.definition_.steps_[index].gang_) {
            PlaceGang(aJob, first, aCapacity);
          } else {
            PlaceTasks(aJob, first, aCapacity);
          }
        }
      }
    }
  }

  void PlaceTasks(const Job& aJob, TaskId aTask, ServiceCapacity& aCapacity)
  {
    const Step& step = aJob.definition_.steps_[aTask.step_.Value()];
    const StepTasks& stepTasks =
      aJob.occurrences_.at(aTask.occurrence_).steps_[aTask.step_.Value()];
    const auto& tasks = stepTasks.tasks_;
    const Permission permission = PermissionOf(aJob, aTask);
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
      if (!std::holds_alternative<Waiting>(tasks[index].status_)) {
        continue;
      }
      if (tasks[index].IsSuspect() != (selection_ == Selection::Suspects)) {
        continue;
      }
      if (!quotaRoom_.Fits(
            aJob.workspace_, step, TaskCount{ 1 }, stepTasks.waiting_)) {
        unplaceableSteps_.insert(aTask.step_);
        return;
      }
      aTask.index_ = TaskIndex{ index };
      auto choice =
        aCapacity.ChooseWorker(aTask, step, permission, tasks[index]);
      if (!choice) {
        isAnyUnplaced_ = true;
        // All tasks of the step need the same resources.
        NoteMissingAdvice(aTask, step, permission, aCapacity);
        if (!HasOwnConstraints(aJob, step, tasks[index])) {
          unplaceableSteps_.insert(aTask.step_);
        }
        return;
      }
      quotaRoom_.Take(aJob.workspace_, step);
      const RunNumber run{ tasks[index].lastRun_.Value() + 1 };
      starts_.push_back({ aTask,
                          run,
                          std::move(choice->worker_),
                          ResourcesOnWorker(step),
                          step.longRunning_,
                          std::move(choice->ticket_),
                          { aJob.workspace_, step.resources_ } });
    }
  }

  /// Returns whether a worker that may not run a task may run the same step's
  /// task of another occurrence.
  static bool HasOwnConstraints(const Job& aJob,
                                const Step& aStep,
                                const Task& aTask)
  {
    return aJob.policy_.needsTickets_ || aStep.maxPerWorker_ > TaskCount{} ||
           aTask.IsSuspect() || aTask.failures_ > TaskCount{};
  }

  // A member that waits for the others wastes its resources, so a gang starts
  // only as a whole and under one run number.
  void PlaceGang(const Job& aJob, TaskId aTask, ServiceCapacity& aCapacity)
  {
    const Step& step = aJob.definition_.steps_[aTask.step_.Value()];
    const auto& tasks = aJob.occurrences_.at(aTask.occurrence_)
                          .steps_[aTask.step_.Value()]
                          .tasks_;
    std::vector<TaskId> members;
    RunNumber run;
    Task mostSuspect;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
      if (!std::holds_alternative<Waiting>(tasks[index].status_)) {
        return;
      }
      aTask.index_ = TaskIndex{ index };
      members.push_back(aTask);
      run = std::max(run, tasks[index].lastRun_);
      mostSuspect.crashes_ =
        std::max(mostSuspect.crashes_, tasks[index].crashes_);
    }
    if (mostSuspect.IsSuspect() != (selection_ == Selection::Suspects)) {
      return;
    }
    const TaskCount size{ static_cast<std::uint32_t>(members.size()) };
    if (!quotaRoom_.Fits(aJob.workspace_, step, size, size)) {
      return;
    }
    const Permission permission = PermissionOf(aJob, aTask);
    auto choices =
      rackWaits_.Choose(aCapacity, members, step, permission, mostSuspect);
    if (!choices) {
      isAnyUnplaced_ = true;
      NoteMissingAdvice(aTask, step, permission, aCapacity);
      return;
    }
    for (std::size_t index = 0; index < members.size(); ++index) {
      Choice& choice = (*choices)[index];
      quotaRoom_.Take(aJob.workspace_, step);
      starts_.push_back({ members[index],
                          RunNumber{ run.Value() + 1 },
                          std::move(choice.worker_),
                          ResourcesOnWorker(step),
                          step.longRunning_,
                          std::move(choice.ticket_),
                          { aJob.workspace_, step.resources_ } });
    }
  }

  [[nodiscard]] Permission PermissionOf(const Job& aJob,
                                        const TaskId& aTask) const
  {
    if (!aJob.policy_.needsTickets_) {
      return AnyWorker{};
    }
    return TicketRequired{ &views_.advice_, StepOf(aTask), now_ };
  }

  void NoteMissingAdvice(const TaskId& aTask,
                         const Step& aStep,
                         const Permission& aPermission,
                         const ServiceCapacity& aCapacity)
  {
    if (const auto* required = std::get_if<TicketRequired>(&aPermission)) {
      if (auto workers =
            aCapacity.WorkersWithoutAdvice(aTask, aStep, *required);
          !workers.empty()) {
        queries_.push_back({ required->step_, std::move(workers) });
      }
    }
  }

  const Views& views_;
  TimePoint now_;
  RackWaits rackWaits_;
  WorkspaceWeights weights_;
  QuotaRoom quotaRoom_;
  std::map<ServiceId, ServiceCapacity> capacities_;
  /// Capacity of the workers in `capacities_`, whether free or not.
  std::map<ServiceId, Resources> totals_;
  /// The jobs of each service with suspects that wait.
  std::map<ServiceId, std::set<JobId>> suspectJobs_;
  Selection selection_ = Selection::Others;
  /// A task of the present round has found no worker.
  bool isAnyUnplaced_ = false;
  /// The steps of the present job for which no worker has room, whatever the
  /// occurrence.
  std::set<StepIndex> unplaceableSteps_;
};

class Reducer
{
public:
  Reducer(PlacementState& aState,
          const Views& aViews,
          const Context& aContext,
          Effects& aEffects)
    : state_(aState)
    , views_(aViews)
    , context_(aContext)
    , effects_(aEffects)
  {
  }

  void On(const OwnershipTaken&) { state_ = {}; }
  void On(const OwnershipLost&) { state_ = {}; }
  void On(const CapacityChanged&) { SchedulePass(); }
  void On(const RunsEnded&) { SchedulePass(); }

  void On(const TimerDue& aDue)
  {
    if (!std::holds_alternative<PlacementPass>(aDue.key_) ||
        !views_.journal_.IsReady()) {
      return;
    }
    state_.isPassScheduled_ = false;
    Pass pass{ views_, state_.rackWaits_, context_ };
    pass.Run();
    state_.rackWaits_ = pass.GangsWaiting();
    LogProbes(pass.starts_, views_.health_, effects_);
    if (!pass.starts_.empty()) {
      effects_.push_back(Raise{ StartsDecided{ std::move(pass.starts_) } });
    }
    if (!pass.queries_.empty() || !views_.advice_.queries_.empty()) {
      effects_.push_back(Raise{ AdviceRequested{ std::move(pass.queries_) } });
    }
    ReportShares(state_.sharesReportedAt_, views_, context_, effects_);
    if (!pass.Shortages().empty() || !views_.quotas_.shortages_.empty()) {
      effects_.push_back(Raise{ QuotaShortagesFound{ pass.Shortages() } });
    }
    effects_.push_back(SetTimer{ PlacementPass{}, kIdlePassInterval });
  }

  template<typename Other>
  void On(const Other&)
  {
  }

private:
  void SchedulePass()
  {
    if (!std::exchange(state_.isPassScheduled_, true)) {
      effects_.push_back(SetTimer{
        PlacementPass{},
        kPassDelay + kPassDelayPerJob * views_.tasks_.openJobs_.WaitingCount() +
          kPassDelayPerWorker * views_.workers_.workers_.size() });
    }
  }

  PlacementState& state_;
  const Views& views_;
  const Context& context_;
  Effects& effects_;
};

} // namespace

void
ReducePlacement(PlacementState& aState,
                const Views& aViews,
                const Event& aEvent,
                const Context& aContext,
                Effects& aEffects)
{
  Reducer reducer{ aState, aViews, aContext, aEffects };
  std::visit([&](const auto& aKnown) { reducer.On(aKnown); }, aEvent);
}

} // namespace verbenawell::jobs
