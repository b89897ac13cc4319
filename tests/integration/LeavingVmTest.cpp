#include "Cluster.h"

#include <atomic>
#include <future>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace verbenawell::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kDaemons = Cluster::kDaemons;

/// Callers that send requests without a pause through all daemons.
class SteadyCallers
{
public:
  explicit SteadyCallers(const Cluster& aCluster)
  {
    constexpr std::size_t kCallers = 6;
    for (std::size_t caller = 0; caller < kCallers; ++caller) {
      callers_.push_back(std::async(std::launch::async, [&, caller] {
        while (!stopping_) {
          const auto result = aCluster.SendRequest(
            caller % kDaemons, { "steady", true, milliseconds(5) });
          if (result && result->status == 200) {
            ++succeeded_;
          } else {
            ++failed_;
          }
        }
      }));
    }
  }
  ~SteadyCallers() { Stop(); }

  void Stop()
  {
    stopping_ = true;
    callers_.clear();
  }

  [[nodiscard]] std::size_t Succeeded() const { return succeeded_; }
  [[nodiscard]] std::size_t Failed() const { return failed_; }

private:
  std::atomic<bool> stopping_ = false;
  std::atomic<std::size_t> succeeded_ = 0;
  std::atomic<std::size_t> failed_ = 0;
  std::vector<std::future<void>> callers_;
};

/// Starts a long request; returns the worker that runs it.
std::string
StartLong(const Cluster& aCluster,
          const std::string& aId,
          std::future<httplib::Result>& aResponse)
{
  aResponse = std::async(std::launch::async, [&aCluster, aId] {
    return aCluster.SendRequest(0, { aId, false, seconds(5), seconds(15) });
  });
  std::string vm;
  EXPECT_TRUE(WaitFor([&] {
    for (const char* name : { "w0", "w1", "w2" }) {
      vm = aCluster.ReadLoad(name).running_ == 1 ? name : vm;
    }
    return !vm.empty();
  }));
  return vm;
}

/// Checks that the worker gets no new work while a long request runs there and
/// callers keep sending requests.
void
ExpectNoNewWork(const Cluster& aCluster,
                const std::string& aVm,
                std::future<httplib::Result>& aLong)
{
  SteadyCallers callers{ aCluster };
  // Time limit of the design page for new work to stop.
  const auto bound = std::chrono::steady_clock::now() + seconds(3);
  WaitFor([&] { return std::chrono::steady_clock::now() > bound; });
  const std::size_t started = aCluster.ReadLoad(aVm).started_;
  EXPECT_EQ(aCluster.ReadLoad(aVm).running_, 1U) << "only the long request";
  const std::size_t succeeded = callers.Succeeded();
  constexpr std::size_t kMore = 300;
  EXPECT_TRUE(WaitFor([&] { return callers.Succeeded() > succeeded + kMore; }));
  const httplib::Result result = aLong.get();
  EXPECT_TRUE(result && result->status == 200);
  EXPECT_EQ(result ? result->get_header_value("Standin-Vm") : "", aVm);
  EXPECT_EQ(aCluster.ReadLoad(aVm).started_, started);
  EXPECT_EQ(aCluster.ReadLoad(aVm).interrupted_, 0U);
  callers.Stop();
  EXPECT_EQ(callers.Failed(), 0U);
}

} // namespace

// Guards against new work on a VM more than 3 s after an operator drains it or
// the VM list shows it as leaving; against requests that are interrupted there;
// and against requests that are lost meanwhile.
TEST(LeavingVms, GetNoNewWorkAndFinishTheirRequests)
{
  const Cluster cluster{ { .workers_ = 4, .budget_ = 2 } };
  std::future<httplib::Result> running;
  const std::string drained = StartLong(cluster, "long-drained", running);
  cluster.ApplyCommand("drain " + drained);
  ExpectNoNewWork(cluster, drained, running);

  const std::string leaving = StartLong(cluster, "long-leaving", running);
  EXPECT_NE(leaving, drained);
  cluster.PostToPlatform("/leave?vm=" + leaving + "&leaving=1");
  ExpectNoNewWork(cluster, leaving, running);
  EXPECT_EQ(cluster.CountRuns("long-drained"), 1U);
  EXPECT_EQ(cluster.CountRuns("long-leaving"), 1U);
  EXPECT_EQ(cluster.WaitForCountersToAddUp(), "");
}

} // namespace verbenawell::tests
