#pragma once

#include "verbenawell/settings/Settings.h"

#include <stdexcept>
#include <string>

namespace verbenawell {

/// A settings file that cannot be used; `what()` names every fault.
class SettingsError : public std::runtime_error
{
public:
  explicit SettingsError(const std::string& aFaults)
    : std::runtime_error(aFaults)
  {
  }
};

/// Reads settings in JSON with comments; throws `SettingsError`.
Settings
LoadSettings(const std::string& aPath);

/// Reads a token from a file, without the newline at its end.
std::string
LoadToken(const std::string& aPath);

} // namespace verbenawell
