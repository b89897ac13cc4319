#pragma once

#include "verbenawell/jobs/model/Ids.h"

#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace verbenawell::jobs {

/// Identifies a task of a step of one occurrence of a job.
struct TaskId
{
  JobId job_;
  Occurrence occurrence_;
  StepIndex step_;
  TaskIndex index_;

  auto operator<=>(const TaskId&) const = default;
};

/// Returns job, occurrence, step and task, as in `5c0e7a21d94b36f8.0.1.17`.
std::string
ToString(const TaskId& aTask);

/// Returns nothing if the text is not a task id.
std::optional<TaskId>
ParseTaskId(std::string_view aText);

} // namespace verbenawell::jobs
