#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/model/Configuration.h"

#include <map>

namespace verbenawell::jobs {

/// Decides which workspaces' submissions an owner rejects while it lacks
/// processor time. It answers the load of one workspace that sends many times
/// its usual: the rejections fall on the workspaces that send the most for
/// their weight, down to the rate at which the others send.
class WorkspaceShedding
{
public:
  /// Counts a submission.
  void Count(const WorkspaceId& aWorkspace, TimePoint aNow);

  /// Divides the rejections among the workspaces by their present rates, so
  /// that this share of all submissions is rejected.
  void Divide(double aRejectedShare,
              const Configuration& aConfiguration,
              TimePoint aNow);

  /// Decides about the next submission of a workspace. Rejections are spread
  /// evenly.
  bool RejectNext(const WorkspaceId& aWorkspace);

  /// Share of the workspace's submissions to reject, from 0 to 1.
  [[nodiscard]] double RejectedShare(const WorkspaceId& aWorkspace) const;

private:
  struct Arrivals
  {
    /// Submissions, each of which counts less the longer ago it was.
    double recent_ = 0;
    TimePoint countedAt_;
    double rejectedShare_ = 0;
    /// Rejections that are due; below 1.
    double dueRejections_ = 0;
  };

  static double RecentAt(const Arrivals& aArrivals, TimePoint aNow);

  /// Workspaces that have sent submissions in the last seconds.
  std::map<WorkspaceId, Arrivals> arrivals_;
};

} // namespace verbenawell::jobs
