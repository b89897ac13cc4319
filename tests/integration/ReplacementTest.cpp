#include "Cluster.h"
#include "FleetView.h"

#include <csignal>
#include <string>

#include <gtest/gtest.h>

namespace verbenawell::tests {

namespace {

constexpr std::size_t kDaemons = Cluster::kDaemons;

/// Makes changes that differ from the defaults; returns the configuration.
std::string
Configure(const Cluster& aCluster)
{
  aCluster.ApplyCommand("create pool q");
  aCluster.ApplyCommand("set quota of bakers in s weight 3 limit 2");
  aCluster.ApplyCommand("set reboot-limit to 701");
  aCluster.ApplyCommand("drain w2");
  return ReadConfiguration(aCluster, 0);
}

void
Replace(Cluster& aCluster, std::size_t aIndex)
{
  aCluster.End(aIndex, SIGKILL);
  aCluster.StartDaemon(aIndex);
}

void
ReplaceAll(Cluster& aCluster)
{
  for (std::size_t index = 0; index < kDaemons; ++index) {
    aCluster.End(index, SIGKILL);
  }
  for (std::size_t index = 0; index < kDaemons; ++index) {
    aCluster.StartDaemon(index);
  }
}

void
ExpectConfiguration(const Cluster& aCluster, const std::string& aConfiguration)
{
  ASSERT_TRUE(WaitFor([&] { return aCluster.AreReady(); }));
  for (std::size_t index = 0; index < kDaemons; ++index) {
    EXPECT_EQ(ReadConfiguration(aCluster, index), aConfiguration) << index;
    EXPECT_TRUE(WaitFor([&] { return aCluster.ServesCallers(index); }))
      << index;
  }
}

} // namespace

// Guards against configuration that exists only in the memory of the daemons,
// or that a daemon which starts without any state overwrites.
TEST(DaemonReplacement, KeepsTheConfigurationWhenAllDaemonsAreReplaced)
{
  Cluster cluster;
  const std::string configuration = Configure(cluster);
  for (std::size_t index = 0; index < kDaemons; ++index) {
    Replace(cluster, index);
    ExpectConfiguration(cluster, configuration);
  }
  ReplaceAll(cluster);
  ExpectConfiguration(cluster, configuration);
}

// Guards against a new daemon that cannot serve, or serves an empty fleet,
// because the log is unavailable when it starts.
TEST(DaemonReplacement, LoadsTheStateFromAPeerWhileTheLogIsDown)
{
  Cluster cluster;
  const std::string configuration = Configure(cluster);
  cluster.PostToLog("/faults?down=1");
  for (std::size_t index = 0; index < kDaemons; ++index) {
    Replace(cluster, index);
    ExpectConfiguration(cluster, configuration);
    EXPECT_EQ(cluster.ReadCounter(index, "snapshots_loaded_total"), 1U);
  }
  // No daemon is left that has the state: the new ones must wait for the log.
  ReplaceAll(cluster);
  for (std::size_t index = 0; index < kDaemons; ++index) {
    ASSERT_TRUE(WaitFor([&] {
      return cluster.ReadCounter(index, "log_reads_failed_total") >= 4;
    }));
    EXPECT_FALSE(cluster.IsReady(index)) << index;
  }
  cluster.PostToLog("/faults?down=0");
  ExpectConfiguration(cluster, configuration);
}

// Guards against a daemon that takes the records which retention has left in
// the log for the whole configuration.
TEST(DaemonReplacement, LoadsTheStateFromAPeerAfterRecordsHaveExpired)
{
  Cluster cluster;
  const std::string configuration = Configure(cluster);
  cluster.PostToLog("/expire?keep=1");
  for (std::size_t index = 0; index < kDaemons; ++index) {
    Replace(cluster, index);
    ExpectConfiguration(cluster, configuration);
    EXPECT_EQ(cluster.ReadCounter(index, "snapshots_loaded_total"), 1U);
  }
}

// Guards against a daemon that was paused while the records it lacks expired,
// and continues with an old configuration.
TEST(DaemonReplacement, LoadsRecordsThatExpiredDuringAPauseFromAPeer)
{
  const Cluster cluster;
  for (std::size_t paused = 0; paused < kDaemons; ++paused) {
    const std::size_t other = (paused + 1) % kDaemons;
    cluster.Signal(paused, SIGSTOP);
    // Once it is declared dead, the others queue no messages for it.
    ASSERT_TRUE(WaitFor([&] {
      return ReadTableCell(cluster,
                           other,
                           "show status",
                           "d" + std::to_string(paused),
                           "status") == "dead";
    }));
    std::string value;
    for (std::size_t change = 0; change < 5; ++change) {
      value = std::to_string(700 + 10 * paused + change);
      EXPECT_TRUE(WaitFor([&] {
        return SendCommandTo(cluster, other, "set reboot-limit to " + value)
                 .status_ == CommandStatus::Done;
      }));
    }
    cluster.PostToLog("/expire?keep=1");
    cluster.Signal(paused, SIGCONT);
    EXPECT_TRUE(WaitFor(
      [&] {
        return ReadTableCell(
                 cluster, paused, "show settings", "reboot-limit", "value") ==
               value;
      },
      std::chrono::seconds(4)));
  }
  ExpectConfiguration(cluster, ReadConfiguration(cluster, 0));
}

// Guards against a configuration that is lost when its records expire. Daemons
// write the first snapshot 30 s after their start.
TEST(DaemonReplacement, LoadsASnapshotWhenAllAreReplacedAfterRecordsHaveExpired)
{
  Cluster cluster;
  Configure(cluster);
  ASSERT_TRUE(WaitFor(
    [&] { return SumOfCounter(cluster, "snapshots_written_total") > 0; },
    std::chrono::seconds(60)));
  // Only the record after the snapshot remains in the log.
  cluster.ApplyCommand("set reboot-limit to 702");
  const std::string configuration = ReadConfiguration(cluster, 0);
  cluster.PostToLog("/expire?keep=1");
  ASSERT_EQ(ReadFleetRecords(cluster).size(), 1U);
  ReplaceAll(cluster);
  ExpectConfiguration(cluster, configuration);
}

} // namespace verbenawell::tests
