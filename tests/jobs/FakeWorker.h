#pragma once

#include "verbenawell/core/Random.h"
#include "verbenawell/jobs/core/Effect.h"

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
  /// Orders get no answer and are not carried out.
  bool isCutOff_ = false;
  /// Of a hundred orders, those carried out seconds later without an answer.
  int lateOrders_ = 0;
  /// Stops get no answer and are not carried out.
  bool losesStops_ = false;
  /// Stops are answered and not carried out.
  bool ignoresStops_ = false;
  /// Late orders are also carried out by the next life under the same id.
  bool lateOrdersOutlive_ = false;
  /// Of a hundred runs, those that fail.
  int failures_ = 0;
  /// Runs that start take this many times as long.
  int slowness_ = 1;
};

/// How long the tasks of a job run, and how much room they take.
using TaskLookup = std::function<const Step*(const TaskId&)>;

/// A worker with leases, a fence and its lists, in virtual time.
class FakeWorker
{
public:
  using Reply = std::function<void(Event)>;

  FakeWorker(VirtualTime& aTime,
             Random& aRandom,
             JobOracle& aOracle,
             TaskLookup aLookup,
             WorkerEntry aEntry);

  void Run(const HoldWorker& aHold, const Reply& aReply);
  void Run(const StartTask& aStart, const Reply& aReply);
  void Run(const StopTask& aStop, const Reply& aReply);

  /// Ends the life: nothing runs or answers.
  void Die();
  /// Begins a new life under the same id.
  void Revive();

  [[nodiscard]] bool IsAlive() const { return isAlive_; }
  [[nodiscard]] const WorkerEntry& Entry() const { return entry_; }
  [[nodiscard]] std::vector<TaskId> Running() const;

  WorkerFaults faults_;

private:
  struct PresentRun
  {
    RunNumber run_;
    Room room_;
    bool isStopping_ = false;
    std::uint64_t serial_ = 0;
    TimePoint startedAt_;
    /// Zero for a run that lasts.
    Duration time_{};
  };

  void Delayed(std::function<void()> aOrder);
  StartResult CarryOut(const StartTask& aStart, OrderTiming aTiming);
  void CarryOut(const StopTask& aStop);
  bool RaiseFence(Epoch aEpoch);
  void ExtendLease(WorkerTime aEnd);
  void CheckLease();
  void End(const TaskId& aTask, EndKind aKind);
  void Acknowledge(EndNumber aThrough);
  void AnswerHold(const HoldWorker& aHold,
                  const Reply& aReply,
                  TimePoint aSentAt,
                  Duration aWait,
                  EndNumber aSeen);
  [[nodiscard]] WorkerTime Clock() const;
  [[nodiscard]] Percent Progress(const PresentRun& aRun) const;

  VirtualTime& time_;
  Random& random_;
  JobOracle& oracle_;
  TaskLookup lookup_;
  WorkerEntry entry_;
  bool isAlive_ = true;
  std::uint64_t life_ = 1;
  Epoch fence_;
  WorkerTime leaseEnd_;
  TimePoint bornAt_;
  std::map<TaskId, PresentRun> runs_;
  std::map<TaskId, RunNumber> refusedThrough_;
  std::vector<ListedEnd> ended_;
  EndNumber lastEnd_;
  Room used_;
  std::uint64_t lastSerial_ = 0;
};

} // namespace verbenawell::jobs
