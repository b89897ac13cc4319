#include "verbenawell/codec/SnapshotCodec.h"

#include "verbenawell/codec/internal/Decoder.h"
#include "verbenawell/codec/internal/Encoder.h"

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

namespace verbenawell {

template<>
inline constexpr StopStatus codec::kLastOf<StopStatus> = StopStatus::Failed;

template<typename Archive, codec::OneOf<VmState> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.facts_,
           aValue.pool_,
           aValue.down_,
           aValue.draining_,
           aValue.stop_,
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

// Raised with each change of the form that older programs cannot read.
constexpr std::uint32_t kVersion = 1;

struct PoolImage
{
  PoolId id_;
  bool spare_ = false;
};

struct ServiceImage
{
  ServiceId id_;
  ServiceState state_;
};

struct QuotaImage
{
  TeamId team_;
  ServiceId service_;
  QuotaState state_;
};

struct SettingImage
{
  SettingId id_;
  std::string value_;
};

struct StopImage
{
  VmId vm_;
  StopStatus status_ = StopStatus::Waiting;
};

struct WaveImage
{
  WaveId id_;
  PoolId pool_;
  std::vector<StopImage> stops_;
  WallTime startedAt_;
  std::vector<WaveFailure> failures_;
  bool paused_ = false;
  std::string pauseReason_;
  bool ended_ = false;
  Offset endedAt_;
};

struct ProvenanceImage
{
  Subject subject_;
  Provenance provenance_;
};

struct RecentImage
{
  RecordId id_;
  RecordOutcome outcome_;
};

/// The fold as lists in a fixed order. What can be derived is left out.
struct FleetImage
{
  std::uint32_t version_ = kVersion;
  Offset through_;
  std::vector<PoolImage> pools_;
  std::vector<ServiceImage> services_;
  std::vector<VmState> vms_;
  std::vector<QuotaImage> quotas_;
  std::vector<SettingImage> settings_;
  std::vector<WaveImage> waves_;
  std::vector<ProvenanceImage> provenance_;
  std::vector<Subject> removed_;
  std::vector<RecentImage> recent_;
};

// The order of the fields is part of the form: new ones go to the end.

template<typename Archive, codec::OneOf<PoolImage> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.id_, aValue.spare_);
}

template<typename Archive, codec::OneOf<ServiceImage> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.id_,
           aValue.state_.pool_,
           aValue.state_.budget_,
           aValue.state_.movedAt_);
}

template<typename Archive, codec::OneOf<QuotaImage> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(
    aValue.team_, aValue.service_, aValue.state_.weight_, aValue.state_.limit_);
}

template<typename Archive, codec::OneOf<SettingImage> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.id_, aValue.value_);
}

template<typename Archive, codec::OneOf<StopImage> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.vm_, aValue.status_);
}

template<typename Archive, codec::OneOf<WaveImage> T>
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

template<typename Archive, codec::OneOf<ProvenanceImage> T>
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

template<typename Archive, codec::OneOf<RecentImage> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.id_, aValue.outcome_.offset_, aValue.outcome_.refusal_);
}

template<typename Archive, codec::OneOf<FleetImage> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.version_,
           aValue.through_,
           aValue.pools_,
           aValue.services_,
           aValue.vms_,
           aValue.quotas_,
           aValue.settings_,
           aValue.waves_,
           aValue.provenance_,
           aValue.removed_,
           aValue.recent_);
}

WaveImage
MakeImage(const WaveId& aId, const WaveState& aWave)
{
  WaveImage image;
  image.id_ = aId;
  image.pool_ = aWave.pool_;
  image.startedAt_ = aWave.startedAt_;
  image.failures_.assign(aWave.failures_.begin(), aWave.failures_.end());
  image.paused_ = aWave.paused_;
  image.pauseReason_ = aWave.pauseReason_;
  image.ended_ = aWave.ended_;
  image.endedAt_ = aWave.endedAt_;
  for (const auto& [vm, status] : aWave.stops_) {
    image.stops_.push_back({ vm, status });
  }
  return image;
}

