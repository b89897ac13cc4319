#pragma once

#include "verbenawell/core/Time.h"

namespace verbenawell {

/// Learns how declared run times relate to those seen.
class RunTimeEstimate
{
public:
  /// What a request that declares `aDeclared` is expected to take; zero
  /// means that the caller declared nothing.
  [[nodiscard]] Duration Expect(Duration aDeclared) const;

  /// What the requests seen take on average, whatever they declared; before
  /// the first one the same as `Expect`.
  [[nodiscard]] Duration Typical(Duration aDeclared) const;

  void Learn(Duration aDeclared, Duration aSeen);

private:
  [[nodiscard]] Duration Mean() const;

  bool hasMean_ = false;
  double meanSeconds_ = 0.0;
  double factor_ = 1.0;
};

} // namespace verbenawell
