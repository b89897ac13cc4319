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
    ++repeatedNonIdempotent_;
  }
  Load& load = loads_[aVm];
  ++load.started_;
  ++load.running_;
  load.maxRunning_ = std::max(load.maxRunning_, load.running_);
}

void
RunLedger::End(const std::string& aVm, bool aIsComplete)
{
  const std::lock_guard lock{ mutex_ };
  Load& load = loads_[aVm];
  --load.running_;
  load.interrupted_ += aIsComplete ? 0 : 1;
}

std::string
RunLedger::ToJson()
{
  const std::lock_guard lock{ mutex_ };
  nlohmann::json loads = nlohmann::json::object();
  for (const auto& [vm, load] : loads_) {
    loads[vm] = { { "running", load.running_ },
                  { "mostRunning", load.maxRunning_ },
                  { "started", load.started_ },
                  { "cut", load.interrupted_ } };
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
    sum.interrupted_ += load.interrupted_;
    sum.maxRunning_ = std::max(sum.maxRunning_, load.maxRunning_);
  }
  return "started=" + std::to_string(sum.started_) +
         " cut=" + std::to_string(sum.interrupted_) +
         " doubled=" + std::to_string(repeatedNonIdempotent_) +
         " most_running=" + std::to_string(sum.maxRunning_) + "\n";
}

} // namespace standins
