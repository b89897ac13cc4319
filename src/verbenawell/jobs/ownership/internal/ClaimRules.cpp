#include "verbenawell/jobs/ownership/internal/ClaimRules.h"

#include "verbenawell/jobs/ownership/OwnershipState.h"

#include <algorithm>
#include <cstdint>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

// A follower whose VM has at least this many times the CPU of the owner's VM
// replaces the owner. With 0.12 cores, an owner completes a tenth of the jobs
// that it completes with 0.5 cores.
constexpr std::uint64_t kLargerVmFactor = 2;
// A follower on a larger VM replaces an owner only after this time, because VM
// commands of two owners have to be this far apart.
constexpr Duration kMinTenure = 3s;
// A daemon that owns another shard claims this much later, so that the shards
// are spread over as many VMs as possible.
constexpr Duration kDelayOfOtherOwners = 1s;
// Shortest wait of a read; the store accepts no wait below 1 ms.
constexpr Duration kMinReadWait = 10ms;

Duration
BusyDelay(const OwnershipState& aState)
{
  return aState.ownedElsewhere_ == 0 ? Duration{} : kDelayOfOtherOwners;
}

// The time since the last renewal after which this daemon may claim. A daemon
// on a smaller VM than the owner's waits longer, so that a daemon on a larger
// VM claims first.
Duration
ClaimTimeout(const OwnershipState& aState, const OwnerRecord& aOwner)
{
  const bool isOnSmallerVm = aState.self_.vmCpu_ < aOwner.vmCpu_;
  if (aOwner.resigned_ && !IsOwnRecord(aState, aOwner)) {
    return BusyDelay(aState) +
           (isOnSmallerVm ? kMaxClaimJitter + aState.claimJitter_ : Duration{});
  }
  return kOwnerTimeout + aState.claimJitter_ + BusyDelay(aState) +
         (isOnSmallerVm ? kMaxClaimJitter : Duration{});
}

bool
HasReadFor(const OwnershipState& aState, TimePoint aNow, Duration aTime)
{
  return aState.readingSince_ != TimePoint::max() &&
         aNow - aState.readingSince_ >= aTime;
}

bool
RunsOnTooSmallVm(const OwnershipState& aState, const OwnerRecord& aOwner)
{
  return aOwner.vmCpu_ > MilliCores{} &&
         aState.self_.vmCpu_.Value() >= kLargerVmFactor * aOwner.vmCpu_.Value();
}

// Tells whether an earlier process of this daemon, which has ended, wrote the
// record.
bool
IsFromPreviousProcess(const OwnershipState& aState, const OwnerRecord& aRecord)
{
  return aRecord.daemon_ == aState.self_.daemon_ &&
         !IsOwnRecord(aState, aRecord);
}

} // namespace

const char*
ClaimReason(const OwnershipState& aState, TimePoint aNow)
{
  if (aState.isStopping_ || aState.AsOwner() != nullptr) {
    return nullptr;
  }
  const Duration sinceRenewal = aNow - aState.renewedAt_;
  if (!aState.owner_) {
    return sinceRenewal >= aState.claimJitter_ + BusyDelay(aState) ? "no owner"
                                                                   : nullptr;
  }
  if (IsFromPreviousProcess(aState, *aState.owner_)) {
    return "own earlier process";
  }
  const Duration timeout = ClaimTimeout(aState, *aState.owner_);
  if (sinceRenewal >= timeout &&
      (aState.owner_->resigned_ || HasReadFor(aState, aNow, timeout))) {
    return aState.owner_->resigned_ ? "resigned" : "silent";
  }
  if (aState.ownedElsewhere_ == 0 && HasReadFor(aState, aNow, kOwnerTimeout) &&
      aNow - aState.ownerSince_ >= kMinTenure) {
    if (RunsOnTooSmallVm(aState, *aState.owner_)) {
      return "larger";
    }
    if (aState.isOwnerBusyElsewhere_ &&
        aState.self_.vmCpu_ >= aState.owner_->vmCpu_) {
      return "owner of several shards";
    }
  }
  return nullptr;
}

// A read waits no longer than until this daemon may claim, so that the
// daemons claim in the order of their time-outs.
Duration
NextReadWait(const OwnershipState& aState, TimePoint aNow)
{
  const Duration remaining =
    (aState.owner_ ? ClaimTimeout(aState, *aState.owner_)
                   : aState.claimJitter_ + BusyDelay(aState)) -
    (aNow - aState.renewedAt_);
  return remaining <= Duration{}
           ? kMaxOwnerReadWait
           : std::clamp(remaining, kMinReadWait, kMaxOwnerReadWait);
}

bool
IsOwnRecord(const OwnershipState& aState, const OwnerRecord& aRecord)
{
  return aRecord.instance_ == aState.self_.instance_;
}

} // namespace verbenawell::jobs
