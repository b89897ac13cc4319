#include "verbenawell/jobs/explain/Explain.h"

#include <algorithm>
#include <chrono>
#include <iterator>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

// Largest time between the log lines of a take-over and of a failed request
// that waited for the lost owner; either may be the first. A take-over from an
// unresponsive owner takes about 3 s after its last renewal.
constexpr auto kTakeOverWindow = 5s;

bool
RefersTo(const LoggedEvent& aEvent, const JobId& aJob)
{
  return aEvent.Field("job") == aJob.Value() ||
         aEvent.Field("task").starts_with(aJob.Value() + ".");
}

class CauseFinder
{
public:
  CauseFinder(const std::vector<LoggedEvent>& aLog,
              const std::vector<LoggedEvent>& aEvents)
    : log_(aLog)
    , events_(aEvents)
  {
  }

  [[nodiscard]] std::string Cause() const
  {
    if (events_.empty()) {
      return "no line names the job: it reached no daemon, or its lines were "
             "dropped";
    }
    const LoggedEvent* ended = LastEvent("job_ended");
    const LoggedEvent* failed = LastEvent("request_failed");
    if (const LoggedEvent* givenUp = LastEvent("task_given_up");
        givenUp != nullptr) {
      return "failed: " + givenUp->Field("crashes") +
             " workers crashed under task " + givenUp->Field("task");
    }
    if (const std::string losses = DescribeLostRuns(); !losses.empty()) {
      return (ended == nullptr ? "not ended: " : "delayed: ") + losses;
    }
    if (ended != nullptr && ended->Field("outcome") == "failed") {
      return "failed: a task failed as often as its queue allows";
    }
    if (LastEvent("job_accepted") == nullptr && failed != nullptr) {
      return DescribeFailedRequest(*failed);
    }
    if (ended != nullptr) {
      return ended->Field("outcome") + " after " + ended->Field("age_ms") +
             " ms";
    }
    if (const LoggedEvent* handedOver = LastEvent("job_handed_over");
        handedOver != nullptr) {
      return "handed over to shard " + handedOver->Field("to_shard") +
             " and not ended there";
    }
    return "accepted and not ended";
  }

private:
  [[nodiscard]] const LoggedEvent* LastEvent(const std::string& aEvent) const
  {
    const auto found =
      std::find_if(events_.rbegin(), events_.rend(), [&](const auto& aLine) {
        return aLine.event_ == aEvent;
      });
    return found == events_.rend() ? nullptr : &*found;
  }

  [[nodiscard]] std::string DescribeLostRuns() const
  {
    const LoggedEvent* lost = LastEvent("run_lost");
    if (lost == nullptr) {
      return {};
    }
    const auto count =
      std::ranges::count(events_, "run_lost", &LoggedEvent::event_);
    return std::to_string(count) + " runs were lost, the last on worker " +
           lost->Field("worker") + " (" + lost->Field("reason") + ")";
  }

  [[nodiscard]] std::string DescribeFailedRequest(
    const LoggedEvent& aFailed) const
  {
    const std::string reason = aFailed.Field("reason");
    if (reason == "overload") {
      return "refused: the work ahead of it was too much for its pool";
    }
    if (reason == "store_away") {
      return "refused: the owner could not store it";
    }
    if (reason == "no_owner") {
      return "refused: no owner was known, last renewal " +
             aFailed.Field("renewal_age_ms") + " ms before" +
             DescribeTakeOver(aFailed);
    }
    if (reason == "no_configuration") {
      return "refused: the daemon had no configuration yet";
    }
    return "unknown: " + reason + ", " + aFailed.Field("unanswered") +
           " attempts without an answer" + DescribeTakeOver(aFailed);
  }

  /// The change of owner around the time of a failed request. It distinguishes
  /// a lost owner from a slow store.
  [[nodiscard]] std::string DescribeTakeOver(const LoggedEvent& aFailed) const
  {
    const auto taken = std::ranges::find_if(log_, [&](const auto& aLine) {
      return aLine.event_ == "ownership_taken" &&
             std::chrono::abs(aLine.time_ - aFailed.time_) <= kTakeOverWindow;
    });
    return taken == log_.end()
             ? std::string{ "; the owner did not change" }
             : "; " + taken->daemon_ + " took over from a lost owner, epoch " +
                 taken->Field("epoch");
  }

  const std::vector<LoggedEvent>& log_;
  const std::vector<LoggedEvent>& events_;
};

} // namespace

std::string
LoggedEvent::Field(const std::string& aName) const
{
  const auto found = fields_.find(aName);
  return found == fields_.end() ? std::string{} : found->second;
}

Explanation
Explain(const JobId& aJob, std::vector<LoggedEvent> aLog)
{
  std::ranges::stable_sort(aLog, {}, &LoggedEvent::time_);
  Explanation explanation;
  std::ranges::copy_if(
    aLog,
    std::back_inserter(explanation.events_),
    [&](const LoggedEvent& aEvent) { return RefersTo(aEvent, aJob); });
  explanation.cause_ = CauseFinder{ aLog, explanation.events_ }.Cause();
  return explanation;
}

} // namespace verbenawell::jobs
