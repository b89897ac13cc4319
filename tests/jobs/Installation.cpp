#include "Installation.h"

#include "verbenawell/core/Overloaded.h"
#include "verbenawell/jobs/core/Reduce.h"

#include <algorithm>
#include <iostream>
#include <utility>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Duration kNetwork = 1ms;
constexpr Duration kDeadline = 3s;
constexpr Duration kListGap = 500ms;
// Three heartbeats of 1.5 s without a sign of life.
constexpr Duration kEntryTimeToLive = 4500ms;
constexpr Duration kUpkeepTime = 2s;
constexpr Duration kMoveTime = 1500ms;
// A worker is listed for this long after its VM has gone down or moved.
constexpr Duration kListLag = 3s;
constexpr const char* kHost = "host.example";
constexpr const char* kPath = "/queue/";

Configuration
OneQueue()
{
  Configuration configuration;
  configuration.version_ = ConfigurationVersion{ 1 };
  Queue queue;
  queue.id_ = kQueue;
  queue.host_ = kHost;
  queue.pathPrefix_ = kPath;
  queue.service_ = kService;
  queue.maxAttempts_ = TaskCount{ 2 };
  queue.stretch_ = 2;
  queue.slack_ = 1s;
  configuration.queues_.push_back(queue);
  configuration.services_.push_back({ kService, false, false });
  configuration.services_.push_back({ kSpare, false, true });
  return configuration;
}

WallTime
WallAt(TimePoint aTime)
{
  constexpr auto kStart = std::chrono::milliseconds(1'700'000'000'000);
  return WallTime{ kStart +
                   std::chrono::duration_cast<std::chrono::milliseconds>(
                     aTime.time_since_epoch()) };
}

} // namespace

JobDefinition
MakeJob(std::uint32_t aTasks, std::uint32_t aSteps, Duration aRunTime)
{
  JobDefinition job;
  for (std::uint32_t index = 0; index < aSteps; ++index) {
    Step step;
    step.count_ = TaskCount{ aTasks };
    step.room_ = { MilliCores{ 2000 }, Megabytes{ 100 }, Accelerators{} };
    step.estimate_ = aRunTime;
    if (index > 0) {
      step.after_.emplace_back(index - 1);
    }
    job.steps_.push_back(step);
  }
  return job;
}

Installation::Installation(std::uint64_t aSeed, Size aSize)
  : random_(aSeed)
  , store_(time_, random_)
  , advice_(time_)
  , size_(aSize)
{
  time_.RunFor(1s);
  store_.Put(OneQueue());
  vms_.resize(static_cast<std::size_t>(aSize.workers_));
  for (std::size_t index = 0; index < vms_.size(); ++index) {
    vms_[index].id_ = VmId{ "vm" + std::to_string(index) };
    const bool isSpare =
      index + static_cast<std::size_t>(aSize.spare_) >= vms_.size();
    const bool isOther = index < static_cast<std::size_t>(aSize.other_);
    vms_[index].pool_ = isSpare ? kSpare : isOther ? kOtherService : kService;
    MakeWorker(vms_[index], index);
  }
  ListWorkers();
  for (int index = 0; index < aSize.daemons_; ++index) {
    Start("d" + std::to_string(index));
  }
}

void
Installation::MakeWorker(Vm& aVm, std::size_t aIndex)
{
  WorkerEntry entry;
  entry.worker_ =
    WorkerId{ aVm.id_.Value() + "-" + std::to_string(aVm.lives_) };
  entry.service_ = aVm.pool_;
  entry.address_ = { "10.0.0.1", static_cast<std::uint16_t>(1000 + aIndex) };
  entry.capacity_ = { MilliCores{ 8000 }, Megabytes{ 8000 }, Accelerators{} };
  entry.rack_ =
    RackId{ "r" +
            std::to_string(aIndex / static_cast<std::size_t>(size_.perRack_)) };
  entry.labels_ = { "a", entry.rack_.Value() };
  entry.born_ = BirthTime{ WallAt(time_.Now()).time_since_epoch().count() };
  if (aVm.worker_) {
    formerWorkers_.push_back(std::move(aVm.worker_));
  }
  const auto lookup = [this](const TaskId& aTask) -> const Step* {
    const auto found = definitions_.find(aTask.job_.Value());
    return found == definitions_.end()
             ? nullptr
             : &found->second.steps_.at(aTask.step_.Value());
  };
  aVm.worker_ =
    std::make_unique<FakeWorker>(time_, random_, oracle_, lookup, entry);
}

