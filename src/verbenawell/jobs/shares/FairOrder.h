#pragma once

#include "verbenawell/core/ShareOrder.h"
#include "verbenawell/jobs/placement/JobOrder.h"
#include "verbenawell/jobs/shares/Shares.h"
#include "verbenawell/jobs/shares/WorkspaceLoads.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace verbenawell::jobs {

/// A waiting job and its position in the queue of its service.
struct RankedJob
{
  JobRank rank_;
  const Job* job_ = nullptr;
};

/// Returns these jobs in the order of their ranks.
std::vector<RankedJob>
RankJobs(const std::set<JobId>& aWaiting,
         const std::map<JobId, Job>& aJobs,
         TimePoint aNow);

/// Order in which one placement pass goes through the waiting jobs of a
/// service. It answers the load of one workspace that sends many times its
/// usual, by jobs that the rank alone would put before those of all others.
///
/// Among the jobs of one urgency and one priority, the next job is the first
/// one of the workspace that uses the least of the pool for its weight. The
/// jobs of no workspace and the long-running ones keep the positions of their
/// rank.
class FairOrder
{
public:
  /// The jobs are sorted by rank. The loads and the weights must outlive the
  /// object.
  FairOrder(std::vector<RankedJob> aJobs,
            const Resources& aPool,
            const WorkspaceLoads::ById& aLoads,
            WorkspaceWeights& aWeights);

  /// The next job; null after the last one.
  const Job* Next();

  /// Counts resources that the pass has given to tasks of a workspace. Has no
  /// effect for jobs that do not compete.
  void Charge(const WorkspaceId& aWorkspace, const Resources& aResources);

private:
  struct Competitor
  {
    Resources used_;
    WorkspaceWeight weight_;
    std::uint64_t lastGrant_ = 0;
    /// The workspace's jobs of the present urgency and priority, by rank.
    std::vector<const Job*> jobs_;
    std::size_t next_ = 0;

    [[nodiscard]] bool HasJob() const { return next_ < jobs_.size(); }
  };
  using Index = std::size_t;

  static bool Competes(const RankedJob& aJob);
  /// Collects the jobs of the next urgency and priority.
  void BeginClass();
  Index CompetitorOf(const WorkspaceId& aWorkspace);
  void UpdateOrder(Index aCompetitor);

  std::vector<RankedJob> jobs_;
  Resources pool_;
  const WorkspaceLoads::ById& loads_;
  WorkspaceWeights& weights_;
  std::size_t next_ = 0;
  std::size_t classEnd_ = 0;
  std::uint64_t grants_ = 0;
  std::vector<Competitor> competitors_;
  std::unordered_map<std::string_view, Index> indices_;
  ShareOrder<Index> order_;
};

} // namespace verbenawell::jobs
