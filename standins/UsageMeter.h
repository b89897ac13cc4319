#pragma once

#include "verbenawell/requests/UsageReport.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace standins {

/// Measures what the requests of one worker use.
class UsageMeter
{
public:
  void Begin(const std::string& aService, const verbenawell::Usage& aUse);
  void End(const verbenawell::Usage& aUse);

  /// What is in use now, and the mean of the requests that have begun since
  /// the last call.
  verbenawell::UsageReport Take(const verbenawell::VmId& aVm,
                                verbenawell::WallTime aNow);

private:
  struct Sum
  {
    std::uint32_t requests_ = 0;
    verbenawell::Usage use_;
  };

  std::mutex mutex_;
  verbenawell::Usage used_;
  std::map<std::string, Sum> begun_;
};

} // namespace standins
