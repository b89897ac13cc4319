#include "verbenawell/jobs/maintenance/internal/DrainOrder.h"

#include "verbenawell/jobs/maintenance/MaintenanceState.h"
#include "verbenawell/jobs/maintenance/WavePace.h"
#include "verbenawell/jobs/maintenance/WaveRecords.h"
#include "verbenawell/jobs/workers/WorkersState.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

namespace verbenawell::jobs {

namespace {

// A pool with a smaller share of free CPU needs all its VMs at the moment.
constexpr std::uint64_t kMinFreePercent = 25;

enum class DrainRank : std::uint8_t
{
  /// Idle, or with long-running tasks in a pool that can do without the VM.
  First,
  /// Runs short tasks in a pool that can do without the VM.
  Second,
  /// Runs tasks in a pool that needs all its VMs at the moment.
  Last,
};

struct PoolCpu
{
  std::uint64_t all_ = 0;
  std::uint64_t free_ = 0;
};

using PoolCpus = std::map<ServiceId, PoolCpu>;

PoolCpus
CpuOfPools(const WorkersState& aWorkers, TimePoint aNow)
{
  PoolCpus pools;
  for (const auto& [id, worker] : aWorkers.workers_) {
    if (IsSchedulable(worker, aNow)) {
      PoolCpu& pool = pools[worker.entry_.service_];
      pool.all_ += worker.entry_.capacity_.cpu_.Value();
      pool.free_ += worker.Free().cpu_.Value();
    }
  }
  return pools;
}

// Long-running tasks are stopped one at a time per step, so a VM that runs them
// takes the longest, at whatever time.
DrainRank
RankOf(const ListedVm& aVm, const WorkersState& aWorkers, const PoolCpus& aCpus)
{
  const Worker* worker = aWorkers.Find(aVm.worker_);
  if (worker == nullptr || worker->runs_.empty()) {
    return DrainRank::First;
  }
  const auto pool = aCpus.find(aVm.pool_);
  if (pool == aCpus.end() ||
      pool->second.free_ * 100 < pool->second.all_ * kMinFreePercent) {
    return DrainRank::Last;
  }
  const bool hasLongRunning = std::ranges::any_of(
    worker->runs_, [](const auto& aRun) { return aRun.second.isLongRunning_; });
  return hasLongRunning ? DrainRank::First : DrainRank::Second;
}

// One VM more than may be down is drained ahead, so that its maintenance can
// begin as soon as another VM is up again.
std::size_t
CountToDrain(const WaveProgress& aWave, TimePoint aNow)
{
  std::size_t begun = 0;
  std::size_t inProgress = 0;
  for (const auto& [id, progress] : aWave.vms_) {
    begun += progress.phase_ != VmPhase::Pending ? 1 : 0;
    inProgress += IsInProgress(progress) ? 1 : 0;
  }
  const std::size_t due =
    VmsDue(SizeOf(aWave), aNow - aWave.startedAt_).Value();
  const std::size_t limit =
    std::size_t{ std::max(1U, aWave.wave_.maxVmsDown_.Value()) } + 1;
  return begun >= due || inProgress >= limit
           ? 0
           : std::min(due - begun, limit - inProgress);
}

} // namespace

std::vector<VmId>
VmsToDrain(const WaveProgress& aWave, const Views& aViews, TimePoint aNow)
{
  const std::size_t count = CountToDrain(aWave, aNow);
  if (count == 0) {
    return {};
  }
  const PoolCpus cpus = CpuOfPools(aViews.workers_, aNow);
  std::vector<std::pair<DrainRank, VmId>> ranked;
  for (const auto& [id, progress] : aWave.vms_) {
    const auto listed = aViews.maintenance_.vms_.find(id);
    if (progress.phase_ == VmPhase::Pending &&
        listed != aViews.maintenance_.vms_.end() &&
        listed->second.state_ == VmState::Up) {
      ranked.emplace_back(RankOf(listed->second, aViews.workers_, cpus), id);
    }
  }
  std::ranges::sort(ranked);
  std::vector<VmId> vms;
  for (auto& [rank, id] : ranked) {
    if (vms.size() < count) {
      vms.push_back(std::move(id));
    }
  }
  return vms;
}

} // namespace verbenawell::jobs
