#include "FakeWorker.h"

#include "SimulatedDeployment.h"

#include <algorithm>
#include <utility>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Duration kLatency = 2ms;
constexpr Duration kCallTimeout = 800ms;
constexpr Duration kLeaseCheckInterval = 50ms;
constexpr Duration kLeaseRenewalPollInterval = 10ms;
constexpr Duration kStopTime = 200ms;
constexpr Duration kStartUpFailureTime = 100ms;
constexpr std::size_t kMaxListedEnds = 500;

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
  , incarnationStart_(aTime.Now())
  , commands_(aTime)
{
  time_.After(kLeaseCheckInterval, [this] { CheckLease(); });
}

WorkerTime
FakeWorker::Clock() const
{
  // Runs 2% slow. The job manager has to tolerate such a clock.
  return WorkerTime{ std::chrono::duration_cast<std::chrono::milliseconds>(
                       (time_.Now() - incarnationStart_) * 98 / 100)
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
      End(runs_.begin()->first, EndKind::LeaseExpired);
    }
  }
  time_.After(kLeaseCheckInterval, [this] { CheckLease(); });
}

void
FakeWorker::RunDelayed(std::function<void()> aCommand)
{
  time_.After(
    1s + Duration(random_.Below(5'000'000)),
    [this, incarnation = incarnationNumber_, command = std::move(aCommand)] {
      if (isAlive_ && (incarnation == incarnationNumber_ ||
                       faults_.delayedCommandsSurviveRestart_)) {
        command();
      }
    });
}

StartResult
FakeWorker::Handle(const StartTask& aStart, CommandTiming aTiming)
{
  if (!RaiseFence(aStart.epoch_)) {
    return StartRefusal::NewerEpoch;
  }
  if (const auto run = runs_.find(aStart.task_); run != runs_.end()) {
    return run->second.run_ == aStart.run_
             ? StartResult{ StartAccepted{} }
             : StartResult{ StartRefusal::RunSuperseded };
  }
  if (const auto highestRefused = highestRefusedRun_.find(aStart.task_);
      highestRefused != highestRefusedRun_.end() &&
      aStart.run_ <= highestRefused->second) {
    return StartRefusal::RunSuperseded;
  }
  if (aStart.leaseEnd_ <= Clock()) {
    return StartRefusal::DelayedCommand;
  }
  ExtendLease(aStart.leaseEnd_);
  const Step* step = lookup_(aStart.task_);
  const Resources resources =
    step == nullptr ? Resources{} : ResourcesOnWorker(*step);
  used_ += resources;
  oracle_.Started(entry_.worker_,
                  entry_,
                  used_,
                  aStart.task_,
                  aStart.specification_,
                  aTiming,
                  time_.Now());
  ActiveRun& run = runs_[aStart.task_];
  run = { aStart.run_, resources, false, ++lastSerial_, time_.Now(), {} };
  if (step != nullptr && !step->longRunning_) {
    const bool fails =
      random_.Below(100) < static_cast<std::uint64_t>(faults_.failurePercent_);
    run.duration_ = step->estimatedRunTime_ * faults_.runTimeFactor_;
    EndAfter(
      run.duration_, aStart.task_, fails ? EndKind::Failed : EndKind::Done);
  } else if (step != nullptr && faults_.failsStartUps_) {
    EndAfter(kStartUpFailureTime, aStart.task_, EndKind::Failed);
  }
  started_(aStart.task_);
  return StartAccepted{};
}

void
FakeWorker::Run(const StartTask& aStart, const Reply& aReply)
{
  if (faults_.commandTime_ == Duration{}) {
    Execute(aStart, aReply);
    return;
  }
  commands_.Call(
    FakeChannel::kTimeout,
    faults_.commandTime_,
    [this, aStart](const Reply& aRespond) { Execute(aStart, aRespond); },
    StartCommandCompleted{
      aStart.worker_, aStart.task_, aStart.run_, StartUnconfirmed{} },
    aReply);
}