/// Fills the lists whose maps have no order of their own.
void
AddUnordered(const FleetState& aFleet, FleetImage& aImage)
{
  for (const auto& [id, vm] : aFleet.vms_) {
    aImage.vms_.push_back(vm);
  }
  std::ranges::sort(aImage.vms_, {}, [](const VmState& aVm) -> const VmId& {
    return aVm.facts_.vm_;
  });
  for (const Subject& subject : ListSubjects(aFleet)) {
    aImage.provenance_.push_back({ subject, aFleet.provenance_.at(subject) });
  }
  for (const RecordId& id : aFleet.recentOrder_) {
    aImage.recent_.push_back({ id, aFleet.recent_.at(id) });
  }
}

FleetImage
MakeImage(const FleetState& aFleet)
{
  FleetImage image;
  image.through_ = aFleet.through_;
  for (const auto& [id, pool] : aFleet.pools_) {
    image.pools_.push_back({ id, pool.spare_ });
  }
  for (const auto& [id, service] : aFleet.services_) {
    image.services_.push_back({ id, service });
  }
  for (const auto& [key, quota] : aFleet.quotas_) {
    image.quotas_.push_back({ key.first, key.second, quota });
  }
  for (const auto& [id, value] : aFleet.settings_) {
    image.settings_.push_back({ id, value });
  }
  for (const auto& [id, wave] : aFleet.waves_) {
    image.waves_.push_back(MakeImage(id, wave));
  }
  image.removed_.assign(aFleet.removed_.begin(), aFleet.removed_.end());
  AddUnordered(aFleet, image);
  return image;
}

void
CheckPool(const FleetState& aFleet, const PoolId& aPool)
{
  if (!aFleet.pools_.contains(aPool)) {
    throw DecodeError("snapshot refers to pool \"" + aPool.Value() +
                      "\" and does not contain it");
  }
}

/// The fold relies on these; a snapshot without them would end the daemon.
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
TakeWaves(FleetImage& aImage, FleetState& aFleet)
{
  for (WaveImage& image : aImage.waves_) {
    WaveState& wave = aFleet.waves_[image.id_];
    wave.pool_ = image.pool_;
    wave.paused_ = image.paused_;
    wave.pauseReason_ = std::move(image.pauseReason_);
    wave.ended_ = image.ended_;
    wave.endedAt_ = image.endedAt_;
    wave.startedAt_ = image.startedAt_;
    wave.failures_.assign(image.failures_.begin(), image.failures_.end());
    for (const StopImage& stop : image.stops_) {
      wave.stops_[stop.vm_] = stop.status_;
    }
  }
}

FleetState
TakeState(FleetImage aImage)
{
  FleetState fleet;
  fleet.through_ = aImage.through_;
  for (const PoolImage& pool : aImage.pools_) {
    fleet.pools_[pool.id_].spare_ = pool.spare_;
  }
  for (const ServiceImage& service : aImage.services_) {
    fleet.services_[service.id_] = service.state_;
  }
  for (VmState& vm : aImage.vms_) {
    const VmId id = vm.facts_.vm_;
    fleet.vms_[id] = std::move(vm);
  }
  for (const QuotaImage& quota : aImage.quotas_) {
    fleet.quotas_[{ quota.team_, quota.service_ }] = quota.state_;
  }
  for (SettingImage& setting : aImage.settings_) {
    fleet.settings_[setting.id_] = std::move(setting.value_);
  }
  TakeWaves(aImage, fleet);
  for (ProvenanceImage& entry : aImage.provenance_) {
    fleet.provenance_[entry.subject_] = std::move(entry.provenance_);
  }
  fleet.removed_.assign(aImage.removed_.begin(), aImage.removed_.end());
  for (RecentImage& recent : aImage.recent_) {
    fleet.recentOrder_.push_back(recent.id_);
    fleet.recent_[recent.id_] = std::move(recent.outcome_);
  }
  return fleet;
}

} // namespace

std::string
EncodeFleet(const FleetState& aFleet)
{
  std::string bytes;
  nlohmann::json::to_cbor(codec::Encode(MakeImage(aFleet)), bytes);
  return bytes;
}

FleetState
DecodeFleet(std::string_view aBytes)
{
  auto image = codec::DecodeCbor<FleetImage>(aBytes);
  if (image.version_ != kVersion) {
    throw DecodeError("snapshot has version " + std::to_string(image.version_) +
                      ", expected " + std::to_string(kVersion));
  }
  FleetState fleet = TakeState(std::move(image));
  CheckReferences(fleet);
  IndexPools(fleet);
  return fleet;
}

SnapshotEncoded
Encode(const EncodeSnapshot& aEffect)
{
  return { aEffect.fleet_->through_,
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