void
Installation::ListWorkers()
{
  for (const Vm& vm : vms_) {
    if (vm.worker_->IsAlive() && vm.state_ == VmState::Up &&
        vm.pool_ != kSpare) {
      store_.workers_[vm.worker_->Entry().worker_] = vm.worker_->Entry();
    }
  }
  time_.After(kListGap, [this] { ListWorkers(); });
}

void
Installation::Start(const std::string& aDaemon)
{
  Daemon& daemon = daemons_[aDaemon];
  daemon = Daemon{ {}, true, daemon.life_ + 1, {}, {}, {} };
  daemon.state_.ownership_.self_ = { DaemonId{ aDaemon },
                                     aDaemon + "-" +
                                       std::to_string(daemon.life_),
                                     { aDaemon, 1 },
                                     {},
                                     false,
                                     processors_[aDaemon] };
  daemon.state_.ownership_.random_ = Random{ random_() };
  Apply(aDaemon, Started{});
}

void
Installation::AddQueue()
{
  Configuration configuration = OneQueue();
  configuration.version_ = ConfigurationVersion{ 5 };
  Queue more = configuration.queues_.front();
  more.id_ = QueueId{ "more" };
  more.pathPrefix_ = "/more/";
  configuration.queues_.push_back(more);
  store_.Put(configuration);
}

void
Installation::AddService()
{
  Configuration configuration = OneQueue();
  configuration.version_ = ConfigurationVersion{ 4 };
  Queue other = configuration.queues_.front();
  other.id_ = QueueId{ "other" };
  other.pathPrefix_ = "/other/";
  other.service_ = kOtherService;
  configuration.queues_.push_back(other);
  configuration.services_.push_back({ kOtherService, false, false });
  store_.Put(configuration);
}

void
Installation::RequireTickets()
{
  Configuration configuration = OneQueue();
  configuration.version_ = ConfigurationVersion{ 3 };
  configuration.queues_.front().advice_ = AdviceTerms{ 20ms, 2ms, 1500ms };
  store_.Put(configuration);
  requiresTickets_ = true;
}

void
Installation::SetProcessor(const std::string& aDaemon, MilliCores aProcessor)
{
  processors_[aDaemon] = aProcessor;
}

void
Installation::Kill(const std::string& aDaemon)
{
  daemons_.at(aDaemon).isUp_ = false;
}

void
Installation::Stop(const std::string& aDaemon)
{
  Deliver(aDaemon, daemons_.at(aDaemon).life_, StopRequested{});
}

void
Installation::Freeze(const std::string& aDaemon, Duration aTime)
{
  Daemon& daemon = daemons_.at(aDaemon);
  daemon.frozenUntil_ = time_.Now() + aTime;
  time_.After(aTime, [this, aDaemon, life = daemon.life_] {
    auto held = std::exchange(daemons_.at(aDaemon).held_, {});
    for (const Event& event : held) {
      Deliver(aDaemon, life, event);
    }
  });
}

std::string
Installation::Owner() const
{
  for (const auto& [name, daemon] : daemons_) {
    if (daemon.isUp_ && daemon.state_.ownership_.AsOwner() != nullptr &&
        daemon.state_.journal_.IsReady()) {
      return name;
    }
  }
  return {};
}

std::vector<std::string>
Installation::Running() const
{
  std::vector<std::string> names;
  for (const auto& [name, daemon] : daemons_) {
    if (daemon.isUp_) {
      names.push_back(name);
    }
  }
  return names;
}

const State&
Installation::StateOf(const std::string& aDaemon) const
{
  return daemons_.at(aDaemon).state_;
}

