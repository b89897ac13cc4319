#pragma once

#include "verbenawell/requests/UsageReport.h"

#include <string>
#include <string_view>
#include <vector>

namespace verbenawell {

/// JSON of the VMs whose usage is asked for; throws `DecodeError`.
std::vector<VmId>
DecodeUsageQuery(std::string_view aText);

std::string
EncodeUsageQuery(const std::vector<VmId>& aVms);

/// JSON of usage reports; throws `DecodeError`.
std::vector<UsageReport>
DecodeUsage(std::string_view aText);

/// `aNow` is the platform's clock, by which the reports have their times.
std::string
EncodeUsage(WallTime aNow, const std::vector<UsageReport>& aReports);

} // namespace verbenawell
