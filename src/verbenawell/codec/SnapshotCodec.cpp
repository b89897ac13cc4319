#include "verbenawell/codec/SnapshotCodec.h"

#include "verbenawell/codec/internal/Decoder.h"
#include "verbenawell/codec/internal/Encoder.h"

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

namespace verbenawell {

template<>
inline constexpr StopStatus codec::kLastEnumerator<StopStatus> =
  StopStatus::Failed;

template<typename Archive, codec::OneOf<VmState> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.facts_,
           aValue.pool_,
           aValue.down_,
           aValue.draining_,
           aValue.stopWave_,
           aValue.movingTo_,
           aValue.maintainedAt_);
}

template<typename Archive, codec::OneOf<WaveFailure> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.at_, aValue.rack_);
}

template<typename Archive, codec::OneOf<HistoryEntry> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.offset_, aValue.author_, aValue.at_, aValue.text_);
}

namespace {

// Increased with each change of the format that older programs cannot read.
constexpr std::uint32_t kFormatVersion = 1;

struct StoredPool
{
  PoolId id_;
  bool spare_ = false;
};

struct StoredService
{
  ServiceId id_;
  ServiceState state_;
};

struct StoredQuota
{
  TeamId team_;
  ServiceId service_;
  QuotaState state_;
};

struct StoredSetting
{
  SettingId id_;
  std::string value_;
};

struct StoredStop
{
  VmId vm_;
  StopStatus status_ = StopStatus::Waiting;
};

struct StoredWave
{
  WaveId id_;
  PoolId pool_;
  std::vector<StoredStop> stops_;
  WallTime startedAt_;
  std::vector<WaveFailure> failures_;
  bool paused_ = false;
  std::string pauseReason_;
  bool ended_ = false;
  Offset endedAt_;
};

struct StoredProvenance
{
  Subject subject_;
  Provenance provenance_;
};

struct StoredOutcome
{
  RecordId id_;
  RecordOutcome outcome_;
};

/// The fleet state as lists in a fixed order, without data that can be derived.
struct StoredFleet
{
  std::uint32_t version_ = kFormatVersion;
  Offset appliedOffset_;
  std::vector<StoredPool> pools_;
  std::vector<StoredService> services_;
  std::vector<VmState> vms_;
  std::vector<StoredQuota> quotas_;
  std::vector<StoredSetting> settings_;
  std::vector<StoredWave> waves_;
  std::vector<StoredProvenance> provenance_;
  std::vector<Subject> removedSubjects_;
  std::vector<StoredOutcome> recentOutcomes_;
};

// `Fields` encodes or decodes the fields of a type, depending on the archive.
// The order of the fields is part of the format: new fields go to the end.

template<typename Archive, codec::OneOf<StoredPool> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.id_, aValue.spare_);
}

template<typename Archive, codec::OneOf<StoredService> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.id_,
           aValue.state_.pool_,
           aValue.state_.budget_,
           aValue.state_.movedAt_);
}

template<typename Archive, codec::OneOf<StoredQuota> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(
    aValue.team_, aValue.service_, aValue.state_.weight_, aValue.state_.limit_);
}

template<typename Archive, codec::OneOf<StoredSetting> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.id_, aValue.value_);
}

template<typename Archive, codec::OneOf<StoredStop> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.vm_, aValue.status_);
}

template<typename Archive, codec::OneOf<StoredWave> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.id_,
           aValue.pool_,
           aValue.stops_,
           aValue.startedAt_,
           aValue.failures_,
           aValue.paused_,
           aValue.pauseReason_,
           aValue.ended_,
           aValue.endedAt_);
}

template<typename Archive, codec::OneOf<StoredProvenance> T>
void
Fields(Archive& aArchive, T& aValue)
{
  auto& provenance = aValue.provenance_;
  aArchive(aValue.subject_,
           provenance.offset_,
           provenance.previous_,
           provenance.author_,
           provenance.at_,
           provenance.history_);
}

template<typename Archive, codec::OneOf<StoredOutcome> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.id_, aValue.outcome_.offset_, aValue.outcome_.refusal_);
}

template<typename Archive, codec::OneOf<StoredFleet> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.version_,
           aValue.appliedOffset_,
           aValue.pools_,
           aValue.services_,
           aValue.vms_,
           aValue.quotas_,
           aValue.settings_,
           aValue.waves_,
           aValue.provenance_,
           aValue.removedSubjects_,
           aValue.recentOutcomes_);
}

StoredWave
MakeStoredForm(const WaveId& aId, const WaveState& aWave)
{
  StoredWave stored;
  stored.id_ = aId;
  stored.pool_ = aWave.pool_;
  stored.startedAt_ = aWave.startedAt_;
  stored.failures_.assign(aWave.failures_.begin(), aWave.failures_.end());
  stored.paused_ = aWave.paused_;
  stored.pauseReason_ = aWave.pauseReason_;
  stored.ended_ = aWave.ended_;
  stored.endedAt_ = aWave.endedAt_;
  for (const auto& [vm, status] : aWave.stops_) {
    stored.stops_.push_back({ vm, status });
  }
  return stored;
}

