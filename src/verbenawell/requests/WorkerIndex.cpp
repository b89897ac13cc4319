#include "verbenawell/requests/WorkerIndex.h"

#include <algorithm>
#include <utility>

namespace verbenawell {

namespace {

// Random draws before all open workers are looked at; enough unless only a
// small part of the workers has room for the request.
constexpr int kDraws = 16;

constexpr int kCandidates = 2;

// A retry compares more workers, to find one in another rack and zone.
constexpr int kRetryCandidates = 8;

constexpr int kSameZone = 1;
constexpr int kSameRack = 2;

SlotCount
SlotsOf(const SlotCount& aSlots, const SlotCount& aCap)
{
  return std::min(aSlots, aCap);
}

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
WorkerIndex::Put(const VmFacts& aFacts, WorkerUse aUse)
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
      aWorker.cap_ = kNoCap;
    });
    Erase(position);
  }
}

void
WorkerIndex::SetCap(const VmId& aVm, SlotCount aCap)
{
  if (const auto found = positions_.find(aVm); found != positions_.end()) {
    Update(found->second, [&](Worker& aWorker) { aWorker.cap_ = aCap; });
  }
}

void
WorkerIndex::TakeSlot(const VmId& aVm, const Resources& aSize)
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
    Erase(position);
  }
}

std::optional<VmId>
WorkerIndex::Choose(const WorkerNeed& aNeed, Random& aRandom) const
{
  std::optional<Position> chosen;
  if (aNeed.size_.accelerators_ == Accelerators{}) {
    chosen = ChooseFrom(openPlain_, aNeed, aRandom);
  }
  if (!chosen) {
    chosen = ChooseFrom(openAccelerated_, aNeed, aRandom);
  }
  return chosen ? std::optional{ workers_[*chosen].facts_.vm_ } : std::nullopt;
}

bool
WorkerIndex::HasPlace(const VmId& aVm, const WorkerNeed& aNeed) const
{
  const Worker* worker = Find(aVm);
  return worker != nullptr && HasPlace(*worker, aNeed);
}

bool
WorkerIndex::HasPlace(const Worker& aWorker, const WorkerNeed& aNeed)
{
  return aWorker.openAt_ &&
         FitsWithin(Sum(aWorker.reserved_, aNeed.size_),
                    aWorker.facts_.size_) &&
         !WasTried(aNeed, aWorker.facts_.vm_);
}

bool
WorkerIndex::HasFreeSlot() const
{
  return !openPlain_.empty() || !openAccelerated_.empty();
}

