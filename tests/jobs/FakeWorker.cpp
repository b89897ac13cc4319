#include "FakeWorker.h"

#include <algorithm>
#include <utility>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Duration kLatency = 2ms;
constexpr Duration kCallLimit = 800ms;
constexpr Duration kLeaseCheck = 50ms;
constexpr Duration kHoldStep = 10ms;
constexpr Duration kStopTime = 200ms;

} // namespace

FakeWorker::FakeWorker(VirtualTime& aTime,
                       Random& aRandom,
                       JobOracle& aOracle,
                       TaskLookup aLookup,
                       WorkerEntry aEntry)
  : time_(aTime)
  , random_(aRandom)
  , oracle_(aOracle)
  , lookup_(std::move(aLookup))
  , entry_(std::move(aEntry))
  , bornAt_(aTime.Now())
{
  time_.After(kLeaseCheck, [this] { CheckLease(); });
}

WorkerTime
FakeWorker::Clock() const
{
  // Runs 2% slow. The job manager has to tolerate such a clock.
  return WorkerTime{ std::chrono::duration_cast<std::chrono::milliseconds>(
                       (time_.Now() - bornAt_) * 98 / 100)
                       .count() };
}

bool
FakeWorker::RaiseFence(Epoch aEpoch)
{
  fence_ = std::max(fence_, aEpoch);
  return aEpoch == fence_;
}

void
FakeWorker::ExtendLease(WorkerTime aEnd)
{
  leaseEnd_ = std::max(leaseEnd_, aEnd);
}

void
FakeWorker::CheckLease()
{
  if (isAlive_ && !runs_.empty() && Clock() >= leaseEnd_) {
    while (!runs_.empty()) {
      End(runs_.begin()->first, EndKind::Lapsed);
    }
  }
  time_.After(kLeaseCheck, [this] { CheckLease(); });
}

void
FakeWorker::Delayed(std::function<void()> aOrder)
{
  time_.After(1s + Duration(random_.Below(5'000'000)),
              [this, life = life_, order = std::move(aOrder)] {
                if (isAlive_ && (life == life_ || faults_.lateOrdersOutlive_)) {
                  order();
                }
              });
}

StartResult
FakeWorker::CarryOut(const StartTask& aStart, OrderTiming aTiming)
{
  if (!RaiseFence(aStart.epoch_)) {
    return StartRefusal::Fence;
  }
  if (const auto run = runs_.find(aStart.task_); run != runs_.end()) {
    return run->second.run_ == aStart.run_ ? StartResult{ StartAccepted{} }
                                           : StartResult{ StartRefusal::Old };
  }
  if (const auto refused = refusedThrough_.find(aStart.task_);
      refused != refusedThrough_.end() && aStart.run_ <= refused->second) {
    return StartRefusal::Old;
  }
  if (aStart.leaseEnd_ <= Clock()) {
    return StartRefusal::Late;
  }
  ExtendLease(aStart.leaseEnd_);
  const Step* step = lookup_(aStart.task_);
  const Room room = step == nullptr ? Room{} : RoomOnWorker(*step);
  used_ += room;
  oracle_.Started(entry_.worker_,
                  entry_,
                  used_,
                  aStart.task_,
                  aStart.specification_,
                  aTiming,
                  time_.Now());
  PresentRun& run = runs_[aStart.task_];
  run = { aStart.run_, room, false, ++lastSerial_, time_.Now(), {} };
  if (step != nullptr && !step->longRunning_) {
    const bool fails =
      random_.Below(100) < static_cast<std::uint64_t>(faults_.failures_);
    run.time_ = step->estimate_ * faults_.slowness_;
    time_.After(run.time_,
                [this, task = aStart.task_, serial = run.serial_, fails] {
                  const auto found = runs_.find(task);
                  if (found != runs_.end() && found->second.serial_ == serial) {
                    End(task, fails ? EndKind::Failed : EndKind::Done);
                  }
                });
  }
  return StartAccepted{};
}

void
FakeWorker::Run(const StartTask& aStart, const Reply& aReply)
{
  const auto answer = [&](StartResult aResult, Duration aDelay) {
    time_.After(aDelay, [aReply, aStart, aResult] {
      aReply(
        StartAnswered{ aStart.worker_, aStart.task_, aStart.run_, aResult });
    });
  };
  if (!isAlive_ || faults_.isCutOff_) {
    answer(OrderUnanswered{}, kCallLimit);
  } else if (random_.Below(100) <
             static_cast<std::uint64_t>(faults_.lateOrders_)) {
    Delayed([this, aStart] { CarryOut(aStart, OrderTiming::Late); });
    answer(OrderUnanswered{}, kCallLimit);
  } else {
    answer(CarryOut(aStart, OrderTiming::Prompt), kLatency);
  }
}

void
FakeWorker::CarryOut(const StopTask& aStop)
{
  if (!RaiseFence(aStop.epoch_)) {
    return;
  }
  RunNumber& refused = refusedThrough_[aStop.task_];
  refused = std::max(refused, aStop.run_);
  const auto run = runs_.find(aStop.task_);
  if (run == runs_.end() || run->second.run_ != aStop.run_ ||
      run->second.isStopping_) {
    return;
  }
  run->second.isStopping_ = true;
  time_.After(kStopTime,
              [this, task = aStop.task_, serial = run->second.serial_] {
                const auto found = runs_.find(task);
                if (found != runs_.end() && found->second.serial_ == serial) {
                  oracle_.Disrupted(task, time_.Now());
                  End(task, EndKind::Stopped);
                }
              });
}