void
FakeWorker::Execute(const StartTask& aStart, const Reply& aReply)
{
  const auto respond = [&](StartResult aResult, Duration aDelay) {
    time_.After(aDelay, [aReply, aStart, aResult] {
      aReply(StartCommandCompleted{
        aStart.worker_, aStart.task_, aStart.run_, aResult });
    });
  };
  if (!isAlive_ || faults_.isUnreachable_) {
    respond(StartUnconfirmed{}, kCallTimeout);
  } else if (aStart.incarnation_ != entry_.incarnation_) {
    // The client starts tasks only on a connection to the incarnation.
    respond(StartRefusal::OtherIncarnation, kLatency);
  } else if (random_.Below(100) <
             static_cast<std::uint64_t>(faults_.delayedCommandPercent_)) {
    RunDelayed([this, aStart] { Handle(aStart, CommandTiming::Delayed); });
    respond(StartUnconfirmed{}, kCallTimeout);
  } else {
    respond(Handle(aStart, CommandTiming::Prompt), kLatency);
  }
}

void
FakeWorker::RunDelayedCopy(const StartTask& aStart)
{
  Handle(aStart, CommandTiming::Delayed);
}

void
FakeWorker::Handle(const StopTask& aStop)
{
  if (!RaiseFence(aStop.epoch_)) {
    return;
  }
  RunNumber& highestRefused = highestRefusedRun_[aStop.task_];
  highestRefused = std::max(highestRefused, aStop.run_);
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
  if (faults_.commandTime_ == Duration{}) {
    Execute(aStop, aReply);
    return;
  }
  commands_.Call(
    std::nullopt,
    faults_.commandTime_,
    [this, aStop](const Reply& aRespond) { Execute(aStop, aRespond); },
    StopCommandCompleted{
      aStop.worker_, aStop.task_, aStop.run_, aStop.incarnation_, false },
    aReply);
}

void
FakeWorker::Execute(const StopTask& aStop, const Reply& aReply)
{
  const bool arrives =
    isAlive_ && !faults_.isUnreachable_ && !faults_.losesStops_;
  const bool responds =
    arrives && random_.Below(100) >=
                 static_cast<std::uint64_t>(faults_.delayedCommandPercent_);
  if (responds && !faults_.ignoresStops_) {
    Handle(aStop);
  } else if (arrives && !responds) {
    RunDelayed([this, aStop] { Handle(aStop); });
  }
  time_.After(responds ? kLatency : kCallTimeout, [aReply, aStop, responds] {
    aReply(StopCommandCompleted{
      aStop.worker_, aStop.task_, aStop.run_, aStop.incarnation_, responds });
  });
}

void
FakeWorker::Run(const RenewLease& aRenewal, const Reply& aReply)
{
  const TimePoint sentAt = time_.Now();
  if (!isAlive_ || faults_.isUnreachable_) {
    time_.After(kCallTimeout + aRenewal.wait_, [aReply, aRenewal] {
      aReply(LeaseRenewalFailed{ aRenewal.worker_ });
    });
    return;
  }
  if (!RaiseFence(aRenewal.epoch_)) {
    time_.After(kLatency, [aReply, aRenewal] {
      aReply(LeaseRenewalRefused{ aRenewal.worker_, "fence", aRenewal.epoch_ });
    });
    return;
  }
  ++renewals_;
  // Incarnations have separate connections, and the client extends leases and
  // acknowledges ends only on the connection to their incarnation.
  if (aRenewal.incarnation_ == entry_.incarnation_) {
    if (aRenewal.leaseEnd_) {
      ExtendLease(*aRenewal.leaseEnd_);
    }
    Acknowledge(aRenewal.acknowledged_);
  }
  RespondToLeaseRenewal(aRenewal, aReply, sentAt, aRenewal.wait_, lastEnd_);
}

