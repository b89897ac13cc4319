#include "RunLedger.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace standins {

void
RunLedger::Begin(const std::string& aVm, const std::string& aRequest)
{
  const std::lock_guard lock{ mutex_ };
  ++runs_[aRequest];
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

} // namespace standins
