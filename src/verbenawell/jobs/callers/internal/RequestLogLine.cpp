#include "verbenawell/jobs/callers/internal/RequestLogLine.h"

#include <chrono>

namespace verbenawell::jobs {

namespace {

std::string
Milliseconds(Duration aTime)
{
  return std::to_string(
    std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count());
}

} // namespace

// The age of the owner's renewal and the number of attempts without a response
// distinguish a lost owner from a slow one. The daemon that the last attempt
// was sent to may not be the present owner.
LogLine
RequestLogLine(const char* aEvent,
               const OpenRequest& aOpen,
               const std::string& aReason,
               const OwnershipState& aOwnership,
               TimePoint aNow)
{
  return { LogLevel::Info,
           aEvent,
           { { "job", JobOf(aOpen.request_.action_).Value() },
             { "reason", aReason },
             { "waited_ms", Milliseconds(aNow - aOpen.arrivedAt_) },
             { "unanswered", std::to_string(aOpen.attemptsWithoutResponse_) },
             { "forwarded", aOpen.forwarded_ ? "yes" : "no" },
             { "sent_to", aOpen.sentTo_.Value() },
             { "owner",
               aOwnership.owner_ ? aOwnership.owner_->daemon_.Value()
                                 : std::string{ "none" } },
             { "renewal_age_ms",
               Milliseconds(aNow - aOwnership.renewedAt_) } } };
}

} // namespace verbenawell::jobs