FakeWorker&
Installation::WorkerAt(std::size_t aIndex)
{
  return *vms_.at(aIndex).worker_;
}

void
Installation::KillWorker(std::size_t aIndex)
{
  FakeWorker& worker = WorkerAt(aIndex);
  worker.Die();
  time_.After(kEntryTimeToLive, [this, &worker] {
    if (!worker.IsAlive()) {
      store_.workers_.erase(worker.Entry().worker_);
    }
  });
}

void
Installation::ReviveWorker(std::size_t aIndex)
{
  WorkerAt(aIndex).Revive();
}

void
Installation::RemoveVm(std::size_t aIndex)
{
  vms_.at(aIndex).isRemoved_ = true;
  KillWorker(aIndex);
}

void
Installation::BeginWave(int aLimit)
{
  Wave wave;
  wave.number_ = WaveNumber{ 1 };
  wave.duration_ = 30s;
  wave.limit_ = VmCount{ static_cast<std::uint32_t>(aLimit) };
  for (const Vm& vm : vms_) {
    wave.vms_.push_back(vm.id_);
  }
  wave_ = wave;
  store_.Put(wave);
}

void
Installation::Deliver(const std::string& aDaemon,
                      std::uint64_t aLife,
                      Event aEvent)
{
  Daemon& daemon = daemons_.at(aDaemon);
  if (!daemon.isUp_ || daemon.life_ != aLife) {
    return;
  }
  if (time_.Now() < daemon.frozenUntil_) {
    daemon.held_.push_back(std::move(aEvent));
    return;
  }
  Apply(aDaemon, aEvent);
}

void
Installation::Apply(const std::string& aDaemon, const Event& aEvent)
{
  const Context context{ time_.Now(),
                         WallAt(time_.Now()),
                         DaemonId{ aDaemon } };
  for (const Effect& effect :
       Reduce(daemons_.at(aDaemon).state_, aEvent, context)) {
    Execute(aDaemon, effect);
  }
}

FakeStore::Reply
Installation::ReplyTo(const std::string& aDaemon)
{
  return [this, aDaemon, life = daemons_.at(aDaemon).life_](Event aEvent) {
    Deliver(aDaemon, life, std::move(aEvent));
  };
}

FakeWorker*
Installation::Find(const WorkerId& aWorker)
{
  const auto found = std::ranges::find_if(vms_, [&](const Vm& aVm) {
    return aVm.worker_->Entry().worker_ == aWorker;
  });
  return found == vms_.end() ? nullptr : found->worker_.get();
}

template<typename Order>
void
Installation::RunAtWorker(const std::string& aDaemon, const Order& aOrder)
{
  if (FakeWorker* worker = Find(aOrder.worker_); worker != nullptr) {
    worker->Run(aOrder, ReplyTo(aDaemon));
  } else if constexpr (std::is_same_v<Order, HoldWorker>) {
    time_.After(1s, [reply = ReplyTo(aDaemon), aOrder] {
      reply(HoldFailed{ aOrder.worker_ });
    });
  }
}

void
Installation::OrderStart(const std::string& aDaemon, const StartTask& aOrder)
{
  if (!requiresTickets_ || advice_.Permits(aOrder)) {
    RunAtWorker(aDaemon, aOrder);
    return;
  }
  ++ticketRefusals_;
  time_.After(kNetwork, [reply = ReplyTo(aDaemon), aOrder] {
    reply(StartAnswered{
      aOrder.worker_, aOrder.task_, aOrder.run_, StartRefusal::Ticket });
  });
}

