#include "JobFuzz.h"

#include <cstdint>
#include <vector>

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

void
ExpectNoViolations(std::uint64_t aSeed, FuzzOptions aOptions = {})
{
  for (const std::string& violation : FuzzJobs(aSeed, aOptions)) {
    ADD_FAILURE() << "seed " << aSeed << ": " << violation;
  }
}

// Guards against rules that hold only when faults occur one at a time. Each
// seed combines killed and paused daemons, lost connections and store outages
// under one load.
TEST(JobFuzz, ViolatesNoRuleUnderSeededFaults)
{
  constexpr std::uint64_t kSeedCount = 60;
  for (std::uint64_t seed = 1; seed <= kSeedCount; ++seed) {
    ExpectNoViolations(seed);
  }
}

// Guards against tasks of cancelled jobs that keep running after a lost stop
// command. A task that ends by itself would hide the loss.
TEST(JobFuzz, StopsLongRunningTasksUnderSeededFaults)
{
  constexpr std::uint64_t kSeedCount = 60;
  for (std::uint64_t seed = 1; seed <= kSeedCount; ++seed) {
    ExpectNoViolations(seed, { .hasLongRunningJobs_ = true });
  }
}

// Guards against runs of cancelled jobs that go on while their worker is cut
// off from some daemons or from the store, restarts behind the cut, or goes
// down and up. Seed 1828 once left the deployment without an owner.
TEST(JobFuzz, StopsRunsOfCancelledJobsInTimeUnderDisruptions)
{
  constexpr std::uint64_t kSeedCount = 60;
  for (std::uint64_t seed = 1; seed <= kSeedCount; ++seed) {
    ExpectNoViolations(seed, { .hasDisruptions_ = true });
  }
  ExpectNoViolations(1828, { .hasDisruptions_ = true });
}

// Guards against rules that hold only while one daemon owns all jobs and VMs.
TEST(JobFuzz, ViolatesNoRuleWithSeveralShards)
{
  constexpr std::uint64_t kSeedCount = 30;
  for (std::uint64_t seed = 1; seed <= kSeedCount; ++seed) {
    ExpectNoViolations(seed, { .shards_ = 3 });
    ExpectNoViolations(seed, { .hasLongRunningJobs_ = true, .shards_ = 3 });
    ExpectNoViolations(seed, { .hasDisruptions_ = true, .shards_ = 3 });
  }
}

// Guards against the faults that these seeds once found: starts that reach a
// restarted worker (33, 53, 58, 59, 233, 456, 457, 684, 999, 7480),
// acknowledgements meant for an earlier incarnation (988), rejections of jobs
// that another daemon had accepted (23, 4002, 4328, 5052, 5248, 5470, 6055),
// and a command that a worker executes after the job was cancelled (15596).
TEST(JobFuzz, ViolatesNoRuleWithSeedsThatOnceFailed)
{
  const std::vector<std::uint64_t> seeds{ 23,   33,   53,   58,   59,
                                          233,  456,  457,  684,  988,
                                          999,  4002, 4328, 5052, 5248,
                                          5470, 6055, 7480, 15596 };
  for (const std::uint64_t seed : seeds) {
    ExpectNoViolations(seed);
  }
}

} // namespace
} // namespace verbenawell::jobs