void
FakeWorker::RespondToLeaseRenewal(const RenewLease& aRenewal,
                                  const Reply& aReply,
                                  TimePoint aSentAt,
                                  Duration aWait,
                                  RunEndNumber aLastEnd)
{
  if (!isAlive_ || faults_.isUnreachable_) {
    time_.After(kCallTimeout, [aReply, aRenewal] {
      aReply(LeaseRenewalFailed{ aRenewal.worker_ });
    });
    return;
  }
  if (aWait > 0us && lastEnd_ == aLastEnd && ended_.empty()) {
    time_.After(kLeaseRenewalPollInterval,
                [this, aRenewal, aReply, aSentAt, aWait, aLastEnd] {
                  RespondToLeaseRenewal(aRenewal,
                                        aReply,
                                        aSentAt,
                                        aWait - kLeaseRenewalPollInterval,
                                        aLastEnd);
                });
    return;
  }
  WorkerReported lists;
  lists.worker_ = entry_.worker_;
  lists.incarnation_ = entry_.incarnation_;
  lists.clock_ = Clock();
  lists.sentAt_ = aSentAt;
  for (const auto& [task, run] : runs_) {
    lists.running_.push_back({ task, run.run_, {}, Progress(run), 0 });
  }
  lists.ended_.assign(ended_.begin(),
                      ended_.begin() + static_cast<std::ptrdiff_t>(std::min(
                                         ended_.size(), kMaxListedEnds)));
  lists.mayHaveMoreEnds_ = lists.ended_.size() == kMaxListedEnds;
  time_.After(kLatency + faults_.renewalDelay_,
              [aReply, lists = std::move(lists)] { aReply(lists); });
}

Percent
FakeWorker::Progress(const ActiveRun& aRun) const
{
  if (aRun.duration_ == Duration{}) {
    return Percent{ 100 };
  }
  return Percent{ static_cast<std::uint32_t>(
    100 * (time_.Now() - aRun.startedAt_) / aRun.duration_) };
}

void
FakeWorker::Acknowledge(RunEndNumber aThrough)
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
FakeWorker::EndAfter(Duration aTime, const TaskId& aTask, EndKind aKind)
{
  const std::uint64_t serial = runs_.at(aTask).serial_;
  time_.After(aTime, [this, aTask, serial, aKind] {
    const auto found = runs_.find(aTask);
    if (found != runs_.end() && found->second.serial_ == serial) {
      End(aTask, aKind);
    }
  });
}

void
FakeWorker::End(const TaskId& aTask, EndKind aKind)
{
  const auto node = runs_.extract(aTask);
  const ActiveRun& run = node.mapped();
  used_ -= run.resources_;
  RunNumber& highestRefused = highestRefusedRun_[node.key()];
  highestRefused = std::max(highestRefused, run.run_);
  ++lastEnd_;
  ended_.push_back({ lastEnd_, node.key(), run.run_, aKind, {} });
  oracle_.Ended(node.key(), aKind, time_.Now());
}

void
FakeWorker::EndMembers(const JobId& aJob, StepIndex aStep)
{
  for (const TaskId& task : Running()) {
    if (task.job_ == aJob && task.step_ == aStep) {
      End(task, EndKind::GangMemberEnded);
    }
  }
}

void
FakeWorker::FailRuns()
{
  for (const TaskId& task : Running()) {
    End(task, EndKind::Failed);
  }
}

void
FakeWorker::Crash()
{
  for (const auto& [task, run] : runs_) {
    oracle_.RunLost(task, time_.Now());
  }
  runs_.clear();
  ended_.clear();
  highestRefusedRun_.clear();
  used_ = Resources{};
  isAlive_ = false;
}

void
FakeWorker::Restart()
{
  if (isAlive_) {
    return;
  }
  isAlive_ = true;
  ++incarnationNumber_;
  fence_ = Epoch{};
  leaseEnd_ = WorkerTime{};
  lastEnd_ = RunEndNumber{};
  incarnationStart_ = time_.Now();
  const std::int64_t born =
    WallAt(time_.Now()).time_since_epoch().count() +
    std::chrono::duration_cast<std::chrono::milliseconds>(clockStep_).count();
  // Two incarnations never begin at the same time by one clock.
  entry_.incarnation_ =
    WorkerIncarnation{ clockStep_ == Duration{}
                         ? std::max(born, entry_.incarnation_.Value() + 1)
                         : born };
  clockStep_ = Duration{};
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