void
Installation::Execute(const std::string& aDaemon, const Effect& aEffect)
{
  std::visit(
    Overloaded{
      [&](const AnswerRequest& aAnswer) {
        if (const auto found = asked_.find(aAnswer.key_);
            found != asked_.end()) {
          const AnswerHandler handler = std::move(found->second);
          asked_.erase(found);
          handler(aAnswer.answer_);
        }
      },
      [&](const ForwardRequest& aForward) { Forward(aDaemon, aForward); },
      [&](const HoldWorker& aOrder) { RunAtWorker(aDaemon, aOrder); },
      [&](const StartTask& aOrder) { OrderStart(aDaemon, aOrder); },
      [&](const StopTask& aOrder) { RunAtWorker(aDaemon, aOrder); },
      [](const PaceTask&) {},
      [](const ForgetWorker&) {},
      [&](const AskAdvice& aAsk) { advice_.Run(aAsk, ReplyTo(aDaemon)); },
      [&](const ReadVms&) { ListVms(aDaemon); },
      [&](const StartUpkeep& aOrder) { TakeDown(aDaemon, aOrder); },
      [&](const MoveVm& aOrder) { MoveToPool(aDaemon, aOrder); },
      [&](const SetTimer& aTimer) {
        Daemon& daemon = daemons_.at(aDaemon);
        const std::uint64_t serial = ++daemon.timers_[aTimer.key_];
        time_.After(
          aTimer.after_, [this, aDaemon, life = daemon.life_, aTimer, serial] {
            Daemon& due = daemons_.at(aDaemon);
            if (due.life_ == life && due.timers_[aTimer.key_] == serial) {
              Deliver(aDaemon, life, TimerDue{ aTimer.key_ });
            }
          });
      },
      [](const Count&) {},
      [](const Observe&) {},
      [&](const LogLine& aLine) { Log(aDaemon, aLine); },
      [](const SetReady&) {},
      [&](const Exit&) { Kill(aDaemon); },
      [](const Raise&) {},
      [&](const WriteWaveStatus& aStatus) {
        if (aStatus.completed_ && wave_) {
          oracle_.WaveShownCompleted(*wave_, begun_);
        }
        store_.Run(DaemonId{ aDaemon }, aStatus, ReplyTo(aDaemon));
      },
      [&](const auto& aStoreCall) {
        store_.Run(DaemonId{ aDaemon }, aStoreCall, ReplyTo(aDaemon));
      } },
    aEffect);
}

void
Installation::Log(const std::string& aDaemon, const LogLine& aLine)
{
  LoggedEvent event{ WallAt(time_.Now()), aDaemon, aLine.event_, {} };
  for (const auto& [name, value] : aLine.fields_) {
    event.fields_.emplace(name, value);
  }
  log_.push_back(std::move(event));
  if (!isTraced_) {
    return;
  }
  std::cout << time_.Now().time_since_epoch().count() / 1000 << " ms "
            << aDaemon << ' ' << aLine.event_;
  for (const auto& [name, value] : aLine.fields_) {
    std::cout << ' ' << name << '=' << value;
  }
  std::cout << '\n';
}

void
Installation::Forward(const std::string& aDaemon,
                      const ForwardRequest& aForward)
{
  const auto reply = ReplyTo(aDaemon);
  const auto answer =
    [reply, key = aForward.key_](const std::optional<CallerAnswer>& aAnswer) {
      reply(ForwardAnswered{ key, aAnswer });
    };
  const auto target = daemons_.find(aForward.owner_.host_);
  if (target == daemons_.end() || !target->second.isUp_) {
    time_.After(kNetwork, [answer] { answer(std::nullopt); });
    return;
  }
  const RequestKey key = ++lastKey_;
  const auto done = std::make_shared<bool>(false);
  asked_[key] = [this, answer, done](const CallerAnswer& aAnswer) {
    *done = true;
    time_.After(kNetwork, [answer, aAnswer] { answer(aAnswer); });
  };
  time_.After(
    kNetwork,
    [this, name = target->first, life = target->second.life_, key, aForward] {
      Deliver(
        name,
        life,
        CallerRequested{ key, aForward.request_, aForward.timeLeft_, true });
    });
  time_.After(aForward.timeLeft_, [answer, done] {
    if (!*done) {
      answer(std::nullopt);
    }
  });
}

