#include "verbenawell/jobs/maintenance/VmCommands.h"

#include "verbenawell/jobs/ownership/OwnershipState.h"

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

// The platform requires 3 s between commands of two owners for one VM. The
// previous owner sends none later than `kMaxRenewalAge` after its last renewal.
constexpr Duration kMinIntervalBetweenOwners = 3s;
constexpr Duration kMaxRenewalAge = 1500ms;

} // namespace

bool
MayCommandVms(const Views& aViews, TimePoint aNow)
{
  const Owning* owning = aViews.ownership_.AsOwner();
  return owning != nullptr && aNow - owning->renewalSentAt_ < kMaxRenewalAge &&
         aNow - owning->takenAt_ >= kMinIntervalBetweenOwners;
}

} // namespace verbenawell::jobs
