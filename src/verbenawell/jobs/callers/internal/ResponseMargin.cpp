#include "verbenawell/jobs/callers/internal/ResponseMargin.h"

#include <algorithm>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

// A response sent this long before the deadline still reaches the caller. If a
// request has little time left, the margin is only a part of that time, since
// most responses need about 20 ms.
constexpr Duration kResponseMargin = 100ms;
constexpr int kMarginDivisor = 4;

} // namespace

Duration
ResponseMargin(Duration aTimeLeft)
{
  return std::min(kResponseMargin, aTimeLeft / kMarginDivisor);
}

} // namespace verbenawell::jobs
