#include "verbenawell/requests/WorkerIndex.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace verbenawell {

namespace {

bool
WasTried(const WorkerNeed& aNeed, const VmId& aVm)
{
  return std::ranges::find(aNeed.tried_, aVm) != aNeed.tried_.end();
}

Resources
Sum(const Resources& aLeft, const Resources& aRight)
{
  return { aLeft.cores_ + aRight.cores_,
           aLeft.memory_ + aRight.memory_,
           aLeft.accelerators_ + aRight.accelerators_ };
}

Resources
Difference(const Resources& aLeft, const Resources& aRight)
{
  return { aLeft.cores_ - aRight.cores_,
           aLeft.memory_ - aRight.memory_,
           aLeft.accelerators_ - aRight.accelerators_ };
}

} // namespace

void
WorkerIndex::Put(const VmFacts& aFacts, WorkerAvailability aUse)
{
  const auto found = positions_.find(aFacts.vm_);
  if (found != positions_.end()) {
    Update(found->second, [&](Worker& aWorker) {
      aWorker.facts_ = aFacts;
      aWorker.use_ = aUse;
      aWorker.inPool_ = true;
    });
    return;
  }
  Worker worker;
  worker.facts_ = aFacts;
  worker.use_ = aUse;
  Add(std::move(worker));
}

void
WorkerIndex::Remove(const VmId& aVm)
{
  if (const auto found = positions_.find(aVm); found != positions_.end()) {
    const Position position = found->second;
    Update(position, [](Worker& aWorker) {
      aWorker.use_ = {};
      aWorker.inPool_ = false;
      aWorker.isReserved_ = false;
      aWorker.cap_ = kNoCap;
      aWorker.onProbation_ = false;
      aWorker.usage_.reset();
    });
    EraseIfUnused(position);
  }
}

void
WorkerIndex::SetReserved(const VmId& aVm, bool aReserved)
{
  if (const auto found = positions_.find(aVm); found != positions_.end()) {
    Update(found->second,
           [&](Worker& aWorker) { aWorker.isReserved_ = aReserved; });
  }
}

bool
WorkerIndex::FitsWhenIdle(const VmId& aVm, const WorkerNeed& aNeed) const
{
  const Worker* worker = Find(aVm);
  return worker != nullptr && FitsWhenIdle(*worker, aNeed);
}

bool
WorkerIndex::FitsWhenIdle(const Worker& aWorker, const WorkerNeed& aNeed)
{
  return aWorker.use_.usable_ && aWorker.cap_ != SlotCount{} &&
         (aNeed.idempotent_ || !aWorker.onProbation_) &&
         FitsWithin(aNeed.size_, aWorker.facts_.size_) &&
         !WasTried(aNeed, aWorker.facts_.vm_);
}

std::optional<VmId>
WorkerIndex::FindToReserve(const WorkerNeed& aNeed) const
{
  const Worker* best = nullptr;
  for (const Worker& worker : workers_) {
    if (FitsWhenIdle(worker, aNeed) &&
        (best == nullptr || worker.running_ < best->running_)) {
      best = &worker;
    }
  }
  return best == nullptr ? std::nullopt : std::optional{ best->facts_.vm_ };
}

void
WorkerIndex::SetCap(const VmId& aVm, SlotCount aCap, bool aOnProbation)
{
  if (const auto found = positions_.find(aVm); found != positions_.end()) {
    Update(found->second, [&](Worker& aWorker) {
      aWorker.cap_ = aCap;
      aWorker.onProbation_ = aOnProbation;
    });
  }
}

void
WorkerIndex::SetUsage(const VmId& aVm, std::optional<UsedPerMille> aUsage)
{
  if (const auto found = positions_.find(aVm); found != positions_.end()) {
    workers_[found->second].usage_ = aUsage;
  }
}

void
WorkerIndex::OccupySlot(const VmId& aVm, const Resources& aSize)
{
  const auto found = positions_.find(aVm);
  if (found == positions_.end()) {
    Worker departed;
    departed.facts_.vm_ = aVm;
    departed.inPool_ = false;
    departed.running_ = SlotCount{ 1 };
    departed.reserved_ = aSize;
    Add(std::move(departed));
    return;
  }
  Update(found->second, [&](Worker& aWorker) {
    ++aWorker.running_;
    aWorker.reserved_ = Sum(aWorker.reserved_, aSize);
  });
}

void
WorkerIndex::ReturnSlot(const VmId& aVm, const Resources& aSize)
{
  if (const auto found = positions_.find(aVm); found != positions_.end()) {
    const Position position = found->second;
    Update(position, [&](Worker& aWorker) {
      --aWorker.running_;
      aWorker.reserved_ = Difference(aWorker.reserved_, aSize);
    });
    EraseIfUnused(position);
  }
}

bool
WorkerIndex::HasCapacityFor(const VmId& aVm, const WorkerNeed& aNeed) const
{
  const Worker* worker = Find(aVm);
  return worker != nullptr && HasCapacityFor(*worker, aNeed);
}

bool
WorkerIndex::HasCapacityFor(const Worker& aWorker, const WorkerNeed& aNeed)
{
  const bool reservedWithFreeSlot =
    aWorker.isReserved_ && aWorker.use_.usable_ &&
    aWorker.running_ < std::min(aWorker.facts_.slots_, aWorker.cap_);
  return (aWorker.availableIndex_ || reservedWithFreeSlot) &&
         (aNeed.idempotent_ || !aWorker.onProbation_) &&
         FitsWithin(Sum(aWorker.reserved_, aNeed.size_),
                    aWorker.facts_.size_) &&
         !WasTried(aNeed, aWorker.facts_.vm_);
}

