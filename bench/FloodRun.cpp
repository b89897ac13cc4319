#include "FloodRun.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <queue>
#include <utility>

namespace verbenawell::bench {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr Duration kTick = std::chrono::milliseconds(100);

class Simulation
{
public:
  Simulation(Policy aPolicy, const std::vector<SimulatedRequest>& aRequests)
    : policy_(std::move(aPolicy))
    , requests_(aRequests)
    , accepted_(aRequests.size())
  {
  }

  RunResult Run()
  {
    std::size_t next = 0;
    TimePoint nextTick{ kTick };
    while (next < requests_.size() || unfinished_ > 0) {
      const bool arrives = next < requests_.size() &&
                           (running_.empty() ||
                            requests_[next].arrivesAt_ <= running_.top().first);
      const TimePoint now =
        arrives ? requests_[next].arrivesAt_
                : (running_.empty() ? nextTick : running_.top().first);
      if (nextTick <= now) {
        Apply(std::visit([&](auto& aPolicy) { return aPolicy.Tick(nextTick); },
                         policy_),
              nextTick);
        nextTick += kTick;
      } else if (arrives) {
        Arrive(next++);
      } else {
        FinishNext();
      }
    }
    return std::move(result_);
  }

private:
  void Arrive(RequestNumber aNumber)
  {
    const SimulatedRequest& request = requests_[aNumber];
    ++unfinished_;
    result_.otherLong_ += IsOtherLong(request) ? 1 : 0;
    const PolicyDecisions decisions = std::visit(
      [&](auto& aPolicy) { return aPolicy.Arrive(aNumber, request); }, policy_);
    accepted_[aNumber] = std::ranges::find(decisions.rejected_, aNumber) ==
                         decisions.rejected_.end();
    Apply(decisions, request.arrivesAt_);
  }

  void FinishNext()
  {
    const TimePoint now = running_.top().first;
    const RequestNumber number = running_.top().second;
    running_.pop();
    --unfinished_;
    const SimulatedRequest& request = requests_[number];
    RecordFinish(request, now);
    Apply(std::visit(
            [&](auto& aPolicy) { return aPolicy.Finish(number, request, now); },
            policy_),
          now);
  }

  void Apply(const PolicyDecisions& aDecisions, TimePoint aNow)
  {
    for (const RequestNumber number : aDecisions.started_) {
      const SimulatedRequest& request = requests_[number];
      const double wait = Seconds{ aNow - request.arrivesAt_ }.count();
      if (request.head_.urgency_ == Urgency::Urgent) {
        result_.urgentWait_.push_back(wait);
      }
      if (IsOtherLong(request)) {
        result_.otherLongWait_.push_back(wait);
      }
      running_.emplace(aNow + request.runTime_, number);
    }
    for (const RequestNumber number : aDecisions.rejected_) {
      --unfinished_;
      result_.longDropped_ +=
        accepted_[number] && requests_[number].head_.urgency_ == Urgency::Long
          ? 1
          : 0;
      if (const SimulatedRequest& request = requests_[number];
          !request.isFlood_ && request.head_.urgency_ != Urgency::Long) {
        RecordOutcome(request, {}, false);
      }
    }
  }

  void RecordOutcome(const SimulatedRequest& aRequest,
                     std::optional<double> aLatency,
                     bool aInTime)
  {
    result_.outcomes_.push_back(
      { aRequest.head_.service_,
        Seconds{ aRequest.arrivesAt_.time_since_epoch() }.count(),
        aLatency,
        aInTime });
  }

  void RecordFinish(const SimulatedRequest& aRequest, TimePoint aNow)
  {
    const Duration latency = aNow - aRequest.arrivesAt_;
    const bool inTime = latency <= aRequest.head_.deadline_;
    if (aRequest.isFlood_) {
      result_.floodFinished_ += inTime ? 1 : 0;
      return;
    }
    result_.otherFinished_ += inTime ? 1 : 0;
    if (IsOtherLong(aRequest)) {
      result_.otherLongFinished_ += inTime ? 1 : 0;
    } else {
      result_.otherLatency_.push_back(Seconds{ latency }.count());
      RecordOutcome(aRequest, Seconds{ latency }.count(), inTime);
    }
  }

  static bool IsOtherLong(const SimulatedRequest& aRequest)
  {
    return !aRequest.isFlood_ && aRequest.head_.urgency_ == Urgency::Long;
  }

  using RunEnd = std::pair<TimePoint, RequestNumber>;

  Policy policy_;
  const std::vector<SimulatedRequest>& requests_;
  std::vector<bool> accepted_;
  std::size_t unfinished_ = 0;
  std::priority_queue<RunEnd, std::vector<RunEnd>, std::greater<>> running_;
  RunResult result_;
};

} // namespace

RunResult
Run(Policy aPolicy, const std::vector<SimulatedRequest>& aRequests)
{
  return Simulation{ std::move(aPolicy), aRequests }.Run();
}

double
P99(std::vector<double> aSamples)
{
  if (aSamples.empty()) {
    return 0.0;
  }
  constexpr double kQuantile = 0.99;
  const auto rank =
    static_cast<std::size_t>(kQuantile * static_cast<double>(aSamples.size()));
  const auto at = aSamples.begin() + static_cast<std::ptrdiff_t>(
                                       std::min(rank, aSamples.size() - 1));
  std::ranges::nth_element(aSamples, at);
  return *at;
}

} // namespace verbenawell::bench
