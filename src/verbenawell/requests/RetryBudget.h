#pragma once

#include <algorithm>
#include <cstdint>

namespace verbenawell {

/// Limits retries to a tenth of the recent requests, so that retries do not
/// amplify an overload. Each request earns one credit and each retry costs ten.
class RetryBudget
{
public:
  void Earn() { credits_ = std::min(credits_ + 1, kMaxCredits); }

  /// Pays for one retry; returns false if too few credits are left.
  bool Spend()
  {
    if (credits_ < kCreditsPerRetry) {
      return false;
    }
    credits_ -= kCreditsPerRetry;
    return true;
  }

private:
  static constexpr std::uint32_t kCreditsPerRetry = 10;
  // Bounds a burst of retries to 100.
  static constexpr std::uint32_t kMaxCredits = 1000;
  // Allows ten retries before any request has earned credits.
  static constexpr std::uint32_t kInitialCredits = 100;

  std::uint32_t credits_ = kInitialCredits;
};

} // namespace verbenawell
