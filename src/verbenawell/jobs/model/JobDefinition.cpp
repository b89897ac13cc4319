#include "verbenawell/jobs/model/JobDefinition.h"

#include "verbenawell/core/Saturating.h"

#include <algorithm>
#include <chrono>
#include <stdexcept>

namespace verbenawell::jobs {

namespace {

constexpr std::size_t kMaxSteps = 1000;
// Limits the memory that one job takes in the owner's process.
constexpr std::uint64_t kMaxTasks = 100'000;

// The occurrences of a long-running job all exist at the same time. Of other
// jobs, an occurrence is created once earlier ones are done.
void
ValidateOccurrences(const JobDefinition& aDefinition)
{
  if (!aDefinition.schedule_ ||
      std::ranges::none_of(aDefinition.steps_, &Step::longRunning_)) {
    return;
  }
  const std::uint64_t tasks =
    SaturatingMultiply(aDefinition.schedule_->repetitions_.Value(),
                       TasksPerOccurrence(aDefinition));
  if (tasks > kMaxTasks) {
    throw std::invalid_argument(
      "expected at most " + std::to_string(kMaxTasks) +
      " tasks in all occurrences of a long-running job, got " +
      std::to_string(tasks));
  }
}

} // namespace

WallTime
DueTime(const Schedule& aSchedule, Occurrence aOccurrence)
{
  using std::chrono::milliseconds;
  const std::int64_t number = aOccurrence.Value();
  if (number == 0 || aSchedule.interval_ <= Duration{}) {
    return aSchedule.first_;
  }
  if (aSchedule.interval_ > Duration::max() / number) {
    return WallTime::max();
  }
  const auto sinceFirst =
    std::chrono::duration_cast<milliseconds>(aSchedule.interval_ * number);
  return aSchedule.first_ > WallTime::max() - sinceFirst
           ? WallTime::max()
           : aSchedule.first_ + sinceFirst;
}

std::uint64_t
TasksPerOccurrence(const JobDefinition& aDefinition)
{
  std::uint64_t tasks = 0;
  for (const Step& step : aDefinition.steps_) {
    tasks += step.count_.Value();
  }
  return tasks;
}

Resources
ResourcesOnWorker(const Step& aStep)
{
  Resources resources = aStep.resources_;
  if (aStep.bestEffort_) {
    resources.cpu_ = MilliCores{};
  }
  return resources;
}

void
ValidateDefinition(const JobDefinition& aDefinition)
{
  const auto& steps = aDefinition.steps_;
  if (steps.empty() || steps.size() > kMaxSteps) {
    throw std::invalid_argument("expected 1 to " + std::to_string(kMaxSteps) +
                                " steps, got " + std::to_string(steps.size()));
  }
  std::uint64_t tasks = 0;
  for (std::size_t index = 0; index < steps.size(); ++index) {
    const Step& step = steps[index];
    const std::string name = "step " + std::to_string(index);
    if (step.count_ == TaskCount{ 0 }) {
      throw std::invalid_argument(name + ": expected at least one task");
    }
    tasks += step.count_.Value();
    for (const StepIndex earlier : step.dependencies_) {
      // Only earlier steps may be named, which also rules out cycles.
      if (earlier.Value() >= index) {
        throw std::invalid_argument(name + ": step " +
                                    std::to_string(earlier.Value()) +
                                    " is not an earlier step");
      }
    }
  }
  if (tasks > kMaxTasks) {
    throw std::invalid_argument("expected at most " +
                                std::to_string(kMaxTasks) + " tasks, got " +
                                std::to_string(tasks));
  }
  ValidateOccurrences(aDefinition);
}

} // namespace verbenawell::jobs
