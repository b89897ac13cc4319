#pragma once

#include "verbenawell/codec/internal/OneOf.h"
#include "verbenawell/fleet/FleetRecord.h"

namespace verbenawell::codec {

template<typename Archive, OneOf<Endpoint> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.host_, aValue.port_);
}

template<typename Archive, OneOf<Resources> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.cores_, aValue.memory_, aValue.accelerators_);
}

template<typename Archive, OneOf<VmFacts> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.vm_,
           aValue.address_,
           aValue.region_,
           aValue.zone_,
           aValue.rack_,
           aValue.size_,
           aValue.slots_,
           aValue.boots_);
}

template<typename Archive, OneOf<DefinePool> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.pool_, aValue.spare_);
}

template<typename Archive, OneOf<RemovePool> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.pool_);
}

template<typename Archive, OneOf<DefineService> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.service_, aValue.pool_, aValue.budget_);
}

template<typename Archive, OneOf<RemoveService> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.service_);
}

template<typename Archive, OneOf<SetQuota> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.team_, aValue.service_, aValue.weight_, aValue.limit_);
}

template<typename Archive, OneOf<SetSetting> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.setting_, aValue.value_);
}

template<typename Archive, OneOf<VmSeen> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.facts_);
}

template<typename Archive,
         OneOf<VmDown, VmGone, DrainVm, UndrainVm, CancelMove> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.vm_);
}

template<typename Archive, OneOf<VmUp> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.vm_, aValue.boots_);
}

template<typename Archive, OneOf<MoveVm, StartMove> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.vm_, aValue.to_);
}

template<typename Archive, OneOf<StartWave> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.wave_, aValue.pool_, aValue.vms_);
}

template<typename Archive, OneOf<ReserveStop, FailStop> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.wave_, aValue.vm_);
}

template<typename Archive, OneOf<FinishStop> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.wave_, aValue.vm_, aValue.boots_);
}

template<typename Archive, OneOf<PauseWave> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.wave_, aValue.reason_);
}

template<typename Archive, OneOf<ResumeWave, EndWave> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.wave_);
}

template<typename Archive, OneOf<UnknownChange> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.kind_);
}

template<typename Archive, OneOf<Precondition> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.subject_, aValue.version_);
}

template<typename Archive, OneOf<FleetRecord> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.id_,
           aValue.at_,
           aValue.author_,
           aValue.preconditions_,
           aValue.change_);
}

} // namespace verbenawell::codec
