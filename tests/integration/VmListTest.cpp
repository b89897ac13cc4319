#include "Cluster.h"
#include "FleetView.h"

#include <string>

#include <gtest/gtest.h>

namespace verbenawell::tests {

namespace {

constexpr std::size_t kDaemons = Cluster::kDaemons;

std::string
StateOf(const Cluster& aCluster, std::size_t aIndex, const std::string& aVm)
{
  return ReadTableCell(aCluster, aIndex, "show vms", aVm, "state");
}

} // namespace

// Guards against a daemon that drops its workers, or blocks on the VM list,
// while the platform does not respond; and against one that sends requests to a
// failed worker because an old list shows it as live.
TEST(VmList, AStaleListFailsNoRequest)
{
  ClusterOptions options;
  options.isPlatformProxied_ = true;
  const Cluster cluster{ options };
  cluster.SetRule(ToVmList{}, "fault=silence");
  for (std::size_t index = 0; index < kDaemons; ++index) {
    ASSERT_TRUE(WaitFor([&] {
      return cluster.ReadCounter(index, "vm_lists_failed_total") >= 2;
    }));
    EXPECT_EQ(StateOf(cluster, index, "w0"), "serving");
  }
  cluster.PostToPlatform("/fail?vm=w0");
  for (std::size_t round = 0; round < 4; ++round) {
    for (std::size_t index = 0; index < kDaemons; ++index) {
      const auto result = cluster.SendRequest(index, { "idempotent" });
      ASSERT_TRUE(result);
      EXPECT_EQ(result->status, 200)
        << result->get_header_value("Verbenawell-Reason");
    }
  }
  EXPECT_TRUE(cluster.AreReady());
  EXPECT_EQ(StateOf(cluster, 0, "w0"), "serving");
  cluster.SetRule(ToVmList{}, "fault=pass");
  for (std::size_t index = 0; index < kDaemons; ++index) {
    EXPECT_TRUE(
      WaitFor([&] { return StateOf(cluster, index, "w0") == "down"; }));
  }
  cluster.PostToPlatform("/repair?vm=w0");
  for (std::size_t index = 0; index < kDaemons; ++index) {
    EXPECT_TRUE(
      WaitFor([&] { return StateOf(cluster, index, "w0") == "serving"; }));
  }
}

} // namespace verbenawell::tests
