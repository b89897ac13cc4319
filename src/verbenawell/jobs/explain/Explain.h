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

  /// The field's text; empty if the line lacks it.
  [[nodiscard]] std::string Field(const std::string& aName) const;
};

/// What became of one job.
struct Explanation
{
  /// The lines that tell of it, oldest first.
  std::vector<LoggedEvent> events_;
  std::string cause_;
};

/// Joins the logs of several daemons for one job.
Explanation
Explain(const JobId& aJob, std::vector<LoggedEvent> aLog);

} // namespace verbenawell::jobs
