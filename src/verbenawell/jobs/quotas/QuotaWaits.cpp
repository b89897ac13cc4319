#include "verbenawell/jobs/quotas/QuotaWaits.h"

#include <chrono>
#include <string>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Duration kEndsAfter = 5s;

} // namespace

void
QuotaWaits::Update(const std::map<WorkspaceId, QuotaShortage>& aShortages,
                   TimePoint aNow,
                   Effects& aEffects)
{
  for (const auto& [workspace, shortage] : aShortages) {
    const auto [entry, isNew] =
      waits_.try_emplace(workspace, Wait{ aNow, aNow });
    entry->second.lastSeenAt_ = aNow;
    if (isNew) {
      aEffects.push_back(Count{ Counter::QuotaWaits });
      aEffects.push_back(LogLine{
        LogLevel::Info, "quota_wait", { { "workspace", workspace.Value() } } });
    }
  }
  std::erase_if(waits_, [&](const auto& aEntry) {
    const auto& [workspace, wait] = aEntry;
    if (aNow - wait.lastSeenAt_ < kEndsAfter) {
      return false;
    }
    aEffects.push_back(LogLine{
      LogLevel::Info,
      "quota_wait_over",
      { { "workspace", workspace.Value() },
        { "waited_ms",
          std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                           wait.lastSeenAt_ - wait.since_)
                           .count()) } } });
    return true;
  });
}

} // namespace verbenawell::jobs
