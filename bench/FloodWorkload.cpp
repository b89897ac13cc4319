#include "FloodWorkload.h"

#include <algorithm>
#include <cmath>

namespace verbenawell::bench {

namespace {

using namespace std::chrono_literals;
using Seconds = std::chrono::duration<double>;

constexpr Duration kRunTime = 80s;
constexpr Duration kFloodStart = 20s;
constexpr Duration kFloodEnd = 60s;

// The services take turns: each sends bursts for one phase at a time, and few
// requests in the other phases.
constexpr Duration kPhase = 4s;
constexpr double kBurst = 5.0;
constexpr double kQuiet = 0.05;

// Mean utilization of a service's share of the workers. A burst asks for five
// times as much, which exceeds that share.
constexpr double kMeanUse = 0.3;

// A flood asks for this many times the slots of all workers.
constexpr double kFloodUse = 3.0;

constexpr double kUrgentPart = 0.15;
constexpr double kLongPart = 0.01;

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
MeanRunTime(const UserProfile& aProfile, Urgency aUrgency)
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
  if (draw < kLongPart) {
    return Urgency::Long;
  }
  return draw < kLongPart + kUrgentPart ? Urgency::Urgent
                                        : Urgency::Interactive;
}

Job
MakeJob(const UserProfile& aProfile,
        Urgency aUrgency,
        TimePoint aArrival,
        Random& aRandom)
{
  Job job;
  job.arrivesAt_ = aArrival;
  job.head_.urgency_ = aUrgency;
  job.head_.deadline_ =
    aUrgency == Urgency::Long ? kLongDeadline : kShortDeadline;
  job.head_.declaredRunTime_ = MeanRunTime(aProfile, aUrgency);
  // Uniform between 0.5 and 1.5 times the declared run time.
  job.runTime_ = std::chrono::duration_cast<Duration>(
    job.head_.declaredRunTime_ * (0.5 + Uniform(aRandom)));
  return job;
}

double
MeanSlotTime(const UserProfile& aProfile)
{
  return kUrgentPart * Seconds{ aProfile.urgent_ }.count() +
         kLongPart * Seconds{ aProfile.long_ }.count() +
         (1.0 - kUrgentPart - kLongPart) *
           Seconds{ aProfile.interactive_ }.count();
}

void
AddService(const UserProfile& aProfile,
           std::size_t aService,
           std::uint64_t aSeed,
           std::vector<Job>& aJobs)
{
  Random random{ aSeed * 1000 + aService };
  const double meanRate = kMeanUse * kWorkersOf.at(aService) * kSlotsPerWorker /
                          MeanSlotTime(aProfile);
  for (Duration now{}; now < kRunTime;) {
    const bool burst =
      static_cast<std::size_t>(now / kPhase) % kServices == aService;
    const double rate = meanRate * (burst ? kBurst : kQuiet);
    now += std::min(Exponential(random, 1.0 / rate), kPhase - now % kPhase);
    if (now % kPhase == Duration::zero()) {
      continue;
    }
    Job job = MakeJob(aProfile, DrawUrgency(random), TimePoint{ now }, random);
    job.head_.service_ = ServiceId{ "service" + std::to_string(aService) };
    job.head_.team_ = TeamId{ "team" + std::to_string(random.Below(2)) };
    aJobs.push_back(std::move(job));
  }
}

void
AddFlood(const UserProfile& aProfile,
         const Flood& aFlood,
         std::uint64_t aSeed,
         std::vector<Job>& aJobs)
{
  Random random{ aSeed * 1000 + kServices };
  const Urgency urgency = aFlood.urgency_;
  const double runTime =
    Seconds{ MeanRunTime(aProfile, urgency) }.count() * aFlood.runTimeFactor_;
  const double rate = kFloodUse * kWorkers * kSlotsPerWorker / runTime;
  for (Duration now = kFloodStart; now < kFloodEnd;) {
    now += Exponential(random, 1.0 / rate);
    Job job = MakeJob(aProfile, urgency, TimePoint{ now }, random);
    job.runTime_ = std::chrono::duration_cast<Duration>(job.runTime_ *
                                                        aFlood.runTimeFactor_);
    job.head_.service_ = ServiceId{ "service" + std::to_string(kServices - 1) };
    job.head_.team_ = aFlood.team_;
    job.flood_ = true;
    aJobs.push_back(std::move(job));
  }
}

} // namespace

std::vector<Job>
MakeJobs(const UserProfile& aProfile,
         const Flood& aFlood,
         bool aWithFlood,
         std::uint64_t aSeed)
{
  std::vector<Job> jobs;
  for (std::size_t service = 0; service < kServices; ++service) {
    AddService(aProfile, service, aSeed, jobs);
  }
  for (Job& job : jobs) {
    job.flood_ = job.head_.service_ == kFloodedService &&
                 job.head_.team_ == aFlood.team_ &&
                 job.head_.urgency_ == aFlood.urgency_;
  }
  if (aWithFlood) {
    AddFlood(aProfile, aFlood, aSeed, jobs);
  }
  std::ranges::stable_sort(jobs, {}, &Job::arrivesAt_);
  return jobs;
}

} // namespace verbenawell::bench
