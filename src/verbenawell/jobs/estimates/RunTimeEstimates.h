#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/estimates/RunGroup.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <variant>
#include <vector>

namespace verbenawell::jobs {

/// The run did all the work of its task.
struct WholeRun
{
  Duration elapsed_{};
};

/// The whole run would have taken at least this long: it was stopped, failed,
/// was lost, or continued a checkpoint.
struct PartialRun
{
  Duration elapsed_{};
};

using RunLength = std::variant<WholeRun, PartialRun>;

struct RunTimeExpectation
{
  /// Median of the expected run time.
  Duration runTime_{};
  /// Standard deviation of the natural logarithm of the run time.
  double logSpread_ = 0;
};

/// Estimates run times from the factors of real to declared run time of earlier
/// runs, whose logarithms it averages by group. A group with few runs takes
/// most of its estimate from the wider ones. Older runs count less, by number
/// and by age.
class RunTimeEstimates
{
public:
  /// Upper limit of the groups in memory, about 3 MB with usual names.
  static constexpr std::size_t kMaxGroups = 10'000;
  /// A factor beyond this or its inverse counts as this one.
  static constexpr double kMaxFactor = 100;
  /// Weight of a group in runs; with it, each new run weighs 1/64.
  static constexpr double kMaxRuns = 64;

  /// Adds a run. Ignores a run without a declared or elapsed time.
  void Add(const RunKind& aRun, const RunLength& aLength, TimePoint aNow);

  /// Expected run time; the declared one if nothing was learned.
  [[nodiscard]] RunTimeExpectation Expect(const RunKind& aRun,
                                          TimePoint aNow) const;

  [[nodiscard]] std::size_t GroupCount() const { return groups_.size(); }

  /// The groups that learned most recently, at most this many.
  [[nodiscard]] std::vector<StoredRunGroup> Newest(std::size_t aMax) const;

  /// Adds a stored group, as if its last run had ended now.
  void Restore(const StoredRunGroup& aStored, TimePoint aNow);

private:
  /// Weighted moments of the logarithms of the factors.
  struct Moments
  {
    double runs_ = 0;
    double mean_ = 0;
    double variance_ = 0;
    TimePoint updatedAt_;
    /// Number of the run that was added last; evicted in this order.
    std::uint64_t lastAdded_ = 0;
  };

  struct Posterior
  {
    double mean_ = 0;
    double variance_ = 0;
  };

  [[nodiscard]] Posterior PosteriorOf(const RunKind& aRun,
                                      TimePoint aNow) const;
  void EvictOldest();

  std::map<RunGroup, Moments> groups_;
  std::uint64_t added_ = 0;
};

} // namespace verbenawell::jobs
