#pragma once

#include "verbenawell/settings/Settings.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace verbenawell {

struct SettingsFault
{
  std::size_t line_ = 1;
  std::string path_;
  /// What was given and what is allowed.
  std::string text_;
};

/// Parses settings from JSON with comments, or returns every fault. Relative
/// file names are resolved against `aFolder`.
std::variant<Settings, std::vector<SettingsFault>>
CheckSettings(std::string_view aText, const std::string& aFolder);

} // namespace verbenawell
