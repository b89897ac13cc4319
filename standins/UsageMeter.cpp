#include "UsageMeter.h"

#include <utility>

namespace standins {

using verbenawell::Megabytes;
using verbenawell::MilliCores;
using verbenawell::Usage;

void
UsageMeter::Begin(const std::string& aService, const Usage& aUse)
{
  const std::lock_guard lock{ mutex_ };
  used_.cores_ += aUse.cores_;
  used_.memory_ += aUse.memory_;
  Sum& sum = begun_[aService];
  ++sum.requests_;
  sum.use_.cores_ += aUse.cores_;
  sum.use_.memory_ += aUse.memory_;
}

void
UsageMeter::End(const Usage& aUse)
{
  const std::lock_guard lock{ mutex_ };
  used_.cores_ -= aUse.cores_;
  used_.memory_ -= aUse.memory_;
}

verbenawell::UsageReport
UsageMeter::Take(const verbenawell::VmId& aVm, verbenawell::WallTime aNow)
{
  const std::lock_guard lock{ mutex_ };
  verbenawell::UsageReport report{ aVm, aNow, {}, used_, {} };
  for (const auto& [service, sum] : std::exchange(begun_, {})) {
    report.services_.push_back(
      { verbenawell::ServiceId{ service },
        sum.requests_,
        { MilliCores{ sum.use_.cores_.Value() / sum.requests_ },
          Megabytes{ sum.use_.memory_.Value() / sum.requests_ } } });
  }
  return report;
}

} // namespace standins
