#include "verbenawell/core/Overloaded.h"
#include "verbenawell/fleet/FleetSettings.h"
#include "verbenawell/fleet/FleetState.h"
#include "verbenawell/operators/Reports.h"
#include "verbenawell/operators/Subjects.h"

#include <ctime>
#include <string>
#include <utility>

namespace verbenawell {

namespace {

std::string
FormatTime(WallTime aTime)
{
  const std::time_t seconds = std::chrono::system_clock::to_time_t(aTime);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::string text(std::size("2026-01-01T00:00:00Z"), '\0');
  text.resize(
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts));
  return text;
}

Table
DescribeProvenance(const Subject& aSubject, const Provenance& aProvenance)
{
  const bool first = aProvenance.previous_ == Offset{};
  return {
    "why " + DescribeSubject(aSubject) + " is in force",
    { "offset", "by", "at", "replaced" },
    { { std::to_string(aProvenance.offset_.Value()),
        aProvenance.author_.IsEmpty() ? "unnamed" : aProvenance.author_.Value(),
        FormatTime(aProvenance.at_),
        first ? "nothing"
              : "offset " + std::to_string(aProvenance.previous_.Value()) } }
  };
}

/// Describes the current effect of a subject in one line.
class EffectDescriber
{
public:
  explicit EffectDescriber(const FleetState& aFleet)
    : fleet_(aFleet)
  {
  }

  std::string operator()(const PoolId& aId) const
  {
    const auto found = fleet_.pools_.find(aId);
    if (found == fleet_.pools_.end()) {
      return "removed";
    }
    const PoolState& pool = found->second;
    return std::to_string(pool.vms_.size()) + " VMs, " +
           std::to_string(CountServing(fleet_, pool).Value()) +
           " serving, largest budget " +
           std::to_string(LargestBudget(fleet_, pool).Value());
  }

  std::string operator()(const ServiceId& aId) const
  {
    const auto found = fleet_.services_.find(aId);
    if (found == fleet_.services_.end()) {
      return "removed";
    }
    const PoolState& pool = fleet_.pools_.at(found->second.pool_);
    const auto serving = CountServing(fleet_, pool).Value();
    const auto budget = found->second.budget_.Value();
    const auto slack = serving > budget ? serving - budget : 0;
    return "budget " + std::to_string(budget) + " of " +
           std::to_string(serving) + " serving VMs: " + std::to_string(slack) +
           " may stop now";
  }

  std::string operator()(const VmId& aId) const
  {
    const auto found = fleet_.vms_.find(aId);
    if (found == fleet_.vms_.end()) {
      return "gone";
    }
    const VmState& vm = found->second;
    return "in pool " + vm.pool_.Value() +
           (IsServing(vm) ? ", serving" : ", not serving");
  }

  std::string operator()(const WaveId& aId) const
  {
    const auto found = fleet_.waves_.find(aId);
    if (found == fleet_.waves_.end()) {
      return "no longer kept";
    }
    const WaveState& wave = found->second;
    if (wave.ended_) {
      return "ended";
    }
    return wave.paused_ ? "paused: " + wave.pauseReason_ : "running";
  }

  std::string operator()(const TeamId& aId) const
  {
    std::string text;
    for (const auto& [key, quota] : fleet_.quotas_) {
      if (key.first == aId) {
        text += (text.empty() ? "" : "; ") + key.second.Value() + ": weight " +
                std::to_string(quota.weight_.Value());
      }
    }
    return text;
  }

  std::string operator()(const SettingId& aId) const
  {
    const FleetSetting* setting = FindFleetSetting(aId.Value());
    if (setting == nullptr) {
      return "unknown to this version";
    }
    return std::to_string(ValueOf(fleet_, *setting)) + " " +
           std::string(setting->unit_) + " (default " +
           std::to_string(setting->default_) +
           "): " + std::string(setting->meaning_);
  }

private:
  const FleetState& fleet_;
};

} // namespace

std::vector<Table>
ReportProvenance(const FleetState& aFleet, const Subject& aSubject)
{
  const auto found = aFleet.provenance_.find(aSubject);
  const bool isSetting = std::holds_alternative<SettingId>(aSubject);
  if (found == aFleet.provenance_.end() && !isSetting) {
    return {};
  }
  std::vector<Table> tables;
  if (found != aFleet.provenance_.end()) {
    tables.push_back(DescribeProvenance(aSubject, found->second));
  }
  tables.push_back({ "what it does now",
                     { "effect" },
                     { { std::visit(EffectDescriber{ aFleet }, aSubject) } } });
  return tables;
}

} // namespace verbenawell
