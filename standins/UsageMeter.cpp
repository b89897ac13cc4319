#include "UsageMeter.h"

#include <utility>

namespace standins {

using verbenawell::Megabytes;
using verbenawell::MilliCores;
using verbenawell::Usage;

void
UsageMeter::Begin(const std::string& aService, const Usage& aUsage)
{
  const std::lock_guard lock{ mutex_ };
  inUse_.cores_ += aUsage.cores_;
  inUse_.memory_ += aUsage.memory_;
  Sum& sum = newRequests_[aService];
  ++sum.requests_;
  sum.total_.cores_ += aUsage.cores_;
  sum.total_.memory_ += aUsage.memory_;
}

void
UsageMeter::End(const Usage& aUsage)
{
  const std::lock_guard lock{ mutex_ };
  inUse_.cores_ -= aUsage.cores_;
  inUse_.memory_ -= aUsage.memory_;
}

verbenawell::UsageReport
UsageMeter::Collect(const verbenawell::VmId& aVm, verbenawell::WallTime aNow)
{
  const std::lock_guard lock{ mutex_ };
  verbenawell::UsageReport report{ aVm, aNow, {}, inUse_, {} };
  for (const auto& [service, sum] : std::exchange(newRequests_, {})) {
    report.services_.push_back(
      { verbenawell::ServiceId{ service },
        sum.requests_,
        { MilliCores{ sum.total_.cores_.Value() / sum.requests_ },
          Megabytes{ sum.total_.memory_.Value() / sum.requests_ } } });
  }
  return report;
}

} // namespace standins
