#pragma once

#include "verbenawell/requests/UsageReport.h"

#include <string>
#include <string_view>
#include <vector>

namespace verbenawell {

/// Decodes the VMs whose usage is requested from JSON; throws `DecodeError`.
std::vector<VmId>
DecodeUsageQuery(std::string_view aText);

std::string
EncodeUsageQuery(const std::vector<VmId>& aVms);

/// Decodes usage reports from JSON; throws `DecodeError`.
std::vector<UsageReport>
DecodeUsage(std::string_view aText);

/// `aNow` is the current time of the platform's clock, which also gave the
/// times in the reports.
std::string
EncodeUsage(WallTime aNow, const std::vector<UsageReport>& aReports);

} // namespace verbenawell