void
Installation::ListVms(const std::string& aDaemon)
{
  VmsRead read;
  for (const Vm& vm : vms_) {
    if (!vm.isRemoved_) {
      read.vms_.push_back(
        { vm.id_, vm.pool_, vm.state_, vm.worker_->Entry().worker_ });
    }
  }
  time_.After(kNetwork, [reply = ReplyTo(aDaemon), read] { reply(read); });
}

void
Installation::TakeDown(const std::string& aDaemon, const StartUpkeep& aOrder)
{
  const auto vm = std::ranges::find(vms_, aOrder.vm_, &Vm::id_);
  const auto answer = [&](VmOrderResult aResult) {
    time_.After(kNetwork, [reply = ReplyTo(aDaemon), aOrder, aResult] {
      reply(UpkeepAnswered{ aOrder.vm_, aOrder.wave_, aResult });
    });
  };
  if (begun_.contains(aOrder.vm_)) {
    answer(VmOrderAccepted{});
    return;
  }
  if (vm == vms_.end() || vm->state_ != VmState::Up) {
    answer(VmOrderBusy{});
    return;
  }
  begun_.insert(aOrder.vm_);
  for (const TaskId& task : vm->worker_->Running()) {
    oracle_.Disrupted(task, time_.Now());
  }
  Renew(*vm, VmState::Upkeep, kUpkeepTime);
  oracle_.UpkeepBegun(*wave_,
                      static_cast<std::uint32_t>(std::ranges::count(
                        vms_, VmState::Upkeep, &Vm::state_)));
  answer(VmOrderAccepted{});
}

void
Installation::MoveToPool(const std::string& aDaemon, const MoveVm& aOrder)
{
  const auto vm = std::ranges::find(vms_, aOrder.vm_, &Vm::id_);
  const auto answer = [&](VmOrderResult aResult) {
    time_.After(kNetwork, [reply = ReplyTo(aDaemon), aOrder, aResult] {
      reply(VmMoveAnswered{ aOrder.vm_, aResult });
    });
  };
  if (vm->pool_ == aOrder.pool_) {
    answer(VmOrderAccepted{});
    return;
  }
  if (vm->state_ != VmState::Up) {
    answer(VmOrderBusy{});
    return;
  }
  for (const TaskId& task : vm->worker_->Running()) {
    oracle_.Disrupted(task, time_.Now());
  }
  vm->pool_ = aOrder.pool_;
  Renew(*vm, VmState::Moving, kMoveTime);
  answer(VmOrderAccepted{});
}

void
Installation::Renew(Vm& aVm, VmState aMeanwhile, Duration aTime)
{
  time_.After(kListLag, [this, former = aVm.worker_->Entry().worker_] {
    store_.workers_.erase(former);
  });
  aVm.worker_->Die();
  aVm.state_ = aMeanwhile;
  const auto index = static_cast<std::size_t>(&aVm - vms_.data());
  time_.After(aTime, [this, index] {
    Vm& back = vms_[index];
    ++back.lives_;
    back.state_ = VmState::Up;
    MakeWorker(back, index);
  });
}

std::string
Installation::AnyDaemon()
{
  const auto running = Running();
  return running.empty() ? std::string{}
                         : running[random_.Below(running.size())];
}

void
Installation::Ask(const std::string& aDaemon,
                  CallerAction aAction,
                  AnswerHandler aHandler,
                  const std::string& aPath,
                  Duration aTimeLeft)
{
  const RequestKey key = ++lastKey_;
  asked_[key] = std::move(aHandler);
  Deliver(aDaemon,
          daemons_.at(aDaemon).life_,
          CallerRequested{
            key, { kHost, aPath, std::move(aAction) }, aTimeLeft, false });
}

void
Installation::Submit(const std::string& aJob,
                     JobDefinition aDefinition,
                     const std::string& aPath)
{
  aDefinition.specification_ = "specification of " + aJob;
  definitions_[aJob] = aDefinition;
  oracle_.Submitted(JobId{ aJob }, aDefinition);
  SubmitOnce(aJob, aPath);
}

