#include "verbenawell/fleet/internal/Applier.h"

#include <algorithm>

namespace verbenawell::fleet_records {

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
Applier::CanLoseServingVm(const PoolId& aPool) const
{
  const PoolState& pool = fleet_.pools_.at(aPool);
  return std::ranges::all_of(pool.services_, [&](const ServiceId& aService) {
    return pool.serving_ > fleet_.services_.at(aService).budget_;
  });
}

void
Applier::AddRemovedSubject(const Subject& aSubject)
{
  fleet_.removedSubjects_.push_back(aSubject);
}

} // namespace verbenawell::fleet_records
