#include "verbenawell/jobs/estimates/RunTimeEstimates.h"

#include "verbenawell/core/Overloaded.h"

#include <algorithm>
#include <bit>
#include <chrono>
#include <cmath>
#include <numbers>
#include <optional>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

// A wider group counts as this many runs of the narrower one.
constexpr double kPriorRuns = 3;
// Spread of the logarithm before the first run: callers' declarations are off
// by a factor of two and more.
constexpr double kPriorSpread = 0.7;
// Images and data change within days, so a group that no longer runs is
// forgotten within hours.
constexpr Duration kHalfLife = 1h;
// Groups evicted at a time, so that eviction costs little per run.
constexpr std::size_t kEvictedGroups = RunTimeEstimates::kMaxGroups / 10;
constexpr double kThousandths = 1000;

double
Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

double
Decay(TimePoint aFrom, TimePoint aNow)
{
  return std::exp2(-std::max(0.0, Seconds(aNow - aFrom)) / Seconds(kHalfLife));
}

double
LogFactor(Duration aElapsed, Duration aDeclared)
{
  const double limit = std::log(RunTimeEstimates::kMaxFactor);
  return std::clamp(
    std::log(Seconds(aElapsed) / Seconds(aDeclared)), -limit, limit);
}

/// Mean of a normal variable, given that it is above `aBound`.
double
MeanAbove(double aBound, double aMean, double aSpread)
{
  const double z = (aBound - aMean) / aSpread;
  const double density = std::exp(-z * z / 2) / std::sqrt(2 * std::numbers::pi);
  const double tail = std::erfc(z / std::numbers::sqrt2) / 2;
  // Far out both vanish, and the mean is just above the bound.
  constexpr double kMinTail = 1e-9;
  return tail < kMinTail ? aBound + aSpread / z
                         : aMean + aSpread * density / tail;
}

} // namespace

DeclaredBucket
BucketOf(Duration aDeclared)
{
  return DeclaredBucket{ static_cast<std::uint32_t>(
    std::bit_width(static_cast<std::uint64_t>(aDeclared.count())) - 1) };
}

std::array<RunGroup, kGroupLevels>
GroupsOf(const RunKind& aRun)
{
  const DeclaredBucket bucket = BucketOf(aRun.declared_);
  return { DeclaredGroup{ bucket },
           QueueGroup{ aRun.queue_ },
           QueueDeclaredGroup{ aRun.queue_, bucket },
           ImageGroup{ aRun.queue_, aRun.image_ },
           ImageDeclaredGroup{ aRun.queue_, aRun.image_, bucket } };
}

// A partial run says nothing unless it has lasted longer than expected: then
// the whole run counts as long as such runs are on average.
void
RunTimeEstimates::Add(const RunKind& aRun,
                      const RunLength& aLength,
                      TimePoint aNow)
{
  const Duration elapsed =
    std::visit([](const auto& aKnown) { return aKnown.elapsed_; }, aLength);
  if (aRun.declared_ <= Duration{} || elapsed <= Duration{}) {
    return;
  }
  const double bound = LogFactor(elapsed, aRun.declared_);
  const auto factor = std::visit(
    Overloaded{ [&](const WholeRun&) { return std::optional{ bound }; },
                [&](const PartialRun&) {
                  const Posterior posterior = PosteriorOf(aRun, aNow);
                  return bound <= posterior.mean_
                           ? std::optional<double>{}
                           : std::optional{ std::min(
                               MeanAbove(bound,
                                         posterior.mean_,
                                         std::sqrt(posterior.variance_)),
                               std::log(kMaxFactor)) };
                } },
    aLength);
  if (!factor) {
    return;
  }
  ++added_;
  for (const RunGroup& group : GroupsOf(aRun)) {
    Moments& moments = groups_[group];
    moments.runs_ =
      std::min(moments.runs_ * Decay(moments.updatedAt_, aNow), kMaxRuns - 1) +
      1;
    const double before = *factor - moments.mean_;
    moments.mean_ += before / moments.runs_;
    moments.variance_ +=
      (before * (*factor - moments.mean_) - moments.variance_) / moments.runs_;
    moments.updatedAt_ = aNow;
    moments.lastAdded_ = added_;
  }
  if (groups_.size() > kMaxGroups) {
    EvictOldest();
  }
}

