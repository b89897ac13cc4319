#pragma once

#include "Installation.h"

#include <gtest/gtest.h>

namespace verbenawell::jobs {

/// The first owner has read the store and the workers by then.
inline constexpr Duration kStartUp = std::chrono::seconds(3);

/// Fails the test for each rule that the oracle has seen broken.
inline void
ExpectKept(const Installation& aInstallation)
{
  for (const std::string& broken : aInstallation.oracle_.Broken()) {
    ADD_FAILURE() << broken;
  }
}

} // namespace verbenawell::jobs
