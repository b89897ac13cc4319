#include "Cluster.h"
#include "FleetView.h"

#include <csignal>
#include <string>

#include <gtest/gtest.h>

namespace verbenawell::tests {

namespace {

constexpr std::size_t kDaemons = Cluster::kDaemons;
constexpr std::chrono::seconds kPropagationLimit{ 4 };
constexpr const char* kRebootLimit = "reboot-limit";

std::string
RebootLimitAt(const Cluster& aCluster, std::size_t aIndex)
{
  return ReadTableCell(
    aCluster, aIndex, "show settings", kRebootLimit, "value");
}

/// Sends a non-idempotent request; returns its outcome and number of runs.
std::string
SendNonIdempotent(const Cluster& aCluster,
                  std::size_t aIndex,
                  const std::string& aId)
{
  const auto result = aCluster.SendRequest(aIndex, { aId, false });
  const std::string outcome =
    !result                 ? "cut"
    : result->status == 200 ? "answered"
                            : result->get_header_value("Verbenawell-Reason");
  return outcome + ", runs " + std::to_string(aCluster.CountRuns(aId));
}

bool
WaitForSuccessfulBooking(const Cluster& aCluster,
                         std::size_t aIndex,
                         const std::string& aName)
{
  int tries = 0;
  return WaitFor([&] {
    const std::string id = aName + "-" + std::to_string(++tries);
    return SendNonIdempotent(aCluster, aIndex, id) == "answered, runs 1";
  });
}

/// Waits until several reads of the log have failed at every daemon.
bool
WaitForFailedReads(const Cluster& aCluster)
{
  return WaitFor([&] {
    for (std::size_t index = 0; index < kDaemons; ++index) {
      if (aCluster.ReadCounter(index, "log_reads_failed_total") < 4) {
        return false;
      }
    }
    return true;
  });
}

} // namespace

// Guards against a daemon that runs requests whose intents it cannot write,
// that stops all work during an outage of the log, or that lets a command take
// effect after it was refused.
TEST(LogFaults, AnUnavailableLogStopsOnlyWorkThatNeedsIt)
{
  const Cluster cluster;
  cluster.PostToLog("/faults?down=1");
  for (std::size_t index = 0; index < kDaemons; ++index) {
    const std::string name = "early-" + std::to_string(index);
    EXPECT_EQ(SendNonIdempotent(cluster, index, name), "log-down, runs 0");
  }
  ASSERT_TRUE(WaitForFailedReads(cluster));
  for (std::size_t index = 0; index < kDaemons; ++index) {
    const std::string name = "late-" + std::to_string(index);
    EXPECT_EQ(SendNonIdempotent(cluster, index, name), "log-down, runs 0");
    EXPECT_TRUE(cluster.ServesCallers(index)) << "daemon " << index;
    const OperatorResponse response =
      SendCommandTo(cluster, index, "set reboot-limit to 777");
    EXPECT_EQ(response.status_, CommandStatus::Refused) << response.message_;
    EXPECT_NE(response.message_.find("log-down"), std::string::npos)
      << response.message_;
  }
  EXPECT_TRUE(cluster.AreReady());
  cluster.PostToLog("/faults?down=0");
  for (std::size_t index = 0; index < kDaemons; ++index) {
    EXPECT_TRUE(WaitForSuccessfulBooking(cluster, index, "early"));
    EXPECT_EQ(RebootLimitAt(cluster, index), "600");
  }
  cluster.ApplyCommand("set reboot-limit to 700");
  for (std::size_t index = 0; index < kDaemons; ++index) {
    EXPECT_TRUE(WaitFor([&] { return RebootLimitAt(cluster, index) == "700"; },
                        kPropagationLimit));
  }
}

// Guards against time-outs that treat a slow log as unavailable, and against a
// command that does not take effect everywhere in time, also at a daemon that
// starts without any state.
TEST(LogFaults, ASlowLogStopsNothing)
{
  Cluster cluster;
  cluster.PostToLog("/faults?delayMs=300");
  for (std::size_t index = 0; index < kDaemons; ++index) {
    EXPECT_TRUE(cluster.ServesCallers(index));
    EXPECT_TRUE(
      WaitForSuccessfulBooking(cluster, index, std::to_string(index)));
  }
  cluster.PostToLog("/faults?delayMs=800");
  for (std::size_t index = 0; index < kDaemons; ++index) {
    EXPECT_TRUE(cluster.ServesCallers(index));
    const std::string value = std::to_string(700 + index);
    const OperatorResponse response =
      SendCommandTo(cluster, index, "set reboot-limit to " + value);
    EXPECT_EQ(response.status_, CommandStatus::Done) << response.message_;
    for (std::size_t other = 0; other < kDaemons; ++other) {
      EXPECT_TRUE(
        WaitFor([&] { return RebootLimitAt(cluster, other) == value; },
                kPropagationLimit));
    }
  }
  EXPECT_TRUE(cluster.AreReady());
  EXPECT_EQ(SumOfCounter(cluster, "log_appends_given_up_total"), 0U);
  cluster.End(1, SIGKILL);
  EXPECT_EQ(SendCommandTo(cluster, 0, "set reboot-limit to 800").status_,
            CommandStatus::Done);
  cluster.StartDaemon(1);
  for (std::size_t index = 0; index < kDaemons; ++index) {
    EXPECT_TRUE(WaitFor([&] { return RebootLimitAt(cluster, index) == "800"; },
                        kPropagationLimit));
  }
}

// Guards against an append that is repeated because its response was lost: the
// log would hold the record twice, and a booking would run twice.
TEST(LogFaults, AnAppendWhoseResponseIsLostTakesEffectOnce)
{
  const Cluster cluster;
  for (std::size_t index = 0; index < kDaemons; ++index) {
    const std::string value = std::to_string(700 + index);
    cluster.PostToLog("/faults?lostAnswers=1");
    const OperatorResponse response =
      SendCommandTo(cluster, index, "set reboot-limit to " + value);
    EXPECT_EQ(response.status_, CommandStatus::Done) << response.message_;
    EXPECT_EQ(RebootLimitAt(cluster, index), value);
    EXPECT_EQ(
      cluster.ReadCounter(index, "log_appends_settled_by_reading_total"), 1U);
    cluster.PostToLog("/faults?lostAnswers=1");
    EXPECT_EQ(SendNonIdempotent(cluster, index, "once-" + value),
              "answered, runs 1");
    EXPECT_EQ(
      SendNonIdempotent(cluster, (index + 1) % kDaemons, "once-" + value),
      "already-started, runs 1");
  }
  EXPECT_EQ(MaxCopies(ReadFleetRecords(cluster)), 1U);
}

// Guards against a daemon that waits forever on a connection to the log that
// stays open and no longer carries data.
TEST(LogFaults, AStalledConnectionToTheLogIsReplaced)
{
  ClusterOptions options;
  options.isPlatformProxied_ = true;
  const Cluster cluster{ options };
  cluster.SetRule(ToLog{}, "fault=silence&coming=0");
  for (std::size_t index = 0; index < kDaemons; ++index) {
    EXPECT_TRUE(cluster.ServesCallers(index)) << "daemon " << index;
  }
  for (std::size_t index = 0; index < kDaemons; ++index) {
    EXPECT_TRUE(
      WaitForSuccessfulBooking(cluster, index, std::to_string(index)));
    const std::string value = std::to_string(700 + index);
    EXPECT_TRUE(WaitFor([&] {
      return SendCommandTo(cluster, index, "set reboot-limit to " + value)
               .status_ == CommandStatus::Done;
    }));
    for (std::size_t other = 0; other < kDaemons; ++other) {
      EXPECT_TRUE(
        WaitFor([&] { return RebootLimitAt(cluster, other) == value; },
                kPropagationLimit));
    }
  }
  EXPECT_TRUE(cluster.AreReady());
  EXPECT_EQ(MaxCopies(ReadFleetRecords(cluster)), 1U);
}

// Guards against a daemon that blocks on a log which accepts connections and
// never responds, and against work that does not resume once the log responds
// again.
TEST(LogFaults, ALogThatNeverRespondsIsTreatedAsUnavailable)
{
  ClusterOptions options;
  options.isPlatformProxied_ = true;
  const Cluster cluster{ options };
  cluster.SetRule(ToLog{}, "fault=silence");
  for (std::size_t index = 0; index < kDaemons; ++index) {
    const std::string id = "silent-" + std::to_string(index);
    EXPECT_EQ(SendNonIdempotent(cluster, index, id), "log-down, runs 0");
    EXPECT_TRUE(cluster.ServesCallers(index)) << "daemon " << index;
    EXPECT_TRUE(WaitFor([&] {
      return SendCommandTo(cluster, index, "set reboot-limit to 777").status_ ==
             CommandStatus::Refused;
    }));
  }
  EXPECT_TRUE(cluster.AreReady());
  cluster.SetRule(ToLog{}, "fault=pass");
  for (std::size_t index = 0; index < kDaemons; ++index) {
    const std::string name = "silent-" + std::to_string(index);
    EXPECT_TRUE(WaitForSuccessfulBooking(cluster, index, name));
  }
  cluster.ApplyCommand("set reboot-limit to 700");
  for (std::size_t index = 0; index < kDaemons; ++index) {
    EXPECT_TRUE(WaitFor([&] { return RebootLimitAt(cluster, index) == "700"; },
                        kPropagationLimit));
  }
  EXPECT_EQ(MaxCopies(ReadFleetRecords(cluster)), 1U);
}

} // namespace verbenawell::tests
