#pragma once

#include "verbenawell/core/Random.h"
#include "verbenawell/core/Time.h"
#include "verbenawell/requests/RequestHead.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace verbenawell::bench {

constexpr std::size_t kServices = 5;
constexpr std::array<std::uint32_t, kServices> kWorkersOf{ 8, 9, 10, 11, 12 };
constexpr std::uint32_t kWorkers = 50;
constexpr std::uint32_t kSlotsPerWorker = 8;

/// Mean run times of one user's work.
struct UserProfile
{
  std::string name_;
  Duration urgent_;
  Duration interactive_;
  Duration long_;
};

/// Demand of one kind beyond what all workers hold.
struct Flood
{
  std::string name_;
  Urgency urgency_ = Urgency::Long;
  TeamId team_;
  /// Actual run time by the declared one.
  double runTimeFactor_ = 1.0;
};

/// One request of a run, with the run time that only the worker knows.
struct Job
{
  TimePoint arrivesAt_;
  RequestHead head_;
  Duration runTime_{};
  bool flood_ = false;
};

/// Demand of all services in order of arrival. The flood adds to it and
/// changes nothing else; work of the share that floods counts as flood.
std::vector<Job>
MakeJobs(const UserProfile& aProfile,
         const Flood& aFlood,
         bool aWithFlood,
         std::uint64_t aSeed);

} // namespace verbenawell::bench
