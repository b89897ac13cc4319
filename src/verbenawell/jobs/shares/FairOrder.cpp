#include "verbenawell/jobs/shares/FairOrder.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace verbenawell::jobs {

namespace {

auto
ClassOf(const RankedJob& aJob)
{
  return std::tuple(aJob.rank_.urgency_, aJob.rank_.priority_);
}

} // namespace

std::vector<RankedJob>
RankJobs(const std::set<JobId>& aWaiting,
         const std::map<JobId, Job>& aJobs,
         TimePoint aNow)
{
  std::vector<RankedJob> ranked;
  ranked.reserve(aWaiting.size());
  for (const JobId& id : aWaiting) {
    const Job& job = aJobs.at(id);
    ranked.push_back({ Rank(job, aNow), &job });
  }
  // Jobs of equal rank keep the order of their ids.
  std::ranges::stable_sort(ranked, {}, &RankedJob::rank_);
  return ranked;
}

FairOrder::FairOrder(std::vector<RankedJob> aJobs,
                     const Resources& aPool,
                     const WorkspaceLoads::ById& aLoads,
                     WorkspaceWeights& aWeights)
  : jobs_(std::move(aJobs))
  , pool_(aPool)
  , loads_(aLoads)
  , weights_(aWeights)
{
}

const Job*
FairOrder::Next()
{
  if (next_ == jobs_.size()) {
    return nullptr;
  }
  if (next_ == classEnd_) {
    BeginClass();
  }
  const RankedJob& ranked = jobs_[next_++];
  if (!Competes(ranked)) {
    return ranked.job_;
  }
  const Index first = *order_.First();
  Competitor& competitor = competitors_[first];
  const Job* job = competitor.jobs_[competitor.next_++];
  // The load is unchanged until the job gets resources.
  if (!competitor.HasJob()) {
    order_.Put(first, std::nullopt);
  }
  return job;
}

void
FairOrder::Charge(const WorkspaceId& aWorkspace, const Resources& aResources)
{
  const auto found = indices_.find(aWorkspace.Value());
  if (found == indices_.end()) {
    return;
  }
  const Index index = found->second;
  Competitor& competitor = competitors_[index];
  competitor.used_ += aResources;
  competitor.lastGrant_ = ++grants_;
  if (competitor.HasJob()) {
    UpdateOrder(index);
  }
}

// Long-running tasks hold their resources until they are cancelled. A share
// that counted them would keep back the short jobs of their workspace for
// minutes.
bool
FairOrder::Competes(const RankedJob& aJob)
{
  return aJob.rank_.urgency_ != Urgency::LongRunning &&
         !aJob.job_->workspace_.IsEmpty();
}

void
FairOrder::BeginClass()
{
  const auto current = ClassOf(jobs_[next_]);
  std::vector<Index> waiting;
  for (classEnd_ = next_;
       classEnd_ < jobs_.size() && ClassOf(jobs_[classEnd_]) == current;
       ++classEnd_) {
    const RankedJob& ranked = jobs_[classEnd_];
    if (!Competes(ranked)) {
      continue;
    }
    const Index index = CompetitorOf(ranked.job_->workspace_);
    Competitor& competitor = competitors_[index];
    if (!competitor.HasJob()) {
      waiting.push_back(index);
    }
    competitor.jobs_.push_back(ranked.job_);
  }
  for (const Index index : waiting) {
    UpdateOrder(index);
  }
}

FairOrder::Index
FairOrder::CompetitorOf(const WorkspaceId& aWorkspace)
{
  const auto [entry, isNew] =
    indices_.try_emplace(aWorkspace.Value(), competitors_.size());
  if (isNew) {
    Competitor& competitor = competitors_.emplace_back();
    competitor.weight_ = weights_.Of(aWorkspace);
    if (const auto load = loads_.find(aWorkspace); load != loads_.end()) {
      competitor.used_ = load->second.used_;
    }
  }
  return entry->second;
}

void
FairOrder::UpdateOrder(Index aCompetitor)
{
  const Competitor& competitor = competitors_[aCompetitor];
  order_.Put(aCompetitor,
             ShareLoad{ PerWeight(DominantShare(competitor.used_, pool_),
                                  competitor.weight_),
                        competitor.lastGrant_ });
}

} // namespace verbenawell::jobs
