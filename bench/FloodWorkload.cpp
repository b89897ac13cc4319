#include "FloodWorkload.h"

#include <algorithm>
#include <cmath>

namespace verbenawell::bench {

namespace {

using namespace std::chrono_literals;
using Seconds = std::chrono::duration<double>;

constexpr Duration kArrivalPeriod = 80s;
constexpr Duration kFloodStart = 20s;
constexpr Duration kFloodEnd = 60s;

// The services take turns: each sends bursts for one phase at a time, and few
// requests in the other phases.
constexpr Duration kPhaseDuration = 4s;
constexpr double kBurstFactor = 5.0;
constexpr double kQuietFactor = 0.05;

// Mean utilization of a service's share of the workers. A burst asks for five
// times as much, which exceeds that share.
constexpr double kMeanUtilization = 0.3;

// A flood asks for this many times the slots of all workers.
constexpr double kFloodUtilization = 3.0;

constexpr double kUrgentFraction = 0.15;
constexpr double kLongFraction = 0.01;

const ServiceId kFloodedService{ "service4" };

constexpr Duration kShortDeadline = 10s;
constexpr Duration kLongDeadline = 600s;

double
Uniform(Random& aRandom)
{
  constexpr double kScale = 1.0 / 9007199254740992.0;
  return (static_cast<double>(aRandom() >> 11U) + 0.5) * kScale;
}

Duration
Exponential(Random& aRandom, double aMeanSeconds)
{
  return std::chrono::duration_cast<Duration>(
    Seconds{ -std::log(Uniform(aRandom)) * aMeanSeconds });
}

Duration
MeanRunTime(const WorkloadProfile& aProfile, Urgency aUrgency)
{
  switch (aUrgency) {
    case Urgency::Urgent:
      return aProfile.urgent_;
    case Urgency::Interactive:
      return aProfile.interactive_;
    case Urgency::Long:
      break;
  }
  return aProfile.long_;
}

Urgency
DrawUrgency(Random& aRandom)
{
  const double draw = Uniform(aRandom);
  if (draw < kLongFraction) {
    return Urgency::Long;
  }
  return draw < kLongFraction + kUrgentFraction ? Urgency::Urgent
                                                : Urgency::Interactive;
}

SimulatedRequest
MakeRequest(const WorkloadProfile& aProfile,
            Urgency aUrgency,
            TimePoint aArrival,
            Random& aRandom)
{
  SimulatedRequest request;
  request.arrivesAt_ = aArrival;
  request.head_.urgency_ = aUrgency;
  request.head_.deadline_ =
    aUrgency == Urgency::Long ? kLongDeadline : kShortDeadline;
  request.head_.declaredRunTime_ = MeanRunTime(aProfile, aUrgency);
  // Uniform between 0.5 and 1.5 times the declared run time.
  request.runTime_ = std::chrono::duration_cast<Duration>(
    request.head_.declaredRunTime_ * (0.5 + Uniform(aRandom)));
  return request;
}

double
MeanSlotTime(const WorkloadProfile& aProfile)
{
  return kUrgentFraction * Seconds{ aProfile.urgent_ }.count() +
         kLongFraction * Seconds{ aProfile.long_ }.count() +
         (1.0 - kUrgentFraction - kLongFraction) *
           Seconds{ aProfile.interactive_ }.count();
}

void
AddService(const WorkloadProfile& aProfile,
           std::size_t aService,
           std::uint64_t aSeed,
           std::vector<SimulatedRequest>& aRequests)
{
  Random random{ aSeed * 1000 + aService };
  const double meanRate = kMeanUtilization * kWorkersPerService.at(aService) *
                          kSlotsPerWorker / MeanSlotTime(aProfile);
  for (Duration now{}; now < kArrivalPeriod;) {
    const bool burst =
      static_cast<std::size_t>(now / kPhaseDuration) % kServices == aService;
    const double rate = meanRate * (burst ? kBurstFactor : kQuietFactor);
    now += std::min(Exponential(random, 1.0 / rate),
                    kPhaseDuration - now % kPhaseDuration);
    if (now % kPhaseDuration == Duration::zero()) {
      continue;
    }
    SimulatedRequest request =
      MakeRequest(aProfile, DrawUrgency(random), TimePoint{ now }, random);
    request.head_.service_ = ServiceId{ "service" + std::to_string(aService) };
    request.head_.team_ = TeamId{ "team" + std::to_string(random.Below(2)) };
    aRequests.push_back(std::move(request));
  }
}

void
AddFlood(const WorkloadProfile& aProfile,
         const Flood& aFlood,
         std::uint64_t aSeed,
         std::vector<SimulatedRequest>& aRequests)
{
  Random random{ aSeed * 1000 + kServices };
  const Urgency urgency = aFlood.urgency_;
  const double runTime =
    Seconds{ MeanRunTime(aProfile, urgency) }.count() * aFlood.runTimeFactor_;
  const double rate = kFloodUtilization * kWorkers * kSlotsPerWorker / runTime;
  for (Duration now = kFloodStart; now < kFloodEnd;) {
    now += Exponential(random, 1.0 / rate);
    SimulatedRequest request =
      MakeRequest(aProfile, urgency, TimePoint{ now }, random);
    request.runTime_ = std::chrono::duration_cast<Duration>(
      request.runTime_ * aFlood.runTimeFactor_);
    request.head_.service_ =
      ServiceId{ "service" + std::to_string(kServices - 1) };
    request.head_.team_ = aFlood.team_;
    request.isFlood_ = true;
    aRequests.push_back(std::move(request));
  }
}

} // namespace

std::vector<SimulatedRequest>
MakeRequests(const WorkloadProfile& aProfile,
             const Flood& aFlood,
             bool aWithFlood,
             std::uint64_t aSeed)
{
  std::vector<SimulatedRequest> requests;
  for (std::size_t service = 0; service < kServices; ++service) {
    AddService(aProfile, service, aSeed, requests);
  }
  for (SimulatedRequest& request : requests) {
    request.isFlood_ = request.head_.service_ == kFloodedService &&
                       request.head_.team_ == aFlood.team_ &&
                       request.head_.urgency_ == aFlood.urgency_;
  }
  if (aWithFlood) {
    AddFlood(aProfile, aFlood, aSeed, requests);
  }
  std::ranges::stable_sort(requests, {}, &SimulatedRequest::arrivesAt_);
  return requests;
}

} // namespace verbenawell::bench
