#pragma once

#include "verbenawell/core/Resources.h"
#include "verbenawell/requests/UsageReport.h"

namespace verbenawell {

/// Learns the ratio of used to declared resources for a service's requests. The
/// ratio compares means. Usage reports do not separate out the requests that
/// declare nothing, which makes the correction too small.
class SizeEstimate
{
public:
  /// Records the declared size of a request that starts.
  void RecordDeclared(const Resources& aDeclared);

  /// Learns from the measured usage of requests. Has no effect before the first
  /// declared size.
  void Learn(const ServiceUsage& aUsage);

  /// Expected usage of a request with the declared size `aDeclared`. Resources
  /// that were not declared stay zero. Accelerators are not measured and stay
  /// as declared.
  [[nodiscard]] Resources Correct(const Resources& aDeclared) const;

  /// Ratio of used to declared resources, between 0.1 and 10.
  [[nodiscard]] double CoresFactor() const { return cores_.factor_; }
  [[nodiscard]] double MemoryFactor() const { return memory_.factor_; }

private:
  struct Part
  {
    double declared_ = 0.0;
    double factor_ = 1.0;

    void RecordDeclared(double aDeclared);
    void Learn(double aUsed, double aRate);
    [[nodiscard]] double Correct(double aDeclared) const;
  };

  Part cores_;
  Part memory_;
};

} // namespace verbenawell
