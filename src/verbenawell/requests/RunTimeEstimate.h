#pragma once

#include "verbenawell/core/Time.h"

namespace verbenawell {

/// Estimates run times from the average ratio of observed to declared run times
/// and from the mean of the observed ones.
class RunTimeEstimate
{
public:
  /// Expected run time of a request with the declared run time `aDeclared`.
  /// Zero means that the caller declared none.
  [[nodiscard]] Duration Expect(Duration aDeclared) const;

  /// Mean of the observed run times, whatever was declared. Before the first
  /// observation it is the same as `Expect`.
  [[nodiscard]] Duration MeanRunTime(Duration aDeclared) const;

  /// Updates the estimate with the run time of one attempt. `aDeclared` is zero
  /// if the caller declared no run time.
  void Learn(Duration aDeclared, Duration aObserved);

private:
  [[nodiscard]] Duration Mean() const;

  bool hasMean_ = false;
  double meanSeconds_ = 0.0;
  double factor_ = 1.0;
};

} // namespace verbenawell
