#include "verbenawell/operators/Consequences.h"

#include "verbenawell/core/Overloaded.h"
#include "verbenawell/fleet/ApplyRecord.h"
#include "verbenawell/operators/Subjects.h"
#include "verbenawell/planner/FleetIndex.h"
#include "verbenawell/planner/SparePlan.h"
#include "verbenawell/planner/WavePlan.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdio>
#include <map>

#include <xxhash.h>

namespace verbenawell {

namespace {

std::string
FormatCount(VmCount aCount)
{
  return std::to_string(aCount.Value());
}

struct ServiceVmCounts
{
  VmCount budget_;
  VmCount serving_;
};

std::map<ServiceId, ServiceVmCounts>
CountVmsByService(const FleetState& aFleet)
{
  std::map<ServiceId, ServiceVmCounts> counts;
  for (const auto& [id, service] : aFleet.services_) {
    const PoolState& pool = aFleet.pools_.at(service.pool_);
    counts[id] = { service.budget_, CountServing(aFleet, pool) };
  }
  return counts;
}

std::vector<ServiceEffect>
CompareServices(const FleetState& aBefore, const FleetState& aAfter)
{
  const auto before = CountVmsByService(aBefore);
  std::vector<ServiceEffect> effects;
  for (const auto& [id, after] : CountVmsByService(aAfter)) {
    const auto found = before.find(id);
    const ServiceVmCounts old =
      found == before.end() ? ServiceVmCounts{} : found->second;
    if (old.budget_ != after.budget_ || old.serving_ != after.serving_) {
      effects.push_back(
        { id, old.budget_, after.budget_, old.serving_, after.serving_ });
    }
  }
  return effects;
}

FleetIndex
BuildIndex(const FleetState& aFleet)
{
  FleetIndex index;
  index.Rebuild(aFleet);
  return index;
}

Table
DescribeSpares(const SpareAssessment& aBefore, const SpareAssessment& aAfter)
{
  const auto row = [](const char* aWhen, const SpareAssessment& aNeed) {
    return std::vector<std::string>{ aWhen,
                                     aNeed.worstLoss_.zone_.Value(),
                                     FormatCount(aNeed.worstLoss_.missing_),
                                     FormatCount(aNeed.worstLoss_.spares_),
                                     aNeed.coversAnyZoneLoss_ ? "yes" : "NO" };
  };
  return { "loss of the worst zone",
           { "when", "zone", "vms missing", "spares left", "covered" },
           { row("before", aBefore), row("after", aAfter) } };
}

std::vector<Table>
DescribeWaveCost(const WaveForecast& aForecast)
{
  const auto seconds =
    std::chrono::ceil<std::chrono::seconds>(aForecast.duration_);
  std::vector<Table> tables;
  tables.push_back(
    { "cost of the wave",
      { "stops", "at once", "rounds", "borrowed spares", "about" },
      { { std::to_string(aForecast.stops_),
          std::to_string(aForecast.width_),
          std::to_string(aForecast.rounds_),
          std::to_string(aForecast.borrowed_),
          std::to_string(seconds.count()) + " s" } } });
  Table margins{ "closest to their budgets",
                 { "service", "budget", "serving now", "least in the wave" },
                 {} };
  for (const BudgetMargin& margin : aForecast.margins_) {
    margins.rows_.push_back({ margin.service_.Value(),
                              FormatCount(margin.budget_),
                              FormatCount(margin.currentServing_),
                              FormatCount(margin.minServing_) });
  }
  tables.push_back(std::move(margins));
  return tables;
}

/// Number of the pool's serving VMs that remain after the loss of its largest
/// zone.
VmCount
ServingAfterZoneLoss(const FleetIndex& aIndex, const PoolId& aPool)
{
  const auto found = aIndex.Pools().find(aPool);
  if (found == aIndex.Pools().end()) {
    return VmCount{};
  }
  VmCount largest;
  for (const auto& [zone, count] : found->second.byZone_) {
    largest = std::max(largest, count);
  }
  return found->second.serving_ - largest;
}

std::uint64_t
SlotsOfPool(const FleetState& aFleet, const PoolId& aPool)
{
  std::uint64_t slots = 0;
  for (const VmId& vm : aFleet.pools_.at(aPool).vms_) {
    slots += aFleet.vms_.at(vm).facts_.slots_.Value();
  }
  return slots;
}

/// Collects the reasons why a change needs a confirmation: effects that an
/// inexperienced operator should not cause without reading about them.
class DangerFinder
{
public:
  DangerFinder(const FleetState& aBefore,
               const FleetState& aAfter,
               const FleetIndex& aIndex)
    : before_(aBefore)
    , after_(aAfter)
    , index_(aIndex)
  {
  }

