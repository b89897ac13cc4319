#include "Cluster.h"
#include "ClusterAddresses.h"

#include <fstream>
#include <sstream>
#include <string_view>

namespace verbenawell::tests {

namespace {

/// Sum of the metrics whose lines begin with the prefix.
std::uint64_t
SumOfMetrics(const std::string& aMetrics, std::string_view aPrefix)
{
  std::uint64_t sum = 0;
  std::istringstream lines{ aMetrics };
  std::string line;
  while (std::getline(lines, line)) {
    if (line.starts_with(aPrefix)) {
      sum += std::stoull(line.substr(line.rfind(' ') + 1));
    }
  }
  return sum;
}

} // namespace

bool
Cluster::CountersAddUp(std::size_t aIndex) const
{
  const std::string metrics = ReadMetrics(aIndex);
  return !metrics.empty() &&
         SumOfMetrics(metrics, "verbenawell_requests_received_total ") ==
           SumOfMetrics(metrics, "verbenawell_requests_answered_total ") +
             SumOfMetrics(metrics, "verbenawell_requests_refused_total{") +
             SumOfMetrics(metrics, "verbenawell_requests_unknown_total{") +
             SumOfMetrics(metrics, "verbenawell_requests_cancelled_total ");
}

std::string
Cluster::WaitForCountersToAddUp() const
{
  std::string wrong;
  for (std::size_t index = 0; index < kDaemons; ++index) {
    if (!WaitFor([&] { return CountersAddUp(index); })) {
      wrong += "daemon " + std::to_string(index) + ":\n" + ReadMetrics(index);
    }
  }
  return wrong;
}

std::size_t
Cluster::FindOwner(const std::string& aPool) const
{
  const std::string claim = "pool-claimed pool=\"" + aPool + "\" term=\"";
  std::size_t owner = 0;
  std::uint64_t highest = 0;
  for (std::size_t index = 0; index < kDaemons; ++index) {
    std::ifstream log{ folder_ + "/d" + std::to_string(index) + ".log" };
    std::string line;
    while (std::getline(log, line)) {
      const std::size_t found = line.find(claim);
      if (found == std::string::npos) {
        continue;
      }
      const std::uint64_t term = std::stoull(line.substr(found + claim.size()));
      if (term > highest) {
        highest = term;
        owner = index;
      }
    }
  }
  return owner;
}

std::uint64_t
Cluster::ReadResidentBytes(std::size_t aIndex) const
{
  return daemons_.at(aIndex)->ResidentBytes();
}

std::size_t
Cluster::CountConnectionsToWorker(std::size_t aIndex) const
{
  // Columns of /proc/net/tcp: number, local address, remote address, state;
  // addresses and states are hexadecimal.
  constexpr unsigned kEstablished = 1;
  std::ifstream table{ "/proc/net/tcp" };
  std::string line;
  std::getline(table, line);
  std::size_t count = 0;
  while (std::getline(table, line)) {
    std::istringstream fields{ line };
    std::string number;
    std::string local;
    std::string remote;
    unsigned state = 0;
    fields >> number >> local >> remote >> std::hex >> state;
    const auto port = std::stoul(remote.substr(remote.find(':') + 1), {}, 16);
    if (state == kEstablished && port == range_.At(kFirstWorkerPort + aIndex)) {
      ++count;
    }
  }
  return count;
}

void
Cluster::SignalProxyOf(std::size_t aIndex, int aSignal) const
{
  // `standins_` holds the log and the platform before the proxies.
  constexpr std::size_t kFirstProxy = 2;
  standins_.at(kFirstProxy + aIndex)->Signal(aSignal);
}

Endpoint
Cluster::CallerAddress(std::size_t aIndex) const
{
  return { kHost, ports_.at(aIndex).callers_ };
}

} // namespace verbenawell::tests
