#pragma once

#include <iosfwd>
#include <string>

namespace verbenawell {

/// Reads the logs of daemons, one JSON object per line, and prints the events
/// of a job and the cause of its outcome. Other lines are skipped and counted.
/// Returns false if no line names the job.
bool
ExplainJob(const std::string& aJob, std::istream& aLog, std::ostream& aOutput);

} // namespace verbenawell
