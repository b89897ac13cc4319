#include "verbenawell/requests/WorkerIndex.h"

#include <algorithm>

namespace verbenawell {

namespace {

// Number of random draws before all available workers are examined. The draws
// suffice unless only a small part of the workers has the resources.
constexpr int kMaxRandomDraws = 16;

constexpr int kCandidates = 2;

// A retry compares more workers, so that one in another rack and zone is
// likely to be among them.
constexpr int kRetryCandidates = 8;

constexpr int kSameZone = 1;
constexpr int kSameRack = 2;

} // namespace

std::optional<VmId>
WorkerIndex::Choose(const WorkerNeed& aNeed, Random& aRandom) const
{
  std::optional<Position> chosen;
  if (aNeed.size_.accelerators_ == Accelerators{}) {
    chosen = ChooseFrom(availablePlain_, aNeed, aRandom);
  }
  if (!chosen) {
    chosen = ChooseFrom(availableAccelerated_, aNeed, aRandom);
  }
  return chosen ? std::optional{ workers_[*chosen].facts_.vm_ } : std::nullopt;
}

std::optional<WorkerIndex::Position>
WorkerIndex::ChooseFrom(const std::vector<Position>& aAvailable,
                        const WorkerNeed& aNeed,
                        Random& aRandom) const
{
  std::optional<Position> best;
  int candidates = 0;
  const auto consider = [&](Position aPosition) {
    const Worker& worker = workers_[aPosition];
    if (!HasCapacityFor(worker, aNeed)) {
      return;
    }
    ++candidates;
    if (!best || IsBetter(worker, workers_[*best], aNeed)) {
      best = aPosition;
    }
  };
  if (aAvailable.empty()) {
    return {};
  }
  const int maxCandidates =
    aNeed.tried_.empty() ? kCandidates : kRetryCandidates;
  for (int draw = 0; draw < kMaxRandomDraws && candidates < maxCandidates;
       ++draw) {
    consider(aAvailable[aRandom.Below(aAvailable.size())]);
  }
  if (!best) {
    std::ranges::for_each(aAvailable, consider);
  }
  return best;
}

bool
WorkerIndex::IsBetter(const Worker& aLeft,
                      const Worker& aRight,
                      const WorkerNeed& aNeed) const
{
  const int left = ProximityToFailed(aLeft, aNeed);
  const int right = ProximityToFailed(aRight, aNeed);
  if (left != right) {
    return left < right;
  }
  // Compares running / slots without a division.
  const std::uint64_t leftLoad =
    static_cast<std::uint64_t>(aLeft.running_.Value()) *
    aRight.facts_.slots_.Value();
  const std::uint64_t rightLoad =
    static_cast<std::uint64_t>(aRight.running_.Value()) *
    aLeft.facts_.slots_.Value();
  if (leftLoad != rightLoad) {
    return leftLoad < rightLoad;
  }
  return aLeft.usage_ && aRight.usage_ && *aLeft.usage_ < *aRight.usage_;
}

int
WorkerIndex::ProximityToFailed(const Worker& aWorker,
                               const WorkerNeed& aNeed) const
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