RunTimeExpectation
RunTimeEstimates::Expect(const RunKind& aRun, TimePoint aNow) const
{
  if (aRun.declared_ <= Duration{}) {
    return { aRun.declared_, kPriorSpread };
  }
  const Posterior posterior = PosteriorOf(aRun, aNow);
  // The limit is far above any run time and keeps the product in range.
  constexpr double kMaxSeconds = 1e9;
  const double seconds =
    std::min(Seconds(aRun.declared_) * std::exp(posterior.mean_), kMaxSeconds);
  return { std::max(Duration{ 1 },
                    std::chrono::duration_cast<Duration>(
                      std::chrono::duration<double>(seconds))),
           std::sqrt(posterior.variance_) };
}

// Each group shrinks towards the wider one by the number of its runs, so that
// the estimate has no jump when a group gets its first runs.
RunTimeEstimates::Posterior
RunTimeEstimates::PosteriorOf(const RunKind& aRun, TimePoint aNow) const
{
  Posterior posterior{ 0, kPriorSpread * kPriorSpread };
  for (const RunGroup& group : GroupsOf(aRun)) {
    const auto found = groups_.find(group);
    if (found == groups_.end()) {
      continue;
    }
    const Moments& moments = found->second;
    const double runs = moments.runs_ * Decay(moments.updatedAt_, aNow);
    const double share = runs / (runs + kPriorRuns);
    const double difference = moments.mean_ - posterior.mean_;
    posterior.mean_ += share * difference;
    posterior.variance_ = share * moments.variance_ +
                          (1 - share) * posterior.variance_ +
                          share * (1 - share) * difference * difference;
  }
  return posterior;
}

std::vector<StoredRunGroup>
RunTimeEstimates::Newest(std::size_t aMax) const
{
  std::vector<std::map<RunGroup, Moments>::const_iterator> newest;
  newest.reserve(groups_.size());
  for (auto entry = groups_.begin(); entry != groups_.end(); ++entry) {
    newest.push_back(entry);
  }
  const std::size_t count = std::min(aMax, newest.size());
  std::ranges::partial_sort(
    newest,
    newest.begin() + static_cast<std::ptrdiff_t>(count),
    std::ranges::greater{},
    [](const auto& aEntry) { return aEntry->second.lastAdded_; });
  std::vector<StoredRunGroup> stored;
  stored.reserve(count);
  for (std::size_t index = 0; index < count; ++index) {
    const auto& [group, moments] = *newest[index];
    stored.push_back({ group,
                       MilliRunCount{ static_cast<std::uint32_t>(
                         moments.runs_ * kThousandths) },
                       MilliLogFactor{ static_cast<std::int32_t>(
                         std::lround(moments.mean_ * kThousandths)) },
                       MilliLogVariance{ static_cast<std::uint32_t>(
                         std::max(0.0, moments.variance_) * kThousandths) } });
  }
  return stored;
}

void
RunTimeEstimates::Restore(const StoredRunGroup& aStored, TimePoint aNow)
{
  if (groups_.size() >= kMaxGroups) {
    return;
  }
  const double limit = std::log(kMaxFactor);
  groups_[aStored.group_] = {
    std::min(aStored.runs_.Value() / kThousandths, kMaxRuns),
    std::clamp(aStored.mean_.Value() / kThousandths, -limit, limit),
    std::min(aStored.variance_.Value() / kThousandths, limit * limit),
    aNow,
    added_
  };
}

void
RunTimeEstimates::EvictOldest()
{
  std::vector<std::uint64_t> ages;
  ages.reserve(groups_.size());
  for (const auto& [group, moments] : groups_) {
    ages.push_back(moments.lastAdded_);
  }
  const auto last = ages.begin() + static_cast<std::ptrdiff_t>(kEvictedGroups);
  std::ranges::nth_element(ages, last);
  std::erase_if(groups_, [oldest = *last](const auto& aEntry) {
    return aEntry.second.lastAdded_ < oldest;
  });
}

} // namespace verbenawell::jobs
