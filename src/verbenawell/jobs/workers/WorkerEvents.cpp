#include "verbenawell/jobs/workers/WorkerEvents.h"

#include "verbenawell/core/Overloaded.h"

#include <algorithm>

namespace verbenawell::jobs {

namespace {

std::string_view
CauseName(LossCause aCause)
{
  switch (aCause) {
    case LossCause::WorkerCrashed:
      return "worker has crashed";
    case LossCause::WorkerEnded:
      return "worker has ended";
    case LossCause::NotListed:
      return "worker does not list the run";
    case LossCause::LeaseExpired:
      return "lease is over";
    case LossCause::UnknownWorker:
      return "unknown worker";
    case LossCause::StartNotSent:
      return "start was not sent";
  }
  return "unknown";
}

} // namespace

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

std::string_view
ToString(const LossReason& aReason)
{
  return std::visit(
    Overloaded{ [](LossCause aCause) { return CauseName(aCause); },
                [](StartRefusal aRefusal) { return ToString(aRefusal); } },
    aReason);
}

} // namespace verbenawell::jobs
