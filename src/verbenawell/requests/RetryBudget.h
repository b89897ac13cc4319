#pragma once

#include <algorithm>
#include <cstdint>

namespace verbenawell {

/// Bounds retries to a share of the requests received lately, so that retries
/// do not add to an overload. One retry costs ten credits; each request earns
/// one, which makes the share a tenth.
class RetryBudget
{
public:
  void Earn() { credits_ = std::min(credits_ + 1, kMaxCredits); }

  /// Takes what one retry costs; false where the budget is spent.
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
  // The requests that count as recent: those that earn 100 retries.
  static constexpr std::uint32_t kMaxCredits = 1000;
  // Lets the first requests of a daemon be retried.
  static constexpr std::uint32_t kInitialCredits = 100;

  std::uint32_t credits_ = kInitialCredits;
};

} // namespace verbenawell
