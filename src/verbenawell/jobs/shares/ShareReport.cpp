#include "verbenawell/jobs/shares/ShareReport.h"

#include "verbenawell/jobs/configuration/ConfigurationState.h"
#include "verbenawell/jobs/shares/Shares.h"
#include "verbenawell/jobs/tasks/TasksState.h"
#include "verbenawell/jobs/workers/WorkersState.h"

#include <algorithm>
#include <vector>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Duration kReportInterval = 5s;
constexpr std::size_t kReportedPerService = 3;

Resources
PoolOf(const ServiceId& aService, const WorkersState& aWorkers)
{
  Resources pool;
  for (const auto& [id, worker] : aWorkers.workers_) {
    if (worker.isListed_ && worker.hasResponded_ &&
        worker.entry_.service_ == aService) {
      pool += worker.entry_.capacity_;
    }
  }
  return pool;
}

} // namespace

void
ReportShares(TimePoint& aReportedAt,
             const Views& aViews,
             const Context& aContext,
             Effects& aEffects)
{
  if (aContext.now_ - aReportedAt < kReportInterval) {
    return;
  }
  aReportedAt = aContext.now_;
  const OpenJobIndex& openJobs = aViews.tasks_.openJobs_;
  WorkspaceWeights weights{ aViews.configuration_.configuration_ };
  for (const auto& [service, waiting] : openJobs.Waiting()) {
    struct Entry
    {
      double workPerWeight_ = 0;
      const WorkspaceId* id_ = nullptr;
      const WorkspaceLoad* load_ = nullptr;
    };
    std::vector<Entry> entries;
    for (const auto& [id, load] : openJobs.Workspaces().In(service)) {
      entries.push_back(
        { PerWeight(static_cast<double>(load.cpuSeconds_), weights.Of(id)),
          &id,
          &load });
    }
    if (entries.empty()) {
      continue;
    }
    const auto count = std::min(entries.size(), kReportedPerService);
    std::ranges::partial_sort(entries,
                              entries.begin() +
                                static_cast<std::ptrdiff_t>(count),
                              std::ranges::greater{},
                              &Entry::workPerWeight_);
    entries.resize(count);
    const Resources pool = PoolOf(service, aViews.workers_);
    for (const Entry& entry : entries) {
      const double percent = 100 * DominantShare(entry.load_->used_, pool);
      aEffects.push_back(LogLine{
        LogLevel::Info,
        "workspace_share",
        { { "service", service.Value() },
          { "workspace", entry.id_->Value() },
          { "weight", std::to_string(weights.Of(*entry.id_).Value()) },
          { "pool_percent", std::to_string(static_cast<int>(percent)) },
          { "jobs", std::to_string(entry.load_->jobs_) },
          { "cpu_s", std::to_string(entry.load_->cpuSeconds_ / 1000) } } });
    }
  }
}

} // namespace verbenawell::jobs
