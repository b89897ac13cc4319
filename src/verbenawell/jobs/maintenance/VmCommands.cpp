#include "verbenawell/jobs/maintenance/VmCommands.h"

#include "verbenawell/jobs/ownership/OwnershipState.h"

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

// The platform requires 3 s between commands of two owners for one VM, so a new
// owner waits for this time.
constexpr Duration kMinIntervalBetweenOwners = 3s;
// An owner sends VM commands only while its last renewal is younger than this,
// so that none is sent less than 3 s before those of its successor.
constexpr Duration kMaxRenewalAgeForVmCommands = 1500ms;

} // namespace

bool
MayCommandVms(const Views& aViews, TimePoint aNow)
{
  const Owning* owning = aViews.ownership_.AsOwner();
  return owning != nullptr &&
         aNow - owning->renewalSentAt_ < kMaxRenewalAgeForVmCommands &&
         aNow - owning->takenAt_ >= kMinIntervalBetweenOwners;
}

} // namespace verbenawell::jobs