bool
WorkerIndex::HasFreeSlot() const
{
  return !availablePlain_.empty() || !availableAccelerated_.empty();
}

bool
WorkerIndex::FitsAnyWorker(const Resources& aSize) const
{
  return std::ranges::any_of(sizes_, [&](const SizeCount& aCount) {
    return FitsWithin(aSize, aCount.size_);
  });
}

Resources
WorkerIndex::LimitToWorker(const Resources& aSize) const
{
  if (sizes_.empty() || FitsAnyWorker(aSize)) {
    return aSize;
  }
  const auto limit = [&](const SizeCount& aCount) {
    const Resources& largest = aCount.size_;
    return Resources{ std::min(aSize.cores_, largest.cores_),
                      std::min(aSize.memory_, largest.memory_),
                      std::min(aSize.accelerators_, largest.accelerators_) };
  };
  // Accelerators come first: their declared number is never corrected, so a
  // worker with too few of them cannot run the request.
  const auto rank = [&](const SizeCount& aCount) {
    const Resources limited = limit(aCount);
    return std::tuple{ limited.accelerators_, limited.cores_, limited.memory_ };
  };
  return limit(*std::ranges::max_element(sizes_, {}, rank));
}

bool
WorkerIndex::MayEverServe(const WorkerNeed& aNeed) const
{
  std::uint32_t failed = 0;
  for (const VmId& vm : aNeed.tried_) {
    const Worker* worker = Find(vm);
    failed += worker != nullptr && worker->use_.mayServe_ ? 1 : 0;
  }
  return failed < mayServe_;
}

bool
WorkerIndex::Contains(const VmId& aVm) const
{
  const Worker* worker = Find(aVm);
  return worker != nullptr && worker->inPool_;
}

SlotCount
WorkerIndex::Running(const VmId& aVm) const
{
  const Worker* worker = Find(aVm);
  return worker == nullptr ? SlotCount{} : worker->running_;
}

BootCount
WorkerIndex::Boots(const VmId& aVm) const
{
  const Worker* worker = Find(aVm);
  return worker == nullptr ? BootCount{} : worker->facts_.boots_;
}

WorkerIndex::Position
WorkerIndex::Add(Worker aWorker)
{
  auto position = static_cast<Position>(workers_.size());
  if (vacantPositions_.empty()) {
    workers_.emplace_back();
  } else {
    position = vacantPositions_.back();
    vacantPositions_.pop_back();
  }
  positions_[aWorker.facts_.vm_] = position;
  workers_[position] = std::move(aWorker);
  AddToTotals(workers_[position], position);
  return position;
}

template<typename Change>
void
WorkerIndex::Update(Position aPosition, Change aChange)
{
  Worker& worker = workers_[aPosition];
  RemoveFromTotals(worker);
  aChange(worker);
  AddToTotals(worker, aPosition);
}

void
WorkerIndex::AddToTotals(Worker& aWorker, Position aPosition)
{
  const SlotCount slots = std::min(aWorker.facts_.slots_, aWorker.cap_);
  mayServe_ += aWorker.use_.mayServe_ ? 1 : 0;
  if (aWorker.inPool_) {
    CountSize(aWorker.facts_.size_, true);
  }
  if (!aWorker.use_.usable_ || slots == SlotCount{}) {
    return;
  }
  ++serving_;
  usableSlots_ += slots;
  if (aWorker.running_ < slots && !aWorker.isReserved_) {
    std::vector<Position>& open = AvailableListOf(aWorker);
    aWorker.availableIndex_ = open.size();
    open.push_back(aPosition);
  }
}

void
WorkerIndex::RemoveFromTotals(Worker& aWorker)
{
  const SlotCount slots = std::min(aWorker.facts_.slots_, aWorker.cap_);
  mayServe_ -= aWorker.use_.mayServe_ ? 1 : 0;
  if (aWorker.inPool_) {
    CountSize(aWorker.facts_.size_, false);
  }
  if (aWorker.use_.usable_ && slots != SlotCount{}) {
    --serving_;
    usableSlots_ -= slots;
  }
  if (aWorker.availableIndex_) {
    std::vector<Position>& open = AvailableListOf(aWorker);
    workers_[open.back()].availableIndex_ = aWorker.availableIndex_;
    open[*aWorker.availableIndex_] = open.back();
    open.pop_back();
    aWorker.availableIndex_.reset();
  }
}

void
WorkerIndex::CountSize(const Resources& aSize, bool aAdd)
{
  const auto found = std::ranges::find(sizes_, aSize, &SizeCount::size_);
  if (found == sizes_.end()) {
    sizes_.push_back({ aSize, 1 });
  } else if (aAdd) {
    ++found->workers_;
  } else if (--found->workers_ == 0) {
    sizes_.erase(found);
  }
}

void
WorkerIndex::EraseIfUnused(Position aPosition)
{
  const Worker& worker = workers_[aPosition];
  if (!worker.inPool_ && worker.running_ == SlotCount{}) {
    positions_.erase(worker.facts_.vm_);
    vacantPositions_.push_back(aPosition);
  }
}

const WorkerIndex::Worker*
WorkerIndex::Find(const VmId& aVm) const
{
  const auto found = positions_.find(aVm);
  return found == positions_.end() ? nullptr : &workers_[found->second];
}

std::vector<WorkerIndex::Position>&
WorkerIndex::AvailableListOf(const Worker& aWorker)
{
  return aWorker.facts_.size_.accelerators_ == Accelerators{}
           ? availablePlain_
           : availableAccelerated_;
}

} // namespace verbenawell