bool
WorkerIndex::EverFits(const Resources& aSize) const
{
  return std::ranges::any_of(sizes_, [&](const SizeCount& aCount) {
    return FitsWithin(aSize, aCount.size_);
  });
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

WorkerIndex::Position
WorkerIndex::Add(Worker aWorker)
{
  auto position = static_cast<Position>(workers_.size());
  if (vacant_.empty()) {
    workers_.emplace_back();
  } else {
    position = vacant_.back();
    vacant_.pop_back();
  }
  positions_[aWorker.facts_.vm_] = position;
  workers_[position] = std::move(aWorker);
  CountIn(workers_[position], position);
  return position;
}

template<typename Change>
void
WorkerIndex::Update(Position aPosition, Change aChange)
{
  Worker& worker = workers_[aPosition];
  CountOut(worker);
  aChange(worker);
  CountIn(worker, aPosition);
}

void
WorkerIndex::CountIn(Worker& aWorker, Position aPosition)
{
  const SlotCount slots = SlotsOf(aWorker.facts_.slots_, aWorker.cap_);
  mayServe_ += aWorker.use_.mayServe_ ? 1 : 0;
  if (aWorker.inPool_) {
    CountSize(aWorker.facts_.size_, true);
  }
  if (!aWorker.use_.usable_ || slots == SlotCount{}) {
    return;
  }
  ++serving_;
  usableSlots_ += slots;
  if (aWorker.running_ < slots) {
    std::vector<Position>& open = OpenListOf(aWorker);
    aWorker.openAt_ = open.size();
    open.push_back(aPosition);
  }
}

void
WorkerIndex::CountOut(Worker& aWorker)
{
  const SlotCount slots = SlotsOf(aWorker.facts_.slots_, aWorker.cap_);
  mayServe_ -= aWorker.use_.mayServe_ ? 1 : 0;
  if (aWorker.inPool_) {
    CountSize(aWorker.facts_.size_, false);
  }
  if (aWorker.use_.usable_ && slots != SlotCount{}) {
    --serving_;
    usableSlots_ -= slots;
  }
  if (aWorker.openAt_) {
    std::vector<Position>& open = OpenListOf(aWorker);
    workers_[open.back()].openAt_ = aWorker.openAt_;
    open[*aWorker.openAt_] = open.back();
    open.pop_back();
    aWorker.openAt_.reset();
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
WorkerIndex::Erase(Position aPosition)
{
  const Worker& worker = workers_[aPosition];
  if (!worker.inPool_ && worker.running_ == SlotCount{}) {
    positions_.erase(worker.facts_.vm_);
    vacant_.push_back(aPosition);
  }
}

const WorkerIndex::Worker*
WorkerIndex::Find(const VmId& aVm) const
{
  const auto found = positions_.find(aVm);
  return found == positions_.end() ? nullptr : &workers_[found->second];
}

std::vector<WorkerIndex::Position>&
WorkerIndex::OpenListOf(const Worker& aWorker)
{
  return aWorker.facts_.size_.accelerators_ == Accelerators{}
           ? openPlain_
           : openAccelerated_;
}

std::optional<WorkerIndex::Position>
WorkerIndex::ChooseFrom(const std::vector<Position>& aOpen,
                        const WorkerNeed& aNeed,
                        Random& aRandom) const
{
  std::optional<Position> best;
  int candidates = 0;
  const auto consider = [&](Position aPosition) {
    const Worker& worker = workers_[aPosition];
    if (!HasPlace(worker, aNeed)) {
      return;
    }
    ++candidates;
    if (!best || IsBetter(worker, workers_[*best], aNeed)) {
      best = aPosition;
    }
  };
  if (aOpen.empty()) {
    return {};
  }
  const int wanted = aNeed.tried_.empty() ? kCandidates : kRetryCandidates;
  for (int draw = 0; draw < kDraws && candidates < wanted; ++draw) {
    consider(aOpen[aRandom.Below(aOpen.size())]);
  }
  if (!best) {
    std::ranges::for_each(aOpen, consider);
  }
  return best;
}

bool
WorkerIndex::IsBetter(const Worker& aLeft,
                      const Worker& aRight,
                      const WorkerNeed& aNeed) const
{
  const int left = Nearness(aLeft, aNeed);
  const int right = Nearness(aRight, aNeed);
  if (left != right) {
    return left < right;
  }
  // Compares running / slots without a division.
  return static_cast<std::uint64_t>(aLeft.running_.Value()) *
           aRight.facts_.slots_.Value() <
         static_cast<std::uint64_t>(aRight.running_.Value()) *
           aLeft.facts_.slots_.Value();
}

int
WorkerIndex::Nearness(const Worker& aWorker, const WorkerNeed& aNeed) const
{
  int nearest = 0;
  for (const VmId& vm : aNeed.tried_) {
    const Worker* tried = Find(vm);
    if (tried == nullptr) {
      continue;
    }
    const VmFacts& facts = tried->facts_;
    const bool sameZone = facts.zone_ == aWorker.facts_.zone_;
    const bool sameRack = sameZone && facts.rack_ == aWorker.facts_.rack_;
    nearest =
      std::max(nearest, sameRack ? kSameRack : (sameZone ? kSameZone : 0));
  }
  return nearest;
}

} // namespace verbenawell
