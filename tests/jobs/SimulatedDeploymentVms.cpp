#include "SimulatedDeployment.h"

#include <algorithm>
#include <utility>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Duration kNetwork = 1ms;
constexpr Duration kListGap = 500ms;
// An entry expires when three heartbeats, one each 1.5 s, are missing.
constexpr Duration kEntryTimeToLive = 4500ms;
constexpr Duration kUpkeepTime = 2s;
constexpr Duration kMoveTime = 1500ms;
// A worker stays listed for this long after its VM has gone down or moved.
constexpr Duration kListLag = 3s;

} // namespace

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

} // namespace verbenawell::jobs
