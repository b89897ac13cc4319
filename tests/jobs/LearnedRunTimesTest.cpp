#include "verbenawell/codec/jobs/JournalCodec.h"
#include "verbenawell/jobs/estimates/EstimatesReducer.h"
#include "verbenawell/jobs/placement/JobOrder.h"

#include "ExpectNoViolations.h"

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

const RunKind kKind{ kQueue, ImageId{ "image" }, 1s };

JobDefinition
MakeImageJob(const std::string& aImage = "image", Duration aDeclared = 1s)
{
  JobDefinition definition = MakeJob(1, 1, aDeclared);
  definition.steps_[0].image_ = ImageId{ aImage };
  return definition;
}

/// One run on a worker, whose end is reported after some time.
class OneRun
{
public:
  explicit OneRun(LearnedRunTimes aUse)
  {
    state_.estimates_.use_ = aUse;
    Job job;
    job.id_ = task_.job_;
    job.queue_ = kQueue;
    job.service_ = kService;
    job.definition_ = MakeImageJob();
    AddOccurrence(job);
    state_.tasks_.jobs_.emplace(job.id_, job);
  }

  void End(EndKind aKind, Duration aAfter, bool aIsContinued = false)
  {
    Place(aIsContinued);
    Apply(RunsEnded{ worker_, {}, {}, { { {}, task_, run_, aKind, {} } } },
          aAfter);
  }

  void Stop(Duration aAfter)
  {
    Place(false);
    Apply(StopDecided{ worker_, task_, run_, "test" }, aAfter);
  }

  /// The runs of this worker have recently been at these multiples of the
  /// expected speed.
  void SetSpeeds(double aOwn, double aPeers)
  {
    WorkerStats& stats = state_.health_.workerStats_[worker_];
    stats.service_ = kService;
    for (int run = 0; run < 20; ++run) {
      const TaskId other{ JobId{ std::to_string(run) }, {}, {}, {} };
      const TimePoint end{ std::chrono::seconds(run + 1) };
      stats.AddProgress(other, run_, Percent{ 0 }, 1s, end - 1s);
      stats.AddProgress(other,
                        run_,
                        Percent{ 100 },
                        std::chrono::duration_cast<Duration>(1s * aOwn),
                        end);
    }
    Speed& service = state_.health_.serviceStats_[kService].speed_;
    service = stats.RecentSpeed();
    service.expectedSeconds_ += 100 * aPeers;
    service.elapsedSeconds_ += 100;
  }

  [[nodiscard]] Duration Expected() const
  {
    return state_.estimates_.estimates_.Expect(kKind, {}).runTime_;
  }

  State state_;

private:
  void Place(bool aIsContinued)
  {
    SetStatus(state_.tasks_.jobs_.at(task_.job_),
              task_,
              Placed{ worker_, run_, {}, {}, aIsContinued });
  }

  void Apply(const Event& aEvent, Duration aAfter)
  {
    Effects effects;
    ReduceEstimates(state_.estimates_,
                    state_.View(),
                    aEvent,
                    { TimePoint{ aAfter }, {}, {} },
                    effects);
  }

  const WorkerId worker_{ "w" };
  const RunNumber run_{ 1 };
  const TaskId task_{ JobId{ "job" }, {}, {}, {} };
};

// Guards against a setting that changes decisions although it is off, or that
// uses what it should only observe.
TEST(LearnedRunTimes, AreUsedOnlyIfTheSettingIsOn)
{
  for (const auto use : { LearnedRunTimes::Off,
                          LearnedRunTimes::Observe,
                          LearnedRunTimes::On }) {
    OneRun run{ use };
    for (int end = 0; end < 20; ++end) {
      run.End(EndKind::Done, 5s);
    }
    EXPECT_EQ(run.Expected() > 4s, use != LearnedRunTimes::Off);
    Job& job = run.state_.tasks_.jobs_.begin()->second;
    const Job before = job;
    EXPECT_EQ(RefreshExpectedRunTimes(job, run.state_.estimates_, {}),
              use == LearnedRunTimes::On);
    EXPECT_EQ(RemainingCpuTime(job) > 4 * RemainingCpuTime(before),
              use == LearnedRunTimes::On);
    EXPECT_EQ(CriticalPathTime(job) > 4 * CriticalPathTime(before),
              use == LearnedRunTimes::On);
    EXPECT_EQ(run.state_.estimates_.learnedErrors_.Count(),
              use == LearnedRunTimes::Off ? 0U : 20U);
  }
}

// Guards against the second half of a task that counts as the whole one.
TEST(LearnedRunTimes, AreNotLoweredByContinuedOrStoppedRuns)
{
  OneRun run{ LearnedRunTimes::On };
  for (int end = 0; end < 20; ++end) {
    run.End(EndKind::Done, 5s);
  }
  const Duration before = run.Expected();
  for (int end = 0; end < 20; ++end) {
    run.End(EndKind::Done, 500ms, true);
    run.End(EndKind::Stopped, 500ms);
    run.End(EndKind::Failed, 500ms);
    run.Stop(500ms);
  }
  EXPECT_GE(run.Expected(), before);
  EXPECT_EQ(run.state_.estimates_.partialRuns_, 80U);
}

// Guards against an estimate that stays too short, because each run that takes
// longer is stopped.
TEST(LearnedRunTimes, AreRaisedByStopsOfRunsThatLastLonger)
{
  OneRun run{ LearnedRunTimes::On };
  for (int end = 0; end < 20; ++end) {
    run.End(EndKind::Done, 1s);
  }
  for (int stop = 0; stop < 20; ++stop) {
    run.Stop(4s);
  }
  EXPECT_GT(run.Expected(), 1500ms);
}

