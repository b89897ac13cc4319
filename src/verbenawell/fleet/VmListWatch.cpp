#include "verbenawell/fleet/VmListWatch.h"

#include "verbenawell/fleet/FleetEvents.h"
#include "verbenawell/fleet/FleetState.h"

#include <algorithm>
#include <unordered_set>

namespace verbenawell {

namespace {

// A VM that is recorded as gone loses its pool, so that a fault of the
// platform must not look like it: reboots and outages of a list are shorter.
constexpr Duration kGoneAfter = std::chrono::minutes(10);

// A list may be read from a copy that is behind.
constexpr Duration kMinChangeAge = std::chrono::seconds(10);

// Nothing is known of the time between two lists that are further apart. An
// unchanged list is handed on each 5 s.
constexpr Duration kMaxReadGap = std::chrono::seconds(30);

// VMs that leave one by one are at most this part of the fleet; more of them
// missing at once are a fault of the list.
constexpr std::size_t kMaxAbsentDivisor = 4;

bool
IsPlausible(std::size_t aAbsent, std::size_t aKnown)
{
  return aAbsent <= std::max<std::size_t>(1, aKnown / kMaxAbsentDivisor);
}

/// Notes the VMs that the list lacks and forgets those that it shows.
void
UpdateAbsentVms(VmListWatch& aWatch,
                const FleetState& aFleet,
                const std::unordered_set<VmId>& aListed,
                TimePoint aNow)
{
  std::erase_if(aWatch.absentSince_, [&](const auto& aEntry) {
    return aListed.contains(aEntry.first) ||
           !aFleet.vms_.contains(aEntry.first);
  });
  for (const auto& [id, vm] : aFleet.vms_) {
    if (!aListed.contains(id)) {
      aWatch.absentSince_.try_emplace(id, aNow);
    }
  }
}

/// A VM that a wave reboots may be missing; the wave sees to it.
bool
IsGone(const FleetState& aFleet,
       const VmId& aVm,
       TimePoint aSince,
       TimePoint aNow)
{
  return aNow - aSince >= kGoneAfter && aFleet.vms_.at(aVm).stop_.IsEmpty();
}

/// Notes the facts that the list shows; returns whether they are to be
/// recorded.
bool
UpdateChangedFacts(VmListWatch& aWatch,
                   const VmFacts& aRecorded,
                   const VmFacts& aListedFacts,
                   TimePoint aNow)
{
  if (aListedFacts == aRecorded) {
    aWatch.changed_.erase(aListedFacts.vm_);
    return false;
  }
  const auto [entry, isNew] = aWatch.changed_.try_emplace(
    aListedFacts.vm_, ChangedFacts{ aListedFacts, aNow });
  if (!isNew && entry->second.facts_ != aListedFacts) {
    entry->second = { aListedFacts, aNow };
  }
  return aNow - entry->second.since_ >= kMinChangeAge;
}

} // namespace

ListDifferences
WatchVmList(VmListWatch& aWatch,
            const FleetState& aFleet,
            const VmListRead& aList,
            TimePoint aNow)
{
  if (aNow - aWatch.lastRead_ > kMaxReadGap) {
    aWatch = {};
  }
  aWatch.lastRead_ = aNow;
  std::unordered_set<VmId> listed;
  ListDifferences differences;
  for (const VmListing& listing : aList.vms_) {
    listed.insert(listing.facts_.vm_);
    const auto known = aFleet.vms_.find(listing.facts_.vm_);
    if (known == aFleet.vms_.end()) {
      continue;
    }
    VmFacts listedFacts = listing.facts_;
    listedFacts.boots_ = known->second.facts_.boots_;
    if (UpdateChangedFacts(aWatch, known->second.facts_, listedFacts, aNow)) {
      differences.changed_.push_back(std::move(listedFacts));
    }
  }
  UpdateAbsentVms(aWatch, aFleet, listed, aNow);
  if (listed.empty() ||
      !IsPlausible(aWatch.absentSince_.size(), aFleet.vms_.size())) {
    aWatch.absentSince_.clear();
    differences.implausible_ = true;
    return differences;
  }
  for (const auto& [vm, since] : aWatch.absentSince_) {
    if (IsGone(aFleet, vm, since, aNow)) {
      differences.gone_.push_back(vm);
    }
  }
  std::ranges::sort(differences.gone_);
  return differences;
}

} // namespace verbenawell
