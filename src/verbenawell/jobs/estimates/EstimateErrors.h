#pragma once

#include "verbenawell/core/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace verbenawell::jobs {

/// Distribution of the factors by which run times were off, in either
/// direction; 1 for an exact one.
class EstimateErrors
{
public:
  void Add(Duration aExpected, Duration aReal);

  [[nodiscard]] std::uint64_t Count() const { return count_; }

  /// Factor that this share of the runs does not exceed, to about 5%; 0 without
  /// runs.
  [[nodiscard]] double Percentile(double aShare) const;

private:
  /// Steps of the logarithm up to a factor of 100; the last one holds the rest.
  static constexpr std::size_t kBins = 94;

  std::array<std::uint64_t, kBins> bins_{};
  std::uint64_t count_ = 0;
};

} // namespace verbenawell::jobs