// Guards against tasks that are expected to take long because a slow worker ran
// them.
TEST(LearnedRunTimes, AreThoseOfWorkersOfUsualSpeed)
{
  OneRun run{ LearnedRunTimes::On };
  run.SetSpeeds(0.25, 1);
  for (int end = 0; end < 20; ++end) {
    run.End(EndKind::Done, 4s);
  }
  // Less than half of the speed's evidence may come from the run itself.
  EXPECT_NEAR(static_cast<double>(run.Expected().count()), 4e6, 5e5);
  for (int end = 0; end < 100; ++end) {
    run.End(EndKind::Done, 800ms);
  }
  EXPECT_LT(run.Expected(), 400ms);
}

// Guards against an order of jobs that follows declared run times although
// earlier runs have shown which job is shorter.
TEST(LearnedRunTimes, OrderJobs)
{
  EstimatesState estimates;
  estimates.use_ = LearnedRunTimes::On;
  const auto makeJob = [](const std::string& aImage, Duration aDeclared) {
    Job job;
    job.id_ = JobId{ aImage };
    job.queue_ = kQueue;
    job.policy_.objective_ = 100s;
    job.definition_ = MakeImageJob(aImage, aDeclared);
    AddOccurrence(job);
    return job;
  };
  Job longer = makeJob("longer", 1s);
  Job shorter = makeJob("shorter", 4s);
  EXPECT_LT(Rank(longer, {}), Rank(shorter, {}));
  for (int run = 0; run < 30; ++run) {
    estimates.estimates_.Add(
      { kQueue, ImageId{ "longer" }, 1s }, WholeRun{ 9s }, {});
    estimates.estimates_.Add(
      { kQueue, ImageId{ "shorter" }, 4s }, WholeRun{ 1s }, {});
  }
  EXPECT_TRUE(RefreshExpectedRunTimes(longer, estimates, {}));
  EXPECT_TRUE(RefreshExpectedRunTimes(shorter, estimates, {}));
  EXPECT_LT(Rank(shorter, {}), Rank(longer, {}));
  // Nothing has been learned since, so no index has to follow.
  EXPECT_FALSE(RefreshExpectedRunTimes(longer, estimates, {}));
}

// Guards against an owner that learns everything anew after each change of the
// ownership.
TEST(LearnedRunTimes, AreKnownToASuccessorAtOnce)
{
  SimulatedDeployment deployment{ 61,
                                  { .learnedRunTimes_ = LearnedRunTimes::On } };
  deployment.RunFor(5s);
  for (std::size_t index = 0; index < deployment.Workers(); ++index) {
    deployment.WorkerAt(index).faults_.runTimeFactor_ = 6;
  }
  for (int job = 10; job < 60; ++job) {
    deployment.Submit("00000000000000" + std::to_string(job),
                      MakeImageJob("image", 200ms));
    deployment.RunFor(200ms);
  }
  deployment.RunFor(10s);
  const RunKind kind{ kQueue, ImageId{ "image" }, 200ms };
  const std::string former = deployment.Owner();
  EXPECT_GT(
    deployment.StateOf(former).estimates_.estimates_.Expect(kind, {}).runTime_,
    900ms);
  deployment.Kill(former);
  deployment.RunFor(8s);
  ASSERT_NE(deployment.Owner(), former);
  EXPECT_GT(deployment.StateOf(deployment.Owner())
              .estimates_.estimates_.Expect(kind, {})
              .runTime_,
            900ms);
  ExpectNoViolations(deployment);
}

// Guards against a setting that is off and still learns or writes, and against
// one that only observes and still changes jobs.
TEST(LearnedRunTimes, ChangeNothingUnlessOn)
{
  for (const auto use : { LearnedRunTimes::Off, LearnedRunTimes::Observe }) {
    SimulatedDeployment deployment{ 62, { .learnedRunTimes_ = use } };
    deployment.RunFor(5s);
    for (int job = 10; job < 30; ++job) {
      deployment.Submit("00000000000000" + std::to_string(job),
                        MakeImageJob("image", 200ms));
      deployment.RunFor(200ms);
    }
    const State& state = deployment.StateOf(deployment.Owner());
    EXPECT_EQ(state.estimates_.estimates_.GroupCount() == 0,
              use == LearnedRunTimes::Off);
    for (const auto& [id, job] : state.tasks_.jobs_) {
      EXPECT_TRUE(job.expectedRunTimes_.empty());
    }
    ExpectNoViolations(deployment);
  }
}

// Guards against a take-over that fails for a record that another version wrote
// or that was damaged. The reader skips and reports what is not decoded.
TEST(LearnedRunTimes, AreReadFromValidRecordsOnly)
{
  const RunTimesStored stored{ {
    { ImageDeclaredGroup{ kQueue, ImageId{ "image" }, DeclaredBucket{ 19 } },
      MilliRunCount{ 4000 },
      MilliLogFactor{ -1200 },
      MilliLogVariance{ 90 } },
    { DeclaredGroup{ DeclaredBucket{ 19 } }, {}, {}, {} },
  } };
  const std::string bytes = EncodeJournalRecord(stored).front().value_;
  const auto read = std::get<RunTimesStored>(DecodeJournalRecord(bytes));
  ASSERT_EQ(read.groups_.size(), 2U);
  EXPECT_EQ(read.groups_[0].group_, stored.groups_[0].group_);
  EXPECT_EQ(read.groups_[0].mean_, stored.groups_[0].mean_);
  EXPECT_ANY_THROW(DecodeJournalRecord(bytes.substr(0, bytes.size() / 2)));
  RunTimesStored large;
  large.groups_.resize(kMaxStoredRunGroups + 1);
  EXPECT_ANY_THROW(
    DecodeJournalRecord(EncodeJournalRecord(large).front().value_));
}

} // namespace
} // namespace verbenawell::jobs
