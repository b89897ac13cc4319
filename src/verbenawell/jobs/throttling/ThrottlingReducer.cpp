#include "verbenawell/jobs/throttling/ThrottlingReducer.h"

#include "verbenawell/jobs/tasks/TasksState.h"
#include "verbenawell/jobs/throttling/ThrottlingState.h"
#include "verbenawell/jobs/workers/WorkersState.h"

#include <algorithm>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

// Tail latencies, in percent of the latency target, at which the share of
// best-effort tasks is lowered or raised. It is lowered before the target is
// reached, because the reported tail latency is inexact.
constexpr std::int64_t kLowerAtTargetPercent = 85;
constexpr std::int64_t kRaiseAtTargetPercent = 60;
constexpr std::uint32_t kMinSharePercent = 10;
constexpr std::uint32_t kRaiseStepPercent = 10;
constexpr std::uint32_t kFullSharePercent = 100;
// A command may be lost, or be carried out seconds later, after newer ones. A
// full share is therefore sent repeatedly for some time: otherwise a lost one
// would never be sent again.
constexpr Duration kFullShareRepeatTime = 10s;
constexpr Duration kFullShareRepeatInterval = 1s;

class WorkerUpdate
{
public:
  WorkerUpdate(ThrottlingState& aState,
               const Views& aViews,
               const RunsReported& aReported,
               TimePoint aNow,
               Effects& aEffects)
    : state_(aState)
    , views_(aViews)
    , reported_(aReported)
    , now_(aNow)
    , effects_(aEffects)
  {
  }

  void Run()
  {
    const bool hasBestEffortRun =
      std::ranges::any_of(reported_.running_, [&](const ListedRun& aRun) {
        return IsBestEffort(aRun);
      });
    if (!hasBestEffortRun) {
      state_.workers_.erase(reported_.worker_);
      return;
    }
    WorkerThrottle& throttle = state_.workers_[reported_.worker_];
    throttle.percent_ = NextSharePercent(throttle.percent_);
    for (const ListedRun& run : reported_.running_) {
      if (IsBestEffort(run)) {
        SendShare(throttle, run);
      }
    }
  }

private:
  [[nodiscard]] const Step* StepOf(const ListedRun& aRun) const
  {
    const Job* job = views_.tasks_.Find(aRun.task_.job_);
    return job == nullptr || job->Find(aRun.task_) == nullptr
             ? nullptr
             : &job->definition_.steps_[aRun.task_.step_.Value()];
  }

  [[nodiscard]] bool IsBestEffort(const ListedRun& aRun) const
  {
    const Step* step = StepOf(aRun);
    return step != nullptr && step->bestEffort_;
  }

  /// The highest tail latency of a serving task, in percent of its target.
  [[nodiscard]] std::int64_t WorstTailPercent() const
  {
    std::int64_t worst = 0;
    for (const ListedRun& run : reported_.running_) {
      const Step* step = StepOf(run);
      if (step != nullptr && !step->bestEffort_ &&
          step->latencyTarget_ > Duration{}) {
        const auto target =
          std::chrono::duration_cast<std::chrono::milliseconds>(
            step->latencyTarget_)
            .count();
        worst = std::max(
          worst, run.measurement_ * 100 / std::max<std::int64_t>(1, target));
      }
    }
    return worst;
  }

  [[nodiscard]] Percent NextSharePercent(Percent aCurrent) const
  {
    const std::int64_t tailPercent = WorstTailPercent();
    if (tailPercent >= kLowerAtTargetPercent) {
      const std::uint32_t half = aCurrent.Value() / 2;
      return Percent{ half < kMinSharePercent ? 0 : half };
    }
    if (tailPercent <= kRaiseAtTargetPercent) {
      return Percent{ std::min(kFullSharePercent,
                               aCurrent.Value() + kRaiseStepPercent) };
    }
    return aCurrent;
  }

  /// Tells whether this owner has sent the start command of the run, which
  /// starts at the full share.
  static bool IsStartedByThisOwner(const Worker& aWorker, const TaskId& aTask)
  {
    const auto run = aWorker.runs_.find(aTask);
    return run != aWorker.runs_.end() &&
           run->second.startSentAt_ != TimePoint{};
  }

  void SendShare(WorkerThrottle& aThrottle, const ListedRun& aRun)
  {
    const Worker* worker = views_.workers_.Find(reported_.worker_);
    if (worker == nullptr) {
      return;
    }
    const auto [entry, isNew] = aThrottle.sentShares_.try_emplace(
      aRun.task_, SentShare{ Percent{ kFullSharePercent }, {}, {} });
    SentShare& sent = entry->second;
    // The run of an earlier owner may have any share.
    const bool isChanged =
      sent.percent_ != aThrottle.percent_ ||
      (isNew && !IsStartedByThisOwner(*worker, aRun.task_));
    // A lowered share is sent again with each list, because its command may
    // have been lost.
    const bool isThrottled = aThrottle.percent_ < Percent{ kFullSharePercent };
    const bool isRepeated = now_ - sent.changedAt_ < kFullShareRepeatTime &&
                            now_ - sent.sentAt_ >= kFullShareRepeatInterval;
    if (!isChanged && !isThrottled && !isRepeated) {
      return;
    }
    if (isChanged) {
      sent.changedAt_ = now_;
      effects_.push_back(
        LogLine{ LogLevel::Info,
                 "task_paced",
                 { { "task", ToString(aRun.task_) },
                   { "worker", reported_.worker_.Value() },
                   { "percent", std::to_string(aThrottle.percent_.Value()) },
                   { "tail_percent", std::to_string(WorstTailPercent()) } } });
    }
    sent.percent_ = aThrottle.percent_;
    sent.sentAt_ = now_;
    effects_.push_back(Count{ Counter::ThrottleCommandsSent });
    effects_.push_back(ThrottleTask{ reported_.worker_,
                                     worker->entry_.address_,
                                     aRun.task_,
                                     aRun.run_,
                                     views_.workers_.epoch_,
                                     aThrottle.percent_ });
  }

  ThrottlingState& state_;
  const Views& views_;
  const RunsReported& reported_;
  TimePoint now_;
  Effects& effects_;
};

} // namespace

void
ReduceThrottling(ThrottlingState& aState,
                 const Views& aViews,
                 const Event& aEvent,
                 const Context& aContext,
                 Effects& aEffects)
{
  if (const auto* seen = std::get_if<RunsReported>(&aEvent)) {
    WorkerUpdate update{ aState, aViews, *seen, aContext.now_, aEffects };
    update.Run();
  } else if (std::holds_alternative<OwnershipTaken>(aEvent)) {
    aState = {};
  }
}

} // namespace verbenawell::jobs
