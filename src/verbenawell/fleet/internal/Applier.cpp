#include "verbenawell/fleet/internal/Applier.h"

#include <algorithm>

namespace verbenawell::fold {

std::string
DescribeVm(const VmId& aVm)
{
  return "VM \"" + aVm.Value() + "\"";
}

bool
Applier::HasOtherSparePool(const PoolId& aPool) const
{
  const PoolId spare = FindSparePool(fleet_);
  return !spare.IsEmpty() && spare != aPool;
}

bool
Applier::LeavesBudgets(const PoolId& aPool) const
{
  const PoolState& pool = fleet_.pools_.at(aPool);
  return std::ranges::all_of(pool.services_, [&](const ServiceId& aService) {
    return pool.serving_ > fleet_.services_.at(aService).budget_;
  });
}

void
Applier::NoteRemoval(const Subject& aSubject)
{
  fleet_.removed_.push_back(aSubject);
}

} // namespace verbenawell::fold
