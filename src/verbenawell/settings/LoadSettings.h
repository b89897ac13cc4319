#pragma once

#include "verbenawell/settings/Settings.h"

#include <stdexcept>
#include <string>

namespace verbenawell {

/// A settings file or token file cannot be used; `what()` names every fault.
class SettingsError : public std::runtime_error
{
public:
  explicit SettingsError(const std::string& aFaults)
    : std::runtime_error(aFaults)
  {
  }
};

/// Loads a settings file in JSON with comments; throws `SettingsError`.
Settings
LoadSettings(const std::string& aPath);

/// Loads a token from a file, without the newline at its end; throws
/// `SettingsError` if the file cannot be read or is empty.
std::string
LoadToken(const std::string& aPath);

} // namespace verbenawell
