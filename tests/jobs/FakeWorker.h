#pragma once

#include "verbenawell/core/Random.h"
#include "verbenawell/jobs/core/Effect.h"

#include "FakeChannel.h"
#include "JobOracle.h"
#include "VirtualTime.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace verbenawell::jobs {

struct WorkerFaults
{
  /// Commands get no response and are not executed.
  bool isUnreachable_ = false;
  /// Percentage of commands that get no response and are executed seconds
  /// later.
  int delayedCommandPercent_ = 0;
  /// Stop commands get no response and are not executed.
  bool losesStops_ = false;
  /// Stop commands get a response but are not executed.
  bool ignoresStops_ = false;
  /// Time that the worker takes for each start or stop command, one after the
  /// other; zero if it handles all of them at once.
  Duration commandTime_{};
  /// Delayed commands are also executed by the next incarnation with the same
  /// id.
  bool delayedCommandsSurviveRestart_ = false;
  /// Additional time until the response to a lease renewal arrives.
  Duration renewalDelay_{};
  /// Percentage of runs that fail.
  int failurePercent_ = 0;
  /// Runs of long-running tasks fail during their start-up.
  bool failsStartUps_ = false;
  /// Factor by which new runs take longer than their estimate.
  int runTimeFactor_ = 1;
};

/// Finds the step of a task, which states its run time and resources.
using TaskLookup = std::function<const Step*(const TaskId&)>;

/// Simulates a worker with its lease, its fencing token and its lists of runs
/// and ends in virtual time.
class FakeWorker
{
public:
  using Reply = std::function<void(Event)>;

  FakeWorker(VirtualTime& aTime,
             Random& aRandom,
             JobOracle& aOracle,
             TaskLookup aLookup,
             WorkerEntry aEntry);

  void Run(const RenewLease& aRenewal, const Reply& aReply);
  void Run(const StartTask& aStart, const Reply& aReply);
  void Run(const StopTask& aStop, const Reply& aReply);

  /// Executes a copy of a command that was delayed.
  void RunDelayedCopy(const StartTask& aStart);

  /// Ends the runs of a gang's members, of which another one has ended.
  void EndMembers(const JobId& aJob, StepIndex aStep);

  /// Lets all runs fail.
  void FailRuns();

  /// Ends the incarnation: nothing runs, and calls get no response.
  void Crash();
  /// Begins a new incarnation with the same id.
  void Restart();
  /// Sets back the time of day from which the next incarnation takes its
  /// number.
  void StepClockBack(Duration aTime) { clockStep_ -= aTime; }

  [[nodiscard]] bool IsAlive() const { return isAlive_; }
  [[nodiscard]] const WorkerEntry& Entry() const { return entry_; }
  [[nodiscard]] std::vector<TaskId> Running() const;

  WorkerFaults faults_;
  /// Called for each task that starts.
  std::function<void(const TaskId&)> started_ = [](const TaskId&) {};
  /// Number of lease renewals that have arrived.
  int renewals_ = 0;

private:
  struct ActiveRun
  {
    RunNumber run_;
    Resources resources_;
    bool isStopping_ = false;
    std::uint64_t serial_ = 0;
    TimePoint startedAt_;
    /// Zero for a run without an end of its own.
    Duration duration_{};
  };

  void Execute(const StartTask& aStart, const Reply& aReply);
  void Execute(const StopTask& aStop, const Reply& aReply);
  void RunDelayed(std::function<void()> aCommand);
  StartResult Handle(const StartTask& aStart, CommandTiming aTiming);
  void Handle(const StopTask& aStop);
  bool RaiseFence(Epoch aEpoch);
  void ExtendLease(WorkerTime aEnd);
  void CheckLease();
  /// Ends the run after this time if it is still there.
  void EndAfter(Duration aTime, const TaskId& aTask, EndKind aKind);
  void End(const TaskId& aTask, EndKind aKind);
  void Acknowledge(RunEndNumber aThrough);
  void RespondToLeaseRenewal(const RenewLease& aRenewal,
                             const Reply& aReply,
                             TimePoint aSentAt,
                             Duration aWait,
                             RunEndNumber aLastEnd);
  [[nodiscard]] WorkerTime Clock() const;
  [[nodiscard]] Percent Progress(const ActiveRun& aRun) const;

  VirtualTime& time_;
  Random& random_;
  JobOracle& oracle_;
  TaskLookup lookup_;
  WorkerEntry entry_;
  bool isAlive_ = true;
  std::uint64_t incarnationNumber_ = 1;
  Epoch fence_;
  WorkerTime leaseEnd_;
  TimePoint incarnationStart_;
  /// Offset of the time of day at the next start.
  Duration clockStep_{};
  std::map<TaskId, ActiveRun> runs_;
  std::map<TaskId, RunNumber> highestRefusedRun_;
  std::vector<ListedEnd> ended_;
  RunEndNumber lastEnd_;
  Resources used_;
  std::uint64_t lastSerial_ = 0;
  FakeChannel commands_;
};

} // namespace verbenawell::jobs
