#pragma once

#include "verbenawell/jobs/model/TaskId.h"

#include <compare>
#include <string>

namespace verbenawell::jobs {

/// Identifies a step of one occurrence of a job.
struct StepId
{
  JobId job_;
  Occurrence occurrence_;
  StepIndex step_;

  auto operator<=>(const StepId&) const = default;
};

inline StepId
StepOf(const TaskId& aTask)
{
  return { aTask.job_, aTask.occurrence_, aTask.step_ };
}

/// Returns job, occurrence and step, as in `5c0e7a21d94b36f8.0.1`.
inline std::string
ToString(const StepId& aStep)
{
  return aStep.job_.Value() + '.' + std::to_string(aStep.occurrence_.Value()) +
         '.' + std::to_string(aStep.step_.Value());
}

} // namespace verbenawell::jobs
