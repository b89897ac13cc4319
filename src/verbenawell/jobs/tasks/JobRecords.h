#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/jobs/journal/JournalRecord.h"
#include "verbenawell/jobs/tasks/TasksState.h"

#include <optional>
#include <set>
#include <vector>

namespace verbenawell::jobs {

/// Returns the job that a record describes, without its progress.
Job
RestoredJob(const JobStored& aStored, const Context& aContext);

JobStored
StoredJob(const Job& aJob, const Context& aContext);

/// Returns the part of the job's progress that the task belongs to.
ProgressPart
PartOf(const Job& aJob, const TaskId& aTask);

/// Appends the records of these parts of the job's progress.
void
AppendProgress(const Job& aJob,
               const std::set<ProgressPart>& aParts,
               std::vector<JournalRecord>& aRecords);

OutcomeStored
StoredOutcome(const Job& aJob, const Context& aContext);

/// Removes the leading occurrences of a scheduled job that are done. Returns
/// the record that keeps a successor from running them again; empty if there
/// were none.
std::optional<OccurrencesDone>
RemoveDone(Job& aJob);

/// Restores the jobs that the records describe.
void
Restore(TasksState& aTasks,
        const std::vector<JournalRecord>& aRecords,
        const Context& aContext);

} // namespace verbenawell::jobs
