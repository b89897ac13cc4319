#include "verbenawell/jobs/model/JobDefinition.h"

#include <stdexcept>

namespace verbenawell::jobs {

namespace {

constexpr std::size_t kMaxSteps = 1000;
// Limits the memory that one job takes in the owner's process.
constexpr std::uint64_t kMaxTasks = 100'000;

} // namespace

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
}

} // namespace verbenawell::jobs