void
FakeWorker::Run(const StopTask& aStop, const Reply& aReply)
{
  const bool arrives = isAlive_ && !faults_.isCutOff_ && !faults_.losesStops_;
  const bool answers =
    arrives &&
    random_.Below(100) >= static_cast<std::uint64_t>(faults_.lateOrders_);
  if (answers && !faults_.ignoresStops_) {
    CarryOut(aStop);
  } else if (arrives && !answers) {
    Delayed([this, aStop] { CarryOut(aStop); });
  }
  time_.After(answers ? kLatency : kCallLimit, [aReply, aStop, answers] {
    aReply(StopAnswered{ aStop.worker_, aStop.task_, aStop.run_, answers });
  });
}

void
FakeWorker::Run(const HoldWorker& aHold, const Reply& aReply)
{
  const TimePoint sentAt = time_.Now();
  if (!isAlive_ || faults_.isCutOff_) {
    time_.After(kCallLimit + aHold.wait_,
                [aReply, aHold] { aReply(HoldFailed{ aHold.worker_ }); });
    return;
  }
  if (!RaiseFence(aHold.epoch_)) {
    time_.After(kLatency, [aReply, aHold] {
      aReply(HoldRefused{ aHold.worker_, "fence", aHold.epoch_ });
    });
    return;
  }
  if (aHold.leaseEnd_) {
    ExtendLease(*aHold.leaseEnd_);
  }
  Acknowledge(aHold.acknowledged_);
  AnswerHold(aHold, aReply, sentAt, aHold.wait_, lastEnd_);
}

void
FakeWorker::AnswerHold(const HoldWorker& aHold,
                       const Reply& aReply,
                       TimePoint aSentAt,
                       Duration aWait,
                       EndNumber aSeen)
{
  if (!isAlive_ || faults_.isCutOff_) {
    time_.After(kCallLimit,
                [aReply, aHold] { aReply(HoldFailed{ aHold.worker_ }); });
    return;
  }
  if (aWait > 0us && lastEnd_ == aSeen && ended_.empty()) {
    time_.After(kHoldStep, [this, aHold, aReply, aSentAt, aWait, aSeen] {
      AnswerHold(aHold, aReply, aSentAt, aWait - kHoldStep, aSeen);
    });
    return;
  }
  WorkerLists lists;
  lists.worker_ = entry_.worker_;
  lists.born_ = entry_.born_;
  lists.clock_ = Clock();
  lists.sentAt_ = aSentAt;
  for (const auto& [task, run] : runs_) {
    lists.running_.push_back({ task, run.run_, {}, Progress(run), 0 });
  }
  lists.ended_ = ended_;
  time_.After(kLatency, [aReply, lists = std::move(lists)] { aReply(lists); });
}

Percent
FakeWorker::Progress(const PresentRun& aRun) const
{
  if (aRun.time_ == Duration{}) {
    return Percent{ 100 };
  }
  return Percent{ static_cast<std::uint32_t>(
    100 * (time_.Now() - aRun.startedAt_) / aRun.time_) };
}

void
FakeWorker::Acknowledge(EndNumber aThrough)
{
  std::erase_if(ended_, [&](const ListedEnd& aEnd) {
    if (aEnd.number_ > aThrough) {
      return false;
    }
    oracle_.Acknowledged(aEnd.task_, aEnd.kind_);
    return true;
  });
}

void
FakeWorker::End(const TaskId& aTask, EndKind aKind)
{
  const auto node = runs_.extract(aTask);
  const PresentRun& run = node.mapped();
  used_ -= run.room_;
  RunNumber& refused = refusedThrough_[node.key()];
  refused = std::max(refused, run.run_);
  ++lastEnd_;
  ended_.push_back({ lastEnd_, node.key(), run.run_, aKind, {} });
  oracle_.Ended(node.key(), aKind, time_.Now());
}

void
FakeWorker::Die()
{
  for (const auto& [task, run] : runs_) {
    oracle_.Gone(task, time_.Now());
  }
  runs_.clear();
  ended_.clear();
  refusedThrough_.clear();
  used_ = Room{};
  isAlive_ = false;
}

void
FakeWorker::Revive()
{
  if (isAlive_) {
    return;
  }
  isAlive_ = true;
  ++life_;
  fence_ = Epoch{};
  leaseEnd_ = WorkerTime{};
  lastEnd_ = EndNumber{};
  bornAt_ = time_.Now();
  entry_.born_ =
    BirthTime{ entry_.born_.Value() + 1 +
               std::chrono::duration_cast<std::chrono::milliseconds>(
                 time_.Now().time_since_epoch())
                 .count() };
}

std::vector<TaskId>
FakeWorker::Running() const
{
  std::vector<TaskId> tasks;
  for (const auto& [task, run] : runs_) {
    tasks.push_back(task);
  }
  return tasks;
}

} // namespace verbenawell::jobs
