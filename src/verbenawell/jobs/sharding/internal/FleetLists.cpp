#include "verbenawell/jobs/sharding/internal/FleetLists.h"

#include "verbenawell/jobs/sharding/DaemonState.h"
#include "verbenawell/jobs/sharding/Shards.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace verbenawell::jobs {

namespace {

constexpr ShardCount kOneShard{ 1 };
// A VM has a new worker after each move. Entries of former workers are dropped
// when the map has this many times the VMs.
constexpr std::size_t kMaxWorkersPerVm = 4;

} // namespace

void
RecordWorkersOfVms(DaemonState& aState, const VmsRead& aRead)
{
  if (aState.count_ == kOneShard) {
    return;
  }
  if (aState.vmsOfWorkers_.size() > kMaxWorkersPerVm * aRead.vms_.size()) {
    aState.vmsOfWorkers_.clear();
  }
  for (const ListedVm& vm : aRead.vms_) {
    if (!vm.worker_.IsEmpty()) {
      aState.vmsOfWorkers_.insert_or_assign(vm.worker_, vm.vm_);
    }
  }
}

bool
HasFoundVms(const DaemonState& aState)
{
  return std::ranges::any_of(aState.workersWithoutVm_,
                             [&](const WorkerId& aWorker) {
                               return aState.vmsOfWorkers_.contains(aWorker);
                             });
}

WorkerSelection
SelectWorkers(DaemonState& aState, ShardIndex aShard, const WorkersRead& aRead)
{
  WorkerSelection selection;
  if (aState.count_ == kOneShard) {
    selection.workers_ = aRead;
    return selection;
  }
  const auto& known = aState.shards_[aShard.Value()].workers_.workers_;
  std::set<WorkerId> withoutVm;
  for (const WorkerEntry& entry : aRead.workers_) {
    const auto vm = aState.vmsOfWorkers_.find(entry.worker_);
    if (vm == aState.vmsOfWorkers_.end() && !known.contains(entry.worker_)) {
      // The list is read once for a worker; later lists may show its VM too.
      selection.needsVmList_ =
        selection.needsVmList_ ||
        !aState.workersWithoutVm_.contains(entry.worker_);
      withoutVm.insert(entry.worker_);
    } else if (vm == aState.vmsOfWorkers_.end() ||
               ShardOf(vm->second, *aState.count_) == aShard) {
      selection.workers_.workers_.push_back(entry);
    }
  }
  aState.workersWithoutVm_ = std::move(withoutVm);
  return selection;
}

VmsRead
VmsOf(ShardIndex aShard, ShardCount aCount, const VmsRead& aRead)
{
  if (aCount == kOneShard) {
    return aRead;
  }
  VmsRead selected;
  std::ranges::copy_if(
    aRead.vms_, std::back_inserter(selected.vms_), [&](const ListedVm& aVm) {
      return ShardOf(aVm.vm_, aCount) == aShard;
    });
  return selected;
}

} // namespace verbenawell::jobs
