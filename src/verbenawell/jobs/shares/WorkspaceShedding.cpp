#include "verbenawell/jobs/shares/WorkspaceShedding.h"

#include "verbenawell/jobs/shares/Shares.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <tuple>
#include <utility>
#include <vector>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

// Time in which the count of a submission falls to 1/e. A flood counts within a
// fraction of a second, and the few submissions of a small workspace do not
// count as one.
constexpr Duration kRateTime = 1s;
// A workspace is forgotten when its submissions count less than this.
constexpr double kLeastRecent = 0.01;

} // namespace

void
WorkspaceShedding::Count(const WorkspaceId& aWorkspace, TimePoint aNow)
{
  Arrivals& arrivals = arrivals_[aWorkspace];
  arrivals.recent_ = RecentAt(arrivals, aNow) + 1;
  arrivals.countedAt_ = aNow;
}

// Max-min fairness: a workspace keeps all of its submissions up to an equal
// rate for its weight.
void
WorkspaceShedding::Divide(double aRejectedShare,
                          const Configuration& aConfiguration,
                          TimePoint aNow)
{
  std::erase_if(arrivals_, [&](const auto& aEntry) {
    return RecentAt(aEntry.second, aNow) < kLeastRecent;
  });
  struct Sender
  {
    double recent_ = 0;
    WorkspaceWeight weight_;
    Arrivals* arrivals_ = nullptr;

    [[nodiscard]] double PerWeight() const
    {
      return jobs::PerWeight(recent_, weight_);
    }
  };
  std::vector<Sender> senders;
  double accepted = 0;
  double weights = 0;
  for (auto& [id, arrivals] : arrivals_) {
    arrivals.rejectedShare_ = 0;
    if (aRejectedShare > 0) {
      const Workspace* workspace = aConfiguration.Find(id);
      const Sender sender{ RecentAt(arrivals, aNow),
                           workspace == nullptr ? WorkspaceWeight{}
                                                : workspace->weight_,
                           &arrivals };
      senders.push_back(sender);
      accepted += (1 - aRejectedShare) * sender.recent_;
      weights += sender.weight_.Value();
    }
  }
  std::ranges::sort(senders, {}, &Sender::PerWeight);
  for (const Sender& sender : senders) {
    const double weight = sender.weight_.Value();
    const double kept =
      weight > 0 ? std::min(sender.recent_, accepted * weight / weights)
                 : std::min(sender.recent_, accepted);
    sender.arrivals_->rejectedShare_ = 1 - kept / sender.recent_;
    accepted -= kept;
    weights -= weight;
  }
}

bool
WorkspaceShedding::RejectNext(const WorkspaceId& aWorkspace)
{
  const auto found = arrivals_.find(aWorkspace);
  if (found == arrivals_.end()) {
    return false;
  }
  Arrivals& arrivals = found->second;
  if (arrivals.rejectedShare_ <= 0) {
    arrivals.dueRejections_ = 0;
    return false;
  }
  arrivals.dueRejections_ += arrivals.rejectedShare_;
  if (arrivals.dueRejections_ < 1) {
    return false;
  }
  arrivals.dueRejections_ -= 1;
  return true;
}

double
WorkspaceShedding::RejectedShare(const WorkspaceId& aWorkspace) const
{
  const auto found = arrivals_.find(aWorkspace);
  return found == arrivals_.end() ? 0 : found->second.rejectedShare_;
}

double
WorkspaceShedding::RecentAt(const Arrivals& aArrivals, TimePoint aNow)
{
  const std::chrono::duration<double> age = aNow - aArrivals.countedAt_;
  const std::chrono::duration<double> rateTime = kRateTime;
  return aArrivals.recent_ * std::exp(-(age / rateTime));
}

} // namespace verbenawell::jobs
