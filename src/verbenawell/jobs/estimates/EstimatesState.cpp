#include "verbenawell/jobs/estimates/EstimatesState.h"

#include "verbenawell/jobs/model/Job.h"

#include <utility>
#include <vector>

namespace verbenawell::jobs {

namespace {

// Smaller changes of an expected run time would move jobs in the queue for
// less than the error of the estimate.
constexpr double kMinChange = 1.2;

bool
IsFarFrom(Duration aNew, Duration aOld)
{
  const auto now = static_cast<double>(aNew.count());
  const auto before = static_cast<double>(aOld.count());
  return now > kMinChange * before || before > kMinChange * now;
}

} // namespace

std::optional<LearnedRunTimes>
ParseLearnedRunTimes(std::string_view aText)
{
  if (aText == "off") {
    return LearnedRunTimes::Off;
  }
  if (aText == "observe") {
    return LearnedRunTimes::Observe;
  }
  if (aText == "on") {
    return LearnedRunTimes::On;
  }
  return std::nullopt;
}

bool
RefreshExpectedRunTimes(Job& aJob,
                        const EstimatesState& aEstimates,
                        TimePoint aNow)
{
  if (aEstimates.use_ != LearnedRunTimes::On || aJob.IsLongRunning()) {
    return false;
  }
  std::vector<Duration> expected;
  expected.reserve(aJob.definition_.steps_.size());
  bool isChanged = false;
  for (std::size_t index = 0; index < aJob.definition_.steps_.size(); ++index) {
    const Step& step = aJob.definition_.steps_[index];
    expected.push_back(
      step.bestEffort_
        ? step.estimatedRunTime_
        : aEstimates.estimates_
            .Expect({ aJob.queue_, step.image_, step.estimatedRunTime_ }, aNow)
            .runTime_);
    isChanged = isChanged || IsFarFrom(expected.back(),
                                       aJob.ExpectedRunTime(StepIndex{
                                         static_cast<std::uint32_t>(index) }));
  }
  if (isChanged) {
    aJob.expectedRunTimes_ = std::move(expected);
  }
  return isChanged;
}

} // namespace verbenawell::jobs
