#pragma once

#include "SimulatedDeployment.h"

#include <gtest/gtest.h>

namespace verbenawell::jobs {

/// Time after which the first owner has read the store and the workers.
inline constexpr Duration kStartUpTime = std::chrono::seconds(3);

/// Fails the test for each rule violation that the oracle has recorded.
inline void
ExpectNoViolations(const SimulatedDeployment& aDeployment)
{
  for (const std::string& violation : aDeployment.oracle_.Violations()) {
    ADD_FAILURE() << violation;
  }
}

} // namespace verbenawell::jobs
