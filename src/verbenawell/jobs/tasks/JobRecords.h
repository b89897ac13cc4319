#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/jobs/journal/JournalRecord.h"
#include "verbenawell/jobs/tasks/TasksState.h"

#include <vector>

namespace verbenawell::jobs {

JobStored
StoredJob(const Job& aJob, const Context& aContext);

ProgressStored
StoredProgress(const Job& aJob);

OutcomeStored
StoredOutcome(const Job& aJob, const Context& aContext);

/// Restores the jobs that the records describe.
void
Restore(TasksState& aTasks,
        const std::vector<JournalRecord>& aRecords,
        const Context& aContext);

} // namespace verbenawell::jobs