  void operator()(const DefineService& aChange)
  {
    const auto old = before_.services_.find(aChange.service_);
    if (old != before_.services_.end() && old->second.pool_ != aChange.pool_) {
      dangers_.push_back("non-idempotent requests for service " +
                         aChange.service_.Value() +
                         " are refused for 11 minutes after the change");
    }
    const VmCount left = ServingAfterZoneLoss(index_, aChange.pool_);
    if (aChange.budget_ < left) {
      dangers_.push_back(
        "budget " + FormatCount(aChange.budget_) + " is below the " +
        FormatCount(left) +
        " VMs that the loss of one zone leaves: waves may stop more VMs at "
        "once than such a loss");
    }
  }

  void operator()(const SetQuota& aChange)
  {
    const PoolId& pool = after_.services_.at(aChange.service_).pool_;
    const std::uint64_t slots = SlotsOfPool(after_, pool);
    if (aChange.limit_.Value() > slots) {
      dangers_.push_back("limit " + std::to_string(aChange.limit_.Value()) +
                         " is over the " + std::to_string(slots) +
                         " slots of pool " + pool.Value());
    }
  }

  void operator()(const RemoveService& aChange)
  {
    dangers_.push_back("requests for service " + aChange.service_.Value() +
                       " will be refused");
  }

  void operator()(const auto&) {}

  std::vector<std::string> ReleaseDangers() { return std::move(dangers_); }

private:
  const FleetState& before_;
  const FleetState& after_;
  const FleetIndex& index_;
  std::vector<std::string> dangers_;
};

std::string
ComputeConfirmationCode(const Consequences& aConsequences,
                        const FleetRecord& aRecord)
{
  std::string text = DescribeChange(aRecord.change_);
  for (const auto& [subject, version] : aRecord.preconditions_) {
    text += "/" + std::to_string(version.Value());
  }
  for (const std::string& danger : aConsequences.dangers_) {
    text += "/" + danger;
  }
  for (const ServiceEffect& effect : aConsequences.services_) {
    text += "/" + effect.service_.Value() + FormatCount(effect.servingAfter_);
  }
  constexpr unsigned kCodeMask = 0xFFFFFFU;
  std::array<char, 8> code{};
  std::snprintf(code.data(),
                code.size(),
                "%06x",
                static_cast<unsigned>(XXH64(text.data(), text.size(), 0)) &
                  kCodeMask);
  return code.data();
}

} // namespace

Consequences
AssessChange(const FleetState& aFleet,
             const FleetRecord& aRecord,
             Duration aRebootTime)
{
  Consequences consequences;
  FleetState after = aFleet;
  consequences.refusal_ =
    Apply(after, aFleet.appliedOffset_ + Offset{ 1 }, aRecord).refusal_;
  if (!consequences.refusal_.empty()) {
    return consequences;
  }
  const FleetIndex indexBefore = BuildIndex(aFleet);
  const FleetIndex indexAfter = BuildIndex(after);
  const SpareAssessment spareBefore = AssessSpares(indexBefore);
  const SpareAssessment spareAfter = AssessSpares(indexAfter);
  DangerFinder finder{ aFleet, after, indexAfter };
  std::visit(finder, aRecord.change_);
  consequences.dangers_ = finder.ReleaseDangers();
  if (spareBefore.coversAnyZoneLoss_ && !spareAfter.coversAnyZoneLoss_) {
    consequences.dangers_.push_back(
      "the spare pool no longer covers the loss of zone " +
      spareAfter.worstLoss_.zone_.Value());
  }
  consequences.services_ = CompareServices(aFleet, after);
  consequences.tables_.push_back(DescribeSpares(spareBefore, spareAfter));
  if (const auto* wave = std::get_if<StartWave>(&aRecord.change_)) {
    const auto cost =
      DescribeWaveCost(ForecastWave(after,
                                    after.waves_.at(wave->wave_),
                                    indexAfter.SpareCount(),
                                    aRebootTime));
    consequences.tables_.insert(
      consequences.tables_.end(), cost.begin(), cost.end());
  }
  consequences.confirmationCode_ =
    ComputeConfirmationCode(consequences, aRecord);
  return consequences;
}

Table
BuildConsequencesTable(const Consequences& aConsequences)
{
  Table table{
    "consequences",
    { "service", "budget", "new budget", "serving", "serving after" },
    {}
  };
  for (const ServiceEffect& effect : aConsequences.services_) {
    table.rows_.push_back({ effect.service_.Value(),
                            FormatCount(effect.budgetBefore_),
                            FormatCount(effect.budgetAfter_),
                            FormatCount(effect.servingBefore_),
                            FormatCount(effect.servingAfter_) });
  }
  return table;
}

Table
CompareWithActualState(const Consequences& aConsequences,
                       const FleetState& aFleet)
{
  Table table{ "expected and actual",
               { "service", "serving expected", "serving now" },
               {} };
  const auto now = CountVmsByService(aFleet);
  for (const ServiceEffect& effect : aConsequences.services_) {
    const auto found = now.find(effect.service_);
    table.rows_.push_back(
      { effect.service_.Value(),
        FormatCount(effect.servingAfter_),
        found == now.end() ? "gone" : FormatCount(found->second.serving_) });
  }
  return table;
}

} // namespace verbenawell