/// Fills the lists whose source containers are not sorted, in a fixed order.
void
AddUnordered(const FleetState& aFleet, StoredFleet& aStored)
{
  for (const auto& [id, vm] : aFleet.vms_) {
    aStored.vms_.push_back(vm);
  }
  std::ranges::sort(aStored.vms_, {}, [](const VmState& aVm) -> const VmId& {
    return aVm.facts_.vm_;
  });
  for (const Subject& subject : ListSubjects(aFleet)) {
    aStored.provenance_.push_back({ subject, aFleet.provenance_.at(subject) });
  }
  for (const RecordId& id : aFleet.recentIds_) {
    aStored.recentOutcomes_.push_back({ id, aFleet.recentOutcomes_.at(id) });
  }
}

StoredFleet
MakeStoredForm(const FleetState& aFleet)
{
  StoredFleet stored;
  stored.appliedOffset_ = aFleet.appliedOffset_;
  for (const auto& [id, pool] : aFleet.pools_) {
    stored.pools_.push_back({ id, pool.spare_ });
  }
  for (const auto& [id, service] : aFleet.services_) {
    stored.services_.push_back({ id, service });
  }
  for (const auto& [key, quota] : aFleet.quotas_) {
    stored.quotas_.push_back({ key.first, key.second, quota });
  }
  for (const auto& [id, value] : aFleet.settings_) {
    stored.settings_.push_back({ id, value });
  }
  for (const auto& [id, wave] : aFleet.waves_) {
    stored.waves_.push_back(MakeStoredForm(id, wave));
  }
  stored.removedSubjects_.assign(aFleet.removedSubjects_.begin(),
                                 aFleet.removedSubjects_.end());
  AddUnordered(aFleet, stored);
  return stored;
}

void
CheckPool(const FleetState& aFleet, const PoolId& aPool)
{
  if (!aFleet.pools_.contains(aPool)) {
    throw DecodeError("snapshot refers to missing pool \"" + aPool.Value() +
                      "\"");
  }
}

/// Checks that all pools referred to exist. Applying records relies on it: a
/// snapshot with a dangling reference would terminate the daemon.
void
CheckReferences(const FleetState& aFleet)
{
  for (const auto& [id, service] : aFleet.services_) {
    CheckPool(aFleet, service.pool_);
  }
  for (const auto& [id, vm] : aFleet.vms_) {
    CheckPool(aFleet, vm.pool_);
  }
}

void
BuildWaves(StoredFleet& aStored, FleetState& aFleet)
{
  for (StoredWave& stored : aStored.waves_) {
    WaveState& wave = aFleet.waves_[stored.id_];
    wave.pool_ = stored.pool_;
    wave.paused_ = stored.paused_;
    wave.pauseReason_ = std::move(stored.pauseReason_);
    wave.ended_ = stored.ended_;
    wave.endedAt_ = stored.endedAt_;
    wave.startedAt_ = stored.startedAt_;
    wave.failures_.assign(stored.failures_.begin(), stored.failures_.end());
    for (const StoredStop& stop : stored.stops_) {
      wave.stops_[stop.vm_] = stop.status_;
    }
  }
}

FleetState
BuildFleetState(StoredFleet aStored)
{
  FleetState fleet;
  fleet.appliedOffset_ = aStored.appliedOffset_;
  for (const StoredPool& pool : aStored.pools_) {
    fleet.pools_[pool.id_].spare_ = pool.spare_;
  }
  for (const StoredService& service : aStored.services_) {
    fleet.services_[service.id_] = service.state_;
  }
  for (VmState& vm : aStored.vms_) {
    const VmId id = vm.facts_.vm_;
    fleet.vms_[id] = std::move(vm);
  }
  for (const StoredQuota& quota : aStored.quotas_) {
    fleet.quotas_[{ quota.team_, quota.service_ }] = quota.state_;
  }
  for (StoredSetting& setting : aStored.settings_) {
    fleet.settings_[setting.id_] = std::move(setting.value_);
  }
  BuildWaves(aStored, fleet);
  for (StoredProvenance& entry : aStored.provenance_) {
    fleet.provenance_[entry.subject_] = std::move(entry.provenance_);
  }
  fleet.removedSubjects_.assign(aStored.removedSubjects_.begin(),
                                aStored.removedSubjects_.end());
  for (StoredOutcome& recent : aStored.recentOutcomes_) {
    fleet.recentIds_.push_back(recent.id_);
    fleet.recentOutcomes_[recent.id_] = std::move(recent.outcome_);
  }
  return fleet;
}

} // namespace

std::string
EncodeFleet(const FleetState& aFleet)
{
  std::string bytes;
  nlohmann::json::to_cbor(codec::Encode(MakeStoredForm(aFleet)), bytes);
  return bytes;
}

FleetState
DecodeFleet(std::string_view aBytes)
{
  auto stored = codec::DecodeCbor<StoredFleet>(aBytes);
  if (stored.version_ != kFormatVersion) {
    throw DecodeError("snapshot has version " +
                      std::to_string(stored.version_) + ", expected " +
                      std::to_string(kFormatVersion));
  }
  FleetState fleet = BuildFleetState(std::move(stored));
  CheckReferences(fleet);
  IndexPools(fleet);
  return fleet;
}

SnapshotEncoded
Encode(const EncodeSnapshot& aEffect)
{
  return { aEffect.fleet_->appliedOffset_,
           std::make_shared<const std::string>(EncodeFleet(*aEffect.fleet_)) };
}

SnapshotDecoded
Decode(const DecodeSnapshot& aEffect)
{
  try {
    return { aEffect.source_,
             std::make_shared<const FleetState>(DecodeFleet(*aEffect.bytes_)),
             "" };
  } catch (const std::exception& error) {
    return { aEffect.source_, nullptr, error.what() };
  }
}

} // namespace verbenawell
