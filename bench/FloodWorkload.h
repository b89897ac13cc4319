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
/// Workers for which each service is sized; all services share all workers.
constexpr std::array<std::uint32_t, kServices> kWorkersPerService{ 8,
                                                                   9,
                                                                   10,
                                                                   11,
                                                                   12 };
constexpr std::uint32_t kWorkers = 50;
constexpr std::uint32_t kSlotsPerWorker = 8;

/// Mean run times, by urgency, of the requests of one deployment.
struct WorkloadProfile
{
  std::string name_;
  Duration urgent_;
  Duration interactive_;
  Duration long_;
};

/// A flood: requests of one team and urgency that ask for more slots than all
/// workers have.
struct Flood
{
  std::string name_;
  Urgency urgency_ = Urgency::Long;
  TeamId team_;
  /// Ratio of actual to declared run time.
  double runTimeFactor_ = 1.0;
};

/// One request of a simulation.
struct SimulatedRequest
{
  TimePoint arrivesAt_;
  RequestHead head_;
  /// Actual run time, which the policy learns only when the request finishes.
  Duration runTime_{};
  bool isFlood_ = false;
};

/// Requests of all services in order of arrival. With a flood, its requests
/// are added and the others stay the same. Requests of the flooded service
/// with the flood's team and urgency count as flood in either case.
std::vector<SimulatedRequest>
MakeRequests(const WorkloadProfile& aProfile,
             const Flood& aFlood,
             bool aWithFlood,
             std::uint64_t aSeed);

} // namespace verbenawell::bench
