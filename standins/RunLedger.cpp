#include "RunLedger.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace standins {

void
RunLedger::Begin(const std::string& aVm,
                 const std::string& aRequest,
                 bool aIdempotent)
{
  const std::lock_guard lock{ mutex_ };
  if (++runs_[aRequest] > 1 && !aIdempotent) {
    ++doubled_;
  }
  Load& load = loads_[aVm];
  ++load.started_;
  ++load.running_;
  load.mostRunning_ = std::max(load.mostRunning_, load.running_);
}

void
RunLedger::End(const std::string& aVm, bool aWhole)
{
  const std::lock_guard lock{ mutex_ };
  Load& load = loads_[aVm];
  --load.running_;
  load.cut_ += aWhole ? 0 : 1;
}

std::string
RunLedger::ToJson()
{
  const std::lock_guard lock{ mutex_ };
  nlohmann::json loads = nlohmann::json::object();
  for (const auto& [vm, load] : loads_) {
    loads[vm] = { { "running", load.running_ },
                  { "mostRunning", load.mostRunning_ },
                  { "started", load.started_ },
                  { "cut", load.cut_ } };
  }
  return nlohmann::json{ { "runs", runs_ }, { "vms", loads } }.dump();
}

std::string
RunLedger::Totals()
{
  const std::lock_guard lock{ mutex_ };
  Load sum;
  for (const auto& [vm, load] : loads_) {
    sum.started_ += load.started_;
    sum.cut_ += load.cut_;
    sum.mostRunning_ = std::max(sum.mostRunning_, load.mostRunning_);
  }
  return "started=" + std::to_string(sum.started_) +
         " cut=" + std::to_string(sum.cut_) +
         " doubled=" + std::to_string(doubled_) +
         " most_running=" + std::to_string(sum.mostRunning_) + "\n";
}

} // namespace standins
