#include "verbenawell/fleet/VmListWatch.h"

#include "verbenawell/fleet/FleetEvents.h"
#include "verbenawell/fleet/FleetState.h"

#include <algorithm>
#include <unordered_set>

namespace verbenawell {

namespace {

// A VM that is missing from the platform's list for this long is recorded as
// gone and loses its pool. A reboot or a temporary fault of the list must not
// have that effect; both are shorter.
constexpr Duration kGoneAfter = std::chrono::minutes(10);

// A change must last this long, because the platform may respond from a replica
// whose list is out of date.
constexpr Duration kMinChangeAge = std::chrono::seconds(10);

// Nothing is known about the time between two lists that are further apart than
// this, so the observation starts again. Unchanged lists arrive every 5 s.
constexpr Duration kMaxReadGap = std::chrono::seconds(30);

// At most one in this many known VMs may be missing at once. VMs leave one by
// one, so that more missing VMs indicate a faulty list.
constexpr std::size_t kMaxAbsentDivisor = 4;

bool
IsPlausible(std::size_t aAbsent, std::size_t aKnown)
{
  return aAbsent <= std::max<std::size_t>(1, aKnown / kMaxAbsentDivisor);
}

/// Records the VMs that the list lacks, and drops those that it contains again
/// or that are no longer in the fleet state.
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

/// Tells whether the VM is considered gone. A VM with a planned stop never is:
/// it may be missing while it reboots, and the wave handles its failure.
bool
IsGone(const FleetState& aFleet,
       const VmId& aVm,
       TimePoint aSince,
       TimePoint aNow)
{
  return aNow - aSince >= kGoneAfter && aFleet.vms_.at(aVm).stopWave_.IsEmpty();
}

/// Tracks since when the listed properties of a VM have differed from the
/// recorded ones. Returns whether they are to be recorded.
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
