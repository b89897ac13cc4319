#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/model/Ids.h"

#include <map>
#include <string>
#include <vector>

namespace verbenawell::jobs {

/// A line of a daemon's log.
struct LoggedEvent
{
  WallTime time_;
  std::string daemon_;
  std::string event_;
  std::map<std::string, std::string> fields_;

  /// Returns the value of a field; empty if the line does not have the field.
  [[nodiscard]] std::string Field(const std::string& aName) const;
};

/// The history of one job and the cause of its outcome.
struct Explanation
{
  /// The log lines about the job, oldest first.
  std::vector<LoggedEvent> events_;
  /// One line for operators.
  std::string cause_;
};

/// Finds the lines about a job in the merged logs of several daemons and
/// derives the cause of its outcome.
Explanation
Explain(const JobId& aJob, std::vector<LoggedEvent> aLog);

} // namespace verbenawell::jobs
