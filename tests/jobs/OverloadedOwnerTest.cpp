#include "ExpectNoViolations.h"
#include "SimulatedDeployment.h"

#include <algorithm>
#include <string>

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kSeed = 41;
constexpr int kWorkers = 8;
// The owner handles 500 events a second.
constexpr Duration kEventCost = 2ms;
// Requests of callers alone take twice the owner's processor time.
constexpr Duration kSubmissionInterval = 4ms;
constexpr Duration kReadInterval = 1500us;
constexpr Duration kBurst = 12s;
// Time after a cancel by which all runs of the job have ended: 4 s for the stop
// commands and 0.9 s for a worker to carry them out.
constexpr Duration kCancelToEnd = 4900ms;
const std::string kCancelled = "2000000000000001";
const std::string kKept = "2000000000000002";

/// An owner that gets a burst of submissions, reads and worker reports which it
/// cannot keep up with, while two jobs run until they are cancelled.
class OverloadedOwner : public testing::Test
{
protected:
  explicit OverloadedOwner(int aDaemons = 2)
    : deployment_(kSeed, { aDaemons, kWorkers })
  {
    deployment_.RunFor(kStartUpTime);
    owner_ = deployment_.Owner();
    for (const std::string& job : { kCancelled, kKept }) {
      JobDefinition definition = MakeJob(3, 1, 1s);
      definition.steps_[0].longRunning_ = true;
      deployment_.Submit(job, definition);
    }
    deployment_.RunFor(2s);
    deployment_.eventCosts_[owner_] = kEventCost;
    const TimePoint end = deployment_.time_.Now() + kBurst;
    SubmitUntil(end);
    ReadUntil(end);
  }

  void SubmitUntil(TimePoint aEnd)
  {
    if (deployment_.time_.Now() >= aEnd) {
      return;
    }
    deployment_.SubmitAt(owner_,
                         std::to_string(3'000'000'000'000'000 + ++submissions_),
                         MakeJob(1, 1, 200ms),
                         3s);
    deployment_.time_.After(kSubmissionInterval,
                            [this, aEnd] { SubmitUntil(aEnd); });
  }

  void ReadUntil(TimePoint aEnd)
  {
    if (deployment_.time_.Now() >= aEnd) {
      return;
    }
    deployment_.ReadAt(owner_, kKept);
    deployment_.time_.After(kReadInterval, [this, aEnd] { ReadUntil(aEnd); });
  }

  [[nodiscard]] std::ptrdiff_t RunsOf(const std::string& aJob)
  {
    std::ptrdiff_t runs = 0;
    for (std::size_t index = 0; index < deployment_.Workers(); ++index) {
      runs += std::ranges::count(
        deployment_.WorkerAt(index).Running(), JobId{ aJob }, &TaskId::job_);
    }
    return runs;
  }

  /// Time until no run of the job is left; at most the given one.
  Duration TimeToEnd(const std::string& aJob, Duration aMax)
  {
    const TimePoint start = deployment_.time_.Now();
    while (RunsOf(aJob) > 0 && deployment_.time_.Now() - start < aMax) {
      deployment_.RunFor(10ms);
    }
    return deployment_.time_.Now() - start;
  }

  SimulatedDeployment deployment_;
  std::string owner_;
  std::int64_t submissions_ = 0;
};

/// No other daemon can take over from the owner.
class OnlyOwner : public OverloadedOwner
{
protected:
  OnlyOwner()
    : OverloadedOwner(1)
  {
  }
};

// Guards against runs that go on for 13 s after the cancel of their job,
// because each step of the cancel waited behind all work of the owner.
TEST_F(OnlyOwner, StopsTheRunsOfACancelledJobInTime)
{
  deployment_.RunFor(3s);
  ASSERT_EQ(RunsOf(kCancelled), 3);
  deployment_.Cancel(kCancelled);
  EXPECT_LE(TimeToEnd(kCancelled, 60s).count(), kCancelToEnd.count());
  ExpectNoViolations(deployment_);
}

// Guards against an owner that loses its ownership, or the leases of its
// workers, because their renewals wait behind requests.
TEST_F(OverloadedOwner, KeepsItsOwnershipAndTheLeases)
{
  deployment_.RunFor(kBurst + 3s);
  EXPECT_EQ(deployment_.Owner(), owner_);
  EXPECT_EQ(RunsOf(kKept), 3);
  EXPECT_TRUE(std::ranges::none_of(deployment_.log_, [](const auto& aEvent) {
    return aEvent.event_ == "run_lost" || aEvent.event_ == "ownership_lost";
  }));
  ExpectNoViolations(deployment_);
}

} // namespace
} // namespace verbenawell::jobs
