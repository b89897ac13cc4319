#include "verbenawell/jobs/placement/Admission.h"

#include "ExpectNoViolations.h"

#include <string>

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

Job
StoredJob(const std::string& aId, std::uint32_t aTasks, Duration aObjective)
{
  Job job;
  job.id_ = JobId{ aId };
  job.service_ = kService;
  job.definition_ = MakeJob(aTasks, 1, 1s);
  job.policy_.objective_ = aObjective;
  job.stored_ = true;
  AddOccurrence(job);
  return job;
}

// Guards against an admission that looks at too few workers: it stops at the
// first ones that suffice, and the others decide about the last job that fits.
TEST(Admission, CountsAllWorkersThatTheBacklogNeeds)
{
  for (int workers = 1; workers <= 20; ++workers) {
    State state;
    for (int index = 0; index < workers; ++index) {
      const WorkerId id{ "w" + std::to_string(index) };
      Worker& worker = state.workers_.workers_[id];
      worker.entry_.service_ = index % 3 == 2 ? kOtherService : kService;
      worker.entry_.capacity_.cpu_ = MilliCores{ 1000 };
      worker.isListed_ = true;
      worker.hasResponded_ = index % 5 != 4;
    }
    int serving = 0;
    for (int index = 0; index < workers; ++index) {
      serving += index % 3 != 2 && index % 5 != 4 ? 1 : 0;
    }
    const Job submitted = StoredJob("0000000000000002", 1, 1s);
    // Each task takes 2 s of a worker; ten objectives less the job's own run
    // time are 9 s.
    for (std::uint32_t tasks = 1; tasks <= 100; ++tasks) {
      state.tasks_.openJobs_.Update(StoredJob("0000000000000001", tasks, 1s));
      const Duration wait = tasks * 2'000'000us / serving;
      EXPECT_EQ(Admit(submitted, state.View(), {}).has_value(), wait > 9s)
        << workers << " workers, " << tasks << " tasks";
    }
  }
}

} // namespace
} // namespace verbenawell::jobs
