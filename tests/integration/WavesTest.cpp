#include "Cluster.h"
#include "FleetView.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <future>
#include <numeric>
#include <stdexcept>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace verbenawell::tests {

namespace {

constexpr std::size_t kDaemons = Cluster::kDaemons;
constexpr const char* kPool = "p";

std::string
ReadWave(const Cluster& aCluster,
         std::size_t aIndex,
         const std::string& aColumn,
         const std::string& aWave = "w")
{
  return ReadTableCell(aCluster, aIndex, "show waves", aWave, aColumn);
}

/// A pool of VMs, each in its own zone, and one spare VM. A reboot takes longer
/// than the recording of a failure.
ClusterOptions
ClusterWithPool(std::size_t aVms, std::size_t aBudget)
{
  ClusterOptions options;
  options.workers_ = aVms + 1;
  options.budget_ = aBudget;
  options.reboot_ = std::chrono::milliseconds(1500);
  return options;
}

/// Checks in the VM list and in the fleet state that the budget holds.
class BudgetMonitor
{
public:
  BudgetMonitor(const Cluster& aCluster, std::size_t aBudget)
    : cluster_(aCluster)
    , budget_(aBudget)
  {
  }

  /// Checks once; `aIndex` is a running daemon, whose fleet state is read.
  void Check(std::size_t aIndex)
  {
    ++checks_;
    const auto vms = FetchVmList(cluster_);
    const auto live = static_cast<std::size_t>(
      std::ranges::count_if(vms, [&](const VmListing& aVm) {
        return aVm.live_ && ReadPool(aIndex, aVm.facts_.vm_) == kPool;
      }));
    const std::string state =
      ReadTableCell(cluster_, aIndex, "show services", "s", "state");
    if (live < budget_ || state != "ok") {
      violations_ += std::to_string(live) + " live, " + state + "; ";
    }
  }

  void ExpectNoViolations() const
  {
    EXPECT_EQ(violations_, "");
    EXPECT_GT(checks_, 10U);
  }

private:
  std::string ReadPool(std::size_t aIndex, const VmId& aVm)
  {
    return ReadTableCell(cluster_, aIndex, "show vms", aVm.Value(), "pool");
  }

  const Cluster& cluster_;
  std::size_t budget_;
  std::size_t checks_ = 0;
  std::string violations_;
};

/// Waits until the wave shows the value and checks the budget at each poll.
bool
WaitForWave(const Cluster& aCluster,
            BudgetMonitor& aMonitor,
            std::size_t aIndex,
            const std::string& aColumn,
            const std::string& aValue,
            std::chrono::seconds aTimeout = std::chrono::seconds(30))
{
  return WaitFor(
    [&] {
      aMonitor.Check(aIndex);
      return ReadWave(aCluster, aIndex, aColumn).starts_with(aValue);
    },
    aTimeout);
}

/// Index of the daemon that wrote the latest change of this type.
template<typename Change>
std::size_t
AuthorOfLatest(const Cluster& aCluster)
{
  std::string author;
  for (const LogRecord& record : ReadFleetRecords(aCluster)) {
    const auto* fleet = std::get_if<FleetRecord>(&record.body_);
    if (fleet != nullptr && std::holds_alternative<Change>(fleet->change_)) {
      author = fleet->author_.Value();
    }
  }
  if (author.empty()) {
    throw std::runtime_error("no change of the kind is in the log");
  }
  return std::stoul(author.substr(1));
}

/// Boot counts of the VMs, in the order of their names.
std::vector<std::uint64_t>
BootsOf(const Cluster& aCluster)
{
  std::vector<std::uint64_t> boots;
  for (const VmListing& vm : FetchVmList(aCluster)) {
    boots.push_back(vm.facts_.boots_.Value());
  }
  return boots;
}

} // namespace

