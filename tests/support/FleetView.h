#pragma once

#include "verbenawell/fleet/FleetEvents.h"
#include "verbenawell/log/LogEvents.h"
#include "verbenawell/operators/OperatorResponse.h"

#include "Cluster.h"

#include <cstddef>
#include <string>
#include <vector>

namespace verbenawell::tests {

/// Sends an operator's command to a daemon; throws if there is no response.
OperatorResponse
SendCommandTo(const Cluster& aCluster,
              std::size_t aIndex,
              const std::string& aText);

/// Cell of the first table in the response to a query; empty if the table has
/// no such row or column, or the daemon does not respond.
std::string
ReadTableCell(const Cluster& aCluster,
              std::size_t aIndex,
              const std::string& aQuery,
              const std::string& aRow,
              const std::string& aColumn);

/// The configuration that operators have set, as the daemon shows it; empty if
/// the daemon does not respond.
std::string
ReadConfiguration(const Cluster& aCluster, std::size_t aIndex);

/// Records of the fleet stream that the log holds.
std::vector<LogRecord>
ReadFleetRecords(const Cluster& aCluster);

/// Largest number of copies of one record.
std::size_t
MaxCopies(const std::vector<LogRecord>& aRecords);

std::vector<VmListing>
FetchVmList(const Cluster& aCluster);

/// Sum of a counter over all daemons.
std::uint64_t
SumOfCounter(const Cluster& aCluster, const std::string& aName);

} // namespace verbenawell::tests
