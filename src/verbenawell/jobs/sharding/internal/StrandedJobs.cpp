#include "verbenawell/jobs/sharding/internal/StrandedJobs.h"

#include "verbenawell/jobs/sharding/DaemonState.h"
#include "verbenawell/jobs/sharding/Shards.h"
#include "verbenawell/jobs/workers/TaskCapacity.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

// A new owner reads the lists of workers and VMs first.
constexpr Duration kMinOwnership = 3s;
// Age from which on a job is handed over. Usually a job starts within 100 ms.
constexpr Duration kMinWait = 1s;
// Jobs that the own shard cannot run are looked up in the lists of all shards.
// More of them wait for the next list, which is read twice a second.
constexpr int kMaxLookUps = 50;

using Workers = std::vector<const WorkerEntry*>;
using WorkersByShard = std::map<ShardIndex, Workers>;

bool
CanRunStep(const Step& aStep, const Workers& aWorkers, RackPreference aRacks)
{
  const bool isInOneRack = aStep.sameRack_ && aRacks == RackPreference::Kept;
  const std::uint64_t required =
    aStep.gang_ || aStep.longRunning_ ? aStep.count_.Value() : 1;
  std::map<RackId, std::uint64_t> tasks;
  return std::ranges::any_of(aWorkers, [&](const WorkerEntry* aWorker) {
    std::uint64_t& sum = tasks[isInOneRack ? aWorker->rack_ : RackId{}];
    sum += CountTasksThatFit(*aWorker, aWorker->capacity_, aStep, required);
    return sum >= required;
  });
}

WorkersByShard
WorkersOfService(const DaemonState& aState,
                 const WorkersRead& aRead,
                 const ServiceId& aService)
{
  WorkersByShard workers;
  for (const WorkerEntry& entry : aRead.workers_) {
    if (entry.service_ != aService || entry.draining_) {
      continue;
    }
    if (const auto vm = aState.vmsOfWorkers_.find(entry.worker_);
        vm != aState.vmsOfWorkers_.end()) {
      workers[ShardOf(vm->second, *aState.count_)].push_back(&entry);
    }
  }
  return workers;
}

std::vector<ShardIndex>
OtherShardsThatCanRun(const Job& aJob,
                      ShardIndex aOwn,
                      const WorkersByShard& aWorkers,
                      RackPreference aRacks)
{
  std::vector<ShardIndex> able;
  for (const auto& [shard, workers] : aWorkers) {
    if (shard != aOwn && CanRun(aJob.definition_, workers, aRacks)) {
      able.push_back(shard);
    }
  }
  return able;
}

/// The other shard that gets a job. The jobs are spread over the shards that
/// can run them.
std::optional<ShardIndex>
ShardThatCanRun(const Job& aJob,
                ShardIndex aOwn,
                const WorkersByShard& aWorkers)
{
  auto able = OtherShardsThatCanRun(aJob, aOwn, aWorkers, RackPreference::Kept);
  // A gang that finds one rack nowhere runs on several ones, in its own shard
  // if that has room.
  if (able.empty() &&
      !CanRun(aJob.definition_, aWorkers.at(aOwn), RackPreference::Ignored)) {
    able = OtherShardsThatCanRun(aJob, aOwn, aWorkers, RackPreference::Ignored);
  }
  if (able.empty()) {
    return std::nullopt;
  }
  const ShardCount count{ static_cast<std::uint32_t>(able.size()) };
  return able[ShardOf(aJob.id_, count).Value()];
}

} // namespace

bool
CanRun(const JobDefinition& aDefinition,
       const Workers& aWorkers,
       RackPreference aRacks)
{
  return std::ranges::all_of(aDefinition.steps_, [&](const Step& aStep) {
    return CanRunStep(aStep, aWorkers, aRacks);
  });
}

JobsStranded
FindStrandedJobs(DaemonState& aState,
                 ShardIndex aShard,
                 const WorkersRead& aRead,
                 TimePoint aNow)
{
  JobsStranded stranded;
  const State& state = aState.shards_[aShard.Value()];
  const Owning* owning = state.ownership_.AsOwner();
  // A worker whose VM is not known yet counts for no shard. An entry of another
  // writer never has a VM, so such workers are not waited for.
  if (*aState.count_ == ShardCount{ 1 } || owning == nullptr ||
      aNow - owning->takenAt_ < kMinOwnership) {
    return stranded;
  }
  int lookUps = 0;
  JobId& next = aState.nextExaminedJob_[aShard];
  JobId last;
  for (const auto& [service, jobs] : state.tasks_.openJobs_.Waiting()) {
    std::optional<WorkersByShard> workers;
    for (auto entry = jobs.lower_bound(next);
         entry != jobs.end() && lookUps < kMaxLookUps;
         ++entry) {
      const Job& job = state.tasks_.jobs_.at(*entry);
      // A job that was handed over stays where it is.
      if (job.started_ || aNow - job.acceptedAt_ < kMinWait ||
          ShardOf(job.id_, *aState.count_) != aShard) {
        continue;
      }
      if (!workers) {
        workers = WorkersOfService(aState, aRead, service);
      }
      if (CanRun(job.definition_, (*workers)[aShard], RackPreference::Kept)) {
        continue;
      }
      ++lookUps;
      last = job.id_;
      if (const auto to = ShardThatCanRun(job, aShard, *workers); to) {
        stranded.jobs_.push_back({ job.id_, *to });
      }
    }
  }
  next = lookUps < kMaxLookUps ? JobId{} : last;
  return stranded;
}

} // namespace verbenawell::jobs
