#pragma once

#include "verbenawell/core/Time.h"

namespace verbenawell {

/// Learns how declared run times relate to those seen.
class RunTimeEstimate
{
public:
  /// Expected run time of a request with the declared run time `aDeclared`.
  /// Zero means that the caller declared none.
  [[nodiscard]] Duration Expect(Duration aDeclared) const;

  /// What the requests seen take on average, whatever they declared; before
  /// the first one the same as `Expect`.
  [[nodiscard]] Duration Typical(Duration aDeclared) const;

  void Learn(Duration aDeclared, Duration aObserved);

private:
  [[nodiscard]] Duration Mean() const;

  bool hasMean_ = false;
  double meanSeconds_ = 0.0;
  double factor_ = 1.0;
};

} // namespace verbenawell
