#include "Cluster.h"
#include "FleetView.h"

#include <csignal>
#include <string>

#include <gtest/gtest.h>

namespace verbenawell::tests {

namespace {

constexpr std::size_t kDaemons = Cluster::kDaemons;
constexpr std::chrono::seconds kEverywhere{ 4 };
constexpr const char* kLimit = "reboot-limit";

std::string
RebootLimitAt(const Cluster& aCluster, std::size_t aIndex)
{
  return ShownAt(aCluster, aIndex, "show settings", kLimit, "value");
}

/// Sends a non-idempotent request; returns its outcome and number of runs.
std::string
AskOnce(const Cluster& aCluster, std::size_t aIndex, const std::string& aId)
{
  const auto result = aCluster.Ask(aIndex, { aId, false });
  const std::string outcome =
    !result                 ? "cut"
    : result->status == 200 ? "answered"
                            : result->get_header_value("Verbenawell-Reason");
  return outcome + ", runs " + std::to_string(aCluster.RunsOf(aId));
}

bool
IsBookedAgain(const Cluster& aCluster,
              std::size_t aIndex,
              const std::string& aName)
{
  int tries = 0;
  return WaitFor([&] {
    const std::string id = aName + "-" + std::to_string(++tries);
    return AskOnce(aCluster, aIndex, id) == "answered, runs 1";
  });
}

/// Waits until several reads of the log have failed at every daemon.
bool
AllMissTheLog(const Cluster& aCluster)
{
  return WaitFor([&] {
    for (std::size_t index = 0; index < kDaemons; ++index) {
      if (aCluster.CounterAt(index, "log_reads_failed_total") < 4) {
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
TEST(LogFaults, ADownLogStopsOnlyWhatNeedsIt)
{
  const Cluster cluster;
  cluster.PostToLog("/faults?down=1");
  for (std::size_t index = 0; index < kDaemons; ++index) {
    const std::string name = "early-" + std::to_string(index);
    EXPECT_EQ(AskOnce(cluster, index, name), "log-down, runs 0");
  }
  ASSERT_TRUE(AllMissTheLog(cluster));
  for (std::size_t index = 0; index < kDaemons; ++index) {
    const std::string name = "late-" + std::to_string(index);
    EXPECT_EQ(AskOnce(cluster, index, name), "log-down, runs 0");
    EXPECT_TRUE(cluster.IsAnswered(index)) << "daemon " << index;
    const OperatorAnswer answer =
      Tell(cluster, index, "set reboot-limit to 777");
    EXPECT_EQ(answer.status_, CommandStatus::Refused) << answer.message_;
    EXPECT_NE(answer.message_.find("log-down"), std::string::npos)
      << answer.message_;
  }
  EXPECT_TRUE(cluster.AreReady());
  cluster.PostToLog("/faults?down=0");
  for (std::size_t index = 0; index < kDaemons; ++index) {
    EXPECT_TRUE(IsBookedAgain(cluster, index, "early"));
    EXPECT_EQ(RebootLimitAt(cluster, index), "600");
  }
  cluster.Command("set reboot-limit to 700");
  for (std::size_t index = 0; index < kDaemons; ++index) {
    EXPECT_TRUE(WaitFor([&] { return RebootLimitAt(cluster, index) == "700"; },
                        kEverywhere));
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
    EXPECT_TRUE(cluster.IsAnswered(index));
    EXPECT_TRUE(IsBookedAgain(cluster, index, std::to_string(index)));
  }
  cluster.PostToLog("/faults?delayMs=800");
  for (std::size_t index = 0; index < kDaemons; ++index) {
    EXPECT_TRUE(cluster.IsAnswered(index));
    const std::string value = std::to_string(700 + index);
    const OperatorAnswer answer =
      Tell(cluster, index, "set reboot-limit to " + value);
    EXPECT_EQ(answer.status_, CommandStatus::Done) << answer.message_;
    for (std::size_t other = 0; other < kDaemons; ++other) {
      EXPECT_TRUE(WaitFor(
        [&] { return RebootLimitAt(cluster, other) == value; }, kEverywhere));
    }
  }
  EXPECT_TRUE(cluster.AreReady());
  EXPECT_EQ(CounterOfAll(cluster, "log_appends_given_up_total"), 0U);
  cluster.End(1, SIGKILL);
  EXPECT_EQ(Tell(cluster, 0, "set reboot-limit to 800").status_,
            CommandStatus::Done);
  cluster.StartDaemon(1);
  for (std::size_t index = 0; index < kDaemons; ++index) {
    EXPECT_TRUE(WaitFor([&] { return RebootLimitAt(cluster, index) == "800"; },
                        kEverywhere));
  }
}

// Guards against an append that is repeated because its response was lost: the
// log would hold the record twice, and a booking would run twice.
TEST(LogFaults, AnAppendWhoseAnswerIsLostTakesEffectOnce)
{
  const Cluster cluster;
  for (std::size_t index = 0; index < kDaemons; ++index) {
    const std::string value = std::to_string(700 + index);
    cluster.PostToLog("/faults?lostAnswers=1");
    const OperatorAnswer answer =
      Tell(cluster, index, "set reboot-limit to " + value);
    EXPECT_EQ(answer.status_, CommandStatus::Done) << answer.message_;
    EXPECT_EQ(RebootLimitAt(cluster, index), value);
    EXPECT_EQ(cluster.CounterAt(index, "log_appends_settled_by_reading_total"),
              1U);
    cluster.PostToLog("/faults?lostAnswers=1");
    EXPECT_EQ(AskOnce(cluster, index, "once-" + value), "answered, runs 1");
    EXPECT_EQ(AskOnce(cluster, (index + 1) % kDaemons, "once-" + value),
              "already-started, runs 1");
  }
  EXPECT_EQ(MostCopies(FleetRecords(cluster)), 1U);
}

// Guards against a daemon that waits forever on a connection to the log that
// stays open and no longer carries data.
TEST(LogFaults, ASilentConnectionToTheLogIsReplaced)
{
  ClusterOptions options;
  options.proxiedPlatform_ = true;
  const Cluster cluster{ options };
  cluster.SetRule(ToLog{}, "fault=silence&coming=0");
  for (std::size_t index = 0; index < kDaemons; ++index) {
    EXPECT_TRUE(cluster.IsAnswered(index)) << "daemon " << index;
  }
  for (std::size_t index = 0; index < kDaemons; ++index) {
    EXPECT_TRUE(IsBookedAgain(cluster, index, std::to_string(index)));
    const std::string value = std::to_string(700 + index);
    EXPECT_TRUE(WaitFor([&] {
      return Tell(cluster, index, "set reboot-limit to " + value).status_ ==
             CommandStatus::Done;
    }));
    for (std::size_t other = 0; other < kDaemons; ++other) {
      EXPECT_TRUE(WaitFor(
        [&] { return RebootLimitAt(cluster, other) == value; }, kEverywhere));
    }
  }
  EXPECT_TRUE(cluster.AreReady());
  EXPECT_EQ(MostCopies(FleetRecords(cluster)), 1U);
}

// Guards against a daemon that blocks on a log which accepts connections and
// never responds, and against work that does not resume once the log responds
// again.
TEST(LogFaults, ALogThatAnswersNothingIsTakenForDown)
{
  ClusterOptions options;
  options.proxiedPlatform_ = true;
  const Cluster cluster{ options };
  cluster.SetRule(ToLog{}, "fault=silence");
  for (std::size_t index = 0; index < kDaemons; ++index) {
    const std::string id = "silent-" + std::to_string(index);
    EXPECT_EQ(AskOnce(cluster, index, id), "log-down, runs 0");
    EXPECT_TRUE(cluster.IsAnswered(index)) << "daemon " << index;
    EXPECT_TRUE(WaitFor([&] {
      return Tell(cluster, index, "set reboot-limit to 777").status_ ==
             CommandStatus::Refused;
    }));
  }
  EXPECT_TRUE(cluster.AreReady());
  cluster.SetRule(ToLog{}, "fault=pass");
  for (std::size_t index = 0; index < kDaemons; ++index) {
    const std::string name = "silent-" + std::to_string(index);
    EXPECT_TRUE(IsBookedAgain(cluster, index, name));
  }
  cluster.Command("set reboot-limit to 700");
  for (std::size_t index = 0; index < kDaemons; ++index) {
    EXPECT_TRUE(WaitFor([&] { return RebootLimitAt(cluster, index) == "700"; },
                        kEverywhere));
  }
  EXPECT_EQ(MostCopies(FleetRecords(cluster)), 1U);
}

} // namespace verbenawell::tests
