#include "verbenawell/fleet/ApplyRecord.h"

#include "verbenawell/core/Overloaded.h"
#include "verbenawell/fleet/FormatChange.h"
#include "verbenawell/fleet/internal/Applier.h"

#include <algorithm>
#include <utility>

namespace verbenawell {

namespace {

using fleet_records::Refusal;

// More records than the log takes at its full rate while any one append is
// pending.
constexpr std::size_t kMaxRecentRecords = 8192;
constexpr std::size_t kMaxHistoryEntries = 4;
// The VMs that are replaced in about two days in the largest fleet that the
// design targets.
constexpr std::size_t kMaxRemovedSubjects = 1024;

std::string
DescribeSubject(const Subject& aSubject)
{
  return std::visit([](const auto& aId) { return aId.Value(); }, aSubject);
}

Refusal
CheckPreconditions(const FleetState& aFleet, const FleetRecord& aRecord)
{
  for (const auto& [subject, version] : aRecord.preconditions_) {
    if (const Offset current = VersionOf(aFleet, subject); current != version) {
      return "\"" + DescribeSubject(subject) + "\" was changed at offset " +
             std::to_string(current.Value()) + ", expected offset " +
             std::to_string(version.Value());
    }
  }
  return {};
}

void
StoreOutcome(FleetState& aFleet, const RecordId& aId, RecordOutcome aOutcome)
{
  aFleet.recentOutcomes_[aId] = std::move(aOutcome);
  aFleet.recentIds_.push_back(aId);
  if (aFleet.recentIds_.size() > kMaxRecentRecords) {
    aFleet.recentOutcomes_.erase(aFleet.recentIds_.front());
    aFleet.recentIds_.pop_front();
  }
}

void
UpdateProvenance(FleetState& aFleet,
                 Offset aOffset,
                 const FleetRecord& aRecord,
                 std::vector<Subject>& aChanged)
{
  std::ranges::sort(aChanged);
  aChanged.erase(std::unique(aChanged.begin(), aChanged.end()), aChanged.end());
  const std::string text = FormatChange(aRecord.change_);
  for (const Subject& subject : aChanged) {
    Provenance& provenance = aFleet.provenance_[subject];
    provenance.previous_ = provenance.offset_;
    provenance.offset_ = aOffset;
    provenance.author_ = aRecord.author_;
    provenance.at_ = aRecord.at_;
    auto& history = provenance.history_;
    if (history.size() >= kMaxHistoryEntries) {
      history.erase(history.begin());
    }
    history.push_back({ aOffset, aRecord.author_, aRecord.at_, text });
  }
}

bool
Exists(const FleetState& aFleet, const Subject& aSubject)
{
  return std::visit(
    Overloaded{
      [&](const PoolId& aPool) { return aFleet.pools_.contains(aPool); },
      [&](const ServiceId& aId) { return aFleet.services_.contains(aId); },
      [&](const VmId& aVm) { return aFleet.vms_.contains(aVm); },
      [&](const WaveId& aWave) { return aFleet.waves_.contains(aWave); },
      [](const auto&) { return true; },
    },
    aSubject);
}

/// Drops the oldest removed subjects and their provenance, so that the state
/// does not grow with its age.
void
PruneRemovedSubjects(FleetState& aFleet)
{
  while (aFleet.removedSubjects_.size() > kMaxRemovedSubjects) {
    if (!Exists(aFleet, aFleet.removedSubjects_.front())) {
      aFleet.provenance_.erase(aFleet.removedSubjects_.front());
    }
    aFleet.removedSubjects_.pop_front();
  }
}

ApplyOutcome
ApplyNewRecord(FleetState& aFleet, Offset aOffset, const FleetRecord& aRecord)
{
  ApplyOutcome outcome;
  if (Refusal refusal = CheckPreconditions(aFleet, aRecord)) {
    outcome.refusal_ = std::move(*refusal);
    return outcome;
  }
  fleet_records::Applier applier{ aFleet, aRecord, outcome.changed_ };
  if (Refusal refusal = std::visit(applier, aRecord.change_)) {
    outcome.refusal_ = std::move(*refusal);
    outcome.changed_.clear();
    return outcome;
  }
  UpdateProvenance(aFleet, aOffset, aRecord, outcome.changed_);
  PruneRemovedSubjects(aFleet);
  return outcome;
}

} // namespace

ApplyOutcome
Apply(FleetState& aFleet, Offset aOffset, const FleetRecord& aRecord)
{
  aFleet.appliedOffset_ = aOffset;
  if (aFleet.recentOutcomes_.contains(aRecord.id_)) {
    return { "the record was applied before", {} };
  }
  ApplyOutcome outcome = ApplyNewRecord(aFleet, aOffset, aRecord);
  StoreOutcome(aFleet, aRecord.id_, { aOffset, outcome.refusal_ });
  return outcome;
}

} // namespace verbenawell