void
Installation::SubmitAt(const std::string& aDaemon,
                       const std::string& aJob,
                       JobDefinition aDefinition,
                       Duration aTimeLeft)
{
  aDefinition.specification_ = "specification of " + aJob;
  definitions_[aJob] = aDefinition;
  oracle_.Submitted(JobId{ aJob }, aDefinition);
  oracle_.Unanswered(JobId{ aJob });
  Ask(
    aDaemon,
    SubmitJob{ JobId{ aJob },
               std::make_shared<const JobDefinition>(aDefinition) },
    [](const CallerAnswer&) {},
    kPath,
    aTimeLeft);
}

void
Installation::SubmitOnce(const std::string& aJob, const std::string& aPath)
{
  const auto answered = std::make_shared<bool>(false);
  const std::string daemon = AnyDaemon();
  if (!daemon.empty()) {
    Ask(
      daemon,
      SubmitJob{ JobId{ aJob },
                 std::make_shared<const JobDefinition>(definitions_.at(aJob)) },
      [this, aJob, answered](const CallerAnswer& aAnswer) {
        if (std::holds_alternative<JobAccepted>(aAnswer)) {
          *answered = true;
          oracle_.Accepted(JobId{ aJob });
        } else if (const auto* rejected = std::get_if<JobRejected>(&aAnswer)) {
          *answered = true;
          oracle_.Rejected(JobId{ aJob }, rejected->reason_);
        } else {
          oracle_.Unanswered(JobId{ aJob });
        }
      },
      aPath);
  }
  time_.After(kDeadline, [this, aJob, aPath, answered] {
    if (!*answered) {
      oracle_.Unanswered(JobId{ aJob });
      SubmitOnce(aJob, aPath);
    }
  });
}

void
Installation::Cancel(const std::string& aJob)
{
  CancelOnce(aJob);
}

void
Installation::CancelAt(const std::string& aDaemon, const std::string& aJob)
{
  Ask(aDaemon, CancelJob{ JobId{ aJob } }, [](const CallerAnswer&) {});
}

void
Installation::CancelOnce(const std::string& aJob)
{
  const auto answered = std::make_shared<bool>(false);
  const std::string daemon = AnyDaemon();
  if (!daemon.empty()) {
    Ask(daemon,
        CancelJob{ JobId{ aJob } },
        [this, aJob, answered](const CallerAnswer& aAnswer) {
          if (std::holds_alternative<CancelAccepted>(aAnswer)) {
            *answered = true;
            oracle_.Cancelled(JobId{ aJob }, time_.Now());
          }
        });
  }
  time_.After(kDeadline, [this, aJob, answered] {
    if (!*answered) {
      CancelOnce(aJob);
    }
  });
}

void
Installation::AskForAll()
{
  for (const std::string& daemon : Running()) {
    for (const auto& [name, definition] : definitions_) {
      Ask(daemon,
          ReadJob{ JobId{ name } },
          [this, job = JobId{ name }](const CallerAnswer& aAnswer) {
            if (const auto* shown = std::get_if<JobShown>(&aAnswer)) {
              oracle_.Shown(job, shown->state_);
            }
          });
    }
  }
}

std::optional<CallerAnswer>
Installation::AskOnce(const std::string& aDaemon,
                      CallerAction aAction,
                      const std::string& aPath)
{
  const auto result = std::make_shared<std::optional<CallerAnswer>>();
  Ask(
    aDaemon,
    std::move(aAction),
    [result](const CallerAnswer& aAnswer) { *result = aAnswer; },
    aPath);
  RunFor(kDeadline);
  return *result;
}

JobState
Installation::StateOfJob(const std::string& aJob)
{
  const auto answer = AskOnce(AnyDaemon(), ReadJob{ JobId{ aJob } });
  const auto* shown = answer ? std::get_if<JobShown>(&*answer) : nullptr;
  return shown == nullptr ? JobState::Queued : shown->state_;
}

const JobDefinition*
Installation::Definition(const std::string& aJob) const
{
  const auto found = definitions_.find(aJob);
  return found == definitions_.end() ? nullptr : &found->second;
}

} // namespace verbenawell::jobs