// Guards against a wave that stops another VM although a failed one has used up
// the margin above the budget, and against one that waits forever for a VM that
// does not come back.
TEST(Waves, AVmThatNeverComesBackCountsAgainstTheBudget)
{
  const Cluster cluster{ ClusterWithPool(4, 2) };
  BudgetMonitor monitor{ cluster, 2 };
  cluster.ApplyCommand("set reboot-limit to 10");
  cluster.ApplyCommand("start wave w over p");
  ASSERT_TRUE(WaitForWave(cluster, monitor, 0, "stopping", "1"));
  cluster.PostToPlatform("/fail?vm=w3&broken=1");
  ASSERT_TRUE(WaitForWave(cluster, monitor, 0, "state", "ended"));
  EXPECT_EQ(ReadWave(cluster, 0, "finished"), "3");
  EXPECT_EQ(ReadWave(cluster, 0, "failed"), "1");
  EXPECT_EQ(ReadTableCell(cluster, 0, "show vms", "w3", "state"), "down");
  monitor.ExpectNoViolations();
}

// Guards against a wave that continues while VMs fail together: the update that
// it rolls out may be the cause.
TEST(Waves, PauseWhenFailuresAreCorrelated)
{
  const Cluster cluster{ ClusterWithPool(5, 1) };
  BudgetMonitor monitor{ cluster, 1 };
  cluster.ApplyCommand("start wave w over p");
  ASSERT_TRUE(WaitForWave(cluster, monitor, 0, "stopping", "1"));
  for (const std::string vm : { "w2", "w3", "w4" }) {
    cluster.PostToPlatform("/fail?vm=" + vm + "&broken=1");
  }
  ASSERT_TRUE(WaitForWave(cluster, monitor, 0, "state", "paused: correlated"));
  ASSERT_TRUE(WaitForWave(cluster, monitor, 0, "finished", "1"));
  EXPECT_EQ(ReadWave(cluster, 0, "waiting"), "4");
  for (const std::string vm : { "w2", "w3", "w4" }) {
    cluster.PostToPlatform("/repair?vm=" + vm);
    ASSERT_TRUE(WaitFor([&] {
      return ReadTableCell(cluster, 0, "show vms", vm, "state") == "serving";
    }));
  }
  EXPECT_EQ(ReadWave(cluster, 0, "waiting"), "4");
  cluster.ApplyCommand("resume wave w");
  ASSERT_TRUE(WaitForWave(cluster, monitor, 0, "state", "ended"));
  EXPECT_EQ(ReadWave(cluster, 0, "finished"), "5");
  monitor.ExpectNoViolations();
}

// Guards against two waves of different operators that each count on the same
// VM above the budget, and against waves that block each other.
TEST(Waves, StartedByTwoOperatorsShareOneBudget)
{
  const Cluster cluster{ ClusterWithPool(4, 2) };
  BudgetMonitor monitor{ cluster, 2 };
  const auto start = [&](std::size_t aIndex, const std::string& aWave) {
    return std::async(std::launch::async, [&, aIndex, aWave] {
      return SendCommandTo(cluster, aIndex, "start wave " + aWave + " over p")
        .status_;
    });
  };
  auto first = start(0, "w");
  auto second = start(1, "w2");
  EXPECT_EQ(first.get(), CommandStatus::Done);
  EXPECT_EQ(second.get(), CommandStatus::Done);
  ASSERT_TRUE(WaitForWave(cluster, monitor, 2, "state", "ended"));
  ASSERT_TRUE(WaitFor([&] {
    monitor.Check(2);
    return ReadWave(cluster, 2, "state", "w2") == "ended";
  }));
  EXPECT_EQ(ReadWave(cluster, 2, "finished"), "4");
  EXPECT_EQ(ReadWave(cluster, 2, "finished", "w2"), "4");
  EXPECT_EQ(BootsOf(cluster), (std::vector<std::uint64_t>{ 2, 2, 2, 2, 0 }));
  monitor.ExpectNoViolations();
}

