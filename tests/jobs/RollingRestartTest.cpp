#include "ExpectNoViolations.h"

#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

const std::string kJob = "0000000000000001";
constexpr std::size_t kDaemons = 3;
constexpr Duration kGap = 1s;
constexpr Duration kGrace = 6s;
constexpr Duration kRestartDelay = 300ms;
constexpr Duration kStep = 50ms;
constexpr Duration kTraffic = 15s;
constexpr Duration kTimeLeft = 3s;

/// A request that a daemon has read whole.
struct SentRequest
{
  std::string daemon_;
  TimePoint sentAt_;
  bool hasResponse_ = false;
};

/// Stops the daemons one after the other, kills those that have not ended in
/// time and starts each again. Each daemon gets requests until its process
/// ends.
class RollingRestart : public testing::TestWithParam<std::uint64_t>
{
protected:
  RollingRestart()
  {
    deployment_.RunFor(kStartUpTime);
    deployment_.Submit(kJob, MakeJob(4, 1, 300ms));
    deployment_.RunFor(2s);
    for (std::size_t index = 0; index < kDaemons; ++index) {
      daemons_[index].name_ = "d" + std::to_string(index);
    }
  }

  void Play()
  {
    begin_ = deployment_.time_.Now();
    const auto steps = static_cast<int>(kTraffic / kStep);
    for (int step = 0; step < steps; ++step) {
      for (std::size_t index = 0; index < kDaemons; ++index) {
        StopOrRestart(index);
      }
      for (const std::string& daemon : deployment_.Running()) {
        Read(daemon);
        if (step % 10 == 0) {
          Submit(daemon);
        }
      }
      deployment_.RunFor(kStep);
    }
    deployment_.RunFor(kTimeLeft + 1s);
  }

  SimulatedDeployment deployment_{ GetParam(), { 3, 4, 2 } };
  std::vector<std::shared_ptr<SentRequest>> requests_;
  std::size_t kills_ = 0;

private:
  struct Restart
  {
    std::string name_;
    std::optional<TimePoint> stoppedAt_;
    std::optional<TimePoint> endedAt_;
    bool isBack_ = false;
  };

  void StopOrRestart(std::size_t aIndex)
  {
    Restart& daemon = daemons_.at(aIndex);
    const TimePoint now = deployment_.time_.Now();
    const auto running = deployment_.Running();
    const bool isUp = std::ranges::find(running, daemon.name_) != running.end();
    if (!daemon.stoppedAt_) {
      if (now - begin_ >= kGap * static_cast<int>(aIndex)) {
        daemon.stoppedAt_ = now;
        deployment_.Stop(daemon.name_);
      }
    } else if (!daemon.isBack_ && isUp) {
      if (now - *daemon.stoppedAt_ >= kGrace) {
        ++kills_;
        deployment_.Kill(daemon.name_);
      }
    } else if (!daemon.isBack_) {
      daemon.endedAt_ = daemon.endedAt_.value_or(now);
      if (now - *daemon.endedAt_ >= kRestartDelay) {
        daemon.isBack_ = true;
        deployment_.Start(daemon.name_);
      }
    }
  }

  std::shared_ptr<SentRequest> Add(const std::string& aDaemon)
  {
    requests_.push_back(std::make_shared<SentRequest>(
      SentRequest{ aDaemon, deployment_.time_.Now() }));
    return requests_.back();
  }

  void Read(const std::string& aDaemon)
  {
    deployment_.Send(
      aDaemon,
      ReadJob{ JobId{ kJob } },
      [request = Add(aDaemon)](const CallerResponse&) {
        request->hasResponse_ = true;
      },
      kQueuePath,
      kTimeLeft);
  }

  // The oracle reports a job that runs although its submission was rejected.
  void Submit(const std::string& aDaemon)
  {
    std::string number = std::to_string(++submissions_);
    const JobId job{ "1" + std::string(15 - number.size(), '0') + number };
    JobDefinition definition = MakeJob(1, 1, 100ms);
    definition.specification_ = "specification";
    deployment_.oracle_.Submitted(job, definition);
    deployment_.Send(
      aDaemon,
      SubmitJob{ job, std::make_shared<const JobDefinition>(definition) },
      [this, job, request = Add(aDaemon)](const CallerResponse& aResponse) {
        request->hasResponse_ = true;
        if (std::holds_alternative<JobAccepted>(aResponse)) {
          deployment_.oracle_.Accepted(job);
        } else if (const auto* rejected =
                     std::get_if<JobRejected>(&aResponse)) {
          deployment_.oracle_.Rejected(job, rejected->reason_);
        } else {
          deployment_.oracle_.SubmissionUndecided(job);
        }
      },
      kQueuePath,
      kTimeLeft);
  }

  std::array<Restart, kDaemons> daemons_;
  TimePoint begin_;
  int submissions_ = 0;
};

// Guards against requests that a stopping daemon has read and leaves without a
// response when its process ends (LOST).
TEST_P(RollingRestart, LeavesNoRequestWithoutAResponse)
{
  Play();
  std::size_t lost = 0;
  for (const auto& request : requests_) {
    lost += request->hasResponse_ ? 0 : 1;
  }
  EXPECT_EQ(lost, 0U) << "of " << requests_.size();
  EXPECT_EQ(kills_, 0U);
  EXPECT_EQ(deployment_.StateOfJob(kJob), JobState::Completed);
  ExpectNoViolations(deployment_);
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         RollingRestart,
                         testing::Range<std::uint64_t>(1, 11));

} // namespace
} // namespace verbenawell::jobs
