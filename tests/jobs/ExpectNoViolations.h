#pragma once

#include "SimulatedDeployment.h"

#include <gtest/gtest.h>

namespace verbenawell::jobs {

/// Time after which the first owner has read the store and the workers.
inline constexpr Duration kStartUp = std::chrono::seconds(3);

/// Fails the test for each rule violation that the oracle has recorded.
inline void
ExpectKept(const Installation& aInstallation)
{
  for (const std::string& broken : aInstallation.oracle_.Broken()) {
    ADD_FAILURE() << broken;
  }
}

} // namespace verbenawell::jobs
