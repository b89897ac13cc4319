#pragma once

#include "verbenawell/requests/UsageReport.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace standins {

/// Measures the resource usage of the requests on one worker.
class UsageMeter
{
public:
  void Begin(const std::string& aService, const verbenawell::Usage& aUsage);
  void End(const verbenawell::Usage& aUsage);

  /// Returns the usage at present, and for each service the mean usage of the
  /// requests that started since the previous call.
  verbenawell::UsageReport Collect(const verbenawell::VmId& aVm,
                                   verbenawell::WallTime aNow);

private:
  struct Sum
  {
    std::uint32_t requests_ = 0;
    verbenawell::Usage total_;
  };

  std::mutex mutex_;
  verbenawell::Usage inUse_;
  std::map<std::string, Sum> newRequests_;
};

} // namespace standins
