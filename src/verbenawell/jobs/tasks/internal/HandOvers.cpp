#include "verbenawell/jobs/tasks/internal/HandOvers.h"

#include "verbenawell/core/Overloaded.h"
#include "verbenawell/jobs/tasks/JobRecords.h"
#include "verbenawell/jobs/tasks/TasksState.h"
#include "verbenawell/jobs/tasks/internal/CallerActions.h"

#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Duration kOfferRetryDelay = 1s;
// An ended job is kept for 150 s, and the record of its hand-over a little
// longer.
constexpr Duration kCheckInterval = 60s;
// A new owner checks all hand-overs of its predecessors.
constexpr int kMaxChecksPerTick = 20;

} // namespace

void
BeginHandOvers(TasksState& aState,
               const JobsStranded& aStranded,
               Effects& aEffects)
{
  for (const auto& [id, to] : aStranded.jobs_) {
    const auto found = aState.jobs_.find(id);
    if (found == aState.jobs_.end()) {
      continue;
    }
    Job& job = found->second;
    if (!job.stored_ || job.outcome_ != JobOutcome::Open || job.HasRuns() ||
        job.isHandedOver_) {
      continue;
    }
    job.isHandedOver_ = true;
    aState.openJobs_.Update(job);
    aState.handOvers_.insert_or_assign(
      id, HandOver{ job.queue_, to, HandOverDecided{} });
    aEffects.push_back(Raise{
      JournalWriteRequested{ { JobHandedOver{ id, job.queue_, to, false } },
                             HandOverPersisted{ id } } });
  }
}

void
OfferJob(TasksState& aState,
         const JobId& aJob,
         const Context& aContext,
         Effects& aEffects)
{
  const auto handOver = aState.handOvers_.find(aJob);
  const Job* job = aState.Find(aJob);
  if (handOver == aState.handOvers_.end() || job == nullptr) {
    return;
  }
  handOver->second.phase_ = HandOverOffered{ aContext.now_ };
  auto stored = std::make_shared<JobStored>(StoredJob(*job, aContext));
  stored->acceptedAt_ -= std::chrono::duration_cast<std::chrono::milliseconds>(
    aContext.now_ - job->acceptedAt_);
  aEffects.push_back(
    RequestFromShard{ handOver->second.to_, AdoptJob{ std::move(stored) } });
}

void
ContinueHandOvers(TasksState& aState,
                  const Context& aContext,
                  Effects& aEffects)
{
  std::vector<JobId> offers;
  int checks = 0;
  for (auto& [id, handOver] : aState.handOvers_) {
    const JobId& job = id;
    const ShardIndex to = handOver.to_;
    std::visit(
      Overloaded{
        [&](const HandOverOffered& aOffered) {
          if (aContext.now_ - aOffered.sentAt_ >= kOfferRetryDelay) {
            offers.push_back(job);
          }
        },
        [&](HandOverComplete& aComplete) {
          if (checks < kMaxChecksPerTick &&
              aContext.now_ - aComplete.checkedAt_ >= kCheckInterval) {
            ++checks;
            aComplete.checkedAt_ = aContext.now_;
            aEffects.push_back(RequestFromShard{ to, FindAdoptedJob{ job } });
          }
        },
        [](const auto&) {} },
      handOver.phase_);
  }
  for (const JobId& job : offers) {
    OfferJob(aState, job, aContext, aEffects);
  }
}

void
ApplyShardResponse(TasksState& aState,
                   const ShardResponded& aResponse,
                   Effects& aEffects)
{
  const auto found = aState.handOvers_.find(aResponse.job_);
  if (found == aState.handOvers_.end()) {
    return;
  }
  HandOver& handOver = found->second;
  if (std::holds_alternative<HandOverOffered>(handOver.phase_) &&
      std::holds_alternative<JobAccepted>(aResponse.response_)) {
    handOver.phase_ = HandOverAccepted{};
    aEffects.push_back(Raise{ JournalWriteRequested{
      { JobHandedOver{ found->first, handOver.queue_, handOver.to_, true } },
      HandOverConfirmed{ found->first } } });
  } else if (std::holds_alternative<HandOverComplete>(handOver.phase_) &&
             std::holds_alternative<JobUnknown>(aResponse.response_)) {
    aEffects.push_back(Raise{ JournalWriteRequested{
      { HandOverRemoved{ found->first } }, StartsPersisted{} } });
    aState.handOvers_.erase(found);
  }
}

void
CompleteHandOver(TasksState& aState,
                 const JobId& aJob,
                 const Context& aContext,
                 Effects& aEffects)
{
  const auto found = aState.handOvers_.find(aJob);
  if (found == aState.handOvers_.end()) {
    return;
  }
  found->second.phase_ = HandOverComplete{ aContext.now_ };
  aEffects.push_back(
    LogLine{ LogLevel::Info,
             "job_handed_over",
             { { "job", aJob.Value() },
               { "queue", found->second.queue_.Value() },
               { "to_shard", std::to_string(found->second.to_.Value()) } } });
  aEffects.push_back(Count{ Counter::JobsHandedOver });
  aState.jobs_.erase(aJob);
  aState.openJobs_.Remove(aJob);
  RespondToCancellers(aState, aJob, OtherShard{ found->second.to_ }, aEffects);
}

} // namespace verbenawell::jobs
