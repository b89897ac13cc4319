#include "verbenawell/jobs/workers/WorkerEvents.h"

#include <algorithm>

namespace verbenawell::jobs {

bool
HasLabel(const WorkerEntry& aWorker, const std::string& aLabel)
{
  return aLabel.empty() ||
         std::ranges::find(aWorker.labels_, aLabel) != aWorker.labels_.end();
}

std::string_view
ToString(EndKind aKind)
{
  switch (aKind) {
    case EndKind::Done:
      return "done";
    case EndKind::Failed:
      return "failed";
    case EndKind::Stopped:
      return "stopped";
    case EndKind::LeaseExpired:
      return "lapsed";
    case EndKind::GangMemberEnded:
      return "broken";
    case EndKind::GangIncomplete:
      return "alone";
  }
  return "unknown";
}

std::string_view
ToString(StartRefusal aRefusal)
{
  switch (aRefusal) {
    case StartRefusal::NewerEpoch:
      return "fence";
    case StartRefusal::RunSuperseded:
      return "old";
    case StartRefusal::DelayedCommand:
      return "late";
    case StartRefusal::NoCapacity:
      return "room";
    case StartRefusal::InvalidTicket:
      return "ticket";
    case StartRefusal::Unhealthy:
      return "unhealthy";
    case StartRefusal::OtherIncarnation:
      return "other_life";
  }
  return "unknown";
}

} // namespace verbenawell::jobs