// Guards against a wave that stops VMs without a record while the log is down,
// that never continues after the outage, or that reboots a VM twice.
TEST(Waves, ResumeAfterALongOutageOfTheLog)
{
  const Cluster cluster{ ClusterWithPool(3, 1) };
  BudgetMonitor monitor{ cluster, 1 };
  cluster.ApplyCommand("start wave w over p");
  ASSERT_TRUE(WaitForWave(cluster, monitor, 0, "stopping", "1"));
  cluster.PostToLog("/faults?down=1");
  // The outage lasts longer than appends are repeated.
  ASSERT_TRUE(WaitFor([&] {
    monitor.Check(0);
    return SumOfCounter(cluster, "log_appends_given_up_total") > 0;
  }));
  const auto boots = BootsOf(cluster);
  EXPECT_LE(std::accumulate(boots.begin(), boots.end(), std::uint64_t{}), 1U);
  EXPECT_EQ(ReadWave(cluster, 0, "stopping"), "1");
  cluster.PostToLog("/faults?down=0");
  ASSERT_TRUE(WaitForWave(cluster, monitor, 0, "state", "ended"));
  EXPECT_EQ(BootsOf(cluster), (std::vector<std::uint64_t>{ 1, 1, 1, 0 }));
  monitor.ExpectNoViolations();
}

// Guards against a wave that ends with the daemon that drives it, and against a
// successor that stops a VM a second time.
TEST(Waves, ContinueAfterTheirDriverIsKilled)
{
  Cluster cluster{ ClusterWithPool(3, 1) };
  BudgetMonitor monitor{ cluster, 1 };
  cluster.ApplyCommand("start wave w over p");
  ASSERT_TRUE(WaitForWave(cluster, monitor, 0, "stopping", "1"));
  const std::size_t driver = AuthorOfLatest<ReserveStop>(cluster);
  const std::size_t other = (driver + 1) % kDaemons;
  cluster.End(driver, SIGKILL);
  ASSERT_TRUE(WaitForWave(cluster, monitor, other, "finished", "1"));
  EXPECT_NE(AuthorOfLatest<FinishStop>(cluster), driver);
  cluster.StartDaemon(driver);
  ASSERT_TRUE(WaitForWave(cluster, monitor, other, "state", "ended"));
  EXPECT_EQ(ReadWave(cluster, other, "finished"), "3");
  EXPECT_EQ(BootsOf(cluster), (std::vector<std::uint64_t>{ 1, 1, 1, 0 }));
  monitor.ExpectNoViolations();
}

// Guards against a reboot that interrupts requests which still run on the VM,
// and against new work on a draining VM.
TEST(Waves, InterruptNoRunningRequest)
{
  const Cluster cluster{ ClusterWithPool(3, 1) };
  BudgetMonitor monitor{ cluster, 1 };
  std::atomic<bool> ended = false;
  const auto callRepeatedly = [&](std::size_t aCaller) {
    std::string failures;
    for (int count = 0; !ended; ++count) {
      const std::string id =
        std::to_string(aCaller) + "-" + std::to_string(count);
      const auto result = cluster.SendRequest(
        aCaller % kDaemons, { id, false, std::chrono::milliseconds(700) });
      if (!result || result->status != 200) {
        failures += id + " " +
                    (result ? result->get_header_value("Verbenawell-Reason")
                            : httplib::to_string(result.error())) +
                    "; ";
      }
    }
    return failures;
  };
  std::vector<std::future<std::string>> callers;
  for (std::size_t caller = 0; caller < 2 * kDaemons; ++caller) {
    callers.push_back(std::async(std::launch::async, callRepeatedly, caller));
  }
  EXPECT_TRUE(
    WaitFor([&] { return cluster.CountRunningRequests() == 2 * kDaemons; }));
  cluster.ApplyCommand("start wave w over p");
  EXPECT_TRUE(WaitForWave(cluster, monitor, 0, "state", "ended"));
  ended = true;
  for (auto& caller : callers) {
    EXPECT_EQ(caller.get(), "");
  }
  EXPECT_EQ(BootsOf(cluster), (std::vector<std::uint64_t>{ 1, 1, 1, 0 }));
  const std::string totals = cluster.GetFromPlatform("/totals");
  EXPECT_NE(totals.find(" cut=0 "), std::string::npos) << totals;
  monitor.ExpectNoViolations();
}

} // namespace verbenawell::tests
