#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/core/Effect.h"
#include "verbenawell/jobs/quotas/QuotaEvents.h"

#include <map>

namespace verbenawell::jobs {

/// Logs when a workspace begins to wait for its quota and when it no longer
/// does. A wait ends some seconds after the last task had to wait, so the
/// number of lines is bounded.
class QuotaWaits
{
public:
  void Update(const std::map<WorkspaceId, QuotaShortage>& aShortages,
              TimePoint aNow,
              Effects& aEffects);
  [[nodiscard]] bool IsEmpty() const { return waits_.empty(); }

private:
  struct Wait
  {
    TimePoint since_;
    TimePoint lastSeenAt_;
  };

  std::map<WorkspaceId, Wait> waits_;
};

} // namespace verbenawell::jobs
